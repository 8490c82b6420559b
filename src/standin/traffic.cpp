#include "standin/traffic.h"

#include <algorithm>
#include <random>

namespace beamshunt::standin {

struct Traffic::Asked {
  Ask ask;
  std::uint32_t locality = 0;
  Ms begun = 0;
  int tries = 0;
};

Ms draw_work(Ms mean, pcg32& random) {
  return mean * (0.5 + std::exponential_distribution<double>(2)(random));
}

Traffic::Traffic(World& world, TrafficSpec spec, Fronts fronts)
    : world_(world), spec_(std::move(spec)), fronts_(std::move(fronts)), random_(spec_.seed) {
  rate_factor.assign(spec_.rate.size(), 1);
  turn_.assign(spec_.rate.size(), 0);
  for (const TrafficClass& c : spec_.classes) class_share.push_back(c.share);
  for (net::Address from : spec_.from)
    clients_.push_back(std::make_unique<http::Client>(world_.reactor, http::Client::Options{.source = from}));
}

void Traffic::begin() {
  for (std::uint32_t z = 0; z < spec_.rate.size(); ++z) next(z);
}

void Traffic::end() { ended_ = true; }

void Traffic::next(std::uint32_t z) {
  if (ended_) return;
  double rate = spec_.rate[z] * rate_factor[z];
  Ms wait = rate > 0 ? std::exponential_distribution<double>(rate / 1000)(random_) : 1e9;
  // A rate may change while one waits: nobody waits longer than a look at it takes.
  constexpr Ms kLook = 200;
  bool arrives = wait <= kLook;
  world_.reactor.call_at(world_.now() + std::min(wait, kLook), [this, z, arrives] {
    if (ended_) return;
    if (arrives) {
      auto asked = std::make_shared<Asked>();
      std::discrete_distribution<std::size_t> mix(class_share.begin(), class_share.end());
      std::size_t c = mix(random_);
      const TrafficClass& k = spec_.classes[c];
      asked->locality = z;
      asked->begun = world_.now();
      asked->ask.request_class = static_cast<std::uint16_t>(c);
      asked->ask.work_ms = draw_work(k.work, random_);
      if (k.keyed) asked->ask.key = std::to_string(next_request_);
      ++open_;
      ask(std::move(asked));
    }
    next(z);
  });
}

void Traffic::ask(std::shared_ptr<Asked> a) {
  const TrafficClass& k = spec_.classes[a->ask.request_class];
  auto finish = [this, a](bool good) {
    --open_;
    world_.note(Answered{a->ask.request_class, a->locality, good, world_.now() - a->begun});
  };
  Ms left = a->begun + k.deadline - world_.now();
  std::vector<net::Address> fronts = fronts_(a->locality);
  if (fronts.empty() || left <= 0) return finish(false);
  ++a->tries;
  // Each ask of a client is a request of its own to the proxies: what a client repeats is not theirs.
  a->ask.request = next_request_++;
  net::Address to = fronts[turn_[a->locality]++ % fronts.size()];
  clients_[a->locality]->send_request(
      to, to_message(a->ask), left, [this, a, finish, &k](http::Client::Result&& answer) {
        bool answered = answer.failure == http::Client::Failure::none;
        if (answered && answer.response.status == 200) return finish(true);
        bool refused = (answered && answer.response.status == 503) || !answer.request_sent;
        if (ended_ || a->tries > spec_.retries || (!refused && !k.repeat_after_any)) return finish(false);
        world_.reactor.call_at(world_.now() + spec_.retry_wait, [this, a] { ask(a); });
      });
}

}  // namespace beamshunt::standin
