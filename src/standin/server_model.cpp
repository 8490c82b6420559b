#include "standin/server_model.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace beamshunt::standin {
namespace {

constexpr Ms kBusySmoothing = 400;  // time in which the load report follows the cores

}  // namespace

bool Pod::takes_effect(const std::string& key, Ms now, Ms window) {
  for (; !in_order_.empty() && now - in_order_.front().first > window; in_order_.pop_front())
    done_.erase(in_order_.front().second);
  if (!done_.emplace(key, now).second) return false;
  in_order_.emplace_back(now, key);
  return true;
}

void ServerModel::start(Ms now, bool cold) {
  stop();
  up_ = true, cold_ = cold, started_ = now;
  busy_ = 0, busy_at_ = now;
}

void ServerModel::stop() {
  up_ = draining_ = false;
  working_.clear(), queued_.clear(), offered_.clear(), finished_.clear();
  offered_sum_ = 0;
}

double ServerModel::ramp(Ms now) const {
  if (!cold_) return 1;
  return std::clamp(spec_.start_capacity + (1 - spec_.start_capacity) * (now - started_) / spec_.warm_up, 0.0,
                    1.0);
}

ServerModel::Taken ServerModel::arrive(Ms now, Job job) {
  finish_jobs(now);
  if (cold_ && ramp(now) < 1) {  // pushed over by what is sent, refused or not
    offered_.emplace_back(now, job.work_ms);
    offered_sum_ += job.work_ms;
    for (; now - offered_.front().first > spec_.fall; offered_.pop_front())
      offered_sum_ -= offered_.front().second;
    if (offered_sum_ > spec_.tip_multiple * spec_.cores * spec_.speed * ramp(now) * spec_.fall) {
      stop();
      fell_over_ = true;
      return Taken::silent;
    }
  }
  if (draining_) return Taken::draining;
  if (faults.hung) return Taken::silent;
  bool struck = faults.failing_class < 0 || faults.failing_class == job.request_class;
  if (struck && faults.error_share > 0 &&
      std::uniform_real_distribution<double>()(random_) < faults.error_share)
    return faults.failing_silently ? Taken::silent : Taken::error;
  if (queued_.size() >= spec_.most_queued) return Taken::full;
  queued_.push_back(std::move(job));
  begin_jobs(now);
  return queued_.empty() ? Taken::working : Taken::queued;
}

void ServerModel::begin_jobs(Ms now) {
  note_busy(now);
  while (!queued_.empty() && working_.size() < static_cast<std::size_t>(spec_.cores)) {
    Job job = std::move(queued_.front());
    queued_.pop_front();
    Ms done = now + job.work_ms * faults.slow / (spec_.speed * std::max(ramp(now), 0.01));
    working_.emplace(done, std::move(job));
  }
}

std::vector<ServerModel::Finished> ServerModel::advance(Ms now) {
  finish_jobs(now);
  return std::exchange(finished_, {});
}

void ServerModel::finish_jobs(Ms now) {
  while (!working_.empty() && working_.begin()->first <= now) {
    Ms at = working_.begin()->first;
    note_busy(at);
    Job job = std::move(working_.extract(working_.begin()).mapped());
    bool effect = true;
    if (!job.key.empty()) effect = pod_->takes_effect(job.key, at, window_);
    finished_.push_back({job.token, job.request, job.request_class, effect});
    begin_jobs(at);
  }
}

Ms ServerModel::next_due() const {
  if (!finished_.empty()) return 0;
  return working_.empty() ? base::kNever : working_.begin()->first;
}

void ServerModel::note_busy(Ms now) {
  double part = static_cast<double>(working_.size()) / spec_.cores;
  double keep = std::exp(-std::max(0.0, now - busy_at_) / kBusySmoothing);
  busy_ = busy_ * keep + part * (1 - keep);
  busy_at_ = std::max(busy_at_, now);
}

std::map<std::string, double> ServerModel::load(Ms now) {
  note_busy(now);
  std::map<std::string, double> true_load{{"utilization", busy_},
                                          {"backlog", static_cast<double>(queued_.size())}};
  switch (faults.lie) {
    case LoadLie::none:
      stuck_.reset();
      return true_load;
    case LoadLie::scaled:
      for (auto& [name, value] : true_load) value *= faults.lie_factor;
      return true_load;
    case LoadLie::stuck:
      if (!stuck_) stuck_ = true_load;
      return *stuck_;
    case LoadLie::full:
      return {{"utilization", 1.0}, {"backlog", static_cast<double>(spec_.most_queued)}};
  }
  return true_load;
}

}  // namespace beamshunt::standin
