#include "emulator/summary.h"

#include <fmt/format.h>

#include <algorithm>

namespace beamshunt::emulator {
namespace {

using namespace standin;

constexpr double kFewAsked = 20;  // requests: of a second with fewer its service says nothing

Ms quantile(std::vector<float>& values, double part) {
  if (values.empty()) return 0;
  auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return static_cast<Ms>(values[at]);
}

}  // namespace

SeriesName series_name(Series series) {
  constexpr SeriesName kNames[kSeries] = {
      {"asked", "requests/s"},    {"service", "part"},    {"took", "ms"},       {"tries", "tries/s"},
      {"messages", "messages/s"}, {"lines", "lines/s"},   {"waiting", "lines"}, {"servers", "servers"},
      {"queued", "requests"},     {"streams", "proxies"}, {"deciding", "ms/s"}};
  return kNames[static_cast<std::size_t>(series)];
}

Summary::Summary(std::vector<RequestClass> classes)
    : classes_(std::move(classes)), print_(XXH3_createState(), [](XXH3_state_t* s) { XXH3_freeState(s); }) {
  XXH3_64bits_reset(print_.get());
}
Summary::~Summary() = default;

void Summary::see(Ms at, const Seen& seen) {
  print(at, seen.index());
  if (auto* t = std::get_if<TrySent>(&seen)) {
    print(t->proxy, t->endpoint, t->request);
    ++totals_.tries, ++last_sample_.tries;
  } else if (auto* o = std::get_if<OrdersCame>(&seen)) {
    print(o->proxy, o->message.sequence, o->message.decided_at_ms, o->message.lines);
    ++totals_.messages, ++last_sample_.messages;
    totals_.lines += o->message.lines, last_sample_.lines += o->message.lines;
    age_.push_back(static_cast<float>(at - o->message.decided_at_ms));
  } else if (auto* refused = std::get_if<Refused>(&seen)) {
    totals_.refused.push_back(fmt::format("proxy {}: {}", refused->proxy, refused->reason));
  } else if (auto* down = std::get_if<ServerDown>(&seen)) {
    totals_.fell_over += down->fell_over;
  } else if (auto* a = std::get_if<Answered>(&seen)) {
    print(a->good, a->took);
    on_answer(at, *a);
  }
}

void Summary::on_answer(Ms at, const Answered& a) {
  if (at - a.took < count_from_) return;
  const RequestClass& rules = classes_[a.request_class];
  if (at - second_ >= 1000) {
    if (last_second_.count >= kFewAsked)
      totals_.worst_second = std::min(totals_.worst_second, last_second_.service());
    last_second_ = {}, second_ = at;
  }
  for (Window* w : {&all_, &last_second_, &last_sample_}) {
    ++w->count;
    w->asked += rules.priority_weight,
        w->served += a.good && a.took <= rules.latency_objective.count() ? rules.priority_weight : 0;
    if (a.good) w->took += a.took, ++w->good;
  }
  if (a.good) took_.push_back(static_cast<float>(a.took));
}

Sample Summary::sample(Ms at) {
  Sample out{.at = at - zero_};
  double s = std::max(1e-3, (at - sampled_) / 1000);
  const Window& w = last_sample_;
  out[Series::asked] = w.count / s, out[Series::service] = w.service();
  out[Series::took] = w.good > 0 ? w.took / w.good : 0;
  out[Series::tries] = w.tries / s, out[Series::messages] = w.messages / s, out[Series::lines] = w.lines / s;
  last_sample_ = {}, sampled_ = at;
  return out;
}

Totals Summary::totals() {
  totals_.service = all_.service();
  totals_.asked = static_cast<std::size_t>(all_.count), totals_.good = static_cast<std::size_t>(all_.good);
  totals_.mean_took = all_.good > 0 ? all_.took / all_.good : 0;
  totals_.took_50 = quantile(took_, 0.5), totals_.took_99 = quantile(took_, 0.99);
  totals_.age_50 = quantile(age_, 0.5), totals_.age_99 = quantile(age_, 0.99);
  totals_.fingerprint = XXH3_64bits_digest(print_.get());
  return std::move(totals_);
}

}  // namespace beamshunt::emulator
