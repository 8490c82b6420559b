// The path of figures: encoding and the durable buffer, beside snappy and memcpy on the same bytes.
#include <fmt/format.h>
#include <snappy.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <vector>

#include "base/time.h"
#include "measure/measure.h"
#include "telemetry/buffer.h"
#include "telemetry/figures.h"
#include "telemetry/wire.h"

namespace beamshunt::measure {
namespace {

using base::Ms;
using namespace telemetry;

// Runs `work` for about `seconds`; its calls a second.
template <typename Work>
double rate(double seconds, Work work) {
  Ms begun = base::monotonic_ms(), end = begun + seconds * 1000;
  double calls = 0;
  for (; base::monotonic_ms() < end; ++calls) work();
  return calls / ((base::monotonic_ms() - begun) / 1000);
}

Scrape scrape_of(std::size_t series, std::int64_t at) {
  Scrape out{at, {}};
  for (std::size_t k = 0; k < series; ++k)
    out.points.push_back({{{"__name__", "beamshunt_requests_in_time_total"},
                           {"class", "class-" + std::to_string(k % 7)},
                           {"instance", "0"},
                           {"locality", "room-" + std::to_string(k / 7)}},
                          static_cast<double>(at % 1000 + static_cast<std::int64_t>(k))});
  return out;
}

}  // namespace

void measure_metrics(double seconds) {
  constexpr std::size_t kSeries = 1000;
  Scrape scrape = scrape_of(kSeries, 1700000000000);
  std::vector<SeriesRun> runs;
  runs.reserve(scrape.points.size());
  for (const Point& p : scrape.points) runs.push_back({p.labels, {{scrape.at_ms, p.value}}});
  std::string body = encode_request(runs), plain, packed, copy;
  snappy::Uncompress(body.data(), body.size(), &plain);
  copy.resize(plain.size());

  std::string folder =
      fmt::format("{}/beamshunt-measure-{}", std::filesystem::temp_directory_path().string(), ::getpid());
  fmt::print("measurement,figure,value\n");
  double encode = rate(seconds, [&] { body = encode_request(runs); }) * kSeries;
  double floor = rate(seconds, [&] { snappy::Compress(plain.data(), plain.size(), &packed); }) * kSeries;
  double copies = rate(seconds, [&] { std::memcpy(copy.data(), plain.data(), plain.size()); }) * kSeries;
  double append = 0, bytes = 0;
  {
    Buffer buffer(folder, {.bytes = 1ull << 30, .segment_bytes = 1048576});
    std::int64_t at = 0;
    append = rate(seconds,
                  [&] {
                    scrape.at_ms = ++at;
                    buffer.append(scrape);
                  }) *
             kSeries;
    bytes = static_cast<double>(buffer.bytes()) / static_cast<double>(at) / kSeries;
  }
  std::error_code none;
  std::filesystem::remove_all(folder, none);
  fmt::print("encode,samples a second,{:.0f}\n", encode);
  fmt::print("encode,bytes a sample on the wire,{:.1f}\n", static_cast<double>(body.size()) / kSeries);
  fmt::print("floor,samples a second through snappy alone,{:.0f}\n", floor);
  fmt::print("floor,samples a second through memcpy,{:.0f}\n", copies);
  fmt::print("ratio,encode to snappy,{:.3f}\n", encode / floor);
  fmt::print("buffer,samples a second,{:.0f}\n", append);
  fmt::print("buffer,bytes a sample on disk,{:.1f}\n", bytes);
  Exporter exporter(Labels{{"instance", "0"}});
  Figures figures;
  figures.messages.assign(1000, 5);
  for (int z = 0; z < 3; ++z)
    for (int c = 0; c < 3; ++c) figures.service.push_back({std::to_string(z), std::to_string(c), 1, 0, 1, 1});
  double looks = rate(seconds, [&] { exporter.scrape(figures, 1); });
  fmt::print("loop,us a scrape of 1000 proxies and 9 pairs,{:.0f}\n", 1e6 / looks);
}

}  // namespace beamshunt::measure
