#include "experiment/chart.h"

#include <cairo-svg.h>
#include <cairo.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <memory>
#include <numbers>
#include <stdexcept>

namespace beamshunt::experiment {
namespace {

constexpr double kWidth = 760, kHeight = 440, kLeft = 84, kRight = 170, kTop = 44, kBottom = 58;
constexpr double kFont = 12, kTitleFont = 15, kPngScale = 2;
constexpr double kBandAlpha = 0.18, kGrid = 0.87, kInk = 0.15;

struct Colour {
  double r, g, b;
};
// Told apart by eyes that mix up red and green, too (Okabe and Ito's set).
constexpr Colour kColours[] = {{0.00, 0.45, 0.70}, {0.84, 0.37, 0.00}, {0.00, 0.62, 0.45}, {0.80, 0.47, 0.65},
                               {0.90, 0.62, 0.00}, {0.34, 0.71, 0.91}, {0.35, 0.35, 0.35}};
const Colour& colour(std::size_t k) { return kColours[k % std::size(kColours)]; }

std::string number(double v) {
  double a = std::abs(v);
  if (a >= 1e9) return fmt::format("{:g}G", v / 1e9);
  if (a >= 1e6) return fmt::format("{:g}M", v / 1e6);
  if (a >= 1e4) return fmt::format("{:g}k", v / 1e3);
  return fmt::format("{:.4g}", v);
}

struct Range {
  double low = std::numeric_limits<double>::infinity(), high = -low;
  bool log = false;
  void take(double v) {
    if (std::isfinite(v) && (!log || v > 0)) low = std::min(low, v), high = std::max(high, v);
  }
  void settle(bool zero = true) {
    if (low > high) low = log ? 1 : 0, high = log ? 10 : 1;
    if (zero && !log && low > 0 && low < 0.6 * high) low = 0;  // where zero is near, it is shown
    if (high - low < 1e-9 * std::max(1.0, std::abs(high))) {
      double room = log ? 0 : std::max(0.5, std::abs(high) * 0.1);
      log ? (low /= 2, high *= 2) : (low -= room, high += room);
    }
  }
  double part(double v) const {
    if (log) return v <= 0 ? 0 : std::log(v / low) / std::log(high / low);
    return (v - low) / (high - low);
  }
};

class Canvas {
 public:
  explicit Canvas(Picture as) : as_(as) {
    surface_.reset(as == Picture::svg
                       ? cairo_svg_surface_create_for_stream(&Canvas::keep, &bytes_, kWidth, kHeight)
                       : cairo_image_surface_create(CAIRO_FORMAT_ARGB32, int(kWidth * kPngScale),
                                                    int(kHeight * kPngScale)));
    pen_.reset(cairo_create(surface_.get()));
    if (as == Picture::png) cairo_scale(pen(), kPngScale, kPngScale);
    cairo_set_source_rgb(pen(), 1, 1, 1);
    cairo_paint(pen());
    cairo_select_font_face(pen(), "sans-serif", CAIRO_FONT_SLANT_NORMAL, CAIRO_FONT_WEIGHT_NORMAL);
    cairo_set_line_width(pen(), 1);
  }
  std::string finish() {
    cairo_status_t status = cairo_status(pen());
    if (as_ == Picture::png && status == CAIRO_STATUS_SUCCESS)
      status = cairo_surface_write_to_png_stream(surface_.get(), &Canvas::keep, &bytes_);
    pen_.reset();
    cairo_surface_finish(surface_.get());
    if (status != CAIRO_STATUS_SUCCESS)
      throw std::runtime_error(std::string("could not draw: ") + cairo_status_to_string(status));
    return std::move(bytes_);
  }

  cairo_t* pen() const { return pen_.get(); }
  void ink(double grey = kInk) const { cairo_set_source_rgb(pen(), grey, grey, grey); }
  void ink(const Colour& c, double alpha = 1) const { cairo_set_source_rgba(pen(), c.r, c.g, c.b, alpha); }
  void stroke(double x0, double y0, double x1, double y1) const {
    cairo_move_to(pen(), x0, y0), cairo_line_to(pen(), x1, y1), cairo_stroke(pen());
  }
  // `x_part`, `y_part`: where of the text the point is, 0 left or top, 1 right or bottom.
  void text(double x, double y, const std::string& s, double x_part, double y_part, double size = kFont,
            double turn = 0) const {
    cairo_set_font_size(pen(), size);
    cairo_text_extents_t e;
    cairo_text_extents(pen(), s.c_str(), &e);
    cairo_save(pen());
    cairo_translate(pen(), x, y), cairo_rotate(pen(), turn);
    cairo_move_to(pen(), -e.width * x_part - e.x_bearing, size * 0.72 * (1 - y_part));
    cairo_show_text(pen(), s.c_str());
    cairo_restore(pen());
  }

 private:
  static cairo_status_t keep(void* to, const unsigned char* data, unsigned length) {
    static_cast<std::string*>(to)->append(reinterpret_cast<const char*>(data), length);
    return CAIRO_STATUS_SUCCESS;
  }
  struct Free {
    void operator()(cairo_surface_t* s) const { cairo_surface_destroy(s); }
    void operator()(cairo_t* c) const { cairo_destroy(c); }
  };
  Picture as_;
  std::string bytes_;
  std::unique_ptr<cairo_surface_t, Free> surface_;
  std::unique_ptr<cairo_t, Free> pen_;
};

constexpr double kPlotWidth = kWidth - kLeft - kRight, kPlotHeight = kHeight - kTop - kBottom;
double at_x(const Range& r, double v) { return kLeft + r.part(v) * kPlotWidth; }
double at_y(const Range& r, double v) { return kTop + (1 - r.part(v)) * kPlotHeight; }

void title(Canvas& c, const std::string& text) {
  c.ink();
  c.text(kLeft, kTop - 16, text, 0, 1, kTitleFont);
}
void labels(Canvas& c, const std::string& x, const std::string& y) {
  c.ink();
  c.text(kLeft + kPlotWidth / 2, kHeight - 14, x, 0.5, 1);
  c.text(20, kTop + kPlotHeight / 2, y, 0.5, 0.5, kFont, -std::numbers::pi / 2);
}
void frame(Canvas& c, const std::string& name, const Axis& x, const Range& xs, const Axis& y,
           const Range& ys) {
  title(c, name);
  for (double t : ticks(ys.low, ys.high, ys.log)) {
    c.ink(kGrid);
    c.stroke(kLeft, at_y(ys, t), kLeft + kPlotWidth, at_y(ys, t));
    c.ink();
    c.text(kLeft - 6, at_y(ys, t), number(t), 1, 0.5);
  }
  for (double t : ticks(xs.low, xs.high, xs.log)) {
    c.ink(kGrid);
    c.stroke(at_x(xs, t), kTop, at_x(xs, t), kTop + kPlotHeight);
    c.ink();
    c.text(at_x(xs, t), kTop + kPlotHeight + 8, number(t), 0.5, 0);
  }
  c.ink();
  cairo_rectangle(c.pen(), kLeft, kTop, kPlotWidth, kPlotHeight), cairo_stroke(c.pen());
  labels(c, x.label, y.label);
}
void legend(Canvas& c, std::size_t k, const std::string& name) {
  double y = kTop + 10 + 18 * static_cast<double>(k), x = kWidth - kRight + 14;
  c.ink(colour(k));
  cairo_rectangle(c.pen(), x, y - 4, 16, 8), cairo_fill(c.pen());
  c.ink();
  c.text(x + 22, y, name, 0, 0.5);
}

}  // namespace

std::vector<double> ticks(double low, double high, bool log) {
  std::vector<double> out;
  if (log) {
    for (double decade = std::pow(10, std::floor(std::log10(low))); decade <= high * 1.001; decade *= 10)
      for (double m : {1.0, 2.0, 5.0})
        if (decade * m >= low * 0.999 && decade * m <= high * 1.001) out.push_back(decade * m);
    return out;
  }
  constexpr double kWanted = 6;
  double raw = (high - low) / kWanted, step = std::pow(10, std::floor(std::log10(raw)));
  for (double m : {2.0, 2.5, 2.0})
    if (step < raw) step *= m;
  for (double t = std::ceil(low / step - 1e-9) * step; t <= high + step * 1e-6; t += step)
    out.push_back(std::abs(t) < step * 1e-6 ? 0 : t);
  return out;
}

std::string draw(const LineChart& chart, Picture as) {
  Range xs{.log = chart.x.log}, ys{.log = chart.y.log};
  for (const Line& l : chart.lines)
    for (std::size_t k = 0; k < l.x.size(); ++k) {
      xs.take(l.x[k]), ys.take(l.y[k]);
      if (!l.low.empty()) ys.take(l.low[k]), ys.take(l.high[k]);
    }
  xs.settle(false), ys.settle();
  Canvas c(as);
  frame(c, chart.title, chart.x, xs, chart.y, ys);
  cairo_save(c.pen());
  cairo_rectangle(c.pen(), kLeft, kTop, kPlotWidth, kPlotHeight), cairo_clip(c.pen());
  for (std::size_t n = 0; n < chart.lines.size(); ++n) {
    const Line& l = chart.lines[n];
    auto walk = [&](const std::vector<double>& y, bool back) {
      for (std::size_t k = 0; k < l.x.size(); ++k) {
        std::size_t i = back ? l.x.size() - 1 - k : k;
        if (std::isfinite(y[i])) cairo_line_to(c.pen(), at_x(xs, l.x[i]), at_y(ys, y[i]));
      }
    };
    if (!l.low.empty()) {
      c.ink(colour(n), kBandAlpha);
      walk(l.low, false), walk(l.high, true);
      cairo_close_path(c.pen()), cairo_fill(c.pen());
    }
    c.ink(colour(n));
    cairo_set_line_width(c.pen(), 2);
    walk(l.y, false), cairo_stroke(c.pen());
    constexpr std::size_t kFewPoints = 40;  // more are a curve without dots
    for (std::size_t k = 0; k < l.x.size() && l.x.size() <= kFewPoints; ++k) {
      if (!std::isfinite(l.y[k])) continue;
      cairo_arc(c.pen(), at_x(xs, l.x[k]), at_y(ys, l.y[k]), 3, 0, 2 * std::numbers::pi);
      cairo_fill(c.pen());
    }
  }
  cairo_restore(c.pen());
  for (std::size_t n = 0; n < chart.lines.size(); ++n) legend(c, n, chart.lines[n].name);
  return c.finish();
}

std::string draw(const HeatMap& chart, Picture as) {
  Range range;
  for (auto& row : chart.values)
    for (double v : row) range.take(v);
  range.settle();
  Canvas c(as);
  title(c, chart.title);
  labels(c, chart.x.label, chart.y.label);
  // From a light to a dark blue: the order shows without a legend, in grey too.
  auto shade = [&](double v) {
    double t = std::clamp(range.part(v), 0.0, 1.0);
    return Colour{0.94 - 0.89 * t, 0.96 - 0.70 * t, 1.0 - 0.52 * t};
  };
  double w = kPlotWidth / static_cast<double>(std::max<std::size_t>(1, chart.xs.size()));
  double h = kPlotHeight / static_cast<double>(std::max<std::size_t>(1, chart.ys.size()));
  for (std::size_t j = 0; j < chart.ys.size(); ++j) {
    double y = kTop + kPlotHeight - h * static_cast<double>(j + 1);
    for (std::size_t k = 0; k < chart.xs.size(); ++k) {
      double x = kLeft + w * static_cast<double>(k), v = chart.values[j][k];
      if (!std::isfinite(v)) continue;
      c.ink(shade(v));
      cairo_rectangle(c.pen(), x, y, w + 0.5, h + 0.5), cairo_fill(c.pen());
      c.ink(range.part(v) > 0.55 ? 1 : kInk);
      c.text(x + w / 2, y + h / 2, number(v), 0.5, 0.5);
    }
    c.ink();
    c.text(kLeft - 6, y + h / 2, number(chart.ys[j]), 1, 0.5);
  }
  for (std::size_t k = 0; k < chart.xs.size(); ++k)
    c.text(kLeft + w * (static_cast<double>(k) + 0.5), kTop + kPlotHeight + 8, number(chart.xs[k]), 0.5, 0);
  constexpr int kSteps = 40;
  double x = kWidth - kRight + 24;
  for (int k = 0; k < kSteps; ++k) {
    c.ink(shade(range.low + (range.high - range.low) * (k + 0.5) / kSteps));
    cairo_rectangle(c.pen(), x, kTop + kPlotHeight * (1 - (k + 1.0) / kSteps), 16,
                    kPlotHeight / kSteps + 0.5);
    cairo_fill(c.pen());
  }
  c.ink();
  c.text(x + 22, kTop, number(range.high) + " " + chart.unit, 0, 0);
  c.text(x + 22, kTop + kPlotHeight, number(range.low), 0, 1);
  return c.finish();
}

std::string draw(const Bars& chart, Picture as) {
  Range xs{.log = chart.x.log}, ys;
  for (double e : chart.edges) xs.take(e);
  ys.take(0);
  for (auto& [name, counts] : chart.counts)
    for (double n : counts) ys.take(n);
  xs.settle(false), ys.settle();
  Canvas c(as);
  frame(c, chart.title, chart.x, xs, {"runs", false}, ys);
  for (std::size_t n = 0; n < chart.counts.size(); ++n) {
    auto& counts = chart.counts[n].second;
    for (std::size_t k = 0; k + 1 < chart.edges.size() && k < counts.size(); ++k) {
      if (counts[k] <= 0) continue;
      double x0 = at_x(xs, chart.edges[k]), x1 = at_x(xs, chart.edges[k + 1]), y = at_y(ys, counts[k]);
      cairo_rectangle(c.pen(), x0, y, x1 - x0, at_y(ys, 0) - y);
      c.ink(colour(n), 0.35), cairo_fill_preserve(c.pen());
      c.ink(colour(n)), cairo_stroke(c.pen());
    }
    legend(c, n, chart.counts[n].first);
  }
  return c.finish();
}

}  // namespace beamshunt::experiment
