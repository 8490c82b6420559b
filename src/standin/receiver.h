// A stand-in remote write receiver: takes what the specification says a sender must send, refuses the rest,
// holds the series, evaluates alert rules on them, and can fail in every way that a real one does.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "alerts/rules.h"
#include "base/clock_step_detector.h"
#include "http/server.h"
#include "standin/world.h"

namespace beamshunt::standin {

enum class ReceiverFault { none, away, hangs, status, cut };

class Receiver {
 public:
  Receiver(World& world, net::Address at);
  // `status`: answered to every request, with Retry-After if above 0.
  void fault(ReceiverFault fault, int status = 500, int retry_after_s = 0);
  // Refuses (400) every request that has a series of this metric.
  void refuse_metric(std::string metric) { refused_metric_ = std::move(metric); }
  void watch(std::vector<alerts::Rule> rules, Ms every, std::function<void(const alerts::Alert&)> fired);

  const alerts::Store& store() const { return store_; }
  const std::vector<std::string>& faults_of_sender() const { return sender_faults_; }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t samples() const { return samples_; }
  std::uint64_t repeated() const { return repeated_; }  // same time and value again: allowed, and counted
  net::Address address() const { return at_; }

 private:
  void open();
  void handle(http::Message&& message, http::Responder responder);
  std::string take(const http::Message& message);  // what is wrong with it; empty: taken
  void look();

  World& world_;
  net::Address at_;
  std::unique_ptr<http::Server> http_;
  ReceiverFault fault_ = ReceiverFault::none;
  int status_ = 500, retry_after_s_ = 0;
  std::string refused_metric_;
  alerts::Store store_;
  std::unique_ptr<alerts::Evaluator> evaluator_;
  Ms every_ = 0;
  std::function<void(const alerts::Alert&)> fired_;
  std::vector<http::Responder> buried_;
  std::vector<std::string> sender_faults_;
  std::uint64_t requests_ = 0, samples_ = 0, repeated_ = 0;
};

// Whether every series has a sample at every instant at which its assigner looked, and no two looks lie
// further apart than `most_ms`, but for the times in `excused`; what the wall clock, which stamps them,
// stepped forward meanwhile is no time. One line for each gap.
std::vector<std::string> find_gaps(const alerts::Store& store, std::int64_t most_ms,
                                   const std::vector<std::pair<std::int64_t, std::int64_t>>& excused,
                                   const base::ClockStepDetector& clock);

}  // namespace beamshunt::standin
