// Remote write on sockets: scrapes in time, the durable buffer on a thread of its own, requests by HTTP. The
// event loop waits neither for the disk nor for the receiver. What is sent and when, the sender decides
// (sender.h).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/worker.h"
#include "http/server.h"
#include "telemetry/buffer.h"
#include "telemetry/exporter.h"
#include "telemetry/sender.h"

namespace beamshunt::telemetry {

struct RemoteWriterSettings {
  net::Address receiver{};
  net::Address local_address{};  // that requests come from; port 0: any
  std::string path = "/api/v1/write";
  std::string host;                            // the header's value: name or address, with the port
  std::string authorization;                   // the header's value; empty: none
  std::shared_ptr<const net::TlsContext> tls;  // for https; null: http
  Ms scrape_interval = 5000;
  Ms request_timeout = 5000;
  Labels external_labels;  // of every series
  BufferLimits buffer;
  SenderSettings sender;
  std::string folder;  // of the buffer
  bool operator==(const RemoteWriterSettings&) const = default;
};

class RemoteWriter {
 public:
  // The assigner's metrics as of now.
  using ReadMetrics = std::function<AssignerMetrics()>;
  // A line for the log.
  using WriteLog = std::function<void(const std::string& event, const std::string& reason)>;

  // Scrapes for the first time at once. `reactor` must outlive it. Throws base::FileError or
  // std::filesystem::filesystem_error if the buffer's folder can't be used.
  RemoteWriter(net::Reactor& reactor, RemoteWriterSettings settings, ReadMetrics read_metrics,
               WriteLog write_log);
  // Waits for the disk: what was scraped is in the buffer.
  ~RemoteWriter();
  RemoteWriter(const RemoteWriter&) = delete;
  RemoteWriter& operator=(const RemoteWriter&) = delete;

  // Ends every series with a stale marker, sends what waits, and calls `done` once all is sent, or after
  // `max_wait` ms: what was not sent by then is in the buffer, and the next start sends it.
  void finish(Ms max_wait, std::function<void()> done);

 private:
  // Of the buffer, as the disk's thread told it last.
  struct BufferState {
    std::uint64_t bytes = 0;
    std::uint64_t dropped_samples = 0;
    std::uint64_t lost_samples = 0;
    std::int64_t oldest_waiting_ms = 0;
  };
  void scrape();
  void add_own_metrics(AssignerMetrics& metrics) const;
  void store(Scrape scrape);
  void on_stored(bool written, const BufferState& state);
  void fetch();
  void send();
  void post(const Sender::Request& request);
  void on_answer(std::size_t shard, const http::Client::Result& answer);
  void schedule_send();
  void save_acknowledged();
  std::int64_t next_scrape_stamp() { return last_stamp_ = next_stamp(last_stamp_, base::wall_ms()); }

  net::Reactor& reactor_;
  RemoteWriterSettings settings_;
  ReadMetrics read_metrics_;
  WriteLog write_log_;
  Exporter exporter_;
  Sender sender_;
  http::Client client_;
  std::unique_ptr<Buffer> buffer_;  // the disk's thread alone uses it once the constructor is through
  BufferState buffer_state_;
  Position fetched_;  // behind the last scrape that the sender was given
  std::int64_t last_stamp_ = 0;
  bool fetching_ = false;
  bool more_to_fetch_ = true;
  bool receiver_reached_ = true;  // took the last request; only changes are logged
  bool finishing_ = false;
  std::function<void()> finished_;
  std::optional<net::Reactor::TimerId> send_timer_;
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);     // false once this is destroyed; callbacks look first
  std::unique_ptr<base::Worker> disk_;  // last: its jobs use the others
};

}  // namespace beamshunt::telemetry
