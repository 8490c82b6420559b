// Results as pictures and as one page.
#pragma once

#include <string>

#include "experiment/chart.h"
#include "experiment/results.h"

namespace beamshunt::experiment {

// The picture of a plot over the results: lines and curves are means over seeds with their 95% band. Throws
// std::runtime_error where the plot asks for what the results don't have.
std::string picture(const Results& results, const PlotWanted& plot, Picture as);

// One self-contained HTML page: the plots, and for each plotted figure a table of means with their intervals,
// each policy held against the first. A difference that chance alone could make is called so.
std::string page(const Results& results);

}  // namespace beamshunt::experiment
