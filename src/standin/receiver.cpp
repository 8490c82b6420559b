#include "standin/receiver.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "telemetry/exporter.h"
#include "telemetry/remote_write.h"

namespace beamshunt::standin {
namespace {

using telemetry::kName;
using telemetry::label_of;

constexpr std::size_t kMostUnpacked = std::size_t{32} * 1048576;
constexpr std::size_t kMostFaults = 20;

}  // namespace

Receiver::Receiver(World& world, net::Address at) : world_(world), at_(at) { open(); }

void Receiver::open() {
  http_ = std::make_unique<http::Server>(
      world_.reactor, at_,
      [this](http::Message&& m, http::Responder r) { handle(std::move(m), std::move(r)); },
      http::Server::Options{});
  at_ = http_->address();
}

void Receiver::fault(ReceiverFault fault, int status, int retry_after_s) {
  fault_ = fault, status_ = status, retry_after_s_ = retry_after_s;
  buried_.clear();
  if (fault == ReceiverFault::away && http_) http_->reset_connections(), http_.reset();
  if (fault != ReceiverFault::away && !http_) open();
}

void Receiver::handle(http::Message&& message, http::Responder responder) {
  ++requests_;
  if (fault_ == ReceiverFault::hangs) return buried_.push_back(std::move(responder));
  if (fault_ == ReceiverFault::cut) return responder.reset();
  if (fault_ == ReceiverFault::status) {
    http::Message no = http::make_response(status_, "not now\n", "text/plain");
    if (retry_after_s_ > 0) no.headers.emplace_back("retry-after", std::to_string(retry_after_s_));
    return responder.send(no);
  }
  std::string wrong = take(message);
  if (!wrong.empty() && wrong != refused_metric_ && sender_faults_.size() < kMostFaults)
    sender_faults_.push_back(wrong);
  if (!wrong.empty()) return responder.send(http::make_response(400, wrong + "\n", "text/plain"));
  responder.send(http::make_response(204, {}));
}

std::string Receiver::take(const http::Message& m) {
  if (m.method != "POST") return "the method is " + m.method;
  if (m.header("content-encoding") != "snappy") return "no content-encoding: snappy";
  if (m.header("content-type") != "application/x-protobuf") return "no content-type: application/x-protobuf";
  if (m.header("x-prometheus-remote-write-version") != "0.1.0") return "no remote write version";
  if (m.header("user-agent").empty()) return "no user-agent";
  auto series = telemetry::decode_request(m.body, kMostUnpacked);
  if (!series) return "the body does not decode";
  for (const telemetry::SeriesRun& run : *series) {
    if (label_of(run.labels, kName).empty()) return "a series without a name";
    if (!refused_metric_.empty() && label_of(run.labels, kName) == refused_metric_) return refused_metric_;
    for (std::size_t k = 0; k < run.labels.size(); ++k) {
      if (run.labels[k].second.empty()) return "an empty label value";
      if (k > 0 && run.labels[k - 1].first >= run.labels[k].first) return "labels not sorted, or given twice";
    }
    for (std::size_t k = 1; k < run.samples.size(); ++k)
      if (run.samples[k].at_ms <= run.samples[k - 1].at_ms) return "samples out of order within a request";
  }
  for (const telemetry::SeriesRun& run : *series)
    for (auto& [at, value] : run.samples) {
      auto held = store_.series().find(run.labels);
      bool again = false;
      if (held != store_.series().end()) {
        auto found = std::lower_bound(held->second.begin(), held->second.end(), at,
                                      [](auto& sample, std::int64_t t) { return sample.first < t; });
        again = found != held->second.end() && found->first == at &&
                (found->second == value || (std::isnan(found->second) && std::isnan(value)));
      }
      if (again) ++repeated_;
      else if (!store_.add(run.labels, at, value)) return "out of order: " + telemetry::to_string(run.labels);
      else ++samples_;
    }
  return {};
}

void Receiver::watch(std::vector<alerts::Rule> rules, Ms every,
                     std::function<void(const alerts::Alert&)> fired) {
  evaluator_ = std::make_unique<alerts::Evaluator>(std::move(rules));
  every_ = every, fired_ = std::move(fired);
  look();
}

void Receiver::look() {
  for (const alerts::Alert& a : evaluator_->look(store_, std::llround(base::wall_ms()))) fired_(a);
  world_.reactor.call_at(world_.now() + every_, [this] { look(); });
}

std::vector<std::string> find_gaps(const alerts::Store& store, std::int64_t most_ms,
                                   const std::vector<std::pair<std::int64_t, std::int64_t>>& excused,
                                   const base::ClockStepDetector& clock) {
  std::vector<std::string> out;
  // An assigner's looks are those of its `up`: every other series of it must have each of them.
  std::map<std::string, std::vector<std::int64_t>> looks;
  for (auto& [labels, samples] : store.series()) {
    if (label_of(labels, kName) != "beamshunt_up") continue;
    auto& times = looks[label_of(labels, "instance")];
    for (auto& [at, value] : samples) times.push_back(at);
    for (std::size_t k = 1; k < times.size(); ++k) {
      std::int64_t from = times[k - 1], to = times[k];
      bool named = std::any_of(excused.begin(), excused.end(),
                               [&](auto& e) { return from <= e.second && to >= e.first; });
      double apart = static_cast<double>(to - from) -
                     clock.forward_offset(static_cast<double>(from), static_cast<double>(to));
      if (apart > static_cast<double>(most_ms) && !named)
        out.push_back(fmt::format("assigner {}: nothing for {:.0f} ms", label_of(labels, "instance"), apart));
    }
  }
  if (looks.empty()) out.emplace_back("no series at all");
  for (auto& [labels, samples] : store.series()) {
    const auto& times = looks[label_of(labels, "instance")];
    std::set<std::int64_t> had;
    for (auto& [at, value] : samples) had.insert(at);
    std::size_t missing = 0;
    for (std::int64_t at : times) missing += at >= samples.front().first && !had.contains(at);
    if (missing > 0)
      out.push_back(
          fmt::format("{}: {} of {} samples missing", telemetry::to_string(labels), missing, times.size()));
  }
  return out;
}

}  // namespace beamshunt::standin
