// The five rules, judged from what passed on the sockets alone. Pure: the same taps give the same verdict.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "policy/controller.h"
#include "standin/tap.h"

namespace beamshunt::audit {

using base::Ms;

struct Limits {
  std::vector<RequestClass> classes;
  Ms empty_for = 0, drain_grace = 0, warm_up = 0, fall = 0, messages_span = 0;
  double start_capacity = 1, tip_multiple = 1, most_waiting_lines = 0;
  int messages_allowed = 0;  // 0: no limit
  bool gone_is_advice = false;
  Ms margin = 0;              // on every time: what a busy machine may add
  double capacity_slack = 1;  // on the work that a cold server may be sent: chance
};

// What a site's settings promise; without a margin.
Limits limits_of(const Settings& policy);

enum class Rule { empty, twice, drain, cold, queue };
constexpr std::size_t kRules = 5;
const char* rule_text(Rule rule);

struct Break {
  Rule rule{};
  Ms at = 0;
  std::string what;  // with proxy and server
};

struct Verdict {
  std::vector<Break> breaks;             // in the order they were found, the first of each kind of place
  std::array<double, kRules> nearest{};  // how near each rule came to its limit: 1 is the limit itself
  std::array<std::string, kRules> nearest_text;
  std::size_t kept() const;
  bool broke(Rule rule) const;
};

// Judges what passes as it passes, and keeps of it what a later judgement needs: a day of any length.
class Watch {
 public:
  explicit Watch(Limits limits);
  ~Watch();
  void see(Ms at, const standin::Seen& seen);  // in the order of the times
  Verdict finish();                            // once, at the end

 private:
  class Judge;
  std::unique_ptr<Judge> judge_;
};

Verdict judge(const std::vector<standin::Taps::Entry>& seen, const Limits& limits);

}  // namespace beamshunt::audit
