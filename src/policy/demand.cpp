#include "policy/demand.h"

#include <numeric>

namespace beamshunt {

Demand::Demand(const Settings& settings)
    : admitted_rates_(settings.localities.size(), std::vector<double>(settings.classes.size(), 0)) {
  for (const RequestClass& request_class : settings.classes) local_only_.push_back(request_class.local_only);
}

void Demand::add(Locality locality, std::size_t request_class, double rate) {
  admitted_rates_[index_of(locality)][request_class] += rate;
}

double Demand::at(Locality locality, std::size_t request_class) const {
  return admitted_rates_[index_of(locality)][request_class];
}

double Demand::class_rate(std::size_t request_class) const {
  double sum = 0;
  for (const auto& by_class : admitted_rates_) sum += by_class[request_class];
  return sum;
}

double Demand::locality_rate(std::size_t locality) const {
  return std::accumulate(admitted_rates_[locality].begin(), admitted_rates_[locality].end(), 0.0);
}

double Demand::spillable_rate(std::size_t locality) const {
  double sum = 0;
  for (std::size_t c = 0; c < local_only_.size(); ++c)
    sum += local_only_[c] ? 0 : admitted_rates_[locality][c];
  return sum;
}

double Demand::total() const {
  double sum = 0;
  for (std::size_t locality = 0; locality < admitted_rates_.size(); ++locality)
    sum += locality_rate(locality);
  return sum;
}

}  // namespace beamshunt
