#include "standin/server.h"

#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

#include "base/parse.h"

namespace beamshunt::standin {
namespace {

template <typename T>
bool number(const http::Message& m, std::string_view name, T& out) {
  auto given = base::parse_number<T>(m.header(name));
  if (given) out = *given;
  return given.has_value();
}

}  // namespace

http::Message to_message(const Ask& ask) {
  http::Message m = http::make_request("POST", "/request");
  m.headers.emplace_back("x-request", std::to_string(ask.request));
  m.headers.emplace_back("x-class", std::to_string(ask.request_class));
  m.headers.emplace_back("x-work", fmt::format("{}", ask.work_ms));
  m.headers.emplace_back("x-proxy", std::to_string(ask.proxy));
  m.headers.emplace_back("x-try", std::to_string(ask.number));
  if (!ask.key.empty()) m.headers.emplace_back("x-key", ask.key);
  return m;
}

std::optional<Ask> to_ask(const http::Message& m) {
  Ask ask;
  ask.key = m.header("x-key");
  if (!number(m, "x-request", ask.request) || !number(m, "x-class", ask.request_class) ||
      !number(m, "x-work", ask.work_ms) || !number(m, "x-proxy", ask.proxy) ||
      !number(m, "x-try", ask.number) || std::isnan(ask.work_ms) || ask.work_ms < 0 || ask.work_ms >= 1e7)
    return std::nullopt;
  return ask;
}

Server::Server(World& world, ServerSpec spec, net::Address at, std::shared_ptr<Pod> pod, Ms dedup_window,
               std::uint64_t seed)
    : world_(world), at_(at), model_(spec, std::move(pod), dedup_window, seed), random_(seed ^ 0x5e) {}

void Server::start(bool cold) {
  if (model_.fell_over()) return;  // it stays down
  silence(false);
  model_.start(world_.now(), cold);
  const ServerSpec& s = model_.spec();
  world_.note(ServerUp{s.id, s.locality, s.cell, cold, s.cores * 1.0, s.speed});
  if (!http_)
    http_ = std::make_unique<http::Server>(
        world_.reactor, at_,
        [this](http::Message&& m, http::Responder r) { handle(std::move(m), std::move(r)); },
        http::Server::Options{});
}

void Server::crash() {
  if (!http_) return;
  world_.note(ServerDown{model_.spec().id, false});
  model_.stop();
  http_->reset_connections();
  http_.reset();
  working_.clear(), buried_.clear();
}

void Server::silence(bool silent) {
  if (silent_ == silent) return;
  silent_ = silent;
  if (silent) world_.note(ServerDown{model_.spec().id, false}), model_.stop();
  else if (http_)
    http_->reset_connections(), working_.clear(), buried_.clear();  // back with no memory of anybody
}

void Server::drain() { model_.drain(); }

void Server::bury(http::Responder responder) {
  if (buried_.size() > 256)
    std::erase_if(buried_, [](const http::Responder& r) { return !r.is_connected(); });
  buried_.push_back(std::move(responder));
}

bool Server::swallowed(const http::Responder& responder) {
  Links::Way way = world_.links.at(world_.locality(responder.peer()), model_.spec().locality);
  return silent_ || way.cut || (way.loss > 0 && std::uniform_real_distribution<double>()(random_) < way.loss);
}

void Server::handle(http::Message&& message, http::Responder responder) {
  if (swallowed(responder)) return bury(std::move(responder));
  auto arrive = [this, message = std::move(message), responder] {
    if (!responder.is_connected() || silent_ || !http_) return bury(responder);
    if (message.target == "/probe") {
      if (model_.faults.hung) return bury(responder);
      return answer(responder, http::make_response(200, nlohmann::json(model_.load(world_.now())).dump()));
    }
    auto ask = to_ask(message);
    if (!ask) return responder.send(http::make_response(400, "a header is missing or odd\n", "text/plain"));
    take(*ask, responder);
  };
  Ms delay = world_.links.at(world_.locality(responder.peer()), model_.spec().locality).delay;
  if (delay <= 0) return arrive();
  world_.reactor.call_at(world_.now() + delay, arrive);
}

void Server::take(const Ask& ask, http::Responder responder) {
  std::uint64_t token = next_token_++;
  ServerModel::Taken taken =
      model_.arrive(world_.now(), {token, ask.request, ask.request_class, ask.key, ask.work_ms});
  const ServerSpec& s = model_.spec();
  if (taken != ServerModel::Taken::full && taken != ServerModel::Taken::draining)
    world_.note(TryTaken{s.id, ask.proxy, ask.request, ask.number, ask.request_class, ask.work_ms});
  switch (taken) {
    case ServerModel::Taken::working:
    case ServerModel::Taken::queued:
      working_.emplace(token, std::move(responder));
      break;
    case ServerModel::Taken::full:
    case ServerModel::Taken::draining:
      answer(std::move(responder), http::make_response(503, "not taken in\n", "text/plain"));
      break;
    case ServerModel::Taken::error:
      answer(std::move(responder), http::make_response(500, "failed\n", "text/plain"));
      break;
    case ServerModel::Taken::silent:
      bury(std::move(responder));
      break;
  }
  if (model_.fell_over() && !std::exchange(fall_told_, true)) {
    world_.note(ServerDown{s.id, true});
    world_.reactor.defer([this] { crash(); });
  }
  work();
}

void Server::answer(http::Responder responder, http::Message message) {
  if (swallowed(responder)) return bury(std::move(responder));
  auto load = model_.load(world_.now());
  message.headers.emplace_back("x-load", nlohmann::json(load).dump());
  Ms delay = world_.links.at(world_.locality(responder.peer()), model_.spec().locality).delay;
  if (delay <= 0) return responder.send(message);
  world_.reactor.call_at(world_.now() + delay,
                         [responder, message = std::move(message)] { responder.send(message); });
}

void Server::work() {
  for (auto& done : model_.advance(world_.now())) {
    if (done.effect) world_.note(EffectDone{model_.spec().id, done.request, done.request_class});
    auto waiting = working_.extract(done.token);
    if (!waiting.empty()) answer(std::move(waiting.mapped()), http::make_response(200, {}));
  }
  if (timer_) world_.reactor.cancel_timer(*timer_);
  timer_.reset();
  Ms due = model_.next_due();
  if (due < base::kNever)
    timer_ = world_.reactor.call_at(due, [this] {
      timer_.reset();
      work();
    });
}

}  // namespace beamshunt::standin
