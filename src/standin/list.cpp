#include "standin/list.h"

#include <nlohmann/json.hpp>

#include "base/parse.h"

namespace beamshunt::standin {
namespace {

constexpr Ms kBeat = 500;  // an empty line tells watchers that the service lives

}  // namespace

std::string list_json(bool total, std::uint64_t version, const std::vector<Listing>& entries,
                      const std::vector<std::string>& localities) {
  constexpr const char* kStates[] = {"in_service", "terminating", "terminated"};
  nlohmann::json out{
      {"kind", total ? "total" : "changes"}, {"version", version}, {"entries", nlohmann::json::array()}};
  for (const Listing& l : entries) {
    if (total && l.state == ListTold::State::gone) continue;
    out["entries"].push_back({{"id", l.id},
                              {"locality", localities[l.locality]},
                              {"cell", l.cell},
                              {"size", l.size},
                              {"state", kStates[static_cast<std::size_t>(l.state)]},
                              {"started_ms", l.started_wall_ms},
                              {"address", net::to_string(l.address)}});
  }
  return out.dump();
}

ListService::ListService(World& world, net::Address at, std::vector<std::string> localities)
    : world_(world), at_(at), localities_(std::move(localities)) {
  open();
  beat();
}

void ListService::open() {
  http_ = std::make_unique<http::Server>(
      world_.reactor, at_, [this](http::Message&& m, const http::Responder& r) { handle(std::move(m), r); },
      http::Server::Options{});
  at_ = http_->address();
}

void ListService::beat() {
  std::erase_if(watches_, [](const Watch& w) { return !w.responder.send_chunk("\n"); });
  world_.reactor.call_at(world_.now() + kBeat, [this] { beat(); });
}

void ListService::fail(bool down) {
  if (down == (http_ == nullptr)) return;
  watches_.clear();
  if (!down) return open();
  http_->reset_connections();
  http_.reset();
}

void ListService::change(const Listing& listing, Ms delay) {
  Ms& shown_at = shown_at_[listing.id];  // a server's changes come in the order they were made
  shown_at = std::max(shown_at, world_.now() + delay + stale_);
  world_.reactor.call_at(shown_at, [this, listing] { show(listing); });
}

void ListService::show(const Listing& listing) {
  shown_[listing.id] = listing;
  ++version_;
  std::string change = line(false, {listing});
  std::erase_if(watches_, [&](const Watch& w) {
    if (!w.responder.send_chunk(change)) return true;
    tell(w.instance, {listing});
    return false;
  });
}

void ListService::tell(std::uint32_t instance, const std::vector<Listing>& entries) {
  for (const Listing& l : entries) world_.note(ListTold{instance, l.id, l.locality, l.state, l.started});
}

std::vector<Listing> ListService::all() const {
  std::vector<Listing> out;
  out.reserve(shown_.size());
  for (auto& [id, l] : shown_) out.push_back(l);
  return out;
}

void ListService::handle(http::Message&& message, const http::Responder& responder) {
  std::size_t mark = message.target.find("?instance=");
  std::uint32_t instance = 0;
  if (mark != std::string::npos)
    instance =
        base::parse_number<std::uint32_t>(std::string_view(message.target).substr(mark + 10)).value_or(0);
  std::string path = message.target.substr(0, mark);
  if (path == "/v1/list") {
    responder.send(http::make_response(200, line(true, all())));
    return tell(instance, all());
  }
  if (path != "/v1/watch")
    return responder.send(http::make_response(404, "/v1/list or /v1/watch\n", "text/plain"));
  if (!responder.begin_stream(200, "application/json") || !responder.send_chunk(line(true, all()))) return;
  tell(instance, all());
  watches_.push_back({instance, responder});
}

}  // namespace beamshunt::standin
