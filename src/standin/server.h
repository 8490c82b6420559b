// A stand-in server on a socket: POST /request does work, GET /probe tells its load.
#pragma once

#include <memory>
#include <vector>

#include "http/server.h"
#include "standin/server_model.h"
#include "standin/world.h"

namespace beamshunt::standin {

// A request's headers, the same from client to proxy and from proxy to server.
struct Ask {
  std::uint64_t request = 0;
  std::uint16_t request_class = 0;
  std::string key;
  double work_ms = 0;
  std::uint32_t proxy = 0, number = 0;  // number of the try, from 1
};
http::Message to_message(const Ask& ask);
std::optional<Ask> to_ask(const http::Message& message);  // nothing if a header is missing or odd

class Server {
 public:
  Server(World& world, ServerSpec spec, net::Address at, std::shared_ptr<Pod> pod, Ms dedup_window,
         std::uint64_t seed);
  void start(bool cold);
  void crash();               // its process dies: connections break, new ones are refused
  void silence(bool silent);  // the machine is there no more: nothing is answered, nothing breaks
  void drain();
  ServerModel& model() { return model_; }
  net::Address address() const { return at_; }
  bool up() const { return http_ != nullptr && !silent_ && model_.up(); }

 private:
  void handle(http::Message&& message, http::Responder responder);
  void take(const Ask& ask, http::Responder responder);
  void answer(http::Responder responder, http::Message message);
  bool swallowed(const http::Responder& responder);
  void bury(http::Responder responder);
  void work();

  World& world_;
  net::Address at_;
  ServerModel model_;
  pcg32 random_;
  std::unique_ptr<http::Server> http_;
  std::map<std::uint64_t, http::Responder> working_;
  std::vector<http::Responder> buried_;  // never answered; they must not break either
  std::uint64_t next_token_ = 1;
  std::optional<net::Reactor::TimerId> timer_;
  bool silent_ = false, fall_told_ = false;
};

}  // namespace beamshunt::standin
