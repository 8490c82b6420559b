// What an assigner and a configuration service say to each other: resources by type and name, in versions
// that are answered. Where the xDS documents settle a question they are followed: a nonce per delivery, an
// answer that echoes it and names the active version, removed names beside changed resources, the held
// versions named anew on each stream. Other than there, one delivery spans all types: it is one atomic
// change.
//
// Pure: bytes in, frames out, and back. docs/protocol.md has the bytes; the order of each type's fields below
// is theirs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "native_protocol/frames.h"

namespace beamshunt::config_stream {

constexpr std::uint32_t kMagic =
    0x42534346;                        // "BSCF": a peer of another protocol is told from a damaged frame
constexpr std::uint16_t kVersion = 1;  // of the protocol

// ---- Resources and versions ----

struct Key {
  std::string type, name;
  auto operator<=>(const Key&) const = default;
};
struct Resource {
  std::uint64_t version = 0;  // number of the version that last changed it
  std::string body;           // settings, or what else its type holds
  bool operator==(const Resource&) const = default;
};
using Resources = std::map<Key, Resource>;

// The XXH3 hash of types, names and bodies: equal settings have equal hashes, whichever deltas made them.
std::uint64_t content_hash(const Resources& resources);

// All resources of one version.
struct Version {
  std::uint64_t number = 0;  // 0: none
  std::uint64_t hash = 0;    // content_hash() of the resources
  Resources resources;
  bool operator==(const Version&) const = default;
};

// Why a version is refused.
struct Reason {
  std::string rule;    // "form", "bounds", "reference", "rule 1" to "rule 5", "shadow", "watch", "order", ...
  std::string path;    // of the field or resource
  std::string reason;  // with figures
  std::string would_do;  // a value that would pass; empty: none is known
  bool operator==(const Reason&) const = default;
};
// "<rule>: <path>: <reason>; <would_do> would do", without the parts that are empty.
std::string to_string(const Reason& reason);

// ---- Frames ----

// Client to service, the first frame of a stream.
struct Subscribe {
  std::uint32_t magic = kMagic;
  std::uint16_t version = kVersion;
  std::uint32_t instance = 0;      // the assigner's number
  std::string origin;              // whose versions are wanted: numbers of another origin mean nothing
  std::vector<std::string> types;  // that are wanted; none: all
  std::uint64_t held_number = 0;   // of the active version; 0: none
  std::uint64_t held_hash = 0;
  std::map<Key, std::uint64_t> held;  // version of each resource held
  bool operator==(const Subscribe&) const = default;
};
// Service to client: one version, in `parts` frames with the same nonce.
struct Delivery {
  std::uint64_t nonce = 0;
  std::string origin;
  std::uint64_t number = 0;
  std::uint64_t base = 0;  // 0: a snapshot; else the version that this delta changes
  std::uint64_t hash = 0;  // of the whole version once changed
  std::uint32_t part = 0;  // from 0
  std::uint32_t parts = 1;
  std::map<Key, std::string> changed;  // to its body
  std::vector<Key> removed;
  bool operator==(const Delivery&) const = default;
};
enum class Verdict : std::uint8_t {
  ack = 0,         // on disk, and active from the next turn of the loop on
  nack = 1,        // not accepted; the reasons say why
  superseded = 2,  // a later version came before this one was validated
  resync = 3,      // does not fit what this side holds: a snapshot is needed
  reverted = 4,    // was acked, and failed its trial
};
// Client to service: one for each delivery, and one more if the version is reverted.
struct Answer {
  std::uint64_t nonce = 0;   // of the delivery
  std::uint64_t number = 0;  // of the version delivered
  Verdict verdict{};
  std::uint64_t in_force = 0;  // number of the active version
  std::vector<Reason> reasons;
  bool operator==(const Answer&) const = default;
};
using native_protocol::Ping;
using native_protocol::Pong;
using native_protocol::Refuse;
// The kind byte of a frame is its position here, from 1.
using Frame = std::variant<Subscribe, Delivery, Answer, Ping, Pong, Refuse>;

std::string encode(const Frame& frame);

// Frames from a byte stream, however it is cut.
class FrameParser {
 public:
  // `max_bytes`: of one frame; a longer one is refused before its payload is there.
  explicit FrameParser(std::size_t max_bytes) : framing_(max_bytes, std::variant_size_v<Frame>) {}
  void push(std::string_view bytes) { framing_.append(bytes); }
  // The next whole frame, if there is one. Throws native_protocol::ProtocolError, with the code for the peer
  // and the offset in the stream; the stream is then at its end.
  std::optional<Frame> next();

 private:
  native_protocol::FrameSplitter framing_;
};

template <class A>
void fields(A& a, Key& x) {
  a(x.type, x.name);
}
template <class A>
void fields(A& a, Resource& x) {
  a(x.version, x.body);
}
template <class A>
void fields(A& a, Version& x) {
  a(x.number, x.hash, x.resources);
}
template <class A>
void fields(A& a, Reason& x) {
  a(x.rule, x.path, x.reason, x.would_do);
}

}  // namespace beamshunt::config_stream
