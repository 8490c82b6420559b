// The frames of the native protocol between proxies, assigners and their peers, as docs/protocol.md gives
// them: the one place that maps the protocol's fields to the code's terms. Pure: bytes to frames and back. It
// performs no I/O and decides nothing.
//
// A frame: payload length (4 bytes), kind (1 byte), payload. All integers little endian as in base/archive.h.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/archive.h"

namespace beamshunt::native_protocol {

constexpr std::uint32_t kMagic = 0x42534854;  // "BSHT"
constexpr std::uint16_t kVersion = 1;
// AdmissionLimitUpdate::table: the limit is for all tables of the stream's proxy.
constexpr std::uint32_t kAllTables = 0xffffffff;
// Heartbeat periods without a byte after which a side takes the stream for dead: one lost ping is no reason.
constexpr double kHeartbeatTimeoutPeriods = 3;
constexpr std::size_t kMaxPeerNoteBytes = 256;  // a note is gossip between controllers, not a transfer
constexpr std::size_t kFrameHeaderBytes = 5;    // length of what follows (4), kind (1)
// Of a payload, unless the receiver's settings say less: no peer may make the receiver buffer more.
constexpr std::size_t kMaxPayloadBytes = std::size_t{4} * 1048576;

// ---- Handshake ----
// Proxy to assigner, the first frame of a stream.
struct Hello {
  std::uint32_t magic = kMagic;
  std::uint16_t version = kVersion;
  std::uint32_t proxy = 0;
  std::uint64_t incarnation = 0;       // drawn anew at each start of the proxy
  std::uint32_t attempt = 0;           // streams dialled since that start: a later one replaces an earlier
  std::string locality;                // must be the one that the assigner's settings give the peer's address
  double expected_rate = 0;            // requests a second; 0: unknown
  bool only_static_tables = false;     // it holds no table that an assigner assigned
  std::uint64_t applied_epoch = 0;     // epoch of the assigner whose updates it holds; 0: none
  std::uint64_t applied_sequence = 0;  // the last update message of that epoch that it applied
  bool operator==(const Hello&) const = default;
};
// Assigner to proxy, the answer; sent again when a period changes.
struct Welcome {
  std::uint16_t version = kVersion;
  std::uint64_t epoch = 0;      // of the assigner's run: grows at each start
  double heartbeat_ms = 0;      // a side that sent nothing for so long sends a ping
  double report_period_ms = 0;  // load reports are due this often
  bool operator==(const Welcome&) const = default;
};
enum class RefuseCode : std::uint8_t {
  bad_frame = 1,
  bad_version = 2,
  bad_locality = 3,
  id_in_use = 4,
  full = 5,
  stopping = 6,
  replaced = 7,
  silent = 8,
  unexpected = 9,
};
struct Refuse {  // either way, the last frame of a stream
  RefuseCode code{};
  double retry_after_ms = 0;
  std::string reason;
  bool operator==(const Refuse&) const = default;
};

// ---- Updates to one proxy. Class masks: bit N is request class N. ----
// One endpoint's weight in a table. The endpoint's address comes along so that a proxy needs no endpoint
// list.
struct WeightUpdate {
  std::uint32_t table = 0;
  std::uint32_t endpoint = 0;
  double weight = 0;  // 0 removes the entry
  std::uint16_t locality = 0;
  std::uint32_t cell = 0;
  std::uint32_t ip = 0;  // IPv4, most significant byte first; 0 where the entry is removed
  std::uint16_t port = 0;
  bool operator==(const WeightUpdate&) const = default;
};
struct ClearTableUpdate {  // of weights and limits
  std::uint32_t table = 0;
  bool operator==(const ClearTableUpdate&) const = default;
};
// The proxy uses the table for these classes. It begins empty; its weights and limits follow in the same
// message.
struct AssignTableUpdate {
  std::uint64_t classes = 0;
  std::uint32_t table = 0;
  bool operator==(const AssignTableUpdate&) const = default;
};
struct ExcludeEndpointUpdate {  // no request to the endpoint, whatever its weights say, until it is lifted
  std::uint32_t endpoint = 0;
  bool excluded = true;
  bool operator==(const ExcludeEndpointUpdate&) const = default;
};
struct AdmissionLimitUpdate {
  std::uint32_t table = 0;  // or kAllTables
  std::uint64_t classes = 0;
  double limit = 0;             // a share or requests a second, as the settings say
  std::uint8_t retry_mode = 0;  // 0 never, 1 after proof that the first attempt never ran, 2 once, 3 twice
  bool operator==(const AdmissionLimitUpdate&) const = default;
};
struct AckRequestUpdate {  // the controller wants to know when all before it is applied
  std::uint32_t sequence_number = 0;
  bool operator==(const AckRequestUpdate&) const = default;
};
// The order is part of the protocol.
using Update = std::variant<WeightUpdate, ClearTableUpdate, AssignTableUpdate, ExcludeEndpointUpdate,
                            AdmissionLimitUpdate, AckRequestUpdate>;

struct UpdateMessage {         // one decision's message to one proxy, applied as a whole
  std::uint64_t sequence = 0;  // 1, 2, ... within the stream
  double decided_at_ms = 0;    // on the assigner's monotonic clock
  double lines = 0;            // what it counts in the channel, in lines, the message's overhead included
  std::vector<Update> updates;
  bool operator==(const UpdateMessage&) const = default;
};
struct Acknowledgement {
  std::uint64_t sequence = 0;  // this message and all before it are applied
  bool operator==(const Acknowledgement&) const = default;
};

// ---- Load reports ----
struct EndpointReportEntry {  // attempts that ended at an endpoint since the last report
  std::uint32_t endpoint = 0;
  std::uint32_t attempts = 0;
  std::uint32_t failed = 0;
  double mean_latency_ms = 0;                        // of the successful ones; 0 if there were none
  std::vector<std::pair<std::string, double>> load;  // the newest load figures among the responses, by name
  bool operator==(const EndpointReportEntry&) const = default;
};
// Requests of a class since the last report. A request may arrive in one report's interval and end in the
// next.
struct DemandReportEntry {
  std::uint16_t request_class = 0;
  std::uint32_t arrivals = 0;
  std::uint32_t failed = 0;
  std::uint32_t within_objective = 0;  // answered within the class's latency objective
  bool operator==(const DemandReportEntry&) const = default;
};
struct LoadReportMessage {
  std::uint64_t sequence = 0;  // 1, 2, ... within the stream
  double interval_ms = 0;      // that it covers
  std::vector<EndpointReportEntry> endpoints;
  std::vector<DemandReportEntry> demand;
  bool operator==(const LoadReportMessage&) const = default;
};

// ---- Heartbeat and peers ----
struct Ping {
  std::uint64_t token = 0;
  bool operator==(const Ping&) const = default;
};
struct Pong {
  std::uint64_t token = 0;
  bool operator==(const Pong&) const = default;
};
struct PeerHello {  // assigner to assigner, the first frame of the dialling side
  std::uint32_t magic = kMagic;
  std::uint16_t version = kVersion;
  std::uint32_t instance = 0;
  bool operator==(const PeerHello&) const = default;
};
struct PeerNote {
  std::string payload;  // kMaxPeerNoteBytes at most
  bool operator==(const PeerNote&) const = default;
};

// The kind byte of a frame is its position here, from 1.
using Frame = std::variant<Hello, Welcome, Refuse, UpdateMessage, Acknowledgement, LoadReportMessage, Ping,
                           Pong, PeerHello, PeerNote>;
const char* frame_kind_name(const Frame& frame);  // as the protocol page calls it, for messages to people

// A frame that breaks the protocol. The stream that it came on can't be read on.
class ProtocolError : public std::runtime_error {
 public:
  ProtocolError(RefuseCode refuse_code, std::uint64_t stream_offset, const std::string& reason)
      : std::runtime_error(reason), code(refuse_code), offset(stream_offset) {}
  RefuseCode code;       // that the peer is refused with
  std::uint64_t offset;  // of the offending byte, in bytes since the stream began
};

// Length and kind before each payload, whatever the payloads are: the framing that all streams here share.
std::string encode_frame(std::size_t kind, const std::string& payload);  // kind: from 1

class FrameSplitter {
 public:
  FrameSplitter(std::size_t most_bytes, std::size_t kinds) : most_(most_bytes), kinds_(kinds) {}
  struct RawFrame {
    std::size_t kind = 0;  // from 1
    std::string_view payload;
    std::uint64_t offset = 0;  // of the payload in the stream
  };
  void set_max_payload_bytes(std::size_t most_bytes) { most_ = most_bytes; }
  void append(std::string_view bytes);
  // The next whole frame, if there is one; take() moves behind it. Throws ProtocolError, before the payload
  // is there, for a frame that is too long or of an unknown kind.
  std::optional<RawFrame> peek() const;
  void consume(const RawFrame& piece) { at_ += kFrameHeaderBytes + piece.payload.size(); }
  std::size_t buffered_bytes() const { return held_.size() - at_; }

 private:
  std::size_t most_, kinds_;
  std::string held_;
  std::size_t at_ = 0;        // bytes of held_ that were taken
  std::uint64_t before_ = 0;  // bytes of the stream before held_
};

std::string encode(const Frame& frame);

// The alternative of a frame variant that a kind byte names, read whole. Throws base::DecodeError.
template <class Variant, std::size_t K = 0>
Variant decode_payload(std::size_t kind, base::Decoder& d) {
  if constexpr (K < std::variant_size_v<Variant>) {
    if (kind != K + 1) return decode_payload<Variant, K + 1>(kind, d);
    std::variant_alternative_t<K, Variant> frame;
    d(frame);
    d.expect_end();
    return frame;
  } else {
    d.fail("a frame of kind " + std::to_string(kind) + ", which is unknown");
  }
}

// What every stream here has.
template <class A>
void fields(A& a, Refuse& x) {
  a(x.code, x.retry_after_ms, x.reason);
}
template <class A>
void fields(A& a, Ping& x) {
  a(x.token);
}
template <class A>
void fields(A& a, Pong& x) {
  a(x.token);
}
const char* validation_error(
    const Refuse& x);  // what the types allow and the protocol does not; null: nothing

// Frames from a byte stream, however it is cut. Once all are taken it holds at most one unfinished frame.
class FrameParser {
 public:
  explicit FrameParser(std::size_t most_bytes = kMaxPayloadBytes)
      : framing_(most_bytes, std::variant_size_v<Frame>) {}
  void set_max_payload_bytes(std::size_t most_bytes) {
    framing_.set_max_payload_bytes(most_bytes);
  }  // for the frames yet to be taken
  void append(std::string_view bytes) { framing_.append(bytes); }
  // The next whole frame, if there is one. Throws ProtocolError; the stream is then at its end.
  std::optional<Frame> next();
  // Both at once: appends the frames that `bytes` completes.
  void feed(std::string_view bytes, std::vector<Frame>& out);
  std::size_t buffered_bytes() const { return framing_.buffered_bytes(); }

 private:
  FrameSplitter framing_;
};

}  // namespace beamshunt::native_protocol
