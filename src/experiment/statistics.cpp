#include "experiment/statistics.h"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <limits>
#include <numeric>

namespace beamshunt::experiment {
namespace {

constexpr double kSure = 0.975;  // of each side: 95% in all

struct Moments {
  double mean = 0, variance_of_mean = 0, freedom = 0;
};
Moments moments(const std::vector<double>& values) {
  Moments out;
  auto n = static_cast<double>(values.size());
  if (values.empty()) return out;
  out.mean = std::accumulate(values.begin(), values.end(), 0.0) / n;
  double squares = 0;
  for (double v : values) squares += (v - out.mean) * (v - out.mean);
  out.freedom = n - 1;
  if (n > 1) out.variance_of_mean = squares / (n - 1) / n;
  return out;
}

double students(double freedom) {
  return boost::math::quantile(boost::math::students_t(std::max(1.0, freedom)), kSure);
}

}  // namespace

Estimate estimate(const std::vector<double>& values) {
  Moments m = moments(values);
  double half = values.size() > 1 ? students(m.freedom) * std::sqrt(m.variance_of_mean)
                                  : std::numeric_limits<double>::infinity();
  return {m.mean, half, values.size()};
}

Difference compare(const std::vector<double>& values, const std::vector<double>& to) {
  if (values.size() < 2 || to.size() < 2) return Difference::none;
  Moments a = moments(values), b = moments(to);
  double variance = a.variance_of_mean + b.variance_of_mean, off = a.mean - b.mean;
  if (variance <= 0) return off < 0 ? Difference::less : off > 0 ? Difference::more : Difference::none;
  double freedom = variance * variance /
                   (a.variance_of_mean * a.variance_of_mean / a.freedom +
                    b.variance_of_mean * b.variance_of_mean / b.freedom);
  if (std::abs(off) <= students(freedom) * std::sqrt(variance)) return Difference::none;
  return off < 0 ? Difference::less : Difference::more;
}

}  // namespace beamshunt::experiment
