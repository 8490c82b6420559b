// One epoll loop a thread, edge-triggered: readiness, timers, deferred calls, signals and wake-ups.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace beamshunt::net {

using base::Ms;

// Owns a file descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) reset(std::exchange(other.fd_, -1));
    return *this;
  }
  ~Fd() { reset(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset(int fd = -1);

 private:
  int fd_;
};

class EventHandler {
 public:
  virtual ~EventHandler() = default;
  // EPOLLIN, EPOLLOUT, EPOLLRDHUP, EPOLLHUP, EPOLLERR as they came. Edge-triggered: act until EAGAIN.
  virtual void on_ready(std::uint32_t events) = 0;
};

class Reactor {
 public:
  using Callback = std::function<void()>;
  using TimerId = std::pair<Ms, std::uint64_t>;

  Reactor();  // throws std::system_error
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  // Watches `fd` for reading and writing until remove(fd); holds the handler for as long.
  void watch(int fd, std::shared_ptr<EventHandler> handler);
  void unwatch(int fd);

  // Calls once at `when` on the monotonic clock; in the order of the times, then of the calls.
  TimerId call_at(Ms when, Callback call);
  void cancel_timer(TimerId timer);
  void defer(Callback call);  // before the loop sleeps again
  void post(Callback call);   // the same, from any thread
  void on_signal(int number, Callback call);
  // Before any thread is started: a thread with a signal unblocked would take it the default way.
  static void block_signals(std::initializer_list<int> numbers);

  Ms now() const { return now_; }  // as of this turn of the loop
  void run();                      // until stop()
  void stop() { running_ = false; }
  // Longest turn since the last call: how long an event may have waited for the ones before it.
  Ms reset_longest_iteration() { return std::exchange(longest_turn_, 0.0); }

 private:
  void run_iteration();
  void run_deferred();

  Fd epoll_, wake_, signals_;
  struct Watched {
    std::shared_ptr<EventHandler> handler;
    std::uint32_t generation = 0;  // an event of a descriptor's former owner is not for the present one
  };
  std::unordered_map<int, Watched> handlers_;
  std::uint32_t generation_ = 0;
  std::map<TimerId, Callback> timers_;
  std::uint64_t next_timer_ = 0;
  std::vector<Callback> deferred_;
  std::mutex posted_mutex_;
  std::vector<Callback> posted_;
  std::map<int, Callback> signal_calls_;
  Ms now_ = base::monotonic_ms();
  Ms longest_turn_ = 0;
  bool running_ = false;
};

}  // namespace beamshunt::net
