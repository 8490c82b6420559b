#include "telemetry/remote_write.h"

#include <snappy.h>

#include "telemetry/remote_write.pb.h"

namespace beamshunt::telemetry {

std::string encode_request(const std::vector<SeriesRun>& series) {
  wire::WriteRequest request;
  for (const SeriesRun& run : series) {
    auto* out = request.add_timeseries();
    for (const auto& [name, value] : run.labels) {
      auto* label = out->add_labels();
      label->set_name(name);
      label->set_value(value);
    }
    for (const Sample& sample : run.samples) {
      auto* added = out->add_samples();
      added->set_timestamp(sample.at_ms);
      added->set_value(sample.value);
    }
  }
  std::string plain = request.SerializeAsString();
  std::string packed;
  snappy::Compress(plain.data(), plain.size(), &packed);
  return packed;
}

std::optional<std::vector<SeriesRun>> decode_request(std::string_view body, std::size_t max_bytes) {
  std::size_t size = 0;
  if (!snappy::GetUncompressedLength(body.data(), body.size(), &size) || size > max_bytes)
    return std::nullopt;
  std::string plain;
  wire::WriteRequest request;
  if (!snappy::Uncompress(body.data(), body.size(), &plain) || !request.ParseFromString(plain))
    return std::nullopt;
  std::vector<SeriesRun> out;
  for (const auto& series : request.timeseries()) {
    SeriesRun run;
    for (const auto& label : series.labels()) run.labels.emplace_back(label.name(), label.value());
    for (const auto& sample : series.samples()) run.samples.push_back({sample.timestamp(), sample.value()});
    out.push_back(std::move(run));
  }
  return out;
}

}  // namespace beamshunt::telemetry
