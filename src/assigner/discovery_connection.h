// HTTP to the discovery service: the watch, a response that goes on for as long as it is open and brings one
// list change a line, and single fetches of the complete list. Moves lines; when to watch or fetch is the
// core's.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/server.h"

namespace beamshunt::assigner {

using base::Ms;

class DiscoveryConnection {
 public:
  // Called on the reactor's thread; of watches only for the one that was opened last.
  struct Events {
    std::function<void(std::string_view line)> line;  // an endpoint list or a change of it, as JSON
    std::function<void()> heartbeat;                  // an empty line: the watch lives, nothing changed
    std::function<void(const std::string& reason)> failed;
    std::function<void()> done;  // after the others, once for each piece that came
  };

  // `client` outlives this object. `instance` names the assigner to the service.
  DiscoveryConnection(http::Client& client, net::Address service, std::uint32_t instance, Events events);

  // A new watch in the place of the present one. A watch without a byte for `idle_timeout` has failed.
  void open_watch(Ms idle_timeout);
  void close_watch();
  void fetch(Ms timeout);

 private:
  void on_piece(std::string& unfinished, std::string_view piece) const;
  void on_watch_ended(const http::Client::Result& answer);
  void on_fetched(const http::Client::Result& answer) const;
  [[nodiscard]] http::Message request(const char* path) const;

  http::Client& client_;
  net::Address service_;
  std::uint32_t instance_;
  Events events_;
  // Of the last watch: a piece of an earlier one may still be on its way and is dropped.
  std::uint64_t generation_ = 0;
  http::Client::CallId watch_ = 0;  // 0: none is open
};

}  // namespace beamshunt::assigner
