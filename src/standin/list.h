// A stand-in discovery service: GET /v1/list answers the whole list, GET /v1/watch the list and then every
// change, a JSON object a line. It knows only whether a process runs, it is late, and it can fail.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/server.h"
#include "standin/world.h"

namespace beamshunt::standin {

struct Listing {
  std::uint32_t id = 0, locality = 0, cell = 0;
  double size = 1;
  ListTold::State state = ListTold::State::in_service;
  double started_wall_ms = 0;  // 0: long past
  Ms started = 0;              // the same on the monotonic clock
  net::Address address{};
};

// A list as the service tells it: whole, or what has changed.
std::string list_json(bool total, std::uint64_t version, const std::vector<Listing>& entries,
                      const std::vector<std::string>& localities);

class ListService {
 public:
  ListService(World& world, net::Address at, std::vector<std::string> localities);
  void change(const Listing& listing, Ms delay);  // seen by watchers after the delay and what stale() adds
  void stale(Ms added) { stale_ = added; }
  void fail(bool down);  // breaks every watch and refuses new ones
  net::Address address() const { return at_; }
  std::vector<Listing> all() const;  // as shown now

 private:
  struct Watch {
    std::uint32_t instance = 0;
    http::Responder responder;
  };
  void open();
  void handle(http::Message&& message, const http::Responder& responder);
  std::string line(bool total, const std::vector<Listing>& entries) const {
    return list_json(total, version_, entries, localities_) + "\n";
  }
  void tell(std::uint32_t instance, const std::vector<Listing>& entries);
  void show(const Listing& listing);
  void beat();

  World& world_;
  net::Address at_;
  std::vector<std::string> localities_;
  std::unique_ptr<http::Server> http_;
  std::map<std::uint32_t, Listing> shown_;
  std::uint64_t version_ = 1;
  std::vector<Watch> watches_;
  Ms stale_ = 0;
  std::map<std::uint32_t, Ms> shown_at_;
};

}  // namespace beamshunt::standin
