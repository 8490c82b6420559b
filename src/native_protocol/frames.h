// Frames of the native protocol, which connects proxies to assigners and assigners to their peers. The
// protocol is specified in docs/protocol.md; this package is the only place that maps its fields to the terms
// of the code. Encoding and decoding perform no I/O and make no decisions.
//
// A frame consists of the payload length (4 bytes), the kind (1 byte) and the payload. All integers are
// little endian and encoded as in base/archive.h.
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
// Value of AdmissionLimitUpdate::table for a limit that applies to all tables of the proxy.
constexpr std::uint32_t kAllTables = 0xffffffff;
// A side closes a stream on which it has received nothing for this number of heartbeat periods. It is above 1
// because a single lost ping does not prove that the peer has failed.
constexpr double kHeartbeatTimeoutPeriods = 3;
constexpr std::size_t kMaxPeerNoteBytes = 256;  // notes carry gossip between controllers, not bulk data
constexpr std::size_t kFrameHeaderBytes = 5;    // payload length (4 bytes) and kind (1 byte)
// Default limit of a payload. It bounds the bytes that a peer can make the receiver buffer.
constexpr std::size_t kMaxPayloadBytes = std::size_t{4} * 1048576;

// ---- Handshake ----
// Opens a stream from a proxy to an assigner. The proxy sends it as the first frame.
struct Hello {
  std::uint32_t magic = kMagic;
  std::uint16_t version = kVersion;
  std::uint32_t proxy = 0;
  std::uint64_t incarnation = 0;  // random number drawn at each start of the proxy
  // Number of streams opened by this incarnation. A stream with a higher number replaces earlier streams.
  std::uint32_t attempt = 0;
  std::string locality;      // must match the locality that the assigner configures for the peer address
  double expected_rate = 0;  // requests per second; 0: unknown
  bool only_static_tables = false;     // true: no table of the proxy was assigned by an assigner
  std::uint64_t applied_epoch = 0;     // epoch of the assigner whose updates are applied; 0: none
  std::uint64_t applied_sequence = 0;  // last update message of `applied_epoch` that the proxy applied
  bool operator==(const Hello&) const = default;
};
// Confirms a Hello. The assigner sends it again when one of the periods changes.
struct Welcome {
  std::uint16_t version = kVersion;
  std::uint64_t epoch = 0;      // number of the assigner's run, which increases at each start
  double heartbeat_ms = 0;      // a side that has sent nothing for this period sends a ping
  double report_period_ms = 0;  // interval between load reports
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
// Rejects a stream. Either side may send it; it is the last frame of the stream.
struct Refuse {
  RefuseCode code{};
  double retry_after_ms = 0;
  std::string reason;
  bool operator==(const Refuse&) const = default;
};

// ---- Updates to one proxy. In class masks, bit N stands for request class N. ----
// Sets the weight of one endpoint in a table. It includes the endpoint's address so that a proxy needs no
// endpoint list.
struct WeightUpdate {
  std::uint32_t table = 0;
  std::uint32_t endpoint = 0;
  double weight = 0;  // 0 removes the entry
  std::uint16_t locality = 0;
  std::uint32_t cell = 0;
  std::uint32_t ip = 0;  // IPv4, most significant byte first; 0 if the entry is removed
  std::uint16_t port = 0;
  bool operator==(const WeightUpdate&) const = default;
};
// Removes all weights and admission limits of a table.
struct ClearTableUpdate {
  std::uint32_t table = 0;
  bool operator==(const ClearTableUpdate&) const = default;
};
// Makes the proxy use a table for a set of request classes. The table starts empty; its weights and limits
// follow in the same message.
struct AssignTableUpdate {
  std::uint64_t classes = 0;
  std::uint32_t table = 0;
  bool operator==(const AssignTableUpdate&) const = default;
};
// Excludes an endpoint from all requests, whatever its weights, until the exclusion is lifted.
struct ExcludeEndpointUpdate {
  std::uint32_t endpoint = 0;
  bool excluded = true;
  bool operator==(const ExcludeEndpointUpdate&) const = default;
};
struct AdmissionLimitUpdate {
  std::uint32_t table = 0;  // table number or kAllTables
  std::uint64_t classes = 0;
  double limit = 0;             // a share or requests per second, depending on the settings
  std::uint8_t retry_mode = 0;  // 0: never; 1: once the first attempt provably never ran; 2: once; 3: twice
  bool operator==(const AdmissionLimitUpdate&) const = default;
};
// Requests an acknowledgement. The controller uses it to learn when all preceding updates are applied.
struct AckRequestUpdate {
  std::uint32_t sequence_number = 0;
  bool operator==(const AckRequestUpdate&) const = default;
};
// The order of the alternatives is part of the protocol.
using Update = std::variant<WeightUpdate, ClearTableUpdate, AssignTableUpdate, ExcludeEndpointUpdate,
                            AdmissionLimitUpdate, AckRequestUpdate>;

// The updates of one decision for one proxy. The proxy applies them atomically.
struct UpdateMessage {
  std::uint64_t sequence = 0;  // 1, 2, ... within the stream
  double decided_at_ms = 0;    // time on the assigner's monotonic clock
  double lines = 0;            // cost in the update channel, in lines, including the overhead of the message
  std::vector<Update> updates;
  bool operator==(const UpdateMessage&) const = default;
};
struct Acknowledgement {
  std::uint64_t sequence = 0;  // this message and all earlier ones are applied
  bool operator==(const Acknowledgement&) const = default;
};

// ---- Load reports ----
// Attempts that ended at an endpoint since the last report.
struct EndpointReportEntry {
  std::uint32_t endpoint = 0;
  std::uint32_t attempts = 0;
  std::uint32_t failed = 0;
  double mean_latency_ms = 0;                        // mean of the successful attempts; 0 if there were none
  std::vector<std::pair<std::string, double>> load;  // most recent load figures from the responses, by name
  bool operator==(const EndpointReportEntry&) const = default;
};
// Requests of a class since the last report. A request may arrive in the interval of one report and end in
// the interval of the next.
struct DemandReportEntry {
  std::uint16_t request_class = 0;
  std::uint32_t arrivals = 0;
  std::uint32_t failed = 0;
  std::uint32_t within_objective = 0;  // requests answered within the latency objective of the class
  bool operator==(const DemandReportEntry&) const = default;
};
struct LoadReportMessage {
  std::uint64_t sequence = 0;  // 1, 2, ... within the stream
  double interval_ms = 0;      // time that the report covers
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
// Opens a stream between assigners. The side that opened the connection sends it as the first frame.
struct PeerHello {
  std::uint32_t magic = kMagic;
  std::uint16_t version = kVersion;
  std::uint32_t instance = 0;
  bool operator==(const PeerHello&) const = default;
};
struct PeerNote {
  std::string payload;  // at most kMaxPeerNoteBytes
  bool operator==(const PeerNote&) const = default;
};

// The kind byte of a frame is the position of its type in this list, starting from 1.
using Frame = std::variant<Hello, Welcome, Refuse, UpdateMessage, Acknowledgement, LoadReportMessage, Ping,
                           Pong, PeerHello, PeerNote>;
// Returns the kind's name in the protocol specification, for log and error messages.
const char* frame_kind_name(const Frame& frame);

// Reports a frame that violates the protocol. No further frames can be decoded from the stream.
class ProtocolError : public std::runtime_error {
 public:
  ProtocolError(RefuseCode refuse_code, std::uint64_t stream_offset, const std::string& reason)
      : std::runtime_error(reason), code(refuse_code), offset(stream_offset) {}
  RefuseCode code;       // code for the Refuse frame to the peer
  std::uint64_t offset;  // position of the violation, in bytes from the start of the stream
};

// Returns a frame with the given kind, numbered from 1, and payload. The protocol of src/config_stream uses
// the same framing.
std::string encode_frame(std::size_t kind, const std::string& payload);

// Splits a byte stream into frames without decoding their payloads.
class FrameSplitter {
 public:
  // Accepts frames with payloads of up to `max_payload_bytes` and with kinds from 1 to `kind_count`.
  FrameSplitter(std::size_t max_payload_bytes, std::size_t kind_count)
      : max_payload_bytes_(max_payload_bytes), kind_count_(kind_count) {}
  struct RawFrame {
    std::size_t kind = 0;      // 1 to the number of kinds
    std::string_view payload;  // valid until the next append()
    std::uint64_t offset = 0;  // position of the payload in the stream, in bytes
  };
  // Sets the payload limit for frames that peek() has not yet returned.
  void set_max_payload_bytes(std::size_t max_payload_bytes) { max_payload_bytes_ = max_payload_bytes; }
  // Appends received bytes to the buffer.
  void append(std::string_view bytes);
  // Returns the next frame, or nothing until all its bytes are in the buffer. The frame stays in the buffer
  // until consume(). Throws ProtocolError for a payload over the limit or an unknown kind as soon as the
  // header is in the buffer.
  std::optional<RawFrame> peek() const;
  // Removes a frame that peek() returned.
  void consume(const RawFrame& frame) { consumed_ += kFrameHeaderBytes + frame.payload.size(); }
  // Returns the number of bytes received and not yet consumed.
  std::size_t buffered_bytes() const { return buffer_.size() - consumed_; }

 private:
  std::size_t max_payload_bytes_, kind_count_;
  std::string buffer_;
  std::size_t consumed_ = 0;         // bytes at the start of buffer_ that belong to consumed frames
  std::uint64_t buffer_offset_ = 0;  // position of the first byte of buffer_ in the stream
};

std::string encode(const Frame& frame);

// Decodes the payload of a frame of the given kind into the matching alternative of `Variant`. Throws
// base::DecodeError if the kind is unknown or if the payload is malformed, too short or too long.
template <class Variant, std::size_t K = 0>
Variant decode_payload(std::size_t kind, base::Decoder& decoder) {
  if constexpr (K < std::variant_size_v<Variant>) {
    if (kind != K + 1) return decode_payload<Variant, K + 1>(kind, decoder);
    std::variant_alternative_t<K, Variant> frame;
    decoder(frame);
    decoder.expect_end();
    return frame;
  } else {
    decoder.fail("a frame of kind " + std::to_string(kind) + ", which is unknown");
  }
}

// Field lists of the frames that the protocol of src/config_stream also uses.
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
// Returns the protocol rule that the frame's values violate, or null if the frame is valid.
const char* validation_error(const Refuse& refuse);

// Decodes frames from a byte stream that is received in arbitrary fragments. After next() has returned
// nothing, the buffer contains at most one incomplete frame.
class FrameParser {
 public:
  explicit FrameParser(std::size_t max_payload_bytes = kMaxPayloadBytes)
      : splitter_(max_payload_bytes, std::variant_size_v<Frame>) {}
  // Sets the payload limit for frames that next() has not yet returned.
  void set_max_payload_bytes(std::size_t max_payload_bytes) {
    splitter_.set_max_payload_bytes(max_payload_bytes);
  }
  // Appends received bytes to the buffer.
  void append(std::string_view bytes) { splitter_.append(bytes); }
  // Returns the next frame, or nothing until all its bytes are in the buffer. Throws ProtocolError if the
  // frame is invalid; the parser must not be used after that.
  std::optional<Frame> next();
  // Appends received bytes and adds each complete frame to `out`. Throws like next().
  void feed(std::string_view bytes, std::vector<Frame>& out);
  // Returns the number of bytes that belong to no returned frame.
  std::size_t buffered_bytes() const { return splitter_.buffered_bytes(); }

 private:
  FrameSplitter splitter_;
};

}  // namespace beamshunt::native_protocol
