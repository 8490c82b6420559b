// A server to send requests to, without its sockets: cores that work through a queue, a cold start that it
// falls over in when pushed, a pod that drops repeats, and the faults that a day may give it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/time.h"

namespace beamshunt::standin {

using base::Ms;

struct ServerSpec {
  std::uint32_t id = 0, locality = 0, cell = 0;
  int cores = 2;
  double speed = 1;
  std::size_t most_queued = 64;
  double start_capacity = 0.25, tip_multiple = 4;
  Ms warm_up = 16000, fall = 3000;
  double listed_size() const { return cores * speed; }
};

// Servers of one cell share what they remember of keys.
class Pod {
 public:
  // Whether a request of this key takes effect now: not if one did within the window.
  bool takes_effect(const std::string& key, Ms now, Ms window);

 private:
  std::map<std::string, Ms> done_;                   // key to when it took effect
  std::deque<std::pair<Ms, std::string>> in_order_;  // of the same, the oldest first
};

struct Job {
  std::uint64_t token = 0, request = 0;
  std::uint16_t request_class = 0;
  std::string key;  // empty: repeats take effect again
  double work_ms = 0;
};

enum class LoadLie { none, scaled, stuck, full };

struct ServerFaults {
  bool hung = false;       // takes requests and answers none
  double slow = 1;         // times slower
  double error_share = 0;  // of requests answered with an error, at once
  int failing_class = -1;  // only this one fails; -1: error_share is for all
  bool failing_silently = false;
  LoadLie lie = LoadLie::none;
  double lie_factor = 1;
};

class ServerModel {
 public:
  enum class Taken { working, queued, full, draining, silent, error };
  struct Finished {
    std::uint64_t token = 0, request = 0;
    std::uint16_t request_class = 0;
    bool effect = false;  // false: the pod had done it before
  };

  ServerModel(ServerSpec spec, std::shared_ptr<Pod> pod, Ms dedup_window, std::uint64_t seed)
      : spec_(spec), pod_(std::move(pod)), window_(dedup_window), random_(seed) {}

  void start(Ms now, bool cold);
  void stop();
  void drain() { draining_ = true; }
  Taken arrive(Ms now, Job job);
  // Jobs done until now; the caller answers them.
  std::vector<Finished> advance(Ms now);
  Ms next_due() const;
  bool up() const { return up_; }
  bool fell_over() const { return fell_over_; }
  double ramp(Ms now) const;  // the part of its capacity that it has
  std::map<std::string, double> load(Ms now);
  std::size_t queued() const { return queued_.size(); }
  const ServerSpec& spec() const { return spec_; }

  ServerFaults faults;

 private:
  void begin_jobs(Ms now);
  void finish_jobs(Ms now);
  void note_busy(Ms now);

  ServerSpec spec_;
  std::shared_ptr<Pod> pod_;
  Ms window_;
  pcg32 random_;
  bool up_ = false, cold_ = false, draining_ = false, fell_over_ = false;
  Ms started_ = 0;
  std::multimap<Ms, Job> working_;  // by when they are done
  std::deque<Job> queued_;
  std::vector<Finished> finished_;             // not yet taken by advance()
  std::deque<std::pair<Ms, double>> offered_;  // while cold: when, work
  double offered_sum_ = 0;
  double busy_ = 0;  // smoothed part of the cores at work
  Ms busy_at_ = 0;
  std::optional<std::map<std::string, double>> stuck_;
};

}  // namespace beamshunt::standin
