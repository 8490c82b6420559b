#include "simulator_adapter/codec.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace beamshunt::simulator_adapter {
namespace {

// Ranges of the numbers in the protocol.
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxUint16 = 65535;  // largest proxy, table or sequence number
constexpr std::uint64_t kMaxToken = std::uint64_t{1} << 63;
constexpr std::uint32_t kAllTables = 65535;  // table number that stands for all tables

[[noreturn]] void fail(const char* field, std::string_view problem, std::string_view value) {
  throw WireError(field, problem, value);
}

double to_number(const char* field, std::string_view word) {
  double value = 0;
  auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (error == std::errc::result_out_of_range) fail(field, "is out of range", word);
  if (error != std::errc{} || end != word.data() + word.size()) fail(field, "is not a number", word);
  if (!std::isfinite(value)) fail(field, "is not finite", word);
  return value;
}

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

AttemptOutcome parse_outcome(std::string_view word) {
  static const std::map<std::string_view, AttemptOutcome> words = {
      {"delivered", AttemptOutcome::success},
      {"app_error", AttemptOutcome::application_error},
      {"shed", AttemptOutcome::rejected},
      {"expired", AttemptOutcome::timed_out},
      {"dial_failed", AttemptOutcome::connect_failed},
      {"dropped", AttemptOutcome::connection_lost},
      {"revoked", AttemptOutcome::cancelled},
      {"unused", AttemptOutcome::not_sent}};
  auto found = words.find(word);
  if (found == words.end()) fail("reason", "is unknown", word);
  return found->second;
}

EndpointState parse_endpoint_state(std::string_view word) {
  if (word == "in_service") return EndpointState::available;
  if (word == "terminating") return EndpointState::draining;
  if (word == "terminated") return EndpointState::removed;
  fail("state", "is unknown", word);
}

EndpointId read_endpoint(LineReader& line) { return EndpointId(line.integer("task", kMaxUint32)); }
ProxyId read_proxy(LineReader& line) { return ProxyId(line.integer("agent", kMaxUint16)); }
TableId read_table(LineReader& line) { return TableId(line.integer("tbl", kMaxUint16)); }
Duration read_duration(LineReader& line, const char* field) { return Duration(line.non_negative(field)); }

}  // namespace

LineReader::LineReader(std::string_view line) : rest_(line), has_more_(true) { name_ = text("message"); }

std::string_view LineReader::text(const char* field) {
  if (!has_more_) throw WireError(std::string("field ") + field + " is missing");
  std::size_t space = rest_.find(' ');
  std::string_view value = rest_.substr(0, space);
  has_more_ = space != std::string_view::npos;
  rest_ = has_more_ ? rest_.substr(space + 1) : std::string_view{};
  if (value.empty()) throw WireError(std::string("field ") + field + " is empty");
  return value;
}

std::string_view LineReader::rest() {
  has_more_ = false;
  return std::exchange(rest_, {});
}

bool LineReader::absent(const char* field) {
  if (!has_more_) throw WireError(std::string("field ") + field + " is missing");
  if (rest_ != "-" && rest_.substr(0, 2) != "- ") return false;
  text(field);
  return true;
}

double LineReader::number(const char* field) { return to_number(field, text(field)); }

double LineReader::non_negative(const char* field) {
  std::string_view word = text(field);
  double value = to_number(field, word);
  if (value < 0) fail(field, "is below 0", word);
  return value;
}

std::uint64_t LineReader::integer(const char* field, std::uint64_t max) {
  std::string_view word = text(field);
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (error == std::errc::result_out_of_range) fail(field, "is out of range", word);
  if (error != std::errc{} || end != word.data() + word.size()) fail(field, "is not a whole number", word);
  if (value > max) fail(field, "is out of range", word);
  return value;
}

bool LineReader::flag(const char* field) {
  std::string_view word = text(field);
  if (word != "0" && word != "1") fail(field, "is neither 0 nor 1", word);
  return word == "1";
}

std::vector<std::uint8_t> LineReader::bytes(const char* field) {
  std::vector<std::uint8_t> out;
  if (absent(field)) return out;
  std::string_view word = text(field);
  if (word.size() % 2 != 0) fail(field, "has an odd count of hex digits", word);
  for (std::size_t i = 0; i < word.size(); i += 2) {
    int high = hex_digit(word[i]), low = hex_digit(word[i + 1]);
    if (high < 0 || low < 0) fail(field, "is not hex", word);
    out.push_back(static_cast<std::uint8_t>(high * 16 + low));
  }
  return out;
}

LoadReport LineReader::load_report(const char* field) {
  LoadReport out;
  if (absent(field)) return out;
  std::string_view word = text(field);
  while (!word.empty()) {
    std::size_t comma = word.find(',');
    std::string_view pair = word.substr(0, comma);
    word = comma == std::string_view::npos ? std::string_view{} : word.substr(comma + 1);
    std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos || colon == 0) fail(field, "is not name:value", pair);
    std::string_view value = pair.substr(colon + 1);
    if (value != "-") out[std::string(pair.substr(0, colon))] = to_number(field, value);
  }
  return out;
}

void LineReader::expect_end() const {
  if (has_more_) throw WireError("line has more fields than the message");
}

Time clock_time(double milliseconds) { return Time(Duration(milliseconds)); }

ListedEndpoint parse_endpoint_row(const Names& names, std::string_view text) {
  LineReader line(text);
  ListedEndpoint endpoint;
  if (!line.absent("ready_at")) {
    double ready_at = line.number("ready_at");
    endpoint.start_time_known = ready_at != 0;
    endpoint.start_time = clock_time(ready_at);
  }
  endpoint.locality = settings::find_locality(names, line.text("site"));
  line.text("shape");  // the machine type, which is not needed: the capacity is a field of its own
  endpoint.state = parse_endpoint_state(line.text("state"));
  endpoint.capacity = line.absent("size") ? 1 : line.non_negative("size");
  endpoint.cell = line.absent("bay") ? 0 : static_cast<std::uint32_t>(line.integer("bay", kMaxUint32));
  endpoint.id = read_endpoint(line);
  line.expect_end();
  return endpoint;
}

EndpointListKind parse_list_kind(std::string_view word) {
  if (word == "incr") return EndpointListKind::incremental;
  if (word == "total") return EndpointListKind::complete;
  if (word == "warm_copy") return EndpointListKind::cached;
  if (word == "lost") return EndpointListKind::lost;
  fail("form", "is unknown", word);
}

namespace {

// ---- Event lines: each function reads the fields of one message, in the order of the protocol ----

Event read_endpoint_report(const Names& names, LineReader& line) {
  EndpointReport report;
  report.source_locality = settings::find_locality(names, line.text("site"));
  report.endpoint = read_endpoint(line);
  report.attempts = line.non_negative("many");
  report.failed = line.non_negative("unanswered");
  report.mean_latency = read_duration(line, "duration");
  report.interval = read_duration(line, "span");
  report.load = line.load_report("stats");
  return report;
}

Event read_demand_report(const Names& names, LineReader& line) {
  DemandReport report;
  report.proxy = read_proxy(line);
  report.request_class = settings::find_request_class(names, line.text("tier_class"));
  report.arrivals = line.non_negative("many");
  report.failed = line.non_negative("unanswered");
  report.interval = read_duration(line, "span");
  return report;
}

Event read_timer(const Names&, LineReader& line) { return TimerFired{line.integer("handle", kMaxToken)}; }

Event read_health_check_result(const Names&, LineReader& line) {
  HealthCheckResult result;
  result.outcome = parse_outcome(line.text("reason"));
  result.endpoint = read_endpoint(line);
  result.duration = read_duration(line, "duration");
  result.load = line.load_report("stats");
  return result;
}

Event read_peer_message(const Names&, LineReader& line) {
  PeerMessage message;
  message.sender = static_cast<std::uint32_t>(line.integer("author", kMaxUint32));
  message.payload = line.bytes("payload");
  return message;
}

Event read_proxy_registered(const Names& names, LineReader& line) {
  ProxyRegistered registered;
  registered.proxy = read_proxy(line);
  registered.locality = settings::find_locality(names, line.text("site"));
  registered.expected_rate = line.absent("size") ? 0 : line.non_negative("size");
  registered.only_static_tables = line.flag("flag");
  return registered;
}

Event read_proxy_disconnected(const Names&, LineReader& line) { return ProxyDisconnected{read_proxy(line)}; }

Event read_acknowledgement(const Names&, LineReader& line) {
  UpdateAcknowledged acknowledged;
  acknowledged.proxy = read_proxy(line);
  acknowledged.delay = read_duration(line, "duration");
  acknowledged.sequence_number = static_cast<std::uint32_t>(line.integer("serial", kMaxUint16));
  return acknowledged;
}

Event read_shard_demand(const Names& names, LineReader& line) {
  ShardDemandReport report;
  report.interval = read_duration(line, "span");
  report.failed = line.non_negative("unanswered");
  report.request_class = settings::find_request_class(names, line.text("tier_class"));
  report.arrivals = line.non_negative("many");
  report.shard = read_table(line);
  return report;
}

Event read_shard_assigned(const Names&, LineReader& line) {
  ShardAssigned assigned;
  assigned.assigned = line.flag("flag");
  assigned.shard = read_table(line);
  return assigned;
}

Event read_shard_owner(const Names&, LineReader& line) {
  ShardOwnerReported report;
  report.shard = read_table(line);
  report.endpoint = read_endpoint(line);
  report.weight = line.non_negative("size");
  return report;
}

}  // namespace

std::optional<Event> parse_event(const Names& names, LineReader& line) {
  using Reader = Event (*)(const Names&, LineReader&);
  static const std::map<std::string_view, Reader> readers = {{"STATS", read_endpoint_report},
                                                             {"USAGE", read_demand_report},
                                                             {"BELL", read_timer},
                                                             {"CHECK_RESULT", read_health_check_result},
                                                             {"DATAGRAM", read_peer_message},
                                                             {"STREAM_UP", read_proxy_registered},
                                                             {"DISCONNECTED", read_proxy_disconnected},
                                                             {"RECEIPT", read_acknowledgement},
                                                             {"WEIGHT_SEEN", read_shard_demand},
                                                             {"HANDED", read_shard_assigned},
                                                             {"IN_STORE", read_shard_owner}};
  auto reader = readers.find(line.name());
  if (reader == readers.end()) return std::nullopt;
  Event event = reader->second(names, line);
  line.expect_end();
  return event;
}

namespace {

// ---- Action lines ----

void put(std::string& out, std::uint64_t value) { out += ' ' + std::to_string(value); }
void put(std::string& out, double value) {
  std::array<char, 400> text;  // enough for any double in fixed notation
  auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  out += ' ';
  out.append(text.data(), end);
}
void put(std::string& out, bool value) { out += value ? " 1" : " 0"; }
template <typename Id>
requires std::is_enum_v<Id>
void put(std::string& out, Id id) { put(out, static_cast<std::uint64_t>(id)); }
void put_bytes(std::string& out, const std::vector<std::uint8_t>& bytes) {
  out += bytes.empty() ? " -" : " ";
  for (std::uint8_t b : bytes) {
    out += "0123456789abcdef"[b >> 4];
    out += "0123456789abcdef"[b & 15];
  }
}

// Formats an action: the message name, the instance and the fields in the order of the protocol.
struct ActionWriter {
  std::string& out;
  std::string_view instance;

  template <typename... Parts>
  void line(const char* name, const Parts&... parts) {
    out += name;
    out += ' ';
    out += instance;
    (put(out, parts), ...);
  }
  void text_line(const char* name, const std::string& text) {
    line(name);
    out += ' ';
    for (char c : text) out += c == '\n' || c == '\r' ? ' ' : c;  // a line break would end the message
  }
  void operator()(const Subscribe& action) { line("OBSERVE", action.active); }
  void operator()(const FetchEndpoints&) { line("FETCH"); }
  void operator()(const SetTimer& action) {
    line("SET_ALARM", action.deadline.time_since_epoch().count(), action.token);
  }
  void operator()(const SendHealthCheck& action) { line("CHECK", action.endpoint); }
  void operator()(const SendPeerMessage& action) {
    line("SIGNAL");
    if (action.to_all_peers) out += " *";
    else put(out, std::uint64_t{action.peer});
    put_bytes(out, action.payload);
  }
  void operator()(const SetWeight& action) { line("ENDPOINT", action.table, action.endpoint, action.weight); }
  void operator()(const ClearTable& action) { line("RESET_TABLE", action.table); }
  void operator()(const AssignTable& action) { line("POINT", action.classes, action.proxy, action.table); }
  void operator()(const ExcludeEndpoint& action) { line("BENCH", action.endpoint, action.excluded); }
  // The adapter's controllers have no such capability: the simulator removes an endpoint for all proxies
  // alone.
  void operator()(const RemoveHeldEndpoint&) { text_line("PANIC", "removal from the tables of one proxy"); }
  void operator()(const SetAdmissionLimit& action) {
    line("ADMIT", action.all_tables ? TableId{kAllTables} : action.table, action.classes, action.limit,
         action.retry_mode);
  }
  void operator()(const AckRequest& action) {
    line("BARRIER", std::uint64_t{action.sequence_number}, action.all_proxies);
  }
  void operator()(const LogMessage& action) { text_line("REMARK", action.text); }
  void operator()(const InvariantViolated& action) { text_line("PANIC", action.text); }
};

}  // namespace

void append_action(std::string& out, std::string_view instance, const Action& action) {
  std::visit(ActionWriter{out, instance}, action);
  out += '\n';
}

}  // namespace beamshunt::simulator_adapter
