#include "standin/control.h"

#include <algorithm>

namespace beamshunt::standin {
namespace {

using namespace config_stream;

constexpr Ms kBeat = 300;
constexpr Ms kEndlessEvery = 20;

}  // namespace

ControlService::ControlService(World& world, net::Address at, std::string origin)
    : world_(world), at_(at), origin_(std::move(origin)) {
  open();
  beat();
}

ControlService::~ControlService() {
  *alive_ = false;
  for (auto& [id, peer] : peers_) peer.connection->close();
}

void ControlService::open() {
  listener_ = std::make_unique<net::Listener>(world_.reactor, at_, [this](auto c) { accept(std::move(c)); });
  at_ = listener_->address();
}

void ControlService::away(bool away) {
  if (away == (listener_ == nullptr)) return;
  if (!away) return open();
  listener_.reset();
  for (auto& [id, peer] : peers_) peer.connection->reset();
  peers_.clear();
}

void ControlService::accept(std::shared_ptr<net::Connection> connection) {
  std::uint64_t id = ++last_peer_;
  peers_[id].connection = connection;
  connection->start({{},
                     [this, alive = alive_, id](std::string_view bytes) {
                       if (*alive) came(id, bytes);
                     },
                     {},
                     [this, alive = alive_, id](net::CloseReason) {
                       if (*alive) peers_.erase(id);
                     }});
}

std::size_t ControlService::subscribers() const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [](auto& p) { return p.second.subscribed; }));
}

void ControlService::beat() {
  for (auto& [id, peer] : peers_)
    if (peer.subscribed) peer.connection->send(config_stream::encode(Ping{1}));
  world_.reactor.call_at(world_.now() + kBeat, [this, alive = alive_] {
    if (*alive) beat();
  });
}

void ControlService::came(std::uint64_t id, std::string_view bytes) {
  auto found = peers_.find(id);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.parser.push(bytes);
  try {
    while (auto frame = peer.parser.next()) {
      if (auto* hello = std::get_if<Subscribe>(&*frame)) {
        peer.subscribed = true, peer.instance = hello->instance;
        heard_.push_back({world_.now(), hello->instance, hello->held_number});
        if (current_.number == 0) continue;
        auto held = versions_.find(hello->held_number);
        bool known = held != versions_.end() && held->second.hash == hello->held_hash;
        if (known && hello->held_number == current_.number) {
          peer.delivered = current_.number;
          continue;  // it has it
        }
        tell(peer, current_, known && hello->held_number < current_.number ? hello->held_number : 0);
      } else if (auto* answer = std::get_if<Answer>(&*frame)) {
        auto sent = peer.sent.find(answer->nonce);
        answers_.push_back({world_.now(), sent == peer.sent.end() ? 0 : world_.now() - sent->second,
                            peer.instance, *answer});
        if (answer->verdict == Verdict::resync) {
          peer.delivered = 0;
          tell(peer, current_, 0);
        }
      } else if (auto* ping = std::get_if<Ping>(&*frame)) {
        peer.connection->send(config_stream::encode(Pong{ping->token}));
      } else if (std::get_if<Refuse>(&*frame)) {
        peer.connection->close();
        peers_.erase(id);
        return;
      }
    }
  } catch (const native_protocol::ProtocolError&) {
    peer.connection->close();
    peers_.erase(id);
  }
}

Version ControlService::next_version(const std::map<Key, std::string>& changed) {
  Version v = current_;
  v.number = next_++;
  for (auto& [key, body] : changed) v.resources[key] = {v.number, body};
  v.hash = content_hash(v.resources);
  versions_[v.number] = v;
  return v;
}

Delivery ControlService::whole(const Version& v) const {
  Delivery d{.origin = origin_, .number = v.number, .hash = v.hash};
  for (auto& [key, resource] : v.resources) d.changed[key] = resource.body;
  return d;
}

void ControlService::tell(Peer& peer, const Version& v, std::uint64_t base) {
  Delivery d = whole(v);
  d.base = base;
  if (base != 0) {
    const Resources& had = versions_.at(base).resources;
    std::erase_if(d.changed, [&](auto& c) {
      auto old = had.find(c.first);
      return old != had.end() && old->second.body == c.second;
    });
    for (auto& [key, resource] : had)
      if (!v.resources.contains(key)) d.removed.push_back(key);
  }
  send(peer, d);
  peer.delivered = v.number;
}

void ControlService::send(Peer& peer, const Delivery& delivery) {
  Delivery d = delivery;
  if (d.part == 0) ++nonce_;
  d.nonce = nonce_;
  std::string bytes = encode(d);
  if (d.part + 1 == d.parts) peer.sent[d.nonce] = world_.now();
  if (cut_after_ > 0) {
    peer.connection->send(bytes.substr(0, std::min(bytes.size(), std::exchange(cut_after_, 0))));
    peer.connection->close_after_flush();
    peer.subscribed = false;
    world_.reactor.defer([this, alive = alive_, connection = peer.connection] {
      if (*alive) std::erase_if(peers_, [&](auto& p) { return p.second.connection == connection; });
    });
    return;
  }
  peer.connection->send(std::move(bytes));
}

void ControlService::tell_all(const Version& v) {
  for (auto& [id, peer] : peers_)
    if (peer.subscribed) {
      bool known = peer.delivered != 0 && peer.delivered < v.number && versions_.contains(peer.delivered);
      tell(peer, v, known ? peer.delivered : 0);
    }
}

std::uint64_t ControlService::publish(const std::map<Key, std::string>& changed) {
  current_ = next_version(changed);
  tell_all(current_);
  return current_.number;
}

std::uint64_t ControlService::offer(const std::map<Key, std::string>& changed) {
  Version v = next_version(changed);
  tell_all(v);
  return v.number;
}

void ControlService::repeat() {
  for (auto& [id, peer] : peers_)
    if (peer.subscribed) tell(peer, current_, 0);
}

void ControlService::older() {
  if (versions_.empty()) return;
  for (auto& [id, peer] : peers_)
    if (peer.subscribed) send(peer, whole(versions_.begin()->second)), peer.delivered = 0;
}

void ControlService::contradict() {
  Version v = current_;
  v.resources[{"limits", "other"}] = {v.number, "stop_within: 2s"};
  v.hash = content_hash(v.resources);
  for (auto& [id, peer] : peers_)
    if (peer.subscribed) send(peer, whole(v)), peer.delivered = 0;
}

void ControlService::out_of_order() {
  Version v = next_version({});
  for (auto& [id, peer] : peers_) {
    if (!peer.subscribed) continue;
    Delivery d = whole(v);
    d.parts = 2, d.part = 1;
    ++nonce_;
    send(peer, d);
    d.part = 0;
    --nonce_;
    send(peer, d);
    peer.delivered = 0;
  }
}

void ControlService::huge(std::size_t bytes) {
  Version v = next_version({{{"limits", "huge"}, "// " + std::string(1000, 'x')}});
  for (auto& [id, peer] : peers_) {
    if (!peer.subscribed) continue;
    Delivery d = whole(v);
    constexpr std::size_t kPiece = std::size_t{256} * 1024;
    d.parts = static_cast<std::uint32_t>(bytes / kPiece + 1);
    for (d.part = 0; d.part < d.parts; ++d.part) {
      d.changed[{"limits", "huge" + std::to_string(d.part)}] = std::string(kPiece, 'x');
      send(peer, d);
      d.changed.clear();
    }
    peer.delivered = 0;
  }
}

void ControlService::endless() {
  Version v = next_version({});
  for (auto& [id, peer] : peers_) {
    if (!peer.subscribed) continue;
    Delivery d = whole(v);
    d.parts = 1u << 30;
    send(peer, d);
    peer.delivered = 0;
    d.nonce = nonce_;
    d.changed.clear();
    endless_part(id, d);
  }
}

void ControlService::endless_part(std::uint64_t id, Delivery d) {
  world_.reactor.call_at(world_.now() + kEndlessEvery, [this, alive = alive_, id, d]() mutable {
    if (!*alive) return;
    auto peer = peers_.find(id);
    if (peer == peers_.end()) return;
    ++d.part;
    peer->second.connection->send(encode(d));
    endless_part(id, std::move(d));
  });
}

}  // namespace beamshunt::standin
