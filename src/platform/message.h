// The platform's wire protocol: decodes lines of one JSON object each into typed messages and encodes updates
// into lines. Only this module knows the names used on the wire; all other code uses the field names below.
// Memory use is bounded. Performs no I/O and keeps no state except LineReader's buffer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "settings/settings.h"

namespace beamshunt::platform {

using base::Ms;

// A peer sent invalid input. what() is the reason; it may be sent to the peer in an `error` message.
struct ProtocolError : std::runtime_error {
  // Whether the error affects only the message, or also everything that would follow on the connection.
  enum class Scope { message, connection };
  // Location of the error. A member is empty if it does not apply.
  struct Detail {
    std::string field;
    std::string value;     // value as received
    std::string expected;  // description of a valid value
  };

  ProtocolError(Scope error_scope, const std::string& reason, Detail error_detail = {})
      : std::runtime_error(reason), scope(error_scope), detail(std::move(error_detail)) {}

  Scope scope;
  Detail detail;
};

// Splits the bytes received on a connection into lines.
class LineReader {
 public:
  // `max_line_bytes` is the maximum length of a line without its line end.
  explicit LineReader(std::size_t max_line_bytes) : max_line_bytes_(max_line_bytes) {}

  void set_max_line_bytes(std::size_t bytes) { max_line_bytes_ = bytes; }
  // Appends received bytes, in chunks of any size.
  void append(std::string_view bytes) { buffer_.append(bytes); }
  // Returns the next complete line without its line end, or nothing if no line is complete. Throws
  // ProtocolError as soon as the buffered bytes cannot become a message: when a line exceeds the maximum
  // length or does not start like a JSON object.
  std::optional<std::string> next();
  // Returns the number of received bytes that next() has not returned.
  [[nodiscard]] std::size_t unfinished_bytes() const { return buffer_.size() - consumed_; }

 private:
  std::size_t max_line_bytes_;
  std::size_t consumed_ = 0;  // bytes at the start of buffer_ that next() has returned
  std::size_t searched_ = 0;  // bytes at the start of buffer_ without a further line end
  std::string buffer_;
};

// ---- Messages to an assigner ----

// Requests an `alive` message. Allowed on any connection, also before a registration.
struct HealthCheckRequest {};

// Registers the connection as that of a locality's collector.
struct CollectorRegistration {
  Locality locality{};
};

// Registers the connection as a proxy's stream.
struct ProxyRegistration {
  ProxyId proxy{};
  Locality locality{};
  double expected_rate = 0;         // estimate in requests per second
  bool only_static_tables = false;  // true if the proxy has no table from an assigner
};

// Acknowledges that the proxy applied all updates up to the one with this nonce.
struct Ack {
  ProxyId proxy{};
  std::uint32_t nonce = 0;
  Ms latency = 0;  // time from sending to applying the update, as measured by the proxy
};

// Reports the attempts of one locality's proxies that ended at one endpoint during an interval.
struct EndpointReportMessage {
  Locality source_locality{};
  std::string uid;  // name of the endpoint in the discovery service
  double attempts = 0;
  double failed = 0;
  Ms mean_latency = 0;  // mean over the successful attempts
  Ms interval = 0;      // time covered by the report
  LoadReport load;      // latest load report of the endpoint; empty if there is none
};

// Reports the requests of one class that arrived at a proxy during an interval.
struct DemandReportMessage {
  ProxyId proxy{};
  ClassId request_class{};
  double arrivals = 0;
  double failed = 0;  // requests that were admitted but not answered
  Ms interval = 0;    // time covered by the report
};

using Message = std::variant<HealthCheckRequest, CollectorRegistration, ProxyRegistration, Ack,
                             EndpointReportMessage, DemandReportMessage>;

// Decodes one line. Valid proxy numbers range from 0 to `proxy_count` - 1. Throws ProtocolError of scope
// `connection` if the line is not a JSON object, and of scope `message` if the object is not a valid message.
Message parse_message(std::string_view line, const settings::Names& names, int proxy_count);

// Decodes an endpoint's load report, such as "TEXT inflight=7, queue=2, util=0.61", and returns the metrics
// under the controller's names. Metrics that are unknown or malformed, or whose value is negative or too
// large, are omitted.
[[nodiscard]] LoadReport parse_load_report(std::string_view text);

// ---- Messages of an assigner ----

// Returns the response to a HealthCheckRequest.
[[nodiscard]] std::string alive_line();
// Returns the message that gives a peer the reason for which its connection is closed.
[[nodiscard]] std::string error_line(std::string_view reason);

// A weight of an endpoint in a table.
struct WeightEntry {
  std::string uid;
  double weight = 0;  // 0 removes the entry
};

// An admission limit and the retry mode that applies with it.
struct PartLimit {
  double admission_limit = 0;  // share or requests per second, depending on Settings::admission_limit_kind
  RetryMode retry_mode = RetryMode::never;
};

// One part of an update message to one proxy.
struct UpdatePart {
  ClassMask classes = 0;        // classes whose tables are changed; 0: no table
  bool replaces_table = false;  // true: `weights` is the complete table, and earlier limits become invalid
  std::vector<WeightEntry> weights;
  std::optional<PartLimit> limit;
  std::vector<std::string> excluded;    // uids of endpoints that the proxy must not use
  std::vector<std::string> readmitted;  // uids of endpoints that the proxy may use again
};

// Encodes one update message, one line per part. If `nonce` is given, the last part carries it and the proxy
// acknowledges the message. Without parts, the message consists of the nonce alone. The protocol allows up to
// 64 parts.
[[nodiscard]] std::string update_lines(std::vector<UpdatePart> parts, std::optional<std::uint32_t> nonce,
                                       const settings::Names& names);
// Returns the number of lines that the message counts for in the channel according to the protocol, without
// the overhead per message.
[[nodiscard]] double count_lines(const std::vector<UpdatePart>& parts, bool has_nonce);

}  // namespace beamshunt::platform
