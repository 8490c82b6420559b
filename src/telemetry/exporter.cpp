#include "telemetry/exporter.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace beamshunt::telemetry {
namespace {

constexpr std::size_t kRankedProxies =
    5;  // those that were sent the most, by rank: enough to see one that stands out
const char* const kRules[] = {"empty", "twice", "drain", "cold", "queue"};  // label values of the five rules

std::string label_text(double value) {
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  return fmt::format("{}", value);
}

// Requests by their priority weight, rounded to whole units as counters are.
std::uint64_t weighted(double priority_weight, std::uint64_t requests) {
  return static_cast<std::uint64_t>(std::llround(priority_weight * static_cast<double>(requests)));
}

}  // namespace

// The registry, and where each metric's name stands.
class Exporter::Series {
 public:
  explicit Series(Labels external_labels) : external_labels_(std::move(external_labels)) {}

  void update(const AssignerMetrics& metrics) {
    update_channel(metrics);
    update_messages(metrics);
    update_service(metrics);
    update_admission(metrics);
    update_decisions(metrics);
    update_streams(metrics);
    update_rules(metrics);
    update_config(metrics);
    update_remote_write(metrics);
    gauge("up", "1 while the assigner runs").Set(1);
  }

  std::vector<Point> collect() const {
    std::vector<Point> out;
    for (const prometheus::MetricFamily& family : registry_.Collect()) {
      bool is_counter = family.type == prometheus::MetricType::Counter;
      for (const prometheus::ClientMetric& metric : family.metric)
        out.push_back(point(family.name, metric, is_counter ? metric.counter.value : metric.gauge.value));
    }
    std::sort(out.begin(), out.end(), [](const Point& a, const Point& b) { return a.labels < b.labels; });
    return out;
  }

 private:
  prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                           const prometheus::Labels& labels = {}) {
    return prometheus::BuildGauge().Name("beamshunt_" + name).Help(help).Register(registry_).Add(labels);
  }
  // Counts are kept where they are counted; a counter only follows, and never falls.
  void count(const std::string& name, const std::string& help, std::uint64_t value,
             const prometheus::Labels& labels = {}) {
    auto& counter =
        prometheus::BuildCounter().Name("beamshunt_" + name).Help(help).Register(registry_).Add(labels);
    counter.Increment(std::max(0.0, static_cast<double>(value) - counter.Value()));
  }

  void update_channel(const AssignerMetrics& metrics) {
    gauge("channel_backlog_lines", "Lines decided and not yet confirmed").Set(metrics.queued_lines);
    gauge("channel_backlog_limit_lines", "Lines that may wait").Set(metrics.max_queued_lines);
    gauge("channel_backlog_age_seconds", "Age of the oldest message not yet confirmed")
        .Set(metrics.oldest_unacknowledged_s);
  }

  void update_messages(const AssignerMetrics& metrics) {
    std::vector<double> sorted = metrics.messages_in_window;
    std::sort(sorted.rbegin(), sorted.rend());
    for (std::size_t rank = 0; rank < kRankedProxies; ++rank)
      gauge("proxy_messages", "Messages within the span to the proxies that were sent the most, by rank",
            {{"rank", std::to_string(rank + 1)}})
          .Set(rank < sorted.size() ? sorted[rank] : 0);
    gauge("proxy_messages_limit", "Messages that may go to one proxy within the span; 0: no limit")
        .Set(metrics.max_messages_per_window);
    // How many proxies are at or under each share of the limit, as of now: a histogram of a state.
    for (double share : {0.25, 0.5, 0.75, 1.0}) {
      double limit = share * std::max(1.0, metrics.max_messages_per_window);
      auto under =
          std::count_if(sorted.begin(), sorted.end(), [&](double messages) { return messages <= limit; });
      gauge("proxies_by_messages", "Joined proxies at or under a share of the messages allowed",
            {{"share", label_text(share)}})
          .Set(static_cast<double>(under));
    }
  }

  void update_service(const AssignerMetrics& metrics) {
    for (const AssignerMetrics::ServiceCounts& counts : metrics.service) {
      prometheus::Labels labels{{"locality", counts.locality}, {"class", counts.request_class}};
      count("requests_total", "Requests that came to proxies, repeated and refused ones included",
            counts.arrivals, labels);
      count("requests_unanswered_total", "Requests let in that got no good answer", counts.failed, labels);
      count("requests_in_time_total", "Requests answered within their SLO", counts.in_time, labels);
      count("worth_asked_total", "Worth of the requests that came",
            weighted(counts.priority_weight, counts.arrivals), labels);
      count("worth_served_total", "Worth of the requests answered within their SLO",
            weighted(counts.priority_weight, counts.in_time), labels);
    }
  }

  void update_admission(const AssignerMetrics& metrics) {
    for (const AssignerMetrics::AdmissionLimits& limits : metrics.admission_limits) {
      prometheus::Labels labels{{"class", limits.request_class}};
      gauge("admission_level_lowest", "Lowest level in force: requests/s at a proxy, or a share", labels)
          .Set(limits.lowest);
      count("admission_cuts_total", "Orders that lowered a level", limits.reductions, labels);
    }
  }

  void update_decisions(const AssignerMetrics& metrics) {
    count("ejections_total", "Endpoints taken out for their health", metrics.ejections);
    gauge("list_age_seconds", "Time since the discovery service was last heard")
        .Set(metrics.endpoint_list_age_s);
    gauge("list_entries", "Endpoints on the list").Set(metrics.listed_endpoints);
    gauge("report_wait_seconds", "Longest time that a report line waits for its turn")
        .Set(metrics.longest_report_wait_s);
    count("reports_total", "Reports taken", metrics.reports);
    count("module_events_total", "Events given to the module", metrics.events);
    count("module_actions_total", "Actions taken by the module", metrics.actions);
  }

  void update_streams(const AssignerMetrics& metrics) {
    count("orders_total", "Messages sent to proxies", metrics.updates);
    count("streams_refused_total", "Streams that were turned away", metrics.rejected_streams);
    count("streams_broken_total", "Streams that broke", metrics.broken_streams);
    count("orders_dropped_total", "Messages that lost their stream", metrics.dropped_updates);
    gauge("streams", "Open streams").Set(metrics.streams);
    gauge("proxies", "Joined proxies").Set(metrics.proxies);
  }

  void update_rules(const AssignerMetrics& metrics) {
    for (std::size_t rule = 0; rule < metrics.rule_usage.size(); ++rule)
      gauge("rule_used_ratio", "How near a rule is to its limit; 1 is the limit", {{"rule", kRules[rule]}})
          .Set(metrics.rule_usage[rule]);
    gauge("loop_lag_seconds", "Longest turn of the loop since the last scrape").Set(metrics.longest_turn_s);
  }

  void update_config(const AssignerMetrics& metrics) {
    gauge("config_version", "Streamed version of the settings in force; 0: the files alone")
        .Set(metrics.config_version);
    gauge("config_streaming", "1 while a control service is connected").Set(metrics.config_streaming);
    auto count_answers = [&](const char* verdict, std::uint64_t answers) {
      count("config_answers_total", "Streamed versions by what they were answered", answers,
            {{"verdict", verdict}});
    };
    count_answers("acked", metrics.config_acked);
    count_answers("nacked", metrics.config_nacked);
    count_answers("superseded", metrics.config_superseded);
    count_answers("reverted", metrics.config_reverted);
  }

  void update_remote_write(const AssignerMetrics& metrics) {
    gauge("remote_write_buffer_bytes", "Bytes in the durable buffer").Set(metrics.buffer_bytes);
    gauge("remote_write_lag_seconds", "Age of the oldest scrape not yet taken by the receiver")
        .Set(metrics.send_lag_s);
    count("remote_write_samples_sent_total", "Samples that the receiver took", metrics.samples_sent);
    auto count_dropped = [&](const char* cause, std::uint64_t samples) {
      count("remote_write_samples_dropped_total", "Samples given up", samples, {{"cause", cause}});
    };
    count_dropped("buffer_full", metrics.samples_dropped);
    count_dropped("refused", metrics.samples_rejected);
    count_dropped("disk", metrics.samples_lost);
    count("remote_write_failures_total", "Requests that the receiver did not take", metrics.send_failures);
  }

  [[nodiscard]] Point point(const std::string& name, const prometheus::ClientMetric& metric,
                            double value) const {
    Labels labels = external_labels_;
    labels.emplace_back(kName, name);
    for (const auto& label : metric.label) labels.emplace_back(label.name, label.value);
    std::sort(labels.begin(), labels.end());
    return {std::move(labels), value};
  }

  Labels external_labels_;
  prometheus::Registry registry_;
};

Exporter::Exporter(Labels external_labels) : series_(std::make_unique<Series>(std::move(external_labels))) {}
Exporter::~Exporter() = default;

Scrape Exporter::scrape(const AssignerMetrics& metrics, std::int64_t at_ms) {
  series_->update(metrics);
  last_ = {at_ms, series_->collect()};
  return last_;
}

Scrape Exporter::stale(std::int64_t at_ms) const {
  Scrape out = last_;
  out.at_ms = at_ms;
  for (Point& point : out.points) point.value = stale_marker();
  return out;
}

}  // namespace beamshunt::telemetry
