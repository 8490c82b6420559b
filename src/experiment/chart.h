// Charts, drawn by cairo: the same strokes as SVG and as PNG.
#pragma once

#include <string>
#include <vector>

namespace beamshunt::experiment {

struct Axis {
  std::string label;
  bool log = false;
};
struct Line {
  std::string name;
  std::vector<double> x, y, low, high;  // low and high: a band around it, or both empty
};
struct LineChart {
  std::string title;
  Axis x, y;
  std::vector<Line> lines;
};
struct HeatMap {
  std::string title;
  Axis x, y;
  std::string unit;
  std::vector<double> xs, ys;               // the columns and rows, in order
  std::vector<std::vector<double>> values;  // by row, then column; NaN: not known
};
struct Bars {  // one histogram each, over common bins
  std::string title;
  Axis x;
  std::vector<double> edges;  // of the bins, ascending
  std::vector<std::pair<std::string, std::vector<double>>> counts;
};

enum class Picture { svg, png };
// The picture's bytes. Throw std::runtime_error where nothing could be drawn.
std::string draw(const LineChart& chart, Picture as);
std::string draw(const HeatMap& chart, Picture as);
std::string draw(const Bars& chart, Picture as);

// Round numbers within a range, for an axis.
std::vector<double> ticks(double low, double high, bool log);

}  // namespace beamshunt::experiment
