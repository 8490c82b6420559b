// The assigner's side of streamed configuration, without its socket and its disk: which service to dial, what
// was offered, what is looked at, what each delivery is answered. Time, bytes and verdicts in, effects out.
//
// A delivery goes: offered -> checked (by the gate, off the loop) -> kept (on disk) -> acked and applied.
// One is under way at a time and one waits; a later one takes the waiting one's place. Each is answered once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "config_stream/wire.h"

namespace beamshunt::config_stream {

using base::Ms;

struct ClientOptions {
  std::uint32_t instance = 0;
  std::string origin;
  std::size_t endpoints = 1;  // control services, in the order they are dialled
  Ms heartbeat = 1000;        // silence of three breaks the stream
  Ms return_after = 60000;    // on another service than the first: then the first is tried again
  Ms deliver_within = 10000;  // from a delivery's first part to its last
  Ms backoff_least = 200, backoff_most = 10000;
  std::size_t most_frame = 1 << 20, most_bytes = 4 << 20, most_resources = 1000;
  std::uint64_t seed = 1;
};

// ---- Effects ----
struct Dial {
  std::size_t endpoint = 0;
};
struct Send {
  std::string bytes;
};
struct HangUp {};  // after what was sent before
struct Check {     // by the gate: checked() is due
  std::uint64_t ticket = 0;
  Version candidate;
};
struct Keep {  // on disk, before it is acked: kept() is due
  std::uint64_t ticket = 0;
  Version candidate;
};
struct Apply {  // it is kept: run it from now on
  Version version;
};
struct Told {  // for the log and the history
  std::string event, reason;
  std::uint64_t number = 0, hash = 0;
  std::vector<Reason> reasons;
};
using Effect = std::variant<Dial, Send, HangUp, Check, Keep, Apply, Told>;

struct ClientCounters {
  std::uint64_t offered = 0, acked = 0, nacked = 0, superseded = 0, resyncs = 0, reverted = 0, streams = 0;
};

class Client {
 public:
  // `in_force`: what runs; `newest`: the highest number ever taken of this origin; `broken`: hashes of
  // versions that went back, with the evidence; they are not tried again.
  Client(ClientOptions options, Version in_force, std::uint64_t newest,
         std::map<std::uint64_t, std::string> broken, Ms now);

  void connected(Ms now);
  void bytes(std::string_view bytes, Ms now);
  void closed(const std::string& reason, Ms now);
  void checked(std::uint64_t ticket, std::vector<Reason> reasons, Ms now);
  // It has passed the gate and can't be run yet: if a later one waits, that one is looked at instead. False:
  // none does.
  bool give_way(std::uint64_t ticket, Ms now);
  void kept(std::uint64_t ticket, const std::string& failure, Ms now);  // failure empty: it is on disk
  // The version in force went back to `to` within its watch: the service is told late, with the evidence.
  void went_back(Version to, std::vector<Reason> evidence, Ms now);
  // A person chose `to`; what is under way is dropped and answered so.
  void rolled_back(Version to, Ms now);
  void pin(std::optional<std::uint64_t> number, Ms now);  // nothing else is taken; none: the stream rules
  void forgive(std::uint64_t hash) { broken_.erase(hash); }
  void turn(Ms now);
  Ms next_due() const;
  std::vector<Effect> take_effects() { return std::exchange(effects_, {}); }

  const Version& in_force() const { return in_force_; }
  std::uint64_t newest() const { return newest_; }
  std::optional<std::uint64_t> pinned() const { return pinned_; }
  bool streaming() const { return state_ == State::streaming; }
  bool busy() const { return under_way_.has_value(); }
  const ClientCounters& counters() const { return counters_; }

 private:
  enum class State { waiting, dialling, streaming };
  struct Offer {
    std::uint64_t nonce = 0;  // 0: of a stream that is gone, nobody waits for an answer
    Version version;
  };
  struct UnderWay {
    std::uint64_t ticket = 0;
    Offer offer;
    bool keeping = false;  // passed the gate and goes to disk
  };
  struct Arriving {  // a version whose last part has not come
    Delivery head;
    Resources resources;
    std::size_t bytes = 0;
    Ms begun = 0;
  };

  void take(const Delivery& part, Ms now);
  void offered(Offer offer, Ms now);
  void examine(Offer offer);
  void examine_waiting();
  std::optional<Reason> out_of_place(const Version& v) const;
  void answer(std::uint64_t nonce, std::uint64_t number, Verdict verdict, std::vector<Reason> reasons);
  void refuse_offer(const Offer& offer, std::vector<Reason> reasons);
  void drop_under_way(const std::string& why);
  void send(const Frame& frame, Ms now);
  void hang_up(channel::RefuseCode code, const std::string& reason, Ms now);
  void down(const std::string& reason, Ms now, Ms retry_after = 0);

  ClientOptions o_;
  pcg32 random_;
  State state_ = State::waiting;
  std::size_t endpoint_ = 0;
  int failures_ = 0;
  Ms dial_at_ = 0, heard_ = 0, sent_ = 0, opened_ = 0, now_ = 0;
  bool lived_ = false;  // the present stream has said something
  FrameParser parser_;
  Version in_force_;
  std::uint64_t newest_ = 0, last_ticket_ = 0, force_nonce_ = 0;
  std::map<std::uint64_t, std::string> broken_;
  std::optional<std::uint64_t> pinned_;
  std::optional<Version> delivered_;  // on this stream, taken or not: what a delta is on top of
  std::optional<Arriving> arriving_;
  std::optional<UnderWay> under_way_;
  std::optional<Offer> waiting_;
  std::vector<Effect> effects_;
  ClientCounters counters_;
};

}  // namespace beamshunt::config_stream
