#include "config_stream/wire.h"

#include <xxhash.h>

#include "base/archive.h"

namespace beamshunt::config_stream {
// Found by argument-dependent lookup, hence not in the unnamed namespace.
template <class A>
void fields(A& a, Subscribe& x) {
  a(x.magic, x.version, x.instance, x.origin, x.types, x.held_number, x.held_hash, x.held);
}
template <class A>
void fields(A& a, Delivery& x) {
  a(x.nonce, x.origin, x.number, x.base, x.hash, x.part, x.parts, x.changed, x.removed);
}
template <class A>
void fields(A& a, Answer& x) {
  a(x.nonce, x.number, x.verdict, x.in_force, x.reasons);
}

namespace {

// What the types allow and the protocol does not; null: nothing.
const char* validation_error(const Subscribe& x) {
  return x.magic != kMagic ? "not this protocol: the magic number differs" : nullptr;
}
const char* validation_error(const Delivery& x) {
  if (x.number == 0) return "a version of number 0";
  if (x.base >= x.number) return "a change of a version that is not before it";
  return x.part < x.parts ? nullptr : "a part beyond the last";
}
const char* validation_error(const Answer& x) {
  return x.verdict > Verdict::reverted ? "an unknown verdict" : nullptr;
}
using native_protocol::validation_error;
template <typename T>
const char* validation_error(const T&) {
  return nullptr;
}

}  // namespace

std::uint64_t content_hash(const Resources& resources) {
  base::Encoder encoder;
  for (const auto& [key, resource] : resources) encoder(key, resource.body);
  return XXH3_64bits(encoder.bytes().data(), encoder.bytes().size());
}

std::string to_string(const Reason& r) {
  std::string out = r.rule + ": " + (r.path.empty() ? "" : r.path + ": ") + r.reason;
  return r.would_do.empty() ? out : out + "; " + r.would_do + " would do";
}

std::string encode(const Frame& frame) {
  base::Encoder payload;
  std::visit([&](const auto& f) { payload(f); }, frame);
  return native_protocol::encode_frame(frame.index() + 1, payload.bytes());
}

std::optional<Frame> FrameParser::next() {
  auto piece = framing_.peek();
  if (!piece) return std::nullopt;
  base::Decoder payload(piece->payload);
  try {
    auto frame = native_protocol::decode_payload<Frame>(piece->kind, payload);
    if (const char* reason = std::visit([](const auto& f) { return validation_error(f); }, frame))
      payload.fail(reason);
    framing_.consume(*piece);
    return frame;
  } catch (const base::DecodeError& error) {
    throw native_protocol::ProtocolError(native_protocol::RefuseCode::bad_frame, piece->offset + error.offset,
                                         error.what());
  }
}

}  // namespace beamshunt::config_stream
