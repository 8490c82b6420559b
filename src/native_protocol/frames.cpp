#include "native_protocol/frames.h"

#include <cmath>

#include "base/archive.h"

namespace beamshunt::native_protocol {
// The archive finds these functions by argument-dependent lookup, so they can't be in the unnamed namespace.
template <class A>
void fields(A& a, Hello& x) {
  a(x.magic, x.version, x.proxy, x.incarnation, x.attempt, x.locality, x.expected_rate, x.only_static_tables,
    x.applied_epoch, x.applied_sequence);
}
template <class A>
void fields(A& a, Welcome& x) {
  a(x.version, x.epoch, x.heartbeat_ms, x.report_period_ms);
}
template <class A>
void fields(A& a, WeightUpdate& x) {
  a(x.table, x.endpoint, x.weight, x.locality, x.cell, x.ip, x.port);
}
template <class A>
void fields(A& a, ClearTableUpdate& x) {
  a(x.table);
}
template <class A>
void fields(A& a, AssignTableUpdate& x) {
  a(x.classes, x.table);
}
template <class A>
void fields(A& a, ExcludeEndpointUpdate& x) {
  a(x.endpoint, x.excluded);
}
template <class A>
void fields(A& a, AdmissionLimitUpdate& x) {
  a(x.table, x.classes, x.limit, x.retry_mode);
}
template <class A>
void fields(A& a, AckRequestUpdate& x) {
  a(x.sequence_number);
}
template <class A>
void fields(A& a, UpdateMessage& x) {
  a(x.sequence, x.decided_at_ms, x.lines, x.updates);
}
template <class A>
void fields(A& a, Acknowledgement& x) {
  a(x.sequence);
}
template <class A>
void fields(A& a, EndpointReportEntry& x) {
  a(x.endpoint, x.attempts, x.failed, x.mean_latency_ms, x.load);
}
template <class A>
void fields(A& a, DemandReportEntry& x) {
  a(x.request_class, x.arrivals, x.failed, x.within_objective);
}
template <class A>
void fields(A& a, LoadReportMessage& x) {
  a(x.sequence, x.interval_ms, x.endpoints, x.demand);
}
template <class A>
void fields(A& a, PeerHello& x) {
  a(x.magic, x.version, x.instance);
}
template <class A>
void fields(A& a, PeerNote& x) {
  a(x.payload);
}

namespace {

constexpr double kMaxReportIntervalMs = 3600e3;  // longer intervals hide the current load
constexpr double kMinLatencyMs = 0.001;          // shorter than any request over a network
constexpr double kMaxLatencyMs = 3600e3;         // longer than any deadline
constexpr double kMaxExpectedRate = 1e6;         // requests per second; above any machine's capacity
constexpr std::uint8_t kMaxRetryMode = 3;        // two retries

// The overloads of validation_error() check the rules that the field types do not enforce.
const char* validation_error(const Hello& hello) {
  if (hello.magic != kMagic) return "not this protocol: the magic number differs";
  if (!(hello.expected_rate >= 0) || std::isinf(hello.expected_rate))
    return "a usual rate below 0 or not finite";
  if (hello.expected_rate > kMaxExpectedRate) return "a usual rate over a million a second";
  return nullptr;
}
const char* validation_error(const PeerHello& hello) {
  return hello.magic != kMagic ? "not this protocol: the magic number differs" : nullptr;
}
bool is_finite_and_non_negative(double value) { return std::isfinite(value) && value >= 0; }
// A latency of 0 means that there is none.
bool is_latency(double ms) { return ms == 0 || (ms >= kMinLatencyMs && ms <= kMaxLatencyMs); }
const char* validation_error(const Welcome& welcome) {
  return is_finite_and_non_negative(welcome.heartbeat_ms) &&
                 is_finite_and_non_negative(welcome.report_period_ms)
             ? nullptr
             : "a time below 0 or not finite";
}
const char* validation_error(const UpdateMessage& message) {
  if (!std::isfinite(message.decided_at_ms) || !is_finite_and_non_negative(message.lines))
    return "a time or count that is not finite";
  for (const Update& update : message.updates) {
    if (auto* weight = std::get_if<WeightUpdate>(&update);
        weight && !is_finite_and_non_negative(weight->weight))
      return "a weight below 0 or not finite";
    if (auto* limit = std::get_if<AdmissionLimitUpdate>(&update)) {
      if (!is_finite_and_non_negative(limit->limit)) return "a level below 0 or not finite";
      if (limit->retry_mode > kMaxRetryMode) return "a retry mode over 3";
    }
  }
  return nullptr;
}
const char* validation_error(const LoadReportMessage& report) {
  // The comparisons are false for NaN.
  const bool in_range = report.interval_ms >= 0 && report.interval_ms <= kMaxReportIntervalMs;
  if (!in_range) return "a span below 0 or over an hour";
  for (const EndpointReportEntry& entry : report.endpoints) {
    if (entry.failed > entry.attempts) return "more failed tries than tries";
    if (!is_finite_and_non_negative(entry.mean_latency_ms)) return "a latency below 0 or not finite";
    if (!is_latency(entry.mean_latency_ms)) return "a latency under a microsecond or over an hour";
    for (auto& [name, value] : entry.load)
      if (!std::isfinite(value)) return "a load figure that is not finite";
  }
  return nullptr;
}
const char* validation_error(const PeerNote& note) {
  return note.payload.size() > kMaxPeerNoteBytes ? "a note over 256 bytes" : nullptr;
}
template <typename T>
const char* validation_error(const T&) {
  return nullptr;
}

// Returns whether a frame with this index in `Frame` opens a stream.
bool is_opening(std::size_t index) {
  return index == Frame(Hello{}).index() || index == Frame(PeerHello{}).index();
}

// Throws ProtocolError if the peer uses another protocol version. The check precedes the decoding of the
// payload because other versions may lay out the frame differently. `decoder` and `offset` are at the start
// of the payload.
void check_version(base::Decoder decoder, std::uint64_t offset) {
  std::uint32_t magic = 0;
  std::uint16_t version = 0;
  decoder(magic, version);
  if (magic == kMagic && version != kVersion)
    throw ProtocolError(
        RefuseCode::bad_version, offset + 4,
        "protocol version " + std::to_string(version) + ", this side speaks " + std::to_string(kVersion));
}

}  // namespace

const char* frame_kind_name(const Frame& frame) {
  constexpr const char* kNames[] = {"hello",  "welcome", "refuse", "orders",     "applied",
                                    "report", "ping",    "pong",   "peer_hello", "peer_note"};
  static_assert(std::size(kNames) == std::variant_size_v<Frame>);
  return kNames[frame.index()];
}

const char* validation_error(const Refuse& refuse) {
  return is_finite_and_non_negative(refuse.retry_after_ms) ? nullptr : "a time below 0 or not finite";
}

std::string encode_frame(std::size_t kind, const std::string& payload) {
  base::Encoder header;
  header(static_cast<std::uint32_t>(payload.size()), static_cast<std::uint8_t>(kind));
  return header.release() + payload;
}

void FrameSplitter::append(std::string_view bytes) {
  buffer_.erase(0, consumed_);
  buffer_offset_ += std::exchange(consumed_, 0);
  buffer_ += bytes;
}

std::optional<FrameSplitter::RawFrame> FrameSplitter::peek() const {
  std::string_view remaining = std::string_view(buffer_).substr(consumed_);
  if (remaining.size() < kFrameHeaderBytes) return std::nullopt;
  std::uint64_t offset = buffer_offset_ + consumed_;
  base::Decoder header(remaining.substr(0, kFrameHeaderBytes));
  std::uint32_t size = 0;
  std::uint8_t kind = 0;
  header(size, kind);
  if (size > max_payload_bytes_)
    throw ProtocolError(RefuseCode::bad_frame, offset,
                        "a frame of " + std::to_string(size) + " bytes, " +
                            std::to_string(max_payload_bytes_) + " are allowed");
  if (kind == 0 || kind > kind_count_)
    throw ProtocolError(RefuseCode::bad_frame, offset,
                        "a frame of kind " + std::to_string(kind) + ", which is unknown");
  if (remaining.size() - kFrameHeaderBytes < size) return std::nullopt;
  return RawFrame{kind, remaining.substr(kFrameHeaderBytes, size), offset + kFrameHeaderBytes};
}

std::string encode(const Frame& frame) {
  base::Encoder payload;
  std::visit([&](const auto& message) { payload(message); }, frame);
  return encode_frame(frame.index() + 1, payload.bytes());
}

std::optional<Frame> FrameParser::next() {
  auto raw_frame = splitter_.peek();
  if (!raw_frame) return std::nullopt;
  base::Decoder payload(raw_frame->payload);
  try {
    if (is_opening(raw_frame->kind - 1)) check_version(payload, raw_frame->offset);
    auto frame = decode_payload<Frame>(raw_frame->kind, payload);
    if (const char* reason = std::visit([](const auto& message) { return validation_error(message); }, frame))
      payload.fail(reason);
    splitter_.consume(*raw_frame);
    return frame;
  } catch (const base::DecodeError& error) {
    throw ProtocolError(RefuseCode::bad_frame, raw_frame->offset + error.offset, error.what());
  }
}

void FrameParser::feed(std::string_view bytes, std::vector<Frame>& out) {
  append(bytes);
  while (std::optional<Frame> frame = next()) out.push_back(std::move(*frame));
}

}  // namespace beamshunt::native_protocol
