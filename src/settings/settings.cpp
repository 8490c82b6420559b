#include "settings/settings.h"

#include <charconv>
#include <cmath>
#include <initializer_list>

namespace beamshunt::settings {
namespace {

template <typename Id>
Id find_name(const std::vector<std::string>& names, const char* subject, std::string_view name) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == name) return static_cast<Id>(i);
  throw InputError(subject, "is not among the settings", name);
}

// Bounds of a setting that is not 0, in its unit; beyond them quotients of settings would be infinite.
constexpr double kMinNumber = 1e-9;
constexpr double kMaxNumber = 1e15;

// Reads typed values by path. Each method throws InputError, with the path, if the setting is missing or its
// value is not of the type; the methods with a default return that for a missing setting.
class SettingsReader {
 public:
  explicit SettingsReader(const Values& values) : values_(values) {}

  const std::string& text(const std::string& key) const {
    auto found = values_.find(key);
    if (found == values_.end()) throw InputError("setting " + key + " is missing");
    return found->second;
  }
  bool has(const std::string& key) const { return values_.contains(key); }

  double number(const std::string& key) const {
    const std::string& word = text(key);
    double value = 0;
    auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
    if (error != std::errc{} || end != word.data() + word.size() || !std::isfinite(value) || value < 0)
      throw InputError("setting " + key, "is not a number of 0 or more", word);
    if (value != 0 && (value < kMinNumber || value > kMaxNumber))
      throw InputError("setting " + key, "is out of range", word);
    return value;
  }
  double number_or(const std::string& key, double default_value) const {
    return has(key) ? number(key) : default_value;
  }
  Duration duration(const std::string& key) const { return Duration(number(key)); }
  std::uint64_t count(const std::string& key, std::uint64_t max) const {
    double value = number(key);
    if (value != std::floor(value) || value > static_cast<double>(max))
      throw InputError("setting " + key, "is not a whole number up to " + std::to_string(max), text(key));
    return static_cast<std::uint64_t>(value);
  }
  bool flag(const std::string& key) const { return to_flag(key, text(key)); }
  bool flag_or(const std::string& key, bool default_value) const {
    return has(key) ? flag(key) : default_value;
  }

  std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> out;
    std::string_view words = text(key);
    while (!words.empty()) {
      std::size_t comma = words.find(',');
      out.emplace_back(words.substr(0, comma));
      words = comma == std::string_view::npos ? std::string_view{} : words.substr(comma + 1);
    }
    return out;
  }

  template <typename Value>
  Value choice(const std::string& key, std::initializer_list<std::pair<const char*, Value>> choices) const {
    const std::string& word = text(key);
    for (const auto& [name, value] : choices)
      if (word == name) return value;
    throw InputError("setting " + key, "is unknown", word);
  }

  static bool to_flag(const std::string& key, const std::string& word) {
    if (word == "true" || word == "1") return true;
    if (word == "false" || word == "0") return false;
    throw InputError("setting " + key, "is neither true nor false", word);
  }

 private:
  const Values& values_;
};

RequestClass parse_class(const SettingsReader& reader, const std::string& prefix) {
  RequestClass request_class;
  request_class.latency_objective = reader.duration(prefix + "slo");
  request_class.deadline = reader.duration(prefix + "deadline");
  request_class.priority_weight = reader.number_or(prefix + "points", 1);
  request_class.semantics =
      reader.choice<Semantics>(prefix + "semantics", {{"retryable", Semantics::idempotent},
                                                      {"dedup", Semantics::idempotent_with_key},
                                                      {"fragile", Semantics::not_idempotent}});
  if (request_class.semantics == Semantics::idempotent_with_key) {
    request_class.idempotency_window = reader.duration(prefix + "window");
    request_class.idempotency_scope =
        reader.choice<IdempotencyScope>(prefix + "key_scope", {{"all", IdempotencyScope::everywhere},
                                                               {"zone", IdempotencyScope::locality},
                                                               {"cell", IdempotencyScope::cell}});
  }
  return request_class;
}

// Upper bounds of counts in the settings.
constexpr std::uint64_t kMaxClasses = 63;        // a ClassMask holds 64 bits
constexpr std::uint64_t kMaxShards = 65535;      // table numbers have 16 bits in the simulator's protocol
constexpr std::uint64_t kMaxCount = 1000000000;  // largest count of proxies, controllers or messages
constexpr std::uint64_t kMaxRetryMode = 3;       // numeric value of the last RetryMode

std::vector<std::string> read_classes(const SettingsReader& reader, Settings& settings) {
  std::vector<std::string> names;
  std::vector<std::string> local_only;
  std::uint64_t count = reader.count("classes.count", kMaxClasses);
  if (reader.has("family_info.home_only")) local_only = reader.list("family_info.home_only");
  for (std::uint64_t i = 0; i < count; ++i) {
    std::string prefix = "classes." + std::to_string(i) + ".";
    names.push_back(reader.text(prefix + "name"));
    settings.classes.push_back(parse_class(reader, prefix));
    if (i < local_only.size())
      settings.classes.back().local_only = SettingsReader::to_flag("family_info.home_only", local_only[i]);
  }
  return names;
}

void read_channel(const SettingsReader& reader, Settings& settings) {
  settings.channel_lines_per_second = reader.number("family_info.egress_per_s");
  settings.message_overhead_lines = reader.number("family_info.envelope");
  settings.max_queued_lines = reader.number("family_info.most_waiting");
  settings.max_messages_per_window = static_cast<int>(reader.count("family_info.pushes_allowed", kMaxCount));
  settings.proxy_count = static_cast<int>(reader.count("family_info.agents", kMaxCount));
  settings.connection_idle_timeout = reader.duration("limits.conn_idle");
  settings.message_window = reader.duration("family_info.messages_over");
  settings.update_delay = reader.duration("family_info.push_delay");
  settings.max_update_delay = reader.duration("family_info.late_most");
}

void read_guarantees(const SettingsReader& reader, Settings& settings) {
  settings.report_period = reader.duration("family_info.period");
  settings.max_time_without_endpoints = reader.duration("family_info.empty_for");
  settings.lease = Duration(reader.number_or("family_info.tenure", 0));
  settings.lease_settle_time = Duration(reader.number_or("family_info.settle", 0));
  if (settings.endpoint_list_by_subscription)
    settings.subscription_lifetime = reader.duration("guarantees.must_ask_in");
  settings.drain_grace_period = reader.duration("guarantees.drain_grace");
  settings.warm_up_time = reader.duration("guarantees.warm_up");
  settings.overload_window = reader.duration("guarantees.fall");
  settings.initial_capacity = reader.number("guarantees.start_capacity");
  settings.overload_multiple = reader.number("guarantees.tip_multiple");
  settings.removal_is_advisory = reader.flag_or("guarantees.gone_is_advice", false);
}

}  // namespace

Locality find_locality(const Names& names, std::string_view name) {
  return find_name<Locality>(names.localities, "zone", name);
}
ClassId find_request_class(const Names& names, std::string_view name) {
  return find_name<ClassId>(names.classes, "class", name);
}

Values parse_pairs(std::string_view text) {
  Values out;
  while (!text.empty()) {
    std::size_t space = text.find(' ');
    std::string_view pair = text.substr(0, space);
    text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || equals == 0)
      throw InputError("setting", "is not path=value", pair);
    out[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
  }
  return out;
}

std::pair<Settings, Names> parse(std::uint64_t seed, const Values& values) {
  SettingsReader reader(values);
  Settings settings;
  Names names;
  settings.seed = seed;
  names.localities = reader.list("azs");
  settings.localities = names.localities;
  settings.local_proxies_only =
      reader.count("balancers", kMaxCount) > 1 && reader.flag_or("family_info.by_zone", false);
  settings.own_locality = find_locality(names, reader.text("locality"));
  names.classes = read_classes(reader, settings);
  settings.endpoint_list_by_subscription =
      reader.choice<bool>("discovery", {{"on_request", true}, {"pushed", false}});
  settings.health_checks_allowed = reader.flag_or("limits.may_probe", false);
  settings.load_reports_by_health_check = reader.has("report.how") && reader.text("report.how") == "probe";
  settings.shard_count = static_cast<int>(reader.count("family_info.key_ranges", kMaxShards));
  settings.single_writer = reader.flag_or("family_info.single_writer", false);
  settings.admission_limit_kind =
      reader.choice<AdmissionLimitKind>("family_info.level_kind", {{"share", AdmissionLimitKind::share},
                                                                   {"rate", AdmissionLimitKind::rate},
                                                                   {"none", AdmissionLimitKind::none}});
  settings.default_retry_mode =
      static_cast<RetryMode>(reader.count("family_info.default_retry", kMaxRetryMode));
  settings.attempt_timeout_factor = reader.number("family_info.try_factor");
  read_channel(reader, settings);
  read_guarantees(reader, settings);
  return {std::move(settings), std::move(names)};
}

}  // namespace beamshunt::settings
