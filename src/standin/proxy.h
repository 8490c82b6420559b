// A stand-in proxy on sockets: takes requests of clients, sends them where its tables say, and speaks the
// order channel with an assigner.
#pragma once

#include <memory>
#include <vector>

#include "http/server.h"
#include "standin/proxy_model.h"
#include "standin/server.h"
#include "standin/world.h"

namespace beamshunt::standin {

struct AssignerPlace {
  std::uint32_t instance = 0, locality = 0;
  net::Address address{};
};

struct ProxyOptions {
  net::Address front{};                  // where clients ask; port 0 takes any
  std::vector<AssignerPlace> assigners;  // its own first
  std::vector<Ms> slo, deadline;         // by class
  double retry_wait_factor = 1.2;
  Ms redial = 300, connection_idle = 15000;
  double usual_rate = 0;
};

class Proxy {
 public:
  Proxy(World& world, ProxySpec spec, ProxyOptions options, std::uint64_t incarnation);
  ~Proxy();
  void links_changed();  // a way to its assigner was cut, healed or slowed
  net::Address front() const { return http_->address(); }
  bool joined() const { return joined_; }
  const ProxyModel& model() const { return model_; }

 private:
  struct Request;
  void handle(http::Message&& message, http::Responder responder);
  void try_next(std::shared_ptr<Request> request, bool proof);
  void tried(std::shared_ptr<Request> request, const Place& place, Ms sent, http::Client::Result&& answer);
  void finish(const std::shared_ptr<Request>& request, int status, const char* why);

  void dial();
  void redial();
  void came(std::string_view bytes);
  void frame(const native_protocol::Frame& frame);
  void send(const native_protocol::Frame& frame);
  void drop_stream();
  void beat();
  void report();
  Links::Way way() const;

  World& world_;
  ProxyModel model_;
  ProxyOptions options_;
  std::uint64_t incarnation_;
  http::Client upstream_;
  std::unique_ptr<http::Server> http_;

  std::shared_ptr<net::Connection> stream_;
  std::unique_ptr<native_protocol::FrameParser> parser_;
  std::vector<std::string> held_;  // frames that wait for a cut way to heal
  std::size_t choice_ = 0;         // of the assigners
  std::uint32_t attempt_ = 0, failures_ = 0;
  bool joined_ = false;
  std::uint64_t epoch_ = 0, applied_ = 0;
  Ms heartbeat_ = 500, period_ = 500, heard_ = 0, sent_ = 0, deliver_after_ = 0;
  std::uint64_t stream_number_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // timers outlive the proxy
};

}  // namespace beamshunt::standin
