// What a former version left on disk is read by this one. The files under ab01eff/ were written by the
// version of that commit during two played scenarios (config-storm and metrics-outage); the flight records
// are cut after a whole record. Each figure below was taken from the bytes themselves, not from this code.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <stdexcept>
#include <string>

#include "assigner/cached_list_codec.h"
#include "base/archive.h"
#include "base/file.h"
#include "config_stream/version_store.h"
#include "flight_record/replay.h"
#include "telemetry/buffer.h"
#include "telemetry/exporter.h"

namespace beamshunt {
namespace {

const std::string kFolder = "tests/stored_data/ab01eff/";

std::string stored(const std::string& name) {
  auto bytes = base::read_file(kFolder + name);
  if (!bytes) throw std::runtime_error("no file " + kFolder + name);
  return *bytes;
}

// A folder of this test's own, for readers that may change what they read.
class Scratch {
 public:
  explicit Scratch(const std::string& name)
      : path_((std::filesystem::temp_directory_path() /
               ("beamshunt-stored-" + name + "-" + std::to_string(::getpid())))
                  .string()) {
    std::filesystem::remove_all(path_);
    std::filesystem::create_directories(path_);
  }
  ~Scratch() { std::filesystem::remove_all(path_); }
  Scratch(const Scratch&) = delete;
  Scratch& operator=(const Scratch&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// After an upgrade an engineer replays the record of a night that the former version decided. If the record's
// fields had changed, or the decisions had, the record would be worth nothing: replay names the first
// difference.
TEST(StoredData, AFlightRecordReplaysToTheSameDecisions) {
  flight_record::ReplayResult r = flight_record::replay(stored("config-storm.record"));
  EXPECT_TRUE(r.same()) << r.difference;
  EXPECT_EQ(r.runs, 1u);
  EXPECT_EQ(r.replacements, 6u);
  EXPECT_EQ(r.config_changes, 8u);
  EXPECT_EQ(r.batches, 161u);
  EXPECT_EQ(r.torn_bytes, 0u);
}

// The assigner was restarted in this one: a second run begins in the same file.
TEST(StoredData, AFlightRecordWithARestartReplaysToTheSameDecisions) {
  flight_record::ReplayResult r = flight_record::replay(stored("metrics-outage.record"));
  EXPECT_TRUE(r.same()) << r.difference;
  EXPECT_EQ(r.runs, 2u);
  EXPECT_EQ(r.replacements, 0u);
  EXPECT_EQ(r.config_changes, 0u);
  EXPECT_EQ(r.batches, 60u);
  EXPECT_EQ(r.torn_bytes, 0u);
}

// An upgrade restarts the assigner, which has to go on with the version in force and the last good one, and
// must not take again what was refused. A history that reads otherwise would start it on other settings.
TEST(StoredData, TheConfigurationHistoryHasTheSameVersions) {
  Scratch scratch("config");
  std::filesystem::copy_file(kFolder + "config/config.log", scratch.path() + "/config.log");
  config_stream::VersionStore store(config_stream::open_folder(scratch.path()));
  const config_stream::VersionHistory& history = store.history();
  EXPECT_EQ(store.torn_bytes(), 0u);
  EXPECT_EQ(history.records().size(), 34u);
  EXPECT_EQ(history.highest_number(), 318u);
  EXPECT_FALSE(history.pinned());
  EXPECT_TRUE(history.reverted_contents().empty());
  EXPECT_FALSE(history.on_trial());

  struct Expected {
    std::uint64_t number, hash;
    std::size_t resources;
  };
  const Expected versions[] = {
      {1, 8298913520779368332u, 1},    {4, 5059140415708298304u, 2},   {7, 18369940808664285119u, 2},
      {11, 7248744008765042737u, 2},   {13, 5792314628355089263u, 2},  {17, 10892734418659401177u, 2},
      {27, 6867451437817640939u, 2},   {40, 13397731545189624719u, 2}, {140, 10071017913963048820u, 2},
      {315, 12082691065585703803u, 2}, {318, 7767772513392262148u, 2},
  };
  for (const Expected& expected : versions) {
    const config_stream::Version* found = history.find_version(expected.number);
    ASSERT_NE(found, nullptr) << expected.number;
    EXPECT_EQ(found->hash, expected.hash) << expected.number;
    EXPECT_EQ(found->resources.size(), expected.resources) << expected.number;
    EXPECT_EQ(config_stream::content_hash(found->resources), expected.hash) << expected.number;
  }
  ASSERT_NE(history.active(), nullptr);
  EXPECT_EQ(history.active()->number, 318u);
  ASSERT_NE(history.last_good(), nullptr);
  EXPECT_EQ(history.last_good()->number, 318u);
  const config_stream::Resource& limits = history.active()->resources.at({"limits", "site"});
  EXPECT_EQ(limits.body, "site: channel: delay_most: 205ms");
  EXPECT_EQ(limits.version, 315u);

  const config_stream::HistoryRecord& refused = history.records()[1];
  EXPECT_EQ(refused.kind, config_stream::HistoryRecord::Kind::refused);
  EXPECT_EQ(refused.wall_ms, 1796273192587);
  EXPECT_EQ(refused.number, 2u);
  EXPECT_EQ(refused.hash, 8649148068566799998u);
  ASSERT_EQ(refused.reasons.size(), 1u);
  EXPECT_EQ(refused.reasons[0].rule, "form");
  EXPECT_EQ(refused.reasons[0].path, "limits/site@2");
  EXPECT_EQ(refused.reasons[0].reason, "limits/site@2:1:24: expected a value or ']'");
}

// After a failed upgrade the former version starts again on what this one wrote: the same records are the
// same bytes.
TEST(StoredData, TheConfigurationHistoryIsWrittenAsBefore) {
  std::string bytes = stored("config/config.log");
  Scratch source("config-source");
  std::filesystem::copy_file(kFolder + "config/config.log", source.path() + "/config.log");
  config_stream::VersionStore before(config_stream::open_folder(source.path()));
  Scratch copy("config-copy");
  config_stream::VersionStore again(config_stream::open_folder(copy.path()));
  for (const config_stream::HistoryRecord& record : before.history().compacted(1000, 1000)) again.add(record);
  EXPECT_TRUE(base::read_file(copy.path() + "/config.log") == bytes);
}

// An assigner that starts while discovery is away goes on with the cached endpoint list, and with the one
// before it if the newer one is damaged. Without either it would have no endpoints to send requests to.
TEST(StoredData, TheCachedEndpointListsAreRead) {
  for (const char* name : {"list", "list.before"}) {
    std::string bytes = stored(name);
    assigner::EndpointCatalog catalog = assigner::decode_cached_list(bytes);
    EXPECT_EQ(catalog.version(), 16u) << name;
    std::vector<assigner::EndpointListEntry> entries = catalog.entries();
    ASSERT_EQ(entries.size(), 9u) << name;
    const std::uint32_t ids[] = {1000, 8919, 16838, 24757, 32676, 40595, 48514, 56433, 64352};
    for (std::size_t k = 0; k < entries.size(); ++k) {
      EXPECT_EQ(entries[k].id, ids[k]) << name;
      EXPECT_EQ(entries[k].locality, k / 3) << name;
      EXPECT_EQ(entries[k].cell, k / 3) << name;
      EXPECT_EQ(entries[k].capacity, 2.0) << name;
      EXPECT_EQ(entries[k].state, EndpointState::available) << name;
      EXPECT_EQ(entries[k].address.port, 8000) << name;
    }
    EXPECT_EQ(entries[0].address.ip, 0x7f1c0201u) << name;
    EXPECT_EQ(entries[0].start_wall_ms, 0.0) << name;
    EXPECT_EQ(entries[8].address.ip, 0x7f1e0209u) << name;
    EXPECT_NEAR(entries[8].start_wall_ms, 1796273199587.174, 0.001) << name;
    EXPECT_TRUE(assigner::encode_cached_list(catalog) == bytes) << name << " is written as before";
  }
}

// Each start takes a higher epoch than the last one, so that proxies tell the new assigner's updates from the
// old one's. A number that is read otherwise could go back.
TEST(StoredData, TheEpochIsRead) {
  std::string bytes = stored("epoch");
  std::size_t offset = 0;
  auto payload = base::read_record(bytes, offset);
  ASSERT_TRUE(payload);
  EXPECT_EQ(offset, bytes.size());
  std::uint64_t epoch = 0;
  base::Decoder decoder(*payload);
  decoder(epoch);
  decoder.expect_end();
  EXPECT_EQ(epoch, 2u);
}

// The metrics receiver was away when the former version ended: what it buffered is sent by the next start,
// from where the receiver had taken it. Unread segments would be a gap in the graphs of just that outage.
TEST(StoredData, TheMetricsBufferIsReadToItsEnd) {
  Scratch scratch("metrics");
  std::filesystem::copy(kFolder + "metrics", scratch.path(), std::filesystem::copy_options::recursive);
  telemetry::Buffer buffer(scratch.path(), {});
  EXPECT_EQ(buffer.acknowledged(), (telemetry::Position{2, 48436}));
  EXPECT_EQ(buffer.bytes(), 48436u);
  EXPECT_EQ(buffer.lost_samples(), 0u);
  EXPECT_EQ(buffer.oldest_waiting_ms(), 0);
  EXPECT_EQ(buffer.newest_ms(), 1796273207087);

  std::vector<telemetry::Buffer::StoredScrape> reads = buffer.read({}, 100);
  ASSERT_EQ(reads.size(), 33u);
  EXPECT_EQ(reads.front().scrape.at_ms, 1796273200720);
  EXPECT_EQ(reads.back().scrape.at_ms, 1796273207087);
  EXPECT_EQ(reads.back().end, buffer.acknowledged());
  auto events = [](const telemetry::Scrape& scrape) {
    for (const telemetry::Point& point : scrape.points)
      if (telemetry::to_string(point.labels) == "beamshunt_module_events_total{instance=\"0\"}")
        return point.value;
    return -1.0;
  };
  EXPECT_EQ(events(reads[0].scrape), 711);
  EXPECT_EQ(events(reads[1].scrape), 739);
  EXPECT_EQ(events(reads[15].scrape), 1070);
  EXPECT_EQ(events(reads[31].scrape), 1414);
  for (const telemetry::Buffer::StoredScrape& read : reads) EXPECT_EQ(read.scrape.points.size(), 97u);
  for (const telemetry::Point& point : reads.back().scrape.points)
    EXPECT_TRUE(telemetry::is_stale_marker(point.value)) << telemetry::to_string(point.labels);
}

// The former version must find what this one buffered, too.
TEST(StoredData, TheMetricsBufferIsWrittenAsBefore) {
  Scratch source("metrics-source");
  std::filesystem::copy(kFolder + "metrics", source.path(), std::filesystem::copy_options::recursive);
  telemetry::Buffer before(source.path(), {});
  Scratch copy("metrics-copy");
  {
    telemetry::Buffer again(copy.path(), {});
    for (const telemetry::Buffer::StoredScrape& read : before.read({}, 100))
      ASSERT_TRUE(again.append(read.scrape));
    again.acknowledge({2, 48436});
  }
  EXPECT_TRUE(base::read_file(copy.path() + "/000000000001.seg") == stored("metrics/000000000002.seg"));
  EXPECT_TRUE(base::read_file(copy.path() + "/taken") == stored("metrics/taken"));
}

}  // namespace
}  // namespace beamshunt
