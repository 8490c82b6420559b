// The order channel's frames, as docs/protocol.md gives them: what proxies, assigners and their peers say to
// each other over one stream. Pure: bytes in, frames out, and back.
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

namespace beamshunt::channel {

constexpr std::uint32_t kMagic = 0x42534854;  // "BSHT"
constexpr std::uint16_t kVersion = 1;
constexpr std::uint32_t kEveryTable = 0xffffffff;     // AdmitOrder::table: all tables of the stream's proxy
constexpr double kSilentBeats = 3;                    // heartbeats without a byte: the stream is dead
constexpr std::size_t kMostNoteBytes = 256;           // of a peer's note
constexpr std::size_t kHeaderBytes = 5;               // length of what follows (4), kind (1)
constexpr std::size_t kMostFrameBytes = 4 * 1048576;  // of a payload; a longer one ends the stream

// ---- Opening ----
struct Hello {  // proxy to assigner, the first frame of a stream
  std::uint32_t magic = kMagic;
  std::uint16_t version = kVersion;
  std::uint32_t proxy = 0;
  std::uint64_t incarnation = 0;  // drawn anew at each start of the proxy
  std::uint32_t attempt = 0;      // streams dialled since that start: a later one replaces an earlier
  std::string locality;           // must be the one that the assigner's settings give the peer's address
  double usual_rate = 0;          // requests a second; 0: unknown
  bool only_standing = false;     // holds nothing but its standing tables
  std::uint64_t held_epoch = 0;   // epoch of the assigner whose orders it holds; 0: none
  std::uint64_t held_sequence = 0;
  bool operator==(const Hello&) const = default;
};
struct Welcome {  // assigner to proxy, the answer
  std::uint16_t version = kVersion;
  std::uint64_t epoch = 0;      // of the assigner's run: grows at each start
  double heartbeat_ms = 0;      // a side that sent nothing for so long sends a ping
  double report_period_ms = 0;  // reports are due this often
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

// ---- Orders ----
struct LineOrder {  // one line of a table; the endpoint's place comes along so that a proxy needs no list
  std::uint32_t table = 0, endpoint = 0;
  double weight = 0;  // 0 removes the line
  std::uint16_t locality = 0;
  std::uint32_t cell = 0;
  std::uint32_t ip = 0;  // IPv4, most significant byte first; 0 where the line is removed
  std::uint16_t port = 0;
  bool operator==(const LineOrder&) const = default;
};
struct ResetOrder {
  std::uint32_t table = 0;
  bool operator==(const ResetOrder&) const = default;
};
struct BindOrder {  // the table begins empty; its lines and levels follow in the same message
  std::uint64_t classes = 0;
  std::uint32_t table = 0;
  bool operator==(const BindOrder&) const = default;
};
struct WithdrawOrder {
  std::uint32_t endpoint = 0;
  bool withdrawn = true;
  bool operator==(const WithdrawOrder&) const = default;
};
struct AdmitOrder {
  std::uint32_t table = 0;
  std::uint64_t classes = 0;
  double level = 0;
  std::uint8_t retry = 0;  // 0 never, 1 after proof that the first try never ran, 2 once, 3 twice
  bool operator==(const AdmitOrder&) const = default;
};
struct BarrierOrder {
  std::uint32_t serial = 0;
  bool operator==(const BarrierOrder&) const = default;
};
using Order = std::variant<LineOrder, ResetOrder, BindOrder, WithdrawOrder, AdmitOrder, BarrierOrder>;

struct Orders {                // one decision's message to one proxy, applied as a whole
  std::uint64_t sequence = 0;  // 1, 2, ... within the stream
  double decided_at_ms = 0;    // on the assigner's monotonic clock
  double lines = 0;            // what it counts in the channel, envelope included
  std::vector<Order> orders;
  bool operator==(const Orders&) const = default;
};
struct Applied {
  std::uint64_t sequence = 0;  // this message and all before it are in force
  bool operator==(const Applied&) const = default;
};

// ---- Reports ----
struct Heard {  // tries that ended at an endpoint since the last report
  std::uint32_t endpoint = 0, tries = 0, failed = 0;
  double latency_ms = 0;                             // mean of the good ones; 0 if there were none
  std::vector<std::pair<std::string, double>> load;  // the newest load report among the answers
  bool operator==(const Heard&) const = default;
};
struct Usage {  // of a class since the last report; what came before it may end in it
  std::uint16_t request_class = 0;
  std::uint32_t came = 0, unanswered = 0, in_time = 0;  // in_time: answered within the class's SLO
  bool operator==(const Usage&) const = default;
};
struct Report {
  std::uint64_t sequence = 0;  // 1, 2, ... within the stream
  double span_ms = 0;
  std::vector<Heard> heard;
  std::vector<Usage> usage;
  bool operator==(const Report&) const = default;
};

// ---- Upkeep and peers ----
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
  std::string payload;  // kMostNoteBytes at most
  bool operator==(const PeerNote&) const = default;
};

// The kind byte of a frame is its position here, from 1.
using Frame = std::variant<Hello, Welcome, Refuse, Orders, Applied, Report, Ping, Pong, PeerHello, PeerNote>;
const char* kind_name(const Frame& frame);

// A frame that breaks the rules; `offset` counts bytes since the stream began.
class Malformed : public std::runtime_error {
 public:
  Malformed(RefuseCode refusal, std::uint64_t where, const std::string& reason)
      : std::runtime_error(reason), code(refusal), offset(where) {}
  RefuseCode code;
  std::uint64_t offset;
};

// Length and kind before each payload, whatever the payloads are: the framing that all streams here share.
std::string framed(std::size_t kind, const std::string& payload);  // kind: from 1

class Framing {
 public:
  Framing(std::size_t most_bytes, std::size_t kinds) : most_(most_bytes), kinds_(kinds) {}
  struct Piece {
    std::size_t kind = 0;  // from 1
    std::string_view payload;
    std::uint64_t offset = 0;  // of the payload in the stream
  };
  void allow(std::size_t most_bytes) { most_ = most_bytes; }
  void push(std::string_view bytes);
  // The next whole frame, if there is one; take() moves behind it. Throws Malformed, before the payload is
  // there, for a frame that is too long or of an unknown kind.
  std::optional<Piece> look() const;
  void take(const Piece& piece) { at_ += kHeaderBytes + piece.payload.size(); }
  std::size_t unfinished() const { return held_.size() - at_; }

 private:
  std::size_t most_, kinds_;
  std::string held_;
  std::size_t at_ = 0;        // bytes of held_ that were taken
  std::uint64_t before_ = 0;  // bytes of the stream before held_
};

std::string encode(const Frame& frame);

// The alternative of a frame variant that a kind byte names, read whole. Throws base::DecodeError.
template <class Variant, std::size_t K = 0>
Variant decode_kind(std::size_t kind, base::Decoder& d) {
  if constexpr (K < std::variant_size_v<Variant>) {
    if (kind != K + 1) return decode_kind<Variant, K + 1>(kind, d);
    std::variant_alternative_t<K, Variant> frame;
    d(frame);
    d.end();
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
const char* fault(const Refuse& x);  // what the types allow and the protocol does not; null: nothing

// Frames from a byte stream, however it is cut. Once all are taken it holds at most one unfinished frame.
class FrameParser {
 public:
  explicit FrameParser(std::size_t most_bytes = kMostFrameBytes)
      : framing_(most_bytes, std::variant_size_v<Frame>) {}
  void allow(std::size_t most_bytes) { framing_.allow(most_bytes); }  // for the frames yet to be taken
  void push(std::string_view bytes) { framing_.push(bytes); }
  // The next whole frame, if there is one. Throws Malformed; the stream is then at its end.
  std::optional<Frame> next();
  // Both at once: appends the frames that `bytes` completes.
  void feed(std::string_view bytes, std::vector<Frame>& out);
  std::size_t unfinished() const { return framing_.unfinished(); }

 private:
  Framing framing_;
};

}  // namespace beamshunt::channel
