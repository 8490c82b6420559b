// The socket of the configuration stream: one connection to one control service at a time. Moves bytes; which
// service is dialled and what the bytes mean is config_stream::Client's.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/connection.h"
#include "net/reactor.h"

namespace beamshunt::assigner {

class ConfigurationConnection {
 public:
  // Called on the reactor's thread, for the connection of the last dial() only.
  struct Events {
    std::function<void()> connected;
    std::function<void(std::string_view bytes)> received;
    std::function<void(const std::string& reason)> closed;
  };

  // `from`: the source address. `max_unsent`: bytes that may wait to be sent before the connection breaks.
  ConfigurationConnection(net::Reactor& reactor, net::Address from, std::size_t max_unsent, Events events);
  ~ConfigurationConnection();
  ConfigurationConnection(const ConfigurationConnection&) = delete;
  ConfigurationConnection& operator=(const ConfigurationConnection&) = delete;

  void dial(net::Address service);
  void send(std::string bytes);  // nothing happens if there is no connection
  void hang_up();                // after what was sent before; no event follows

 private:
  net::Reactor& reactor_;
  net::Address from_;
  std::size_t max_unsent_;
  Events events_;
  std::shared_ptr<net::Connection> connection_;
  // Of the last dial or hang-up: an event of an earlier connection may still be on its way and is dropped.
  std::uint64_t generation_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace beamshunt::assigner
