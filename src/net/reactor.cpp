#include "net/reactor.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <system_error>

namespace beamshunt::net {
namespace {

[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

class Draining final : public EventHandler {  // reads a descriptor empty and calls for each thing read
 public:
  template <typename F>
  Draining(int fd, std::size_t size, F call) : fd_(fd), size_(size), call_(std::move(call)) {}
  void on_ready(std::uint32_t) override {
    char block[128];
    while (::read(fd_, block, size_) == static_cast<ssize_t>(size_)) call_(block);
  }

 private:
  int fd_;
  std::size_t size_;
  std::function<void(const char*)> call_;
};

}  // namespace

void Fd::reset(int fd) {
  if (fd_ >= 0) ::close(fd_);
  fd_ = fd;
}

Reactor::Reactor() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!epoll_ || !wake_) fail("cannot make an event loop");
  watch(wake_.get(), std::make_shared<Draining>(wake_.get(), sizeof(std::uint64_t), [](const char*) {}));
}

void Reactor::watch(int fd, std::shared_ptr<EventHandler> handler) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = std::uint64_t{++generation_} << 32 | static_cast<std::uint32_t>(fd);
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) fail("cannot watch a descriptor");
  handlers_[fd] = {std::move(handler), generation_};
}

void Reactor::unwatch(int fd) {
  auto watched = handlers_.extract(fd);  // the handler may end here, and its end may call remove() again
  if (!watched.empty()) ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

Reactor::~Reactor() {  // what calls and handlers hold may call back while it ends
  auto timers = std::exchange(timers_, {});
  auto deferred = std::exchange(deferred_, {});
  auto posted = std::exchange(posted_, {});
  auto handlers = std::exchange(handlers_, {});
}

Reactor::TimerId Reactor::call_at(Ms when, Callback call) {
  TimerId id{when, next_timer_++};
  timers_.emplace(id, std::move(call));
  return id;
}

void Reactor::cancel_timer(TimerId timer) { timers_.erase(timer); }
void Reactor::defer(Callback call) { deferred_.push_back(std::move(call)); }

void Reactor::post(Callback call) {
  {
    std::lock_guard lock(posted_mutex_);
    posted_.push_back(std::move(call));
  }
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t n = ::write(wake_.get(), &one, sizeof one);  // full counter: awake already
}

void Reactor::on_signal(int number, Callback call) {
  signal_calls_[number] = std::move(call);
  sigset_t set;
  sigemptyset(&set);
  for (auto& [n, c] : signal_calls_) sigaddset(&set, n);
  block_signals({number});
  bool fresh = !signals_;
  int fd = ::signalfd(signals_.get(), &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0) fail("cannot receive signals");
  if (!fresh) return;
  signals_.reset(fd);
  watch(fd, std::make_shared<Draining>(fd, sizeof(signalfd_siginfo), [this](const char* block) {
          auto number_of = reinterpret_cast<const signalfd_siginfo*>(block)->ssi_signo;
          if (auto found = signal_calls_.find(static_cast<int>(number_of)); found != signal_calls_.end())
            found->second();
        }));
}

void Reactor::block_signals(std::initializer_list<int> numbers) {
  sigset_t set;
  sigemptyset(&set);
  for (int number : numbers) sigaddset(&set, number);
  if (::pthread_sigmask(SIG_BLOCK, &set, nullptr) != 0) fail("cannot block signals");
}

void Reactor::run_deferred() {
  {
    std::lock_guard lock(posted_mutex_);
    std::move(posted_.begin(), posted_.end(), std::back_inserter(deferred_));
    posted_.clear();
  }
  for (auto& call : std::exchange(deferred_, {})) call();  // what these defer waits for the next turn
}

void Reactor::run_iteration() {
  constexpr int kMostEvents = 256;
  epoll_event events[kMostEvents];
  int wait_ms = -1;
  if (!deferred_.empty()) wait_ms = 0;
  else if (!timers_.empty())
    wait_ms = static_cast<int>(
        std::clamp(std::ceil(timers_.begin()->first.first - base::monotonic_ms()), 0.0, 60000.0));
  int n = ::epoll_wait(epoll_.get(), events, kMostEvents, wait_ms);
  if (n < 0 && errno != EINTR) fail("cannot wait for events");
  now_ = base::monotonic_ms();
  Ms begun = now_;
  for (int k = 0; k < n; ++k) {
    std::uint64_t tag = events[k].data.u64;
    auto found = handlers_.find(static_cast<int>(tag & 0xffffffff));
    if (found == handlers_.end() || found->second.generation != tag >> 32) continue;  // removed this turn
    std::shared_ptr<EventHandler> hold = found->second.handler;
    hold->on_ready(events[k].events);
  }
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    auto due = timers_.extract(timers_.begin());
    due.mapped()();
  }
  run_deferred();
  longest_turn_ = std::max(longest_turn_, base::monotonic_ms() - begun);
}

void Reactor::run() {
  running_ = true;
  while (running_) run_iteration();
}

}  // namespace beamshunt::net
