// What a day in simulated time comes to: figures over all of it, figures by time, and one number that is
// equal for equal days.
#pragma once

#include <xxhash.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "policy/controller.h"
#include "standin/tap.h"

namespace beamshunt::emulator {

using base::Ms;

// Figures by time; each is of the time since the sample before, or of the instant.
enum class Series {
  asked,
  service,
  took,
  tries,
  messages,
  lines,
  waiting,
  servers,
  queued,
  streams,
  deciding
};
constexpr std::size_t kSeries = 11;
struct SeriesName {
  const char* name;
  const char* unit;
};
SeriesName series_name(Series series);
struct Sample {
  Ms at = 0;  // since the traffic began
  std::array<double, kSeries> values{};
  double& operator[](Series s) { return values[static_cast<std::size_t>(s)]; }
};

struct Totals {
  double service = 1, worst_second = 1;  // worth answered in time over worth asked for; the worst second's
  std::size_t asked = 0, good = 0, tries = 0, messages = 0, fell_over = 0;
  double lines = 0;                            // of orders, envelopes included
  Ms mean_took = 0, took_50 = 0, took_99 = 0;  // of the good answers
  Ms age_50 = 0, age_99 = 0;                   // of orders as they come: since they were decided
  std::vector<std::string> refused;            // streams of proxies that broke the protocol
  std::uint64_t fingerprint = 0;               // of all that passed
};

class Summary {
 public:
  explicit Summary(std::vector<RequestClass> classes);
  ~Summary();
  void begin(Ms zero) { zero_ = second_ = sampled_ = zero; }  // the traffic begins
  void count_from(Ms at) { count_from_ = at; }  // what was asked before it is not in the service
  void see(Ms at, const standin::Seen& seen);
  Sample sample(Ms at);  // what passed since the last one; what is of the instant is left to the caller
  Totals totals();       // once, at the end

 private:
  struct Window {
    double asked = 0, served = 0, took = 0, good = 0, tries = 0, messages = 0, lines = 0, count = 0;
    double service() const { return asked > 0 ? served / asked : 1; }
  };
  void on_answer(Ms at, const standin::Answered& a);
  template <typename... T>
  void print(const T&... values) {
    (XXH3_64bits_update(print_.get(), &values, sizeof values), ...);
  }

  std::vector<RequestClass> classes_;
  std::unique_ptr<XXH3_state_t, void (*)(XXH3_state_t*)> print_;
  Totals totals_;
  Window all_, last_second_, last_sample_;
  Ms zero_ = 0, second_ = 0, sampled_ = 0, count_from_ = 0;
  std::vector<float> took_, age_;
};

}  // namespace beamshunt::emulator
