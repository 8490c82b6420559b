// What a day does to its stage, whatever the stage is: sockets (day::play) or simulated time (emulator). One
// language of troubles, played the same on both.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "day/day.h"
#include "standin/list.h"
#include "standin/proxy_model.h"
#include "standin/server_model.h"
#include "standin/world.h"

namespace beamshunt::day {

class Stage {
 public:
  struct ServerSeen {
    std::uint32_t id = 0, locality = 0;
    bool up = false;
  };
  struct ProxySeen {
    std::uint32_t locality = 0;
    bool up = false;
  };
  virtual ~Stage() = default;
  virtual void after(Ms wait, std::function<void()> call) = 0;
  virtual void say(const std::string& text) = 0;
  // Servers and proxies go by their number.
  virtual std::size_t servers() const = 0;
  virtual ServerSeen server(std::size_t k) const = 0;
  virtual standin::ServerFaults& faults(std::size_t k) = 0;
  virtual void add_cold_server(const ServerGroup& like) = 0;
  virtual void start_cold(std::size_t k) = 0;
  virtual void stop_server(std::size_t k) = 0;     // its process dies
  virtual void silence_server(std::size_t k) = 0;  // its machine is gone
  virtual void drain_server(std::size_t k) = 0;
  virtual void list(std::size_t k, standin::ListTold::State state, Ms delay) = 0;
  virtual std::size_t proxies() const = 0;
  virtual ProxySeen proxy(std::size_t k) const = 0;
  virtual void kill_proxy(std::size_t k) = 0;
  virtual void start_proxy(std::size_t k) = 0;
  virtual void kill_assigner(std::uint32_t instance) = 0;
  virtual void start_assigner(std::uint32_t instance) = 0;
  virtual std::vector<double>& rate_factor() = 0;  // of the traffic, by locality
  virtual void list_fails(bool down) = 0;
  virtual void list_is_stale(Ms added) = 0;
  virtual void bend_reports(const standin::Reporting& to) = 0;  // of all proxies
  virtual void bend_links(std::uint32_t locality, const standin::Links::Way& to_others) = 0;
  // Receivers and control services, where a stage has them.
  virtual void services(const Trouble& trouble) = 0;
};

// Requests a second that clients of a locality send when nothing turns them.
double locality_rate(const Day& day, std::uint32_t locality);
// What a server of the day is, by its number.
standin::ServerSpec server_spec(const Day& day, const ServerGroup& group, std::uint32_t number);
standin::ProxySpec proxy_spec(const Day& day, std::uint32_t locality, std::uint32_t number);

// How long a server of the day remembers keys.
Ms longest_window(const Day& day);
// What proxies may stand on as they start: the open servers of their locality, or all if it has too few.
std::vector<standin::Place> standing_pool(std::uint32_t locality, const std::vector<standin::Listing>& shown);
std::vector<standin::Place> standing_table(const std::vector<standin::Place>& pool, std::size_t count,
                                           pcg32& random);

// A proxy's assigners in the order that it dials them: its locality's own `own` ones come first, and proxies
// share them by their number.
template <typename Assigner>
void share_assigners(std::vector<Assigner>& in_order, std::size_t own, std::uint32_t proxy) {
  if (own < 2) return;
  auto end = in_order.begin() + static_cast<std::ptrdiff_t>(own);
  std::rotate(in_order.begin(), in_order.begin() + static_cast<std::ptrdiff_t>(proxy % own), end);
}

class Script {
 public:
  Script(Stage& stage, const Day& day, pcg32& random) : stage_(stage), day_(day), random_(random) {}
  void begin();  // all troubles, from now on

 private:
  using Numbers = std::vector<std::size_t>;
  template <typename Fits>
  Numbers draw(std::size_t of, double part, Fits fits);
  Numbers struck(const Trouble& t);
  std::string names(const Numbers& numbers) const;
  void bend(const Trouble& t, const std::string& what,
            const std::function<void(standin::ServerFaults&)>& set);
  void bend_links(const Trouble& t, const std::string& what, const standin::Links::Way& way);
  void crash(std::size_t k, Ms back_after);
  void vanish(std::size_t k, Ms back_after);
  void strike(const Trouble& t);

  void balancer_crash(const Trouble& t);
  void burst(const Trouble& t);
  void crashes(const Trouble& t);
  void vanishes(const Trouble& t);
  void deploy(const Trouble& t);
  void discovery_down(const Trouble& t);
  void discovery_stale(const Trouble& t);
  void fast_errors(const Trouble& t);
  void hang(const Trouble& t);
  void slow(const Trouble& t);
  void shared_slow(const Trouble& t);
  void class_fail(const Trouble& t);
  void false_reports(const Trouble& t);
  void ageing(const Trouble& t);
  void flapping(const Trouble& t);
  void grow(const Trouble& t);
  void mass_restart(const Trouble& t);
  void shift(const Trouble& t);
  void slow_link(const Trouble& t);
  void zone_cut(const Trouble& t);
  void zone_loss(const Trouble& t);
  void reports_late(const Trouble& t);
  void services(const Trouble& t) { stage_.services(t); }

  Stage& stage_;
  const Day& day_;
  pcg32& random_;
};

}  // namespace beamshunt::day
