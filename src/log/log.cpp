#include "log/log.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace beamshunt::log {
namespace {

constexpr std::size_t kMaxQueuedLines = 8192;
constexpr auto kShutdownFlushTimeout =
    std::chrono::milliseconds(100);  // enough for the queued lines if the output is read

// Writes to standard error with system calls instead of the C library's stream. A thread that blocks on a
// pipe without a reader would hold that stream's lock, and the exit of the process needs the lock.
class StandardErrorSink final : public spdlog::sinks::base_sink<std::mutex> {
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    for (std::size_t sent = 0; sent < line.size();) {
      ssize_t n = ::write(STDERR_FILENO, line.data() + sent, line.size() - sent);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return;  // lines are lost if standard error can't be written to; the process goes on
      sent += static_cast<std::size_t>(n);
    }
  }
  void flush_() override {}
};

// Forwards to another sink and counts the lines written, so that ~Log() can tell whether lines are still
// queued.
class CountingSink final : public spdlog::sinks::sink {
 public:
  CountingSink(spdlog::sink_ptr inner, std::shared_ptr<std::atomic<std::uint64_t>> written_lines)
      : inner_(std::move(inner)), written_lines_(std::move(written_lines)) {}
  void log(const spdlog::details::log_msg& message) override { inner_->log(message), ++*written_lines_; }
  void flush() override { inner_->flush(); }
  void set_pattern(const std::string& pattern) override { inner_->set_pattern(pattern); }
  void set_formatter(std::unique_ptr<spdlog::formatter> f) override { inner_->set_formatter(std::move(f)); }

 private:
  spdlog::sink_ptr inner_;
  std::shared_ptr<std::atomic<std::uint64_t>> written_lines_;
};

const char* level_name(Level level) {
  constexpr const char* kNames[] = {"debug", "info", "warning", "error"};
  return kNames[static_cast<std::size_t>(level)];
}

}  // namespace

bool EventRateLimiter::allow(const std::string& event, base::Ms now, std::uint64_t& suppressed) {
  EventState& state = events_[event];
  if (now - state.window_start >= 1000) state.window_start = now, state.written = 0;
  if (state.written >= max_per_second_) {
    ++state.suppressed;
    return false;
  }
  ++state.written;
  suppressed = std::exchange(state.suppressed, 0);
  return true;
}

std::string json_line(Level level, const std::string& event, const Fields& fields, std::uint64_t suppressed) {
  nlohmann::ordered_json line;
  line["level"] = level_name(level);
  line["event"] = event;
  for (auto& [name, value] : fields) line[name] = value;
  if (suppressed > 0) line["suppressed"] = suppressed;
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Log::Log(const std::string& file, Level min_level) : min_level_(min_level) {
  // The pool is never destroyed: its destructor would join a thread that may block forever on a pipe without
  // a reader.
  static auto& pool =
      *new std::shared_ptr(std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1));
  spdlog::sink_ptr sink;
  try {
    if (file.empty()) sink = std::make_shared<StandardErrorSink>();
    else sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  } catch (const spdlog::spdlog_ex& error) {
    throw std::runtime_error("cannot open the log file " + file + ": " + error.what());
  }
  sink->set_formatter(std::make_unique<spdlog::pattern_formatter>(R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ",%v)",
                                                                  spdlog::pattern_time_type::utc));
  written_lines_ = std::make_shared<std::atomic<std::uint64_t>>(0);
  sink = std::make_shared<CountingSink>(sink, written_lines_);
  logger_ = std::make_shared<spdlog::async_logger>("beamshunt", sink, pool,
                                                   spdlog::async_overflow_policy::overrun_oldest);
  logger_->flush_on(spdlog::level::info);
}

Log::~Log() {
  auto deadline = std::chrono::steady_clock::now() + kShutdownFlushTimeout;
  while (*written_lines_ < queued_lines_ && std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void Log::write(Level level, const std::string& event, const Fields& fields) {
  std::uint64_t suppressed = 0;
  if (level < min_level_ || !rate_limiter_.allow(event, base::monotonic_ms(), suppressed)) return;
  ++queued_lines_;
  logger_->info("{}", json_line(level, event, fields, suppressed).substr(1));
}

}  // namespace beamshunt::log
