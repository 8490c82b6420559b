#include "assigner/discovery_connection.h"

#include <utility>

namespace beamshunt::assigner {
namespace {

// Bytes of one line: room for the lists of the largest sites. A service that never ends its line must not
// fill the memory.
constexpr std::size_t kMaxLineBytes = std::size_t{64} << 20;

}  // namespace

DiscoveryConnection::DiscoveryConnection(http::Client& client, net::Address service, std::uint32_t instance,
                                         Events events)
    : client_(client), service_(service), instance_(instance), events_(std::move(events)) {}

http::Message DiscoveryConnection::request(const char* path) const {
  return http::make_request("GET", std::string(path) + "?instance=" + std::to_string(instance_));
}

void DiscoveryConnection::open_watch(Ms idle_timeout) {
  close_watch();
  std::uint64_t generation = ++generation_;
  auto unfinished = std::make_shared<std::string>();
  watch_ = client_.stream_response(
      service_, request("/v1/watch"), idle_timeout,
      [this, generation, unfinished](std::string_view piece) {
        if (generation == generation_) on_piece(*unfinished, piece);
      },
      [this, generation](http::Client::Result&& answer) {
        if (generation == generation_) on_watch_ended(answer);
      });
}

void DiscoveryConnection::close_watch() {
  ++generation_;
  if (watch_ != 0) client_.cancel(std::exchange(watch_, 0));
}

void DiscoveryConnection::on_piece(std::string& unfinished, std::string_view piece) const {
  unfinished.append(piece);
  for (std::size_t end; (end = unfinished.find('\n')) != std::string::npos; unfinished.erase(0, end + 1)) {
    if (end == 0) events_.heartbeat();
    else events_.line(std::string_view(unfinished).substr(0, end));
  }
  if (unfinished.size() > kMaxLineBytes) {
    unfinished.clear();
    events_.failed("a line is too long");
  }
  events_.done();
}

void DiscoveryConnection::on_watch_ended(const http::Client::Result& answer) {
  watch_ = 0;
  bool ended_by_service = answer.failure == http::Client::Failure::none;
  events_.failed(ended_by_service ? "the watch ended with status " + std::to_string(answer.response.status)
                                  : answer.detail);
  events_.done();
}

void DiscoveryConnection::fetch(Ms timeout) {
  client_.send_request(service_, request("/v1/list"), timeout,
                       [this](http::Client::Result&& answer) { on_fetched(answer); });
}

void DiscoveryConnection::on_fetched(const http::Client::Result& answer) const {
  if (answer.failure != http::Client::Failure::none || answer.response.status != 200)
    events_.failed("fetch failed: " + answer.detail);
  else events_.line(answer.response.body);
  events_.done();
}

}  // namespace beamshunt::assigner
