// The configuration services of a day: what they tell, what is expected of it, and what the assigners said.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "day/day.h"
#include "standin/control.h"

namespace beamshunt::day {

struct VersionsResult {
  std::size_t told = 0, taken = 0, refused = 0, superseded = 0, reverted = 0, resyncs = 0;
  std::vector<std::string> refusals;  // one line each: number, rule, path, reason
  std::vector<std::string> wrong;     // a bad one taken, a good one refused, one without an answer or reason
  std::vector<std::string> unconfigured;  // an assigner that fell back to no version at all
  std::vector<Ms> answer_times;           // from the delivery's last byte to the answer
};

class Versions {
 public:
  Versions(standin::World& world, const std::vector<net::Address>& services);
  std::string settings(Ms watch, double service_drop) const;  // that an assigner needs for them
  std::string strike(const Trouble& trouble);                 // what it does, for people
  void away(bool away) { services_.front()->away(away); }
  VersionsResult result() const;

 private:
  std::map<configstream::Key, std::string> good();
  void tell_bad(const std::map<configstream::Key, std::string>& changed);

  standin::World& world_;
  std::vector<std::unique_ptr<standin::ControlService>> services_;  // the second one has a mind of its own
  std::size_t goods_ = 0, bads_ = 0, harms_ = 0, told_ = 0;
  std::map<std::uint64_t, std::size_t> must_be_refused_;  // by how many
  std::uint64_t last_good_ = 0;
};

}  // namespace beamshunt::day
