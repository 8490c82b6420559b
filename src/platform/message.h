// The platform's wire: one JSON object a line to a typed message, and updates to lines. This is the only
// place that knows the wire's names; everything else uses the terms of the fields below. Bounded and free of
// I/O; it keeps no state but LineReader's bytes.
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

// What a peer sent that can't be used. what() is the reason that the peer is told on the wire.
struct ProtocolError : std::runtime_error {
  // How much is lost: this message alone, or all that would follow on the connection too.
  enum class Scope { message, connection };
  // Where the message was wrong; each is empty where it does not apply.
  struct Detail {
    std::string field;
    std::string value;  // as received
    std::string expected;
  };

  ProtocolError(Scope error_scope, const std::string& reason, Detail error_detail = {})
      : std::runtime_error(reason), scope(error_scope), detail(std::move(error_detail)) {}

  Scope scope;
  Detail detail;
};

// Cuts a connection's bytes into lines.
class LineReader {
 public:
  // `max_line_bytes`: the longest line accepted, without its end.
  explicit LineReader(std::size_t max_line_bytes) : max_line_bytes_(max_line_bytes) {}

  void set_max_line_bytes(std::size_t bytes) { max_line_bytes_ = bytes; }
  // Appends bytes as they were received, in pieces of any size.
  void append(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete line without its end; nothing if none is complete yet. Throws ProtocolError for bytes
  // that can't become a message, as soon as that can be seen: a line longer than allowed, or one that does
  // not begin like a JSON object.
  std::optional<std::string> next();
  // Bytes that were received and not handed out.
  [[nodiscard]] std::size_t unfinished() const { return buffer_.size() - consumed_; }

 private:
  std::size_t max_line_bytes_;
  std::size_t consumed_ = 0;  // bytes of buffer_ that were handed out
  std::size_t searched_ = 0;  // bytes of buffer_ that hold no further line end
  std::string buffer_;
};

// ---- Messages to an assigner ----

// Asks whether the assigner serves; valid on any connection.
struct HealthCheckRequest {};

// The connection is that of a locality's collector.
struct CollectorRegistration {
  Locality locality{};
};

// The connection is a proxy's stream.
struct ProxyRegistration {
  ProxyId proxy{};
  Locality locality{};
  double expected_rate = 0;         // requests a second, rough
  bool only_static_tables = false;  // it holds no table that an assigner sent
};

// The proxy applied all that was sent to it up to this nonce.
struct Ack {
  ProxyId proxy{};
  std::uint32_t nonce = 0;
  Ms latency = 0;  // from sending to applying, by the proxy's account
};

// Attempts of one locality's proxies that ended at one endpoint.
struct EndpointReportMessage {
  Locality source_locality{};
  std::string uid;  // the endpoint's name in the discovery service
  double attempts = 0;
  double failed = 0;
  Ms mean_latency = 0;  // of the successful attempts
  Ms interval = 0;      // that the report covers
  LoadReport load;      // the endpoint's last load report; empty: none
};

// Requests of one class that reached a proxy.
struct DemandReportMessage {
  ProxyId proxy{};
  ClassId request_class{};
  double arrivals = 0;
  double failed = 0;  // admitted and not answered
  Ms interval = 0;    // that the report covers
};

using Message = std::variant<HealthCheckRequest, CollectorRegistration, ProxyRegistration, Ack,
                             EndpointReportMessage, DemandReportMessage>;

// Reads one line. `proxy_count`: proxies are numbered from 0 to one less. Throws ProtocolError: scope
// `connection` where the line is no JSON object, scope `message` where the object is no valid message.
Message parse_message(std::string_view line, const settings::Names& names, int proxy_count);

// Reads an endpoint's load report, such as "TEXT inflight=7, queue=2, util=0.61", by the names that the
// controller knows. Figures that are unknown, unreadable or below 0 are left out.
[[nodiscard]] LoadReport parse_load_report(std::string_view text);

// ---- Messages of an assigner ----

// The answer to HealthCheckRequest.
[[nodiscard]] std::string alive_line();
// Tells a peer why its connection is closed.
[[nodiscard]] std::string error_line(std::string_view reason);

// An endpoint's weight in a table.
struct WeightEntry {
  std::string uid;
  double weight = 0;  // 0 removes the entry
};

// The limit that a proxy admits by.
struct PartLimit {
  double admission_limit = 0;  // a share or requests a second, by Settings::admission_limit_kind
  RetryMode retry_mode = RetryMode::never;
};

// One part of an update message to one proxy.
struct UpdatePart {
  ClassMask classes = 0;        // whose table is meant; 0: no table
  bool replaces_table = false;  // the weights are the complete table; former limits are void
  std::vector<WeightEntry> weights;
  std::optional<PartLimit> limit;
  std::vector<std::string> excluded;    // uids that the proxy must not use
  std::vector<std::string> readmitted;  // uids whose exclusion is lifted
};

// The lines of one update message. `nonce`: asked to be acknowledged, in the last part; nothing: no ack. No
// parts: a message with the nonce alone. The protocol allows 64 parts.
[[nodiscard]] std::string update_lines(std::vector<UpdatePart> parts, std::optional<std::uint32_t> nonce,
                                       const settings::Names& names);
// The lines that the message counts in the channel, by the protocol's rule, without the overhead a message.
[[nodiscard]] double count_lines(const std::vector<UpdatePart>& parts, bool has_nonce);

}  // namespace beamshunt::platform
