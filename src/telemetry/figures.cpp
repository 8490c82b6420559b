#include "telemetry/figures.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace beamshunt::telemetry {
namespace {

constexpr std::size_t kTop = 5;  // proxies that were sent the most, by rank and without their names
constexpr std::uint64_t kStaleBits = 0x7ff0000000000002;
const char* const kRules[] = {"empty", "twice", "drain", "cold", "queue"};

std::string number(double x) { return std::isinf(x) ? (x > 0 ? "+Inf" : "-Inf") : fmt::format("{}", x); }

}  // namespace

double stale_marker() { return std::bit_cast<double>(kStaleBits); }
bool is_stale_marker(double value) { return std::bit_cast<std::uint64_t>(value) == kStaleBits; }

std::int64_t next_stamp(std::int64_t last, double wall) {
  return std::max(last + 1, static_cast<std::int64_t>(wall));
}

const std::string& label_of(const Labels& labels, const std::string& name) {
  static const std::string kNone;
  for (auto& [key, value] : labels)
    if (key == name) return value;
  return kNone;
}

std::string to_string(const Labels& labels) {
  std::string name = label_of(labels, kName), rest;
  for (auto& [key, value] : labels)
    if (key != kName) rest += (rest.empty() ? "" : ",") + key + "=\"" + value + "\"";
  return rest.empty() ? name : name + "{" + rest + "}";
}

struct Exporter::State {
  Labels external;
  prometheus::Registry registry;
  Scrape last;

  prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                           const prometheus::Labels& labels = {}) {
    return prometheus::BuildGauge().Name("beamshunt_" + name).Help(help).Register(registry).Add(labels);
  }
  // Counts are kept where they are counted; a counter only follows.
  void count(const std::string& name, const std::string& help, std::uint64_t value,
             const prometheus::Labels& labels = {}) {
    auto& counter =
        prometheus::BuildCounter().Name("beamshunt_" + name).Help(help).Register(registry).Add(labels);
    counter.Increment(std::max(0.0, static_cast<double>(value) - counter.Value()));
  }

  void update(const Figures& f) {
    gauge("channel_backlog_lines", "Lines decided and not yet confirmed").Set(f.backlog_lines);
    gauge("channel_backlog_limit_lines", "Lines that may wait").Set(f.backlog_most);
    gauge("channel_backlog_age_seconds", "Age of the oldest message not yet confirmed").Set(f.backlog_age_s);
    update_messages(f);
    for (const Figures::Service& s : f.service) {
      prometheus::Labels labels{{"locality", s.locality}, {"class", s.request_class}};
      count("requests_total", "Requests that came to proxies, repeated and refused ones included", s.came,
            labels);
      count("requests_unanswered_total", "Requests let in that got no good answer", s.unanswered, labels);
      count("requests_in_time_total", "Requests answered within their SLO", s.in_time, labels);
      count("worth_asked_total", "Worth of the requests that came",
            static_cast<std::uint64_t>(std::llround(s.worth * static_cast<double>(s.came))), labels);
      count("worth_served_total", "Worth of the requests answered within their SLO",
            static_cast<std::uint64_t>(std::llround(s.worth * static_cast<double>(s.in_time))), labels);
    }
    for (const Figures::Level& l : f.levels) {
      gauge("admission_level_lowest", "Lowest level in force: requests/s at a proxy, or a share",
            {{"class", l.request_class}})
          .Set(l.lowest);
      count("admission_cuts_total", "Orders that lowered a level", l.cuts, {{"class", l.request_class}});
    }
    count("ejections_total", "Endpoints taken out for their health", f.ejections);
    gauge("list_age_seconds", "Time since the discovery service was last heard").Set(f.list_age_s);
    gauge("list_entries", "Endpoints on the list").Set(f.list_entries);
    gauge("report_wait_seconds", "Longest time that a report line waits for its turn").Set(f.report_wait_s);
    count("reports_total", "Reports taken", f.reports);
    count("module_events_total", "Events given to the module", f.events);
    count("module_actions_total", "Actions taken by the module", f.actions);
    count("orders_total", "Messages sent to proxies", f.orders);
    count("streams_refused_total", "Streams that were turned away", f.refused_streams);
    count("streams_broken_total", "Streams that broke", f.broken_streams);
    count("orders_dropped_total", "Messages that lost their stream", f.dropped_messages);
    gauge("streams", "Open streams").Set(f.streams);
    gauge("proxies", "Joined proxies").Set(f.proxies);
    for (std::size_t k = 0; k < f.rules.size(); ++k)
      gauge("rule_used_ratio", "How near a rule is to its limit; 1 is the limit", {{"rule", kRules[k]}})
          .Set(f.rules[k]);
    gauge("loop_lag_seconds", "Longest turn of the loop since the last scrape").Set(f.loop_lag_s);
    gauge("config_version", "Streamed version of the settings in force; 0: the files alone")
        .Set(f.config_version);
    gauge("config_streaming", "1 while a control service is connected").Set(f.config_streaming);
    for (auto& [verdict, answers] : {std::pair{"acked", f.config_acked},
                                     {"nacked", f.config_nacked},
                                     {"superseded", f.config_superseded},
                                     {"reverted", f.config_reverted}})
      count("config_answers_total", "Streamed versions by what they were answered", answers,
            {{"verdict", verdict}});
    gauge("remote_write_buffer_bytes", "Bytes in the durable buffer").Set(f.wal_bytes);
    gauge("remote_write_lag_seconds", "Age of the oldest scrape not yet taken by the receiver")
        .Set(f.wal_lag_s);
    count("remote_write_samples_sent_total", "Samples that the receiver took", f.samples_sent);
    count("remote_write_samples_dropped_total", "Samples given up", f.samples_dropped_old,
          {{"cause", "buffer_full"}});
    count("remote_write_samples_dropped_total", "Samples given up", f.samples_refused,
          {{"cause", "refused"}});
    count("remote_write_samples_dropped_total", "Samples given up", f.samples_lost, {{"cause", "disk"}});
    count("remote_write_failures_total", "Requests that the receiver did not take", f.send_failures);
    gauge("up", "1 while the assigner runs").Set(1);
  }

  void update_messages(const Figures& f) {
    auto& family = prometheus::BuildGauge()
                       .Name("beamshunt_proxy_messages")
                       .Help("Messages within the span to the proxies that were sent the most, by rank")
                       .Register(registry);
    std::vector<double> sorted = f.messages;
    std::sort(sorted.rbegin(), sorted.rend());
    for (std::size_t rank = 0; rank < kTop; ++rank)
      family.Add({{"rank", std::to_string(rank + 1)}}).Set(rank < sorted.size() ? sorted[rank] : 0);
    gauge("proxy_messages_limit", "Messages that may go to one proxy within the span; 0: no limit")
        .Set(f.messages_allowed);
    // How many proxies are at or under each share of the limit, as of now: a histogram of a state.
    for (double share : {0.25, 0.5, 0.75, 1.0}) {
      double limit = share * std::max(1.0, f.messages_allowed);
      auto under = std::count_if(sorted.begin(), sorted.end(), [&](double m) { return m <= limit; });
      gauge("proxies_by_messages", "Joined proxies at or under a share of the messages allowed",
            {{"share", number(share)}})
          .Set(static_cast<double>(under));
    }
  }

  void add(Scrape& out, const std::string& name, const prometheus::ClientMetric& metric, double value) const {
    Point p;
    p.value = value;
    p.labels = external;
    p.labels.emplace_back(kName, name);
    for (auto& label : metric.label) p.labels.emplace_back(label.name, label.value);
    std::sort(p.labels.begin(), p.labels.end());
    out.points.push_back(std::move(p));
  }
};

Exporter::Exporter(Labels external) : state_(std::make_unique<State>()) {
  state_->external = std::move(external);
}
Exporter::~Exporter() = default;

Scrape Exporter::scrape(const Figures& figures, std::int64_t at_ms) {
  state_->update(figures);
  Scrape out{at_ms, {}};
  for (const prometheus::MetricFamily& family : state_->registry.Collect())
    for (const prometheus::ClientMetric& metric : family.metric)
      state_->add(out, family.name, metric,
                  family.type == prometheus::MetricType::Counter ? metric.counter.value : metric.gauge.value);
  std::sort(out.points.begin(), out.points.end(), [](auto& a, auto& b) { return a.labels < b.labels; });
  state_->last = out;
  return out;
}

Scrape Exporter::stale(std::int64_t at_ms) const {
  Scrape out = state_->last;
  out.at_ms = at_ms;
  for (Point& p : out.points) p.value = stale_marker();
  return out;
}

}  // namespace beamshunt::telemetry
