#include "assigner/watch.h"

#include <fmt/format.h>

namespace beamshunt::assigner {
namespace {

constexpr std::size_t kMostLooks = 240;
constexpr int kLooksInARow = 2;  // one look may fall on a hiccup

}  // namespace

void ServedPart::note(const telemetry::AssignerMetrics& figures) {
  Sum sum;
  for (const auto& s : figures.service) {
    // What was answered too late or not at all is told as it ends: a request counts when it comes.
    sum.requests += static_cast<double>(s.arrivals);
    sum.worth += s.priority_weight * static_cast<double>(s.arrivals);
    sum.served += s.priority_weight * static_cast<double>(s.in_time);
  }
  sums_.push_back(sum);
  if (sums_.size() > kMostLooks) sums_.pop_front();
}

const ServedPart::Sum* ServedPart::begin() const {
  for (auto s = sums_.rbegin(); s != sums_.rend(); ++s)
    if (sums_.back().requests - s->requests >= least_) return &*s;
  return nullptr;
}

std::optional<double> ServedPart::value() const {
  const Sum* from = begin();
  if (!from || sums_.back().worth <= from->worth) return std::nullopt;
  return (sums_.back().served - from->served) / (sums_.back().worth - from->worth);
}

double ServedPart::requests() const {
  const Sum* from = begin();
  return from ? sums_.back().requests - from->requests : 0;
}

Watch::State Watch::look(const telemetry::AssignerMetrics& figures, Ms now) {
  served_.note(figures);
  auto service = served_.value();
  low_ = before_ && service && *service < *before_ - limits_.service_drop ? low_ + 1 : 0;
  if (low_ >= kLooksInARow)
    evidence_.push_back(
        {"watch", "",
         fmt::format("the part served in time fell from {:.3f} to {:.3f} over {:.0f} requests", *before_,
                     *service, served_.requests()),
         ""});
  for (std::size_t k = 0; k < figures.rule_usage.size(); ++k) {
    over_[k] = figures.rule_usage[k] >= 1 && margins_[k] < 1 ? over_[k] + 1 : 0;
    if (over_[k] >= kLooksInARow)
      evidence_.push_back(
          {fmt::format("rule {}", k + 1), "",
           fmt::format("came to {:.2f} of its limit, from {:.2f}", figures.rule_usage[k], margins_[k]), ""});
  }
  if (!evidence_.empty()) return State::broken;
  return now - begun_ >= limits_.time ? State::passed : State::watching;
}

}  // namespace beamshunt::assigner
