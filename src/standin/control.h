// A stand-in configuration service: keeps versions of resources, tells subscribers of each by delta or
// snapshot, writes down what they answer, and can misbehave in every way that a day asks for.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config_stream/wire.h"
#include "net/connection.h"
#include "standin/world.h"

namespace beamshunt::standin {

class ControlService {
 public:
  struct Answered {
    Ms at = 0, took = 0;  // from the last byte of the delivery
    std::uint32_t instance = 0;
    config_stream::Answer answer;
  };
  struct Heard {  // a subscription: what the assigner says that it holds
    Ms at = 0;
    std::uint32_t instance = 0;
    std::uint64_t held = 0;
  };

  ControlService(World& world, net::Address at, std::string origin);
  ~ControlService();

  // The next version: these resources changed; it becomes current and goes to all subscribers.
  std::uint64_t publish(const std::map<config_stream::Key, std::string>& changed);
  // A version that is told to all and never becomes current: the next one is a change of what was before it.
  std::uint64_t offer(const std::map<config_stream::Key, std::string>& changed);
  void repeat();                 // tells the current one again, as a snapshot
  void older();                  // tells the first version there was, under its old number
  void contradict();             // tells other content under the current number
  void out_of_order();           // tells a version in two parts, the last one first
  void huge(std::size_t bytes);  // a version of so many
  void endless();                // parts without end, some a second, until the peer hangs up
  void cut_next(std::size_t bytes) { cut_after_ = bytes; }  // of the next delivery, then the stream breaks
  void away(bool away);                                     // breaks every stream and refuses new ones
  std::uint64_t skip_to(std::uint64_t number) { return next_ = std::max(next_, number); }

  net::Address address() const { return at_; }
  std::size_t subscribers() const;
  const std::vector<Answered>& answers() const { return answers_; }
  const std::vector<Heard>& heard() const { return heard_; }

 private:
  struct Peer {
    std::shared_ptr<net::Connection> connection;
    config_stream::FrameParser parser{1 << 20};
    std::uint32_t instance = 0;
    bool subscribed = false;
    std::uint64_t delivered = 0;       // the last number told on this stream, if it was told in order
    std::map<std::uint64_t, Ms> sent;  // deliveries not answered yet, by nonce
  };
  void open();
  void accept(std::shared_ptr<net::Connection> connection);
  void came(std::uint64_t id, std::string_view bytes);
  void tell(Peer& peer, const config_stream::Version& version, std::uint64_t base);
  void tell_all(const config_stream::Version& version);
  void send(Peer& peer, const config_stream::Delivery& delivery);
  config_stream::Version next_version(const std::map<config_stream::Key, std::string>& changed);
  config_stream::Delivery whole(const config_stream::Version& version) const;
  void beat();
  void endless_part(std::uint64_t peer, config_stream::Delivery delivery);

  World& world_;
  net::Address at_;
  std::string origin_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, Peer> peers_;
  std::uint64_t last_peer_ = 0, nonce_ = 0, next_ = 1;
  std::map<std::uint64_t, config_stream::Version> versions_;  // by number
  config_stream::Version current_;
  std::size_t cut_after_ = 0;
  std::vector<Answered> answers_;
  std::vector<Heard> heard_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace beamshunt::standin
