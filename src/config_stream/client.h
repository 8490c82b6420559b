// The assigner's side of streamed configuration, without its socket and its disk: which service to connect
// to, what was offered, what is validated, what each delivery is answered. Time, bytes and results go in,
// effects come out; it does no I/O and decides nothing about what a version means.
//
// A delivered version is offered, then validated (off the event loop), then persisted (on disk), then acked
// and applied. One version is in progress at a time and one is queued; a later one takes the queued one's
// place. Each delivery is answered once. Acked means on disk: a version that was acked survives a kill.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "config_stream/delivery_assembler.h"
#include "config_stream/reconnect_schedule.h"
#include "config_stream/wire.h"

namespace beamshunt::config_stream {

using base::Ms;

struct ClientOptions {
  std::uint32_t instance = 0;    // this assigner's number
  std::string origin;            // whose versions are wanted
  std::size_t services = 1;      // configuration services, in the order in which they are tried
  Ms heartbeat_interval = 1000;  // silence of native_protocol::kHeartbeatsUntilDead of them ends the stream
  Ms failback_after = 60000;     // on another service than the first: the first is tried again
  Ms delivery_timeout = 10000;   // from a delivery's first part to its last
  Ms min_backoff = 200;          // see ReconnectSchedule
  Ms max_backoff = 10000;        //
  std::size_t max_frame_bytes = 1 << 20;
  std::size_t max_version_bytes = 4 << 20;  // of types, names and bodies in one delivery
  std::size_t max_resources = 1000;
  std::uint64_t seed = 1;  // of the backoff's jitter
};

// ---- Effects: what the caller has to do, in their order ----

// Connect to this service, a position from 0; on_connected() or on_disconnected() is due.
struct Connect {
  std::size_t service = 0;
};
struct SendBytes {
  std::string bytes;
};
// Close the stream once all that was sent before is written. on_disconnected() is not wanted for it.
struct CloseAfterSending {};
// Validate the candidate; on_validated() with the same ticket is due.
struct Validate {
  std::uint64_t ticket = 0;
  Version candidate;
};
// Put the candidate on disk, before it is acked; on_persisted() with the same ticket is due.
struct Persist {
  std::uint64_t ticket = 0;
  Version candidate;
};
// The version is on disk: run it from now on.
struct Apply {
  Version version;
};
enum class ClientEvent {
  stream_disconnected,  // the next attempt follows after a wait
  version_rejected,     // nacked; the reasons say why
  version_accepted,     // acked and on disk
  version_reverted,     // failed on trial; the version before it is active again
  version_rolled_back,  // a person chose another version
};
// The name of the event in the log.
const char* event_name(ClientEvent event);
// For the log and the history.
struct Notify {
  ClientEvent event{};
  std::string reason;  // of stream_disconnected
  std::uint64_t number = 0;
  std::uint64_t hash = 0;
  std::vector<Reason> reasons;
};
using Effect = std::variant<Connect, SendBytes, CloseAfterSending, Validate, Persist, Apply, Notify>;

// Counted since the client began.
struct ClientCounters {
  std::uint64_t offered = 0;  // deliveries begun
  std::uint64_t acked = 0;
  std::uint64_t nacked = 0;
  std::uint64_t superseded = 0;
  std::uint64_t resyncs = 0;
  std::uint64_t reverted = 0;
  std::uint64_t streams = 0;  // connections made
};

class Client {
 public:
  // `active`: the version that runs, number 0 if none. `highest_number`: the highest number ever accepted of
  // this origin. `reverted_contents`: by content hash, what failed on trial, with the evidence; it is not
  // tried again.
  Client(ClientOptions options, Version active, std::uint64_t highest_number,
         std::map<std::uint64_t, std::string> reverted_contents, Ms now);

  // ---- The stream ----
  void on_connected(Ms now);
  void on_bytes(std::string_view bytes, Ms now);
  void on_disconnected(const std::string& reason, Ms now);

  // ---- The version in progress ----
  // No reasons: it is valid. A ticket that is no longer in progress is ignored.
  void on_validated(std::uint64_t ticket, std::vector<Reason> reasons, Ms now);
  // The version is valid and can't be applied yet: if a later one is queued, that one is validated in its
  // place. False if none is, and the caller waits on.
  bool supersede_by_queued(std::uint64_t ticket, Ms now);
  // Empty `failure`: it is on disk.
  void on_persisted(std::uint64_t ticket, const std::string& failure, Ms now);

  // ---- Back to another version ----
  // The active version failed on trial and `to` is active again. The service is told late, with the evidence.
  void revert_to(Version to, std::vector<Reason> evidence, Ms now);
  // A person chose `to`. What is in progress or queued is dropped and nacked.
  void roll_back_to(Version to, Ms now);
  // A number: every other version is nacked until it is unpinned. Nothing: the stream rules again, and what
  // the pin alone kept out is offered again.
  void set_pin(std::optional<std::uint64_t> number, Ms now);
  // Content of this hash that failed on trial may be tried again.
  void allow_again(std::uint64_t hash) { reverted_contents_.erase(hash); }

  // ---- Time ----
  // Does what is due at `now`: connects, sends heartbeats, ends streams that are silent or too slow.
  void run_once(Ms now);
  // When run_once() is due next; base::kNever if only an event can change anything.
  [[nodiscard]] Ms next_deadline() const;
  // The effects since the last call.
  std::vector<Effect> take_effects() { return std::exchange(effects_, {}); }

  [[nodiscard]] const Version& active() const { return active_; }
  [[nodiscard]] std::uint64_t highest_number() const { return highest_number_; }
  [[nodiscard]] std::optional<std::uint64_t> pinned() const { return pinned_; }
  [[nodiscard]] bool streaming() const { return state_ == State::streaming; }
  // Whether a version is validated or persisted at present.
  [[nodiscard]] bool busy() const { return in_progress_.has_value(); }
  [[nodiscard]] const ClientCounters& counters() const { return counters_; }

 private:
  enum class State { backing_off, connecting, streaming };
  struct Offer {
    std::uint64_t nonce = 0;  // 0: of a stream that is gone, nobody waits for an answer
    Version version;
  };
  struct InProgress {
    std::uint64_t ticket = 0;
    Offer offer;
    bool persisting = false;  // valid, and on its way to disk
  };

  void handle(const Frame& frame, Ms now);
  void handle_delivery(const Delivery& part, Ms now);
  void consider(Offer offer);
  void validate(Offer offer);
  void consider_queued();
  [[nodiscard]] std::optional<Reason> reason_against(const Version& version) const;
  void answer(std::uint64_t nonce, std::uint64_t number, Verdict verdict, std::vector<Reason> reasons);
  void reject(const Offer& offer, std::vector<Reason> reasons);
  void supersede(const Offer& offer, std::uint64_t newer);
  void reject_pending(const std::string& why);
  void send(const Frame& frame, Ms now);
  void end_stream(native_protocol::RefuseCode code, const std::string& reason, Ms now);
  void stream_ended(const std::string& reason, Ms now, Ms retry_after = 0);

  ClientOptions options_;
  ReconnectSchedule schedule_;
  DeliveryAssembler assembler_;
  State state_ = State::backing_off;
  Ms now_;  // of the last call
  Ms last_received_ = 0;
  Ms last_sent_ = 0;
  Ms connected_at_ = 0;
  bool received_bytes_ = false;  // on this stream
  FrameParser parser_;
  Version active_;
  std::uint64_t active_nonce_ = 0;  // of the delivery that was acked with it; 0: of another stream
  std::uint64_t highest_number_;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, std::string> reverted_contents_;
  std::optional<std::uint64_t> pinned_;
  std::optional<InProgress> in_progress_;
  std::optional<Offer> queued_;
  std::vector<Effect> effects_;
  ClientCounters counters_;
};

}  // namespace beamshunt::config_stream
