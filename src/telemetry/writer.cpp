#include "telemetry/writer.h"

#include <algorithm>
#include <cmath>

#include "base/parse.h"

namespace beamshunt::telemetry {
namespace {

constexpr std::size_t kMostDiskBytes = 32 * 1048576;  // scrapes on their way to the disk
constexpr std::size_t kBytesAPoint = 200;             // about, in memory

Ms retry_after(const http::Message& answer) {  // seconds; a date is left to the backoff
  auto seconds = base::parse_number<int>(answer.header("retry-after"));
  return seconds ? *seconds * 1000.0 : -1;
}

}  // namespace

Writer::Writer(net::Reactor& reactor, WriterSettings settings, Look look, Say say)
    : reactor_(reactor),
      set_(std::move(settings)),
      look_(std::move(look)),
      say_(std::move(say)),
      exporter_(set_.external),
      sender_(set_.sender),
      client_(reactor, {.from = set_.from,
                        .connect_ms = set_.timeout,
                        .tls = set_.tls,
                        .tls_name = set_.host.substr(0, set_.host.find(':'))}),
      buffer_(std::make_unique<Buffer>(set_.folder, set_.buffer)),
      read_(buffer_->taken_position()),
      last_stamp_(buffer_->newest_ms()),
      disk_(std::make_unique<base::Worker>(kMostDiskBytes)) {
  fetch();
  scrape();
}

Writer::~Writer() {
  *alive_ = false;
  disk_.reset();
}

void Writer::scrape() {
  if (finishing_) return;
  Figures f = look_();
  f.wal_bytes = static_cast<double>(disk_state_.bytes);
  f.wal_lag_s =
      disk_state_.oldest_waiting_ms > 0
          ? std::max(0.0, (base::wall_ms() - static_cast<double>(disk_state_.oldest_waiting_ms)) / 1000)
          : 0;
  f.samples_sent = sender_.sent(), f.samples_refused = sender_.refused(),
  f.send_failures = sender_.failures();
  f.samples_dropped_old = disk_state_.dropped, f.samples_lost = disk_state_.lost;
  store(exporter_.scrape(f, stamp()));
  reactor_.at(reactor_.now() + set_.interval, [this, alive = alive_] {
    if (*alive) scrape();
  });
}

void Writer::store(Scrape scrape) {
  std::size_t size = scrape.points.size() * kBytesAPoint;
  bool taken = disk_->post(size, [this, alive = alive_, scrape = std::move(scrape)] {
    bool written = buffer_->append(scrape);
    DiskState state{buffer_->bytes(), buffer_->dropped_samples(), buffer_->lost_samples(),
                    buffer_->oldest_waiting_ms()};
    reactor_.post([this, alive, written, state] {
      if (!*alive) return;
      take_state(state);
      if (!written) say_("metrics_not_buffered", "the disk did not take a scrape");
      more_ = true;
      fetch();
    });
  });
  if (!taken) say_("metrics_not_buffered", "the disk is behind");
}

void Writer::fetch() {
  if (fetching_ || !more_ || sender_.room() == 0) return;
  fetching_ = disk_->post(0, [this, alive = alive_, from = read_, most = sender_.room()] {
    auto reads = buffer_->read(from, most);
    reactor_.post([this, alive, most, reads = std::move(reads)] {
      if (!*alive) return;
      fetching_ = false;
      more_ = reads.size() == most;
      for (const Buffer::Read& r : reads) sender_.give(r.end, r.scrape, reactor_.now()), read_ = r.end;
      send();
    });
  });
}

void Writer::send() {
  for (Sender::Post& post : sender_.due(reactor_.now())) {
    http::Message m = http::request("POST", set_.path, std::move(post.body));
    m.headers = {{"host", set_.host},
                 {"content-type", "application/x-protobuf"},
                 {"content-encoding", "snappy"},
                 {"user-agent", "beamshunt"},
                 {"x-prometheus-remote-write-version", "0.1.0"}};
    if (!set_.authorization.empty()) m.headers.emplace_back("authorization", set_.authorization);
    client_.ask(set_.receiver, m, set_.timeout,
                [this, alive = alive_, shard = post.shard](http::Client::Answer&& a) {
                  if (!*alive) return;
                  bool answered = a.failure == http::Client::Failure::none;
                  bool taken = answered && a.message.status / 100 == 2;
                  if (taken != std::exchange(reached_, taken))
                    say_(taken ? "receiver_takes_again" : "receiver_does_not_take",
                         answered ? "status " + std::to_string(a.message.status) : a.detail);
                  if (answered)
                    sender_.answered(shard, a.message.status, retry_after(a.message), reactor_.now());
                  else sender_.failed(shard, reactor_.now());
                  settled();
                });
  }
  if (timer_) reactor_.cancel(*timer_);
  timer_.reset();
  if (Ms due = sender_.next_due(); due < base::kNever)
    timer_ = reactor_.at(std::max(due, reactor_.now() + 1), [this, alive = alive_] {
      if (!*alive) return;
      timer_.reset();
      send();
    });
}

void Writer::settled() {
  if (auto done = sender_.take_done())
    disk_->post(0, [this, position = *done] {
      try {
        buffer_->taken(position);
      } catch (const std::exception&) {  // the receiver gets the same again after a restart, and drops it
      }
    });
  fetch();
  send();
  if (finishing_ && sender_.idle() && !more_ && !fetching_ && finished_) std::exchange(finished_, nullptr)();
}

void Writer::finish(Ms most, std::function<void()> done) {
  finishing_ = true;
  finished_ = std::move(done);
  store(exporter_.stale(stamp()));
  reactor_.at(reactor_.now() + most, [this, alive = alive_] {
    if (*alive && finished_) std::exchange(finished_, nullptr)();
  });
}

}  // namespace beamshunt::telemetry
