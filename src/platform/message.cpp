#include "platform/message.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "base/json.h"
#include "base/parse.h"
#include "policy/report_validation.h"

namespace beamshunt::platform {
namespace {

using base::json_excerpt;
using nlohmann::json;

// Upper bounds of values in a report. A larger value is an error of the sender and would outweigh all other
// reports together.
constexpr Ms kMaxDuration = 600000;  // ms covered by a report or taken by an attempt; far above any deadline
constexpr double kMaxLoadMetric = 1e9;  // any metric of a load report; above any value in the units in use
constexpr std::size_t kMaxStringBytes = 256;       // bytes of a name; bounds logged and returned text
constexpr std::size_t kMaxIdleBufferBytes = 4096;  // buffer capacity of an idle reader; one per connection

[[noreturn]] void fail_message(const std::string& reason, ProtocolError::Detail detail) {
  throw ProtocolError(ProtocolError::Scope::message, reason, std::move(detail));
}
[[noreturn]] void fail_connection(const std::string& reason, std::string expected) {
  throw ProtocolError(ProtocolError::Scope::connection, reason, {.expected = std::move(expected)});
}
// Throws ProtocolError with the reason "field <name> <problem>", which may be sent to the peer.
[[noreturn]] void fail_field(const std::string& name, const std::string& problem, std::string value,
                             std::string expected) {
  fail_message("field " + name + " " + problem, {name, std::move(value), std::move(expected)});
}

// Gives typed access to the fields of a message. The getters throw ProtocolError of scope `message` if the
// field is missing or invalid.
class MessageFields {
 public:
  explicit MessageFields(const json& object) : object_(object) {}

  [[nodiscard]] const json& at(const char* name) const {
    auto found = object_.find(name);
    if (found == object_.end()) fail_field(name, "is missing", "", "the field");
    return *found;
  }
  [[nodiscard]] bool has(const char* name) const { return object_.contains(name); }

  [[nodiscard]] std::string string(const char* name) const {
    const json& value = at(name);
    if (!value.is_string()) fail_field(name, "is no text", json_excerpt(value), "a string");
    auto text = value.get<std::string>();
    if (text.empty() || text.size() > kMaxStringBytes)
      fail_field(name, "is empty or too long", json_excerpt(value),
                 "1 to " + std::to_string(kMaxStringBytes) + " bytes");
    return text;
  }

  [[nodiscard]] double number(const char* name, double max, double min = 0) const {
    const json& value = at(name);
    if (!value.is_number()) fail_field(name, "is no number", json_excerpt(value), "a number");
    auto number = value.get<double>();
    if (!std::isfinite(number) || number < min || number > max)
      fail_field(name, "is out of range: " + value.dump(), json_excerpt(value),
                 (min > 0 ? json(min).dump() : "0") + " to " + json(max).dump());
    return number;
  }

  [[nodiscard]] double integer(const char* name, double max) const {
    double value = number(name, max);
    if (value != std::floor(value))
      fail_field(name, "is no whole number", json_excerpt(at(name)), "an integer");
    return value;
  }

  [[nodiscard]] bool boolean(const char* name) const {
    const json& value = at(name);
    if (!value.is_boolean())
      fail_field(name, "is neither true nor false", json_excerpt(value), "true or false");
    return value.get<bool>();
  }

  // Returns the time covered by a report, in ms. Rates are divided by it.
  [[nodiscard]] Ms interval() const { return number("interval", kMaxDuration, kMinReportInterval.count()); }

  // Returns the mean latency of the successful attempts, in ms; 0 if there is none.
  [[nodiscard]] Ms mean_latency() const {
    return at("rtt") == 0 ? 0 : number("rtt", kMaxDuration, kMinReportedLatency.count());
  }

  [[nodiscard]] Locality locality(const settings::Names& names) const {
    std::string name = string("locality");
    try {
      return settings::find_locality(names, name);
    } catch (const settings::InputError& error) {
      fail_message(error.what(), {"locality", name, "a locality of the settings"});
    }
  }

  [[nodiscard]] ClassId request_class(const settings::Names& names) const {
    std::string name = string("route");
    try {
      return settings::find_request_class(names, name);
    } catch (const settings::InputError& error) {
      fail_message(error.what(), {"route", name, "a class of the settings"});
    }
  }

  [[nodiscard]] ProxyId proxy(int proxy_count) const { return ProxyId(integer("node", proxy_count - 1)); }

 private:
  const json& object_;
};

struct LoadMetricName {
  std::string_view wire;
  std::string_view controller;
};
// Endpoints may use either name: the settings use the controller's names, the protocol's documentation uses
// the shorter ones.
constexpr std::array<LoadMetricName, 6> kLoadMetricNames = {{
    {"util", "utilization"},
    {"queue", "backlog"},
    {"inflight", "outstanding"},
    {"latency_ms", "recent_ms"},
    {"qps", "throughput"},
    {"eps", "errors_per_s"},
}};

// Ignores metrics that the controller does not know.
void set_load_metric(LoadReport& load, std::string_view name, double value) {
  auto found = std::find_if(kLoadMetricNames.begin(), kLoadMetricNames.end(), [&](const auto& known) {
    return known.wire == name || known.controller == name;
  });
  if (found != kLoadMetricNames.end()) load[std::string(found->controller)] = value;
}

bool is_valid_load_metric(double value) {
  return std::isfinite(value) && value >= 0 && value <= kMaxLoadMetric;
}

LoadReport parse_load_metrics(const json& metrics) {
  if (!metrics.is_object()) fail_field("metrics", "is no object", json_excerpt(metrics), "an object");
  LoadReport load;
  for (const auto& [name, value] : metrics.items()) {
    if (!value.is_number() || !is_valid_load_metric(value.get<double>()))
      fail_field("metrics." + name.substr(0, kMaxStringBytes), "is unusable", json_excerpt(value),
                 "0 to " + json(kMaxLoadMetric).dump());
    set_load_metric(load, name, value.get<double>());
  }
  return load;
}

EndpointReportMessage parse_endpoint_report(const MessageFields& fields, const settings::Names& names) {
  EndpointReportMessage report;
  report.source_locality = fields.locality(names);
  report.uid = fields.string("endpoint");
  report.attempts = fields.integer("total", kMaxReportedAttempts);
  report.failed = fields.integer("errors", report.attempts);
  // Without a successful attempt there is no mean latency, so the field is optional.
  if (report.failed < report.attempts || fields.has("rtt")) report.mean_latency = fields.mean_latency();
  report.interval = fields.interval();
  if (fields.has("metrics") && !fields.at("metrics").is_null())
    report.load = parse_load_metrics(fields.at("metrics"));
  return report;
}

DemandReportMessage parse_demand_report(const MessageFields& fields, const settings::Names& names,
                                        int proxy_count) {
  DemandReportMessage report;
  report.proxy = fields.proxy(proxy_count);
  report.request_class = fields.request_class(names);
  report.arrivals = fields.integer("total", kMaxReportedAttempts);
  // May exceed `arrivals`, because a request may fail in a later interval than the one in which it arrived.
  report.failed = fields.integer("errors", kMaxReportedAttempts);
  report.interval = fields.interval();
  return report;
}

ProxyRegistration parse_proxy_registration(const MessageFields& fields, const settings::Names& names,
                                           int proxy_count) {
  ProxyRegistration registration;
  registration.proxy = fields.proxy(proxy_count);
  registration.locality = fields.locality(names);
  registration.expected_rate = fields.number("w", kMaxExpectedRate);
  registration.only_static_tables = fields.boolean("cold");
  return registration;
}

Ack parse_ack(const MessageFields& fields, int proxy_count) {
  Ack ack;
  ack.proxy = fields.proxy(proxy_count);
  ack.nonce = static_cast<std::uint32_t>(fields.integer("nonce", std::numeric_limits<std::uint32_t>::max()));
  ack.latency = fields.number("latency", kMaxDuration);
  return ack;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\n' || text.back() == '\r'))
    text.remove_suffix(1);
  return text;
}

json part_object(const UpdatePart& part, const settings::Names& names) {
  json object = {{"t", "push"}};
  // A part without "for" applies to all classes.
  const ClassMask all_classes = (ClassMask{1} << names.classes.size()) - 1;
  if (part.classes != 0 && part.classes != all_classes)
    for (std::size_t index = 0; index < names.classes.size(); ++index)
      if ((part.classes >> index & 1) != 0) object["for"].push_back(names.classes[index]);
  if (part.replaces_table) object["replace"] = true;
  if (part.replaces_table || !part.weights.empty()) object["rows"] = json::array();
  for (const WeightEntry& entry : part.weights)
    object["rows"].push_back(json::array({entry.uid, entry.weight}));
  if (part.limit) {
    object["gate"] = part.limit->admission_limit;
    object["again"] = static_cast<int>(part.limit->retry_mode);
  }
  if (!part.excluded.empty()) object["drop"] = part.excluded;
  if (!part.readmitted.empty()) object["undrop"] = part.readmitted;
  return object;
}

}  // namespace

std::optional<std::string> LineReader::next() {
  std::size_t end = buffer_.find('\n', std::max(consumed_, searched_));
  std::string_view line =
      std::string_view(buffer_).substr(consumed_, end == std::string::npos ? end : end - consumed_);
  if (line.size() > max_line_bytes_) {
    std::string limit = std::to_string(max_line_bytes_) + " bytes";
    fail_connection("a message is longer than " + limit, "at most " + limit);
  }
  std::size_t first = line.find_first_not_of(" \t\r");
  if (first != std::string_view::npos && line[first] != '{')
    fail_connection("a message is no JSON object", "a JSON object a line");
  if (end == std::string::npos) {
    buffer_.erase(0, std::exchange(consumed_, 0));
    searched_ = buffer_.size();
    if (buffer_.empty() && buffer_.capacity() > kMaxIdleBufferBytes) std::string().swap(buffer_);
    return std::nullopt;
  }
  std::string complete(line);
  consumed_ = end + 1;
  searched_ = consumed_;
  return complete;
}

Message parse_message(std::string_view line, const settings::Names& names, int proxy_count) {
  const json object = base::parse_json(line).value;
  // A line with complete braces may still be rejected by the parser, for example because of a number out of
  // range. The line boundaries are intact in that case, so only this message is lost.
  std::size_t last = line.find_last_not_of(" \t\r");
  if (object.is_discarded() && last != std::string_view::npos && line[last] == '}')
    fail_message("a message can't be read", {.expected = "a JSON object"});
  if (!object.is_object()) fail_connection("a message is no JSON object", "a JSON object a line");

  MessageFields fields(object);
  std::string kind = fields.string("t");
  if (kind == "probe") return HealthCheckRequest{};
  if (kind == "agent") return CollectorRegistration{fields.locality(names)};
  if (kind == "hello") return parse_proxy_registration(fields, names, proxy_count);
  if (kind == "ack") return parse_ack(fields, proxy_count);
  if (kind == "outcomes") return parse_endpoint_report(fields, names);
  if (kind == "demand") return parse_demand_report(fields, names, proxy_count);
  fail_message("kind " + kind + " is not one that an assigner takes",
               {"t", kind, "probe, agent, hello, ack, outcomes or demand"});
}

LoadReport parse_load_report(std::string_view text) {
  LoadReport load;
  constexpr std::string_view kPrefix = "TEXT ";
  if (!text.starts_with(kPrefix)) return load;
  text.remove_prefix(kPrefix.size());
  while (!text.empty()) {
    std::size_t comma = text.find(',');
    std::string_view metric = trim(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    std::size_t equals = metric.find('=');
    if (equals == std::string_view::npos) continue;
    auto value = base::parse_number<double>(metric.substr(equals + 1));
    if (value && is_valid_load_metric(*value)) set_load_metric(load, metric.substr(0, equals), *value);
  }
  return load;
}

std::string alive_line() { return "{\"t\":\"alive\"}\n"; }

std::string error_line(std::string_view reason) {
  return json{{"t", "error"}, {"reason", reason}}.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string update_lines(std::vector<UpdatePart> parts, std::optional<std::uint32_t> nonce,
                         const settings::Names& names) {
  if (parts.empty()) parts.emplace_back();  // a message with the nonce alone
  std::string lines;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    json object = part_object(parts[index], names);
    const bool is_last = index + 1 == parts.size();
    if (!is_last) object["part"] = true;
    else if (nonce) object["stamp"] = *nonce;
    lines += object.dump() + "\n";
  }
  return lines;
}

double count_lines(const std::vector<UpdatePart>& parts, bool has_nonce) {
  std::size_t lines = has_nonce ? 1 : 0;
  for (const UpdatePart& part : parts) {
    if (part.replaces_table) ++lines;
    if (part.limit) ++lines;
    lines += part.weights.size() + part.excluded.size() + part.readmitted.size();
  }
  return static_cast<double>(lines);
}

}  // namespace beamshunt::platform
