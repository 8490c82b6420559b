#include "policy/demand.h"

#include <numeric>

namespace beamshunt {

Demand::Demand(const Settings& settings)
    : admitted_(settings.localities.size(), std::vector<double>(settings.classes.size(), 0)) {
  for (const RequestClass& request_class : settings.classes) local_only_.push_back(request_class.local_only);
}

void Demand::add(Locality locality, std::size_t request_class, double rate) {
  admitted_[index_of(locality)][request_class] += rate;
}

double Demand::at(Locality locality, std::size_t request_class) const {
  return admitted_[index_of(locality)][request_class];
}

double Demand::of_class(std::size_t request_class) const {
  double sum = 0;
  for (const auto& by_class : admitted_) sum += by_class[request_class];
  return sum;
}

double Demand::of_locality(std::size_t locality) const {
  return std::accumulate(admitted_[locality].begin(), admitted_[locality].end(), 0.0);
}

double Demand::that_may_leave(std::size_t locality) const {
  double sum = 0;
  for (std::size_t c = 0; c < local_only_.size(); ++c) sum += local_only_[c] ? 0 : admitted_[locality][c];
  return sum;
}

double Demand::total() const {
  double sum = 0;
  for (std::size_t locality = 0; locality < admitted_.size(); ++locality) sum += of_locality(locality);
  return sum;
}

}  // namespace beamshunt
