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

[[noreturn]] void throw_errno(const char* operation) {
  throw std::system_error(errno, std::generic_category(), operation);
}

// Reads fixed-size records from a descriptor until none is left, and calls a function with each record.
class RecordReader final : public EventHandler {
 public:
  template <typename F>
  RecordReader(int fd, std::size_t record_size, F on_record)
      : fd_(fd), record_size_(record_size), on_record_(std::move(on_record)) {}
  void on_ready(std::uint32_t) override {
    char record[128];
    while (::read(fd_, record, record_size_) == static_cast<ssize_t>(record_size_)) on_record_(record);
  }

 private:
  int fd_;
  std::size_t record_size_;
  std::function<void(const char*)> on_record_;
};

}  // namespace

void Fd::reset(int fd) {
  if (fd_ >= 0) ::close(fd_);
  fd_ = fd;
}

Reactor::Reactor()
    : epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)), wakeup_fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!epoll_fd_ || !wakeup_fd_) throw_errno("cannot create the event loop");
  watch(wakeup_fd_.get(),
        std::make_shared<RecordReader>(wakeup_fd_.get(), sizeof(std::uint64_t), [](const char*) {}));
}

void Reactor::watch(int fd, std::shared_ptr<EventHandler> handler) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = std::uint64_t{++generation_} << 32 | static_cast<std::uint32_t>(fd);
  if (::epoll_ctl(epoll_fd_.get(), EPOLL_CTL_ADD, fd, &event) != 0)
    throw_errno("cannot add a file descriptor to epoll");
  handlers_[fd] = {std::move(handler), generation_};
}

void Reactor::unwatch(int fd) {
  // The entry is removed before its handler is destroyed, because the destructor may call unwatch() again.
  auto watched = handlers_.extract(fd);
  if (!watched.empty()) ::epoll_ctl(epoll_fd_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

Reactor::~Reactor() {
  // The members are emptied first, because destructors of captured objects may call this reactor.
  auto timers = std::exchange(timers_, {});
  auto deferred = std::exchange(deferred_, {});
  auto posted = std::exchange(posted_, {});
  auto handlers = std::exchange(handlers_, {});
}

Reactor::TimerId Reactor::call_at(Ms when, Callback callback) {
  TimerId id{when, next_timer_++};
  timers_.emplace(id, std::move(callback));
  return id;
}

void Reactor::cancel_timer(TimerId timer) { timers_.erase(timer); }
void Reactor::defer(Callback callback) { deferred_.push_back(std::move(callback)); }

void Reactor::post(Callback callback) {
  {
    std::lock_guard lock(posted_mutex_);
    posted_.push_back(std::move(callback));
  }
  std::uint64_t one = 1;
  // A write that fails because the counter is full needs no retry: the loop is already due to wake up.
  [[maybe_unused]] ssize_t written = ::write(wakeup_fd_.get(), &one, sizeof one);
}

void Reactor::on_signal(int signal_number, Callback callback) {
  signal_callbacks_[signal_number] = std::move(callback);
  sigset_t set;
  sigemptyset(&set);
  for (auto& [number, registered] : signal_callbacks_) sigaddset(&set, number);
  block_signals({signal_number});
  bool is_first = !signal_fd_;
  int fd = ::signalfd(signal_fd_.get(), &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0) throw_errno("cannot create a signalfd");
  if (!is_first) return;
  signal_fd_.reset(fd);
  watch(fd, std::make_shared<RecordReader>(fd, sizeof(signalfd_siginfo), [this](const char* record) {
          auto received = reinterpret_cast<const signalfd_siginfo*>(record)->ssi_signo;
          if (auto found = signal_callbacks_.find(static_cast<int>(received));
              found != signal_callbacks_.end())
            found->second();
        }));
}

void Reactor::block_signals(std::initializer_list<int> signal_numbers) {
  sigset_t set;
  sigemptyset(&set);
  for (int number : signal_numbers) sigaddset(&set, number);
  if (::pthread_sigmask(SIG_BLOCK, &set, nullptr) != 0) throw_errno("cannot block signals");
}

void Reactor::run_deferred() {
  {
    std::lock_guard lock(posted_mutex_);
    std::move(posted_.begin(), posted_.end(), std::back_inserter(deferred_));
    posted_.clear();
  }
  // Calls deferred by these callbacks run in the next iteration.
  for (auto& callback : std::exchange(deferred_, {})) callback();
}

void Reactor::run_iteration() {
  constexpr int kMaxEvents = 256;
  epoll_event events[kMaxEvents];
  int wait_ms = -1;
  if (!deferred_.empty()) wait_ms = 0;
  else if (!timers_.empty())
    wait_ms = static_cast<int>(
        std::clamp(std::ceil(timers_.begin()->first.first - base::monotonic_ms()), 0.0, 60000.0));
  int event_count = ::epoll_wait(epoll_fd_.get(), events, kMaxEvents, wait_ms);
  if (event_count < 0 && errno != EINTR) throw_errno("epoll_wait failed");
  now_ = base::monotonic_ms();
  Ms started_at = now_;
  for (int k = 0; k < event_count; ++k) {
    std::uint64_t tag = events[k].data.u64;
    auto found = handlers_.find(static_cast<int>(tag & 0xffffffff));
    if (found == handlers_.end() || found->second.generation != tag >> 32)
      continue;  // unwatched in this iteration
    std::shared_ptr<EventHandler> handler = found->second.handler;
    handler->on_ready(events[k].events);
  }
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    auto due = timers_.extract(timers_.begin());
    due.mapped()();
  }
  run_deferred();
  longest_iteration_ = std::max(longest_iteration_, base::monotonic_ms() - started_at);
}

void Reactor::run() {
  running_ = true;
  while (running_) run_iteration();
}

}  // namespace beamshunt::net
