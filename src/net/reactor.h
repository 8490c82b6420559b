// Event loop on epoll for one thread. It dispatches I/O readiness, timers, deferred calls, signals and calls
// posted by other threads. Readiness is edge-triggered.
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

// Owns a file descriptor and closes it on destruction. A negative descriptor stands for none.
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
  // Closes the owned descriptor, if any, and takes ownership of `fd`.
  void reset(int fd = -1);

 private:
  int fd_;
};

// Receives the I/O events of a file descriptor.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  // Handles events of the watched descriptor. `events` is the epoll mask of EPOLLIN, EPOLLOUT, EPOLLRDHUP,
  // EPOLLHUP and EPOLLERR. Events are edge-triggered, so the handler must read or write until EAGAIN.
  virtual void on_ready(std::uint32_t events) = 0;
};

// An event loop. Only post() may be called on other threads than the one that runs the loop.
class Reactor {
 public:
  using Callback = std::function<void()>;
  using TimerId = std::pair<Ms, std::uint64_t>;

  // Throws std::system_error if the kernel objects can't be created.
  Reactor();
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  // Delivers the events of `fd` to `handler`, and keeps the handler alive, until unwatch(fd). Throws
  // std::system_error.
  void watch(int fd, std::shared_ptr<EventHandler> handler);
  void unwatch(int fd);

  // Runs `callback` once at time `when` of the monotonic clock, in ms. Timers fire in order of their times,
  // and timers with equal times in the order in which they were created.
  TimerId call_at(Ms when, Callback callback);
  void cancel_timer(TimerId timer);
  // Runs `callback` before the loop next blocks.
  void defer(Callback callback);
  // Runs `callback` like defer(). May be called from any thread.
  void post(Callback callback);
  // Blocks the signal for the calling thread and runs `callback` for each delivery. Throws std::system_error.
  void on_signal(int signal_number, Callback callback);
  // Blocks signals for the calling thread and for threads that it starts later. Call it before any thread is
  // started: the kernel delivers a signal to any thread that has not blocked it, with the default action.
  static void block_signals(std::initializer_list<int> signal_numbers);

  // Returns the monotonic time at the start of the current iteration of the loop.
  Ms now() const { return now_; }
  // Runs the loop until stop() is called.
  void run();
  void stop() { running_ = false; }
  // Returns the duration of the longest iteration since the last call, and starts a new measurement. An event
  // may have waited that long for the events before it.
  Ms reset_longest_iteration() { return std::exchange(longest_iteration_, 0.0); }

 private:
  void run_iteration();
  void run_deferred();

  Fd epoll_fd_, wakeup_fd_, signal_fd_;
  struct Watched {
    std::shared_ptr<EventHandler> handler;
    // Distinguishes successive users of one descriptor number, so that a stale event does not reach a new
    // user.
    std::uint32_t generation = 0;
  };
  std::unordered_map<int, Watched> handlers_;
  std::uint32_t generation_ = 0;
  std::map<TimerId, Callback> timers_;
  std::uint64_t next_timer_ = 0;
  std::vector<Callback> deferred_;
  std::mutex posted_mutex_;
  std::vector<Callback> posted_;
  std::map<int, Callback> signal_callbacks_;
  Ms now_ = base::monotonic_ms();
  Ms longest_iteration_ = 0;
  bool running_ = false;
};

}  // namespace beamshunt::net
