#include "standin/proxy.h"

#include "http/numbers.h"

namespace beamshunt::standin {
namespace {

constexpr Ms kConnectMost = 1000;
constexpr Ms kLittleTime = 20;  // of the deadline left: no further try is worth it
constexpr std::uint32_t kFailuresToMove = 2;

}  // namespace

struct Proxy::Request {
  Ask ask;
  http::Responder responder;
  Ms arrived = 0;
  int tries = 0;
  std::set<std::uint32_t> tried;
};

Proxy::Proxy(World& world, ProxySpec spec, ProxyOptions options, std::uint64_t incarnation)
    : world_(world),
      model_(std::move(spec)),
      options_(std::move(options)),
      incarnation_(incarnation),
      upstream_(world.reactor, {.source = {options_.front.ip, 0},
                                .idle_timeout_ms = options_.connection_idle,
                                .connect_timeout_ms = kConnectMost}) {
  http_ = std::make_unique<http::Server>(
      world_.reactor, options_.front,
      [this](http::Message&& m, http::Responder r) { handle(std::move(m), std::move(r)); },
      http::Server::Options{});
  ProxyStanding standing{model_.spec().id, model_.spec().locality, {}};
  for (const Place& p : model_.spec().standing) standing.endpoints.push_back(p.endpoint);
  world_.note(std::move(standing));
  model_.reports_begin(world_.now());
  dial();
  beat();
  report();
}

Proxy::~Proxy() {
  *alive_ = false;
  if (stream_) stream_->reset();
  world_.note(ProxyDown{model_.spec().id});
}

// ---- Requests ----

void Proxy::handle(http::Message&& message, http::Responder responder) {
  auto ask = to_ask(message);
  if (!ask || ask->request_class >= options_.slo.size())
    return responder.send(http::make_response(400, "a header is missing or odd\n", "text/plain"));
  model_.came(ask->request_class);
  if (!model_.admit(world_.now(), ask->request_class)) {
    http::Message no = http::make_response(503, {});
    no.headers.emplace_back("x-refused", "1");
    return responder.send(no);
  }
  auto request = std::make_shared<Request>(Request{std::move(*ask), responder, world_.now(), 0, {}});
  request->ask.proxy = model_.spec().id;
  try_next(std::move(request), true);
}

void Proxy::try_next(std::shared_ptr<Request> r, bool proof) {
  Ms now = world_.now();
  std::size_t c = r->ask.request_class;
  Ms left = r->arrived + options_.deadline[c] - now;
  if (r->tries > 0 && (!model_.may_retry(c, r->tries, proof) || left < kLittleTime))
    return finish(r, 502, "failed");
  auto place = model_.pick(now, c, r->tried);
  if (!place && r->tries == 0) return finish(r, 503, "no server");
  if (!place) return finish(r, 502, "no other server");
  ++r->tries;
  r->tried.insert(place->endpoint);
  Ask ask = r->ask;
  ask.number = static_cast<std::uint32_t>(r->tries);
  bool may_follow = model_.retry_mode(c) >= 2 && model_.may_retry(c, r->tries, false);
  Ms wait = may_follow ? std::min(left, options_.retry_wait_factor * options_.slo[c]) : left;
  model_.sent(place->endpoint);
  world_.note(
      TrySent{model_.spec().id, place->endpoint, ask.request, ask.number, ask.request_class, ask.work_ms});
  upstream_.send_request(place->address, to_message(ask), wait,
                         [this, alive = alive_, r, place = *place, now](http::Client::Result&& answer) {
                           if (*alive) tried(r, place, now, std::move(answer));
                         });
}

void Proxy::tried(std::shared_ptr<Request> r, const Place& place, Ms sent, http::Client::Result&& answer) {
  Ms now = world_.now();
  bool answered = answer.failure == http::Client::Failure::none;
  bool good = answered && answer.response.status == 200;
  model_.ended(now, place.endpoint, good, now - sent,
               answered ? http::parse_named_numbers(answer.response.header("x-load"))
                        : std::map<std::string, double>{});
  if (good) {
    std::size_t c = r->ask.request_class;
    if (now - r->arrived <= options_.slo[c]) model_.in_time(c);
    if (r->responder.is_connected()) r->responder.send(http::make_response(200, {}));
    return;
  }
  if (!r->responder.is_connected()) {  // the client has gone; who else would want the answer
    model_.unanswered(r->ask.request_class);
    return;
  }
  bool proof = (answered && answer.response.status == 503) || !answer.request_sent;
  try_next(std::move(r), proof);
}

void Proxy::finish(const std::shared_ptr<Request>& r, int status, const char* why) {
  model_.unanswered(r->ask.request_class);
  r->responder.send(http::make_response(status, std::string(why) + "\n", "text/plain"));
}

// ---- The stream ----

Links::Way Proxy::way() const {
  return world_.links.at(model_.spec().locality, options_.assigners[choice_].locality);
}

void Proxy::dial() {
  if (options_.assigners.empty()) return;
  ++attempt_;
  std::uint64_t number = ++stream_number_;
  auto current = [this, alive = alive_, number] { return *alive && number == stream_number_; };
  if (way().cut) {  // nothing answers
    world_.reactor.call_at(world_.now() + kConnectMost, [this, current] {
      if (current()) redial();
    });
    return;
  }
  parser_ = std::make_unique<native_protocol::FrameParser>();
  held_.clear();
  joined_ = false;
  heard_ = sent_ = deliver_after_ = world_.now();
  stream_ =
      net::Connection::dial(world_.reactor, options_.assigners[choice_].address, {options_.front.ip, 0});
  stream_->start({[this, current] {
                    if (!current()) return;
                    model_.stream_begins();
                    send(native_protocol::Hello{.proxy = model_.spec().id,
                                                .incarnation = incarnation_,
                                                .attempt = attempt_,
                                                .locality = model_.spec().locality_name,
                                                .expected_rate = options_.usual_rate,
                                                .only_static_tables = model_.only_standing(),
                                                .applied_epoch = epoch_,
                                                .applied_sequence = applied_});
                  },
                  [this, current](std::string_view bytes) {
                    if (!current()) return;
                    Ms delay = way().delay;
                    if (delay <= 0 && deliver_after_ <= world_.now()) return came(bytes);
                    deliver_after_ = std::max(deliver_after_, world_.now() + delay);
                    world_.reactor.call_at(deliver_after_, [this, current, held = std::string(bytes)] {
                      if (current()) came(held);
                    });
                  },
                  {},
                  [this, current](net::CloseReason) {
                    if (current()) redial();
                  }});
}

void Proxy::drop_stream() {
  ++stream_number_;
  if (stream_) stream_->close();
  stream_.reset();
  if (std::exchange(joined_, false)) world_.note(StreamDown{model_.spec().id});
  failures_ = 0;
}

void Proxy::redial() {
  std::uint32_t failures = joined_ ? 0 : failures_ + 1;
  drop_stream();
  failures_ = failures;
  if (failures_ >= kFailuresToMove) choice_ = (choice_ + 1) % options_.assigners.size(), failures_ = 0;
  Ms wait = options_.redial * (0.75 + 0.5 * static_cast<double>(model_.spec().seed * 7919 % 97) / 97);
  std::uint64_t number = stream_number_;
  world_.reactor.call_at(world_.now() + wait, [this, alive = alive_, number] {
    if (*alive && number == stream_number_) dial();
  });
}

void Proxy::send(const native_protocol::Frame& f) {
  sent_ = world_.now();
  if (!stream_) return;
  if (way().cut) held_.push_back(native_protocol::encode(f));
  else stream_->send(native_protocol::encode(f));
}

void Proxy::links_changed() {
  if (!stream_) return;
  bool cut = way().cut;
  stream_->set_reading_paused(cut);
  if (cut) return;
  for (std::string& bytes : std::exchange(held_, {})) stream_->send(std::move(bytes));
}

void Proxy::came(std::string_view bytes) {
  heard_ = world_.now();
  std::vector<native_protocol::Frame> frames;
  std::uint64_t number = stream_number_;
  try {
    parser_->feed(bytes, frames);
  } catch (const native_protocol::ProtocolError&) {
    return redial();
  }
  for (const native_protocol::Frame& f : frames)
    if (number == stream_number_) frame(f);
}

void Proxy::frame(const native_protocol::Frame& f) {
  if (auto* welcome = std::get_if<native_protocol::Welcome>(&f)) {
    heartbeat_ = welcome->heartbeat_ms, period_ = welcome->report_period_ms;
    if (joined_) return;  // other settings, the same stream
    epoch_ = welcome->epoch, applied_ = 0;
    joined_ = true;
    world_.note(StreamUp{model_.spec().id, options_.assigners[choice_].instance});
  } else if (auto* orders = std::get_if<native_protocol::UpdateMessage>(&f)) {
    model_.apply(*orders);
    applied_ = orders->sequence;
    world_.note(OrdersCame{model_.spec().id, *orders});
    for (const Place& p : model_.take_left()) upstream_.close_idle(p.address);
    send(native_protocol::Acknowledgement{orders->sequence});
  } else if (auto* ping = std::get_if<native_protocol::Ping>(&f)) {
    send(native_protocol::Pong{ping->token});
  } else if (auto* refuse = std::get_if<native_protocol::Refuse>(&f)) {
    using Code = native_protocol::RefuseCode;
    if (refuse->code == Code::bad_frame || refuse->code == Code::bad_version ||
        refuse->code == Code::unexpected)
      world_.note(Refused{model_.spec().id, refuse->reason});
    redial();
  }
}

void Proxy::beat() {
  Ms now = world_.now();
  if (stream_ && now - heard_ > native_protocol::kHeartbeatTimeoutPeriods * heartbeat_) redial();
  else if (joined_ && now - sent_ >= heartbeat_) send(native_protocol::Ping{applied_});
  world_.reactor.call_at(now + heartbeat_ / 2, [this, alive = alive_] {
    if (*alive) beat();
  });
}

void Proxy::report() {
  if (joined_) {
    native_protocol::LoadReportMessage due = model_.report(world_.now());
    const Reporting& way = world_.reporting;
    if (way.late > 0)
      world_.reactor.call_at(world_.now() + way.late, [this, alive = alive_, number = stream_number_, due] {
        if (*alive && number == stream_number_ && joined_) send(due);
      });
    else if (!model_.loses_report(way.lost)) send(due);
  }
  world_.reactor.call_at(world_.now() + period_, [this, alive = alive_] {
    if (*alive) report();
  });
}

}  // namespace beamshunt::standin
