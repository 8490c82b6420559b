#include "emulator/host.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "assigner/cached_list_codec.h"
#include "assigner/endpoint_list_json.h"

namespace beamshunt::emulator {
namespace {

using assigner::StreamId;

class CoreHost final : public Host {
 public:
  CoreHost(const assigner::AssignerSettings& site, std::uint64_t epoch,
           std::optional<assigner::EndpointCatalog> warm, Ms now, double wall_now,
           assigner::MessageInterceptor interceptor)
      : core_(site, epoch, std::move(warm), now, wall_now) {
    core_.set_message_interceptor(std::move(interceptor));
  }
  void stream_opened(StreamId s, net::Address peer, Ms now) override { core_.stream_opened(s, peer, now); }
  void stream_bytes(StreamId s, std::string_view bytes, Ms now) override {
    core_.stream_bytes_received(s, bytes, now);
  }
  void stream_closed(StreamId s, const std::string& why, Ms now) override {
    core_.stream_closed(s, why, now);
  }
  void list_line(std::string_view json, Ms now, double wall) override {
    core_.endpoint_list_received(json, now, wall);
  }
  void list_lost(const std::string& reason, Ms) override { core_.endpoint_list_lost(reason); }
  void probe_answered(EndpointId e, AttemptOutcome o, Ms took, LoadReport load, Ms) override {
    core_.health_check_completed(e, o, took, std::move(load));
  }
  bool may_reconfigure(const assigner::AssignerSettings& to, Ms now) const override {
    return core_.may_reconfigure(to, now);
  }
  void reconfigure(const assigner::AssignerSettings& to, std::uint64_t version, std::uint64_t hash,
                   Ms now) override {
    core_.reconfigure(to, version, hash, now);
  }
  std::optional<telemetry::AssignerMetrics> figures(Ms now) override { return core_.collect_metrics(now); }
  void turn(Ms now) override { core_.run_once(now); }
  Ms next_due() const override { return core_.next_due(); }
  std::vector<assigner::Effect> take_effects() override { return core_.take_effects(); }
  std::string list_bytes() const override { return core_.encoded_endpoint_list(); }
  double waiting_lines() const override { return core_.unacknowledged_lines(); }
  Ms oldest_report(Ms now) const override { return core_.oldest_report_wait(now); }

 private:
  assigner::Core core_;
};

class PlainHost final : public Host {
 public:
  PlainHost(const assigner::AssignerSettings& site, std::uint64_t epoch,
            std::optional<assigner::EndpointCatalog> warm, Ms now, bool by_size)
      : site_(site), epoch_(epoch), by_size_(by_size), ask_at_(now) {
    if (warm) book_ = std::move(*warm);
    for (std::size_t c = 0; c < site_.policy.classes.size(); ++c)
      classes_[site_.policy.classes[c].local_only] |= std::uint64_t{1} << c;
  }
  void stream_opened(StreamId s, net::Address, Ms) override { streams_[s]; }
  void stream_bytes(StreamId s, std::string_view bytes, Ms now) override {
    auto found = streams_.find(s);
    if (found == streams_.end()) return;
    std::vector<native_protocol::Frame> frames;
    found->second.parser.feed(bytes, frames);
    for (const native_protocol::Frame& f : frames) {
      if (auto* hello = std::get_if<native_protocol::Hello>(&f))
        welcome(found->first, found->second, *hello, now);
      else if (auto* ping = std::get_if<native_protocol::Ping>(&f))
        send(s, native_protocol::Pong{ping->token});
    }
  }
  void stream_closed(StreamId s, const std::string&, Ms) override { streams_.erase(s); }
  void list_line(std::string_view json, Ms now, double) override {
    book_.apply(assigner::parse_endpoint_list(json, site_.policy.localities));
    ask_at_ = base::kNever;
    effects_.emplace_back(assigner::SaveEndpointList{});
    for (auto& [id, stream] : streams_)
      if (stream.joined) tell(id, stream, now, {});
  }
  void list_lost(const std::string&, Ms now) override { ask_at_ = now + kAskAgain; }
  void probe_answered(EndpointId, AttemptOutcome, Ms, LoadReport, Ms) override {}
  void turn(Ms now) override {
    if (now < ask_at_) return;
    ask_at_ = now + kAskAgain;
    effects_.emplace_back(assigner::OpenEndpointWatch{});
  }
  Ms next_due() const override { return ask_at_; }
  std::vector<assigner::Effect> take_effects() override { return std::exchange(effects_, {}); }
  std::string list_bytes() const override { return encode_cached_list(book_); }
  double waiting_lines() const override { return 0; }
  Ms oldest_report(Ms) const override { return 0; }

 private:
  static constexpr Ms kAskAgain = 1000;
  using Lines = std::map<std::uint32_t, double>;
  struct Stream {
    native_protocol::FrameParser parser;
    std::uint32_t locality = 0;
    bool joined = false;
    std::uint64_t sequence = 0;
    std::array<Lines, 2> sent;  // of the classes that may leave the locality, of those that may not
  };

  void send(StreamId s, const native_protocol::Frame& frame) {
    effects_.emplace_back(
        assigner::SendBytes{s, std::make_shared<const std::string>(native_protocol::encode(frame))});
  }
  void welcome(StreamId id, Stream& s, const native_protocol::Hello& hello, Ms now) {
    auto& names = site_.policy.localities;
    auto found = std::find(names.begin(), names.end(), hello.locality);
    if (found == names.end())
      return send(id,
                  native_protocol::Refuse{native_protocol::RefuseCode::bad_locality, 0, "no such locality"});
    s.locality = static_cast<std::uint32_t>(found - names.begin());
    s.joined = true;
    send(id, native_protocol::Welcome{.epoch = epoch_,
                                      .heartbeat_ms = site_.heartbeat,
                                      .report_period_ms = site_.policy.report_period.count()});
    std::vector<native_protocol::Update> orders;
    for (std::uint32_t t : {0u, 1u})
      if (classes_[t] != 0) orders.emplace_back(native_protocol::AssignTableUpdate{classes_[t], t});
    tell(id, s, now, std::move(orders));
  }
  Lines wanted(std::uint32_t locality, bool home) const {
    Lines here, all;
    for (const assigner::EndpointListEntry& e : book_.entries()) {
      if (e.state != EndpointState::available) continue;
      double weight = by_size_ ? e.capacity : 1;
      all[e.id] = weight;
      if (e.locality == locality) here[e.id] = weight;
    }
    return home || !here.empty() ? here : all;
  }
  void tell(StreamId id, Stream& s, Ms now, std::vector<native_protocol::Update> orders) {
    for (std::uint32_t t : {0u, 1u}) {
      if (classes_[t] == 0) continue;
      Lines want = wanted(s.locality, t == 1);
      for (auto& [endpoint, weight] : s.sent[t])
        if (!want.contains(endpoint)) orders.emplace_back(native_protocol::WeightUpdate{t, endpoint, 0});
      for (auto& [endpoint, weight] : want) {
        auto had = s.sent[t].find(endpoint);
        if (had != s.sent[t].end() && had->second == weight) continue;
        const assigner::EndpointListEntry& e = *book_.find(endpoint);
        orders.emplace_back(native_protocol::WeightUpdate{t, endpoint, weight,
                                                          static_cast<std::uint16_t>(e.locality), e.cell,
                                                          e.address.ip, e.address.port});
      }
      s.sent[t] = std::move(want);
    }
    if (orders.empty()) return;
    auto lines = static_cast<double>(orders.size());
    send(id, native_protocol::UpdateMessage{++s.sequence, now, lines, std::move(orders)});
  }

  const assigner::AssignerSettings& site_;
  std::uint64_t epoch_;
  bool by_size_;
  Ms ask_at_;
  std::array<std::uint64_t, 2> classes_{};
  assigner::EndpointCatalog book_;
  std::map<StreamId, Stream> streams_;
  std::vector<assigner::Effect> effects_;
};

constexpr std::pair<Policy, const char*> kNames[] = {{Policy::module, "module"},
                                                     {Policy::round_robin, "round-robin"},
                                                     {Policy::static_weights, "static-weights"},
                                                     {Policy::least_load, "least-load"},
                                                     {Policy::two_choice, "two-choice"},
                                                     {Policy::module_two_choice, "module-two-choice"},
                                                     {Policy::module_least_load, "module-least-load"}};

}  // namespace

const char* policy_name(Policy policy) {
  for (auto [p, name] : kNames)
    if (p == policy) return name;
  return "?";
}
std::optional<Policy> policy_named(std::string_view name) {
  for (auto [p, text] : kNames)
    if (name == text) return p;
  return std::nullopt;
}
standin::Pick pick_of(Policy policy, standin::Pick of_the_day) {
  switch (policy) {
    case Policy::round_robin:
      return standin::Pick::round;
    case Policy::static_weights:
      return standin::Pick::weighted;
    case Policy::least_load:
    case Policy::module_least_load:
      return standin::Pick::least;
    case Policy::two_choice:
    case Policy::module_two_choice:
      return standin::Pick::two;
    default:
      return of_the_day;
  }
}

std::unique_ptr<Host> make_host(Policy policy, const assigner::AssignerSettings& site, std::uint64_t epoch,
                                const std::string& warm, Ms now, double wall_now,
                                assigner::MessageInterceptor interceptor) {
  std::optional<assigner::EndpointCatalog> held;
  if (!warm.empty()) held = assigner::decode_cached_list(warm);
  if (policy == Policy::module || policy == Policy::module_two_choice || policy == Policy::module_least_load)
    return std::make_unique<CoreHost>(site, epoch, std::move(held), now, wall_now, std::move(interceptor));
  return std::make_unique<PlainHost>(site, epoch, std::move(held), now, policy == Policy::static_weights);
}

}  // namespace beamshunt::emulator
