// A proxy that does as its tables say, without its sockets: picks, avoidance, levels, retries, reports.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "native_protocol/frames.h"
#include "net/address.h"

namespace beamshunt::standin {

using base::Ms;

struct Place {  // of an endpoint, as a line carries it
  std::uint32_t endpoint = 0;
  std::uint16_t locality = 0;
  std::uint32_t cell = 0;
  net::Address address{};
};

enum class Pick { weighted, two, round, least };  // round: in turn; least: fewest of its own outstanding
enum class Levels { share, rate, none };

struct ProxySpec {
  std::uint32_t id = 0, locality = 0;
  std::string locality_name;
  std::size_t classes = 1;
  Pick pick = Pick::weighted;
  Levels levels = Levels::rate;
  int avoid_after = 3;  // failures in a row; 0: never avoids
  Ms avoid_for = 3000;
  std::uint8_t default_retry = 0;
  std::vector<Place> standing;
  std::uint64_t seed = 1;
};

class ProxyModel {
 public:
  explicit ProxyModel(ProxySpec spec);

  // ---- Orders ----
  void stream_begins();  // tables of the stream to come; what is held stays in use
  void apply(const native_protocol::UpdateMessage& message);  // as a whole
  bool only_standing() const { return only_standing_; }
  // Endpoints in use before and not now: connections to them are closed.
  std::vector<Place> take_left();

  // ---- Requests ----
  bool admit(Ms now, std::size_t request_class);
  std::optional<Place> pick(Ms now, std::size_t request_class, const std::set<std::uint32_t>& tried);
  void sent(std::uint32_t endpoint) { ++outstanding_[endpoint]; }
  void ended(Ms now, std::uint32_t endpoint, bool good, Ms took, const std::map<std::string, double>& load);
  // Whether a request may be tried again elsewhere. `proof`: the failed try certainly never ran.
  bool may_retry(std::size_t request_class, int tries_made, bool proof) const;
  std::uint8_t retry_mode(std::size_t request_class) const;

  // ---- Reports ----
  void came(std::size_t request_class) { ++usage_[request_class].arrivals; }
  void unanswered(std::size_t request_class) { ++usage_[request_class].failed; }
  void in_time(std::size_t request_class) { ++usage_[request_class].within_objective; }
  native_protocol::LoadReportMessage report(Ms now);
  bool loses_report(double share) {  // every so many-th, whatever chance does
    lost_ += share;
    if (lost_ < 1) return false;
    lost_ -= 1;
    return true;
  }
  void reports_begin(Ms now) { reported_at_ = now; }

  std::vector<std::uint32_t> lines_of(
      std::size_t request_class) const;  // that may be picked, avoidance aside
  const ProxySpec& spec() const { return spec_; }

 private:
  struct Line {
    double weight = 0;
    Place place;
  };
  struct Level {
    double level = -1;  // below 0: none set
    std::uint8_t retry = 0;
    bool retry_set = false;
    double tokens = 1;
    Ms filled = 0;
  };
  struct Table {
    std::map<std::uint32_t, Line> lines;
    std::map<std::size_t, Level> levels;
  };
  struct Health {
    int failures = 0;
    Ms avoided_until = 0;
  };
  using TablePtr = std::shared_ptr<Table>;
  Table& table(std::uint32_t number);
  void set_level(Level& level, const native_protocol::AdmissionLimitUpdate& order);
  bool level_lets_in(Level& level, Ms now);

  ProxySpec spec_;
  pcg32 random_;
  std::vector<TablePtr> by_class_;               // what each class uses now
  std::map<std::uint32_t, TablePtr> of_stream_;  // tables by number, of this stream
  std::map<std::size_t, Level> every_table_;
  std::set<std::uint32_t> withdrawn_;
  std::map<std::uint32_t, Place> used_;
  std::vector<Place> left_;
  std::map<std::uint32_t, Health> health_;
  std::map<std::uint32_t, int> outstanding_;
  std::vector<std::uint32_t> last_;  // picked in turn, by class
  bool only_standing_ = true, bound_ = false;

  struct Tries {
    std::uint32_t tries = 0, failed = 0;
    double latency_sum = 0;
    std::map<std::string, double> load;
  };
  std::map<std::uint32_t, Tries> heard_;
  std::vector<native_protocol::DemandReportEntry> usage_;
  std::uint64_t report_sequence_ = 0;
  double lost_ = 0;  // reports due to be lost
  Ms reported_at_ = 0;
};

}  // namespace beamshunt::standin
