#include "telemetry/remote_writer.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "base/parse.h"

namespace beamshunt::telemetry {
namespace {

constexpr std::size_t kMaxQueuedBytes = 32ULL << 20;  // scrapes that a slow disk may hold in memory
constexpr std::size_t kBytesPerPoint = 200;           // in memory, about: four labels and their strings
constexpr Ms kMsPerSecond = 1000;
constexpr Ms kMinSendDelay = 1;  // ms: a deadline in the past must not spin the loop

// The wait that a response asks for, in ms; -1: none. A date is left to the backoff.
Ms retry_after(const http::Message& response) {
  auto seconds = base::parse_number<int>(response.header("retry-after"));
  return seconds ? *seconds * kMsPerSecond : -1;
}

}  // namespace

RemoteWriter::RemoteWriter(net::Reactor& reactor, RemoteWriterSettings settings, ReadMetrics read_metrics,
                           WriteLog write_log)
    : reactor_(reactor),
      settings_(std::move(settings)),
      read_metrics_(std::move(read_metrics)),
      write_log_(std::move(write_log)),
      exporter_(settings_.external_labels),
      sender_(settings_.sender),
      client_(reactor, {.source = settings_.local_address,
                        .connect_timeout_ms = settings_.request_timeout,
                        .tls = settings_.tls,
                        .tls_peer_name = settings_.host.substr(0, settings_.host.find(':'))}),
      buffer_(std::make_unique<Buffer>(settings_.folder, settings_.buffer)),
      fetched_(buffer_->acknowledged()),
      last_stamp_(buffer_->newest_ms()),
      disk_(std::make_unique<base::Worker>(kMaxQueuedBytes)) {
  fetch();
  scrape();
}

RemoteWriter::~RemoteWriter() {
  *alive_ = false;
  disk_.reset();
}

// ---- Scrapes ----

void RemoteWriter::scrape() {
  if (finishing_) return;
  AssignerMetrics metrics = read_metrics_();
  add_own_metrics(metrics);
  store(exporter_.scrape(metrics, next_scrape_stamp()));
  reactor_.call_at(reactor_.now() + settings_.scrape_interval, [this, alive = alive_] {
    if (*alive) scrape();
  });
}

void RemoteWriter::add_own_metrics(AssignerMetrics& metrics) const {
  metrics.buffer_bytes = static_cast<double>(buffer_state_.bytes);
  metrics.send_lag_s = 0;
  if (buffer_state_.oldest_waiting_ms > 0) {
    Ms lag = base::wall_ms() - static_cast<double>(buffer_state_.oldest_waiting_ms);
    metrics.send_lag_s = std::max(0.0, lag / kMsPerSecond);  // the wall clock may have stepped back
  }
  metrics.samples_sent = sender_.sent_samples();
  metrics.samples_rejected = sender_.rejected_samples();
  metrics.send_failures = sender_.failed_requests();
  metrics.samples_dropped = buffer_state_.dropped_samples;
  metrics.samples_lost = buffer_state_.lost_samples;
}

// ---- The buffer ----

void RemoteWriter::store(Scrape scrape) {
  std::size_t size = scrape.points.size() * kBytesPerPoint;
  bool queued = disk_->post(size, [this, alive = alive_, scrape = std::move(scrape)] {
    bool written = buffer_->append(scrape);
    BufferState state{buffer_->bytes(), buffer_->dropped_samples(), buffer_->lost_samples(),
                      buffer_->oldest_waiting_ms()};
    reactor_.post([this, alive, written, state] {
      if (*alive) on_stored(written, state);
    });
  });
  if (!queued) write_log_("metrics_buffer_write_failed", "the disk is behind");
}

void RemoteWriter::on_stored(bool written, const BufferState& state) {
  buffer_state_ = state;
  if (!written) write_log_("metrics_buffer_write_failed", "the disk did not take a scrape");
  more_to_fetch_ = true;
  fetch();
}

// Reads from the buffer what the sender has room for.
void RemoteWriter::fetch() {
  if (fetching_ || !more_to_fetch_ || sender_.capacity() == 0) return;
  std::size_t max_scrapes = sender_.capacity();
  fetching_ = disk_->post(0, [this, alive = alive_, from = fetched_, max_scrapes] {
    auto scrapes = buffer_->read(from, max_scrapes);
    reactor_.post([this, alive, max_scrapes, scrapes = std::move(scrapes)] {
      if (!*alive) return;
      fetching_ = false;
      more_to_fetch_ = scrapes.size() == max_scrapes;
      for (const Buffer::StoredScrape& stored : scrapes) {
        sender_.enqueue(stored.end, stored.scrape, reactor_.now());
        fetched_ = stored.end;
      }
      send();
    });
  });
}

// ---- The receiver ----

void RemoteWriter::send() {
  for (const Sender::Request& request : sender_.take_due_requests(reactor_.now())) post(request);
  schedule_send();
}

void RemoteWriter::post(const Sender::Request& request) {
  http::Message message = http::make_request("POST", settings_.path, request.body);
  message.headers = {{"host", settings_.host},
                     {"content-type", "application/x-protobuf"},
                     {"content-encoding", "snappy"},
                     {"user-agent", "beamshunt"},
                     {"x-prometheus-remote-write-version", "0.1.0"}};
  if (!settings_.authorization.empty())
    message.headers.emplace_back("authorization", settings_.authorization);
  client_.send_request(settings_.receiver, message, settings_.request_timeout,
                       [this, alive = alive_, shard = request.shard](http::Client::Result&& answer) {
                         if (*alive) on_answer(shard, answer);
                       });
}

void RemoteWriter::on_answer(std::size_t shard, const http::Client::Result& answer) {
  bool answered = answer.failure == http::Client::Failure::none;
  int status = answer.response.status;
  bool taken = answered && status / 100 == 2;
  if (taken != std::exchange(receiver_reached_, taken))
    write_log_(taken ? "metrics_receiver_recovered" : "metrics_receiver_unavailable",
               answered ? "status " + std::to_string(status) : answer.detail);
  if (answered) sender_.on_response(shard, status, retry_after(answer.response), reactor_.now());
  else sender_.on_no_response(shard, reactor_.now());
  save_acknowledged();
  fetch();
  send();
  bool all_sent = sender_.idle() && !more_to_fetch_ && !fetching_;
  if (finishing_ && all_sent && finished_) std::exchange(finished_, nullptr)();
}

void RemoteWriter::schedule_send() {
  if (send_timer_) reactor_.cancel_timer(*send_timer_);
  send_timer_.reset();
  Ms deadline = sender_.next_deadline();
  if (deadline >= base::kNever) return;
  send_timer_ = reactor_.call_at(std::max(deadline, reactor_.now() + kMinSendDelay), [this, alive = alive_] {
    if (!*alive) return;
    send_timer_.reset();
    send();
  });
}

void RemoteWriter::save_acknowledged() {
  std::optional<Position> acknowledged = sender_.take_acknowledged();
  if (!acknowledged) return;
  disk_->post(0, [this, position = *acknowledged] {
    try {
      buffer_->acknowledge(position);
    } catch (const std::exception&) {  // the receiver gets the same again after a restart, and drops it
    }
  });
}

void RemoteWriter::finish(Ms max_wait, std::function<void()> done) {
  finishing_ = true;
  finished_ = std::move(done);
  store(exporter_.stale(next_scrape_stamp()));
  reactor_.call_at(reactor_.now() + max_wait, [this, alive = alive_] {
    if (*alive && finished_) std::exchange(finished_, nullptr)();
  });
}

}  // namespace beamshunt::telemetry
