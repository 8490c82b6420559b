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

constexpr std::size_t kQueuedLines = 8192;
constexpr auto kLastWords =
    std::chrono::milliseconds(100);  // for what is queued at the end, where it is read

// Standard error without the C library's stream: a thread that waits on a pipe that nobody reads would hold
// that stream's lock, which the end of the process takes.
class StandardError final : public spdlog::sinks::base_sink<std::mutex> {
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    for (std::size_t sent = 0; sent < line.size();) {
      ssize_t n = ::write(STDERR_FILENO, line.data() + sent, line.size() - sent);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return;  // a log that takes nothing more loses lines, and stops nobody
      sent += static_cast<std::size_t>(n);
    }
  }
  void flush_() override {}
};

// Counts what went out, so that the end knows whether anything is left.
class Counted final : public spdlog::sinks::sink {
 public:
  Counted(spdlog::sink_ptr inner, std::shared_ptr<std::atomic<std::uint64_t>> written)
      : inner_(std::move(inner)), written_(std::move(written)) {}
  void log(const spdlog::details::log_msg& message) override { inner_->log(message), ++*written_; }
  void flush() override { inner_->flush(); }
  void set_pattern(const std::string& pattern) override { inner_->set_pattern(pattern); }
  void set_formatter(std::unique_ptr<spdlog::formatter> f) override { inner_->set_formatter(std::move(f)); }

 private:
  spdlog::sink_ptr inner_;
  std::shared_ptr<std::atomic<std::uint64_t>> written_;
};

const char* name_of(Level level) {
  constexpr const char* kNames[] = {"debug", "info", "warning", "error"};
  return kNames[static_cast<std::size_t>(level)];
}

}  // namespace

bool EventRateLimiter::allow(const std::string& event, base::Ms now, std::uint64_t& suppressed) {
  Seen& seen = seen_[event];
  if (now - seen.second >= 1000) seen.second = now, seen.written = 0;
  if (seen.written >= most_) {
    ++seen.suppressed;
    return false;
  }
  ++seen.written;
  suppressed = std::exchange(seen.suppressed, 0);
  return true;
}

std::string json_line(Level level, const std::string& event, const Fields& fields, std::uint64_t suppressed) {
  nlohmann::ordered_json line;
  line["level"] = name_of(level);
  line["event"] = event;
  for (auto& [name, value] : fields) line[name] = value;
  if (suppressed > 0) line["suppressed"] = suppressed;
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Log::Log(const std::string& file, Level least) : least_(least) {
  // Never destroyed: its end would join a thread that waits on a pipe that nobody reads, for good.
  static auto& pool = *new std::shared_ptr(std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1));
  spdlog::sink_ptr sink;
  try {
    if (file.empty()) sink = std::make_shared<StandardError>();
    else sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  } catch (const spdlog::spdlog_ex& error) {
    throw std::runtime_error("cannot open the log " + file + ": " + error.what());
  }
  sink->set_formatter(std::make_unique<spdlog::pattern_formatter>(R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ",%v)",
                                                                  spdlog::pattern_time_type::utc));
  written_ = std::make_shared<std::atomic<std::uint64_t>>(0);
  sink = std::make_shared<Counted>(sink, written_);
  logger_ = std::make_shared<spdlog::async_logger>("beamshunt", sink, pool,
                                                   spdlog::async_overflow_policy::overrun_oldest);
  logger_->flush_on(spdlog::level::info);
}

Log::~Log() {
  auto until = std::chrono::steady_clock::now() + kLastWords;
  while (*written_ < posted_ && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void Log::write(Level level, const std::string& event, const Fields& fields) {
  std::uint64_t suppressed = 0;
  if (level < least_ || !repeats_.allow(event, base::monotonic_ms(), suppressed)) return;
  ++posted_;
  logger_->info("{}", json_line(level, event, fields, suppressed).substr(1));
}

}  // namespace beamshunt::log
