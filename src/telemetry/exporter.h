// An assigner's metrics as series. Names and units follow Prometheus' conventions; docs/metrics.md lists
// every series. It sends nothing: remote_writer.h does.
#pragma once

#include <cstdint>
#include <memory>

#include "telemetry/assigner_metrics.h"
#include "telemetry/scrape.h"

namespace beamshunt::telemetry {

// The number of series is bounded by classes and localities, never by proxies or endpoints: a fleet that
// grows must not bring down the metrics receiver.
class Exporter {
 public:
  // `external_labels` go to every series, such as {"instance", "0"}.
  explicit Exporter(Labels external_labels);
  ~Exporter();
  Exporter(const Exporter&) = delete;
  Exporter& operator=(const Exporter&) = delete;

  // Every series with its value of now, sorted by labels. `at_ms`: since 1970. Counters never fall, whatever
  // is given.
  Scrape scrape(const AssignerMetrics& metrics, std::int64_t at_ms);
  // Every series of the last scrape with the marker that says that it has ended.
  [[nodiscard]] Scrape stale(std::int64_t at_ms) const;

 private:
  class Series;
  std::unique_ptr<Series> series_;
  Scrape last_;
};

}  // namespace beamshunt::telemetry
