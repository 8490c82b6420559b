#include "native_protocol/frames.h"

#include <cmath>

#include "base/archive.h"

namespace beamshunt::native_protocol {
// Found by argument-dependent lookup, hence not in the unnamed namespace.
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

// What the types allow and the protocol does not.
constexpr double kMaxReportIntervalMs = 3600e3;  // a report on a longer time tells nothing of now
constexpr std::uint8_t kMaxRetryMode = 3;        // twice
const char* validation_error(const Hello& x) {
  if (x.magic != kMagic) return "not this protocol: the magic number differs";
  if (!(x.expected_rate >= 0) || std::isinf(x.expected_rate)) return "a usual rate below 0 or not finite";
  return nullptr;
}
const char* validation_error(const PeerHello& x) {
  return x.magic != kMagic ? "not this protocol: the magic number differs" : nullptr;
}
bool sane(double x) { return std::isfinite(x) && x >= 0; }
const char* validation_error(const Welcome& x) {
  return sane(x.heartbeat_ms) && sane(x.report_period_ms) ? nullptr : "a time below 0 or not finite";
}
const char* validation_error(const UpdateMessage& x) {
  if (!std::isfinite(x.decided_at_ms) || !sane(x.lines)) return "a time or count that is not finite";
  for (const Update& update : x.updates) {
    if (auto* weight = std::get_if<WeightUpdate>(&update); weight && !sane(weight->weight))
      return "a weight below 0 or not finite";
    if (auto* limit = std::get_if<AdmissionLimitUpdate>(&update)) {
      if (!sane(limit->limit)) return "a level below 0 or not finite";
      if (limit->retry_mode > kMaxRetryMode) return "a retry mode over 3";
    }
  }
  return nullptr;
}
const char* validation_error(const LoadReportMessage& x) {
  const bool in_range = x.interval_ms >= 0 && x.interval_ms <= kMaxReportIntervalMs;  // false for NaN
  if (!in_range) return "a span below 0 or over an hour";
  for (const EndpointReportEntry& entry : x.endpoints) {
    if (entry.failed > entry.attempts) return "more failed tries than tries";
    if (!sane(entry.mean_latency_ms)) return "a latency below 0 or not finite";
    for (auto& [name, value] : entry.load)
      if (!std::isfinite(value)) return "a load figure that is not finite";
  }
  return nullptr;
}
const char* validation_error(const PeerNote& x) {
  return x.payload.size() > kMaxPeerNoteBytes ? "a note over 256 bytes" : nullptr;
}
template <typename T>
const char* validation_error(const T&) {
  return nullptr;
}

bool is_opening(std::size_t kind) {
  return kind == Frame(Hello{}).index() || kind == Frame(PeerHello{}).index();
}

// Before the rest is read: another version's hello may be of another shape.
void check_version(base::Decoder opening, std::uint64_t at) {
  std::uint32_t magic = 0;
  std::uint16_t version = 0;
  opening(magic, version);
  if (magic == kMagic && version != kVersion)
    throw ProtocolError(
        RefuseCode::bad_version, at + 4,
        "protocol version " + std::to_string(version) + ", this side speaks " + std::to_string(kVersion));
}

}  // namespace

const char* frame_kind_name(const Frame& frame) {
  constexpr const char* kNames[] = {"hello",  "welcome", "refuse", "orders",     "applied",
                                    "report", "ping",    "pong",   "peer_hello", "peer_note"};
  static_assert(std::size(kNames) == std::variant_size_v<Frame>);
  return kNames[frame.index()];
}

const char* validation_error(const Refuse& x) {
  return sane(x.retry_after_ms) ? nullptr : "a time below 0 or not finite";
}

std::string encode_frame(std::size_t kind, const std::string& payload) {
  base::Encoder head;
  head(static_cast<std::uint32_t>(payload.size()), static_cast<std::uint8_t>(kind));
  return head.release() + payload;
}

void FrameSplitter::append(std::string_view bytes) {
  held_.erase(0, at_);
  before_ += std::exchange(at_, 0);
  held_ += bytes;
}

std::optional<FrameSplitter::RawFrame> FrameSplitter::peek() const {
  std::string_view left = std::string_view(held_).substr(at_);
  if (left.size() < kFrameHeaderBytes) return std::nullopt;
  std::uint64_t offset = before_ + at_;
  base::Decoder head(left.substr(0, kFrameHeaderBytes));
  std::uint32_t size = 0;
  std::uint8_t kind = 0;
  head(size, kind);
  if (size > most_)
    throw ProtocolError(
        RefuseCode::bad_frame, offset,
        "a frame of " + std::to_string(size) + " bytes, " + std::to_string(most_) + " are allowed");
  if (kind == 0 || kind > kinds_)
    throw ProtocolError(RefuseCode::bad_frame, offset,
                        "a frame of kind " + std::to_string(kind) + ", which is unknown");
  if (left.size() - kFrameHeaderBytes < size) return std::nullopt;
  return RawFrame{kind, left.substr(kFrameHeaderBytes, size), offset + kFrameHeaderBytes};
}

std::string encode(const Frame& frame) {
  base::Encoder payload;
  std::visit([&](const auto& f) { payload(f); }, frame);
  return encode_frame(frame.index() + 1, payload.bytes());
}

std::optional<Frame> FrameParser::next() {
  auto piece = framing_.peek();
  if (!piece) return std::nullopt;
  base::Decoder payload(piece->payload);
  try {
    if (is_opening(piece->kind - 1)) check_version(payload, piece->offset);
    auto frame = decode_payload<Frame>(piece->kind, payload);
    if (const char* reason = std::visit([](const auto& f) { return validation_error(f); }, frame))
      payload.fail(reason);
    framing_.consume(*piece);
    return frame;
  } catch (const base::DecodeError& error) {
    throw ProtocolError(RefuseCode::bad_frame, piece->offset + error.offset, error.what());
  }
}

void FrameParser::feed(std::string_view bytes, std::vector<Frame>& out) {
  append(bytes);
  while (std::optional<Frame> frame = next()) out.push_back(std::move(*frame));
}

}  // namespace beamshunt::native_protocol
