// What an assigner and a configuration service say to each other: resources by type and name in versions that
// are answered. Where the xDS documents settle a question they are followed: a nonce a delivery, an answer
// that echoes it and names the version in force, removed names beside changed resources, the held versions
// told anew on each stream. Other than there, one delivery spans all types: it is one atomic change.
// Pure: bytes in, frames out, and back. docs/protocol.md has the bytes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "channel/frames.h"

namespace beamshunt::configstream {

constexpr std::uint32_t kMagic = 0x42534346;  // "BSCF"
constexpr std::uint16_t kVersion = 1;

struct Key {
  std::string type, name;
  auto operator<=>(const Key&) const = default;
};
struct Resource {
  std::uint64_t version = 0;  // of the delivery that last changed it
  std::string body;           // settings, or what else its type holds
  bool operator==(const Resource&) const = default;
};
using Resources = std::map<Key, Resource>;

// Of types, names and bodies: equal settings have equal hashes, however they came.
std::uint64_t content_hash(const Resources& resources);

// A whole version of all resources.
struct Version {
  std::uint64_t number = 0;  // 0: none
  std::uint64_t hash = 0;
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
std::string to_string(const Reason& reason);

struct Subscribe {  // client to service, the first frame of a stream
  std::uint32_t magic = kMagic;
  std::uint16_t version = kVersion;
  std::uint32_t instance = 0;
  std::string origin;              // whose versions are wanted: numbers of another origin mean nothing
  std::vector<std::string> types;  // wanted; none: all
  std::uint64_t held_number = 0, held_hash = 0;
  std::map<Key, std::uint64_t> held;  // version of each resource held
  bool operator==(const Subscribe&) const = default;
};
struct Delivery {  // service to client; one version in `parts` frames
  std::uint64_t nonce = 0;
  std::string origin;
  std::uint64_t number = 0, base = 0;  // base 0: a snapshot; else what is to be changed
  std::uint64_t hash = 0;              // of the whole version once changed
  std::uint32_t part = 0, parts = 1;
  std::map<Key, std::string> changed;
  std::vector<Key> removed;
  bool operator==(const Delivery&) const = default;
};
enum class Verdict : std::uint8_t {
  ack = 0,         // kept on disk and in force from the next turn on
  nack = 1,        // not taken; the reasons say why
  superseded = 2,  // a later one came before this one was looked at
  resync = 3,      // does not fit what this side holds: a snapshot is needed
  reverted = 4,    // was acked, and went back within its watch time
};
struct Answer {
  std::uint64_t nonce = 0, number = 0;
  Verdict verdict{};
  std::uint64_t in_force = 0;
  std::vector<Reason> reasons;
  bool operator==(const Answer&) const = default;
};
using channel::Ping;
using channel::Pong;
using channel::Refuse;
// The kind byte of a frame is its position here, from 1.
using Frame = std::variant<Subscribe, Delivery, Answer, Ping, Pong, Refuse>;

std::string encode(const Frame& frame);

class FrameParser {
 public:
  explicit FrameParser(std::size_t most_bytes) : framing_(most_bytes, std::variant_size_v<Frame>) {}
  void push(std::string_view bytes) { framing_.push(bytes); }
  std::optional<Frame> next();  // throws channel::ProtocolError

 private:
  channel::Framing framing_;
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

}  // namespace beamshunt::configstream
