// The versions on disk: kills at every step, full disks, damage, compaction.
#include "config_stream/version_store.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <map>
#include <stdexcept>

namespace beamshunt::config_stream {
namespace {

struct Killed {};

// A disk whose every step can be the last. What was not synced may be on it in whole, in part or not at all.
class MortalDisk final : public Disk {
 public:
  std::map<std::string, std::string> now, durable;
  int steps = 0, die_at = -1;
  double survives = 0;  // the part of what was not synced that a death leaves
  int full_after = -1;  // appends until the disk is full

  std::optional<std::string> read(const std::string& file) override {
    auto f = now.find(file);
    return f == now.end() ? std::nullopt : std::optional(f->second);
  }
  void append(const std::string& file, std::string_view bytes) override {
    if (full_after >= 0 && full_after-- <= 0) {
      now[file] += bytes.substr(0, bytes.size() / 2);
      throw std::runtime_error("No space left on device");
    }
    now[file] += bytes;
    step();
  }
  void truncate(const std::string& file, std::size_t size) override { now[file].resize(size), step(); }
  void sync(const std::string& file) override {
    step();
    durable[file] = now[file];
  }
  void rename(const std::string& from, const std::string& to) override {
    now[to] = now[from];
    now.erase(from);
    if (durable.contains(from)) renamed_ = {from, to};
    step();
  }
  void remove(const std::string& file) override { now.erase(file), durable.erase(file); }
  void sync_folder() override {
    step();
    if (renamed_) durable[renamed_->second] = durable[renamed_->first], durable.erase(renamed_->first);
    renamed_.reset();
  }
  // The machine is gone, and here again.
  void come_back() {
    if (renamed_ && survives > 0.5)
      durable[renamed_->second] = durable[renamed_->first], durable.erase(renamed_->first);
    renamed_.reset();
    for (auto& [file, bytes] : now) {
      std::string& kept = durable[file];
      if (bytes.size() > kept.size() && bytes.starts_with(kept))
        kept += bytes.substr(kept.size(), static_cast<std::size_t>(
                                              survives * static_cast<double>(bytes.size() - kept.size())));
    }
    std::erase_if(durable, [](auto& f) { return f.second.empty(); });
    now = durable;
    die_at = -1;
  }

 private:
  void step() {
    if (++steps == die_at) throw Killed{};
  }
  std::optional<std::pair<std::string, std::string>> renamed_;
};

HistoryRecord accepted(std::uint64_t number, std::size_t bytes = 50) {
  Resources r{{{"limits", "site"}, {number, std::string(bytes, 'x') + std::to_string(number)}}};
  return {.kind = HistoryRecord::Kind::accepted, .number = number, .hash = content_hash(r), .content = r};
}
HistoryRecord about(HistoryRecord::Kind kind, const HistoryRecord& of, const HistoryRecord* to = nullptr) {
  HistoryRecord r{.kind = kind, .number = of.number, .hash = of.hash};
  if (to) r.to_number = to->number, r.to_hash = to->hash;
  return r;
}

// A process ends while a version is on trial. The next one must know which version is active, which is the
// last good one, and, once the trial has failed, that the content must not be tried again.
TEST(ConfigStore, TheLastGoodVersionIsFoundAgain) {
  auto disk = std::make_shared<MortalDisk>();
  HistoryRecord one = accepted(1), two = accepted(2);
  {
    VersionStore s(disk);
    EXPECT_EQ(s.history().active(), nullptr);
    s.add(one);
    s.add(about(HistoryRecord::Kind::confirmed, one));
    s.add(two);
    EXPECT_TRUE(s.history().on_trial());
  }
  VersionStore s(disk);
  ASSERT_NE(s.history().active(), nullptr);
  EXPECT_EQ(s.history().active()->number, 2u);
  EXPECT_EQ(s.history().last_good()->number, 1u);
  EXPECT_EQ(s.history().active()->resources, *two.content);
  s.add(about(HistoryRecord::Kind::reverted, two, &one));
  EXPECT_EQ(s.history().active()->number, 1u);
  EXPECT_TRUE(s.history().reverted_contents().contains(two.hash));
  EXPECT_EQ(s.history().highest_number(), 2u) << "the number is spent";
  s.add(about(HistoryRecord::Kind::forgiven, two));
  EXPECT_FALSE(s.history().reverted_contents().contains(two.hash));
}

// A version crashes the process that applies it. Started again with it, the process would crash at every
// start: a version on trial that was started once gives way to the last good one.
TEST(ConfigStore, AVersionThatEndsItsProcessInItsTrialGivesWayToTheLastGoodOne) {
  auto disk = std::make_shared<MortalDisk>();
  VersionStore s(disk);
  HistoryRecord one = accepted(1), two = accepted(2);
  s.add(one);
  s.add(about(HistoryRecord::Kind::started, one));
  EXPECT_EQ(s.history().version_to_start().version->number, 1u) << "there is no better one";
  s.add(about(HistoryRecord::Kind::confirmed, one));
  s.add(two);
  EXPECT_EQ(s.history().version_to_start().version->number, 2u) << "between ack and apply: it is run";
  s.add(about(HistoryRecord::Kind::started, two));
  VersionHistory::StartVersion start = s.history().version_to_start();
  EXPECT_EQ(start.version->number, 1u);
  ASSERT_NE(start.abandoned, nullptr);
  EXPECT_EQ(start.abandoned->number, 2u);
}

// The machine loses power while the store writes. What was not synced may be on disk in whole, in part or not
// at all. Every change, stopped at every write, truncation, sync and rename, with three kinds of luck, must
// leave the state before the change or the state after it, and the store must go on from there.
TEST(ConfigStore, AKillAtAnyStepLeavesTheStateBeforeOrAfter) {
  HistoryRecord one = accepted(1), two = accepted(2, 400), three = accepted(3, 400), four = accepted(4, 400);
  std::vector<HistoryRecord> script{one,
                                    about(HistoryRecord::Kind::confirmed, one),
                                    two,
                                    about(HistoryRecord::Kind::reverted, two, &one),
                                    three,
                                    about(HistoryRecord::Kind::confirmed, three),
                                    about(HistoryRecord::Kind::pinned, three),
                                    about(HistoryRecord::Kind::unpinned, three),
                                    four,
                                    about(HistoryRecord::Kind::rolled_back, four, &three)};
  VersionStore::Options small{
      .max_bytes = 900, .kept_versions = 2, .kept_records = 2};  // compacts on the way
  auto state = [](const VersionHistory& l) {
    return fmt::format("{} {} {} {} {}", l.active() ? l.active()->number : 0,
                       l.last_good() ? l.last_good()->number : 0, l.highest_number(), l.pinned().value_or(0),
                       l.reverted_contents().size());
  };
  std::vector<std::string> states{"0 0 0 0 0"};
  VersionHistory meaning;
  for (const HistoryRecord& r : script) meaning.add(r), states.push_back(state(meaning));
  int tried = 0;
  for (double survives : {0.0, 0.6, 1.0})
    for (int die_at = 1;; ++die_at) {
      auto disk = std::make_shared<MortalDisk>();
      disk->survives = survives, disk->die_at = die_at;
      std::size_t done = 0;
      bool killed = false;
      try {
        VersionStore s(disk, small);
        for (const HistoryRecord& r : script) s.add(r), ++done;
      } catch (const Killed&) {
        killed = true;
      }
      if (!killed) break;
      ++tried;
      disk->come_back();
      VersionStore again(disk, small);
      std::string found = state(again.history());
      EXPECT_TRUE(found == states[done] || found == states[done + 1])
          << "step " << die_at << ", luck " << survives << ": " << found << " after " << done << " records";
      if (again.history().highest_number() > 0) {
        EXPECT_NE(again.history().active(), nullptr) << die_at;
      }
      for (std::size_t k = found == states[done] ? done : done + 1; k < script.size(); ++k)
        again.add(script[k]);
      EXPECT_EQ(state(again.history()), states.back()) << "it goes on from there";
    }
  EXPECT_GT(tried, 60);
}

// The disk is full and takes half a record. The version is not accepted, what was accepted before stays, and
// once there is room the next record must not stand behind the half one.
TEST(ConfigStore, AFullDiskTakesNothingAndForgetsNothing) {
  for (int full_after = 0; full_after < 4; ++full_after) {
    auto disk = std::make_shared<MortalDisk>();
    disk->full_after = full_after;
    VersionStore s(disk);
    int taken = 0;
    for (std::uint64_t n = 1; n <= 4; ++n) {
      try {
        s.add(accepted(n));
        ++taken;
      } catch (const std::runtime_error&) {
      }
      disk->full_after = std::max(disk->full_after, 0);
    }
    EXPECT_EQ(taken, full_after);
    EXPECT_EQ(s.history().highest_number(), static_cast<std::uint64_t>(full_after));
    disk->full_after = -1;  // there is room again
    s.add(accepted(9));
    VersionStore again(disk);
    EXPECT_EQ(again.torn_bytes(), 0u);
    EXPECT_EQ(again.history().active()->number, 9u);
    EXPECT_EQ(again.history().records().size(), static_cast<std::size_t>(full_after) + 1);
  }
}

// The disk returns a changed byte in the first of two records. To cut the log there as if it were a torn tail
// would lose the second version, which was acked. The store refuses the log and names the place.
TEST(ConfigStore, DamageBeforeWholeRecordsIsRefusedNotSkipped) {
  auto disk = std::make_shared<MortalDisk>();
  {
    VersionStore s(disk);
    s.add(accepted(1));
    s.add(accepted(2));
  }
  disk->now["config.log"][20] ^= 1;
  try {
    VersionStore s(disk);
    FAIL() << "damage was passed over";
  } catch (const StoreError& error) {
    EXPECT_EQ(error.file, "config.log");
    EXPECT_EQ(error.offset, 0u);
    EXPECT_NE(std::string(error.what()).find("damaged at byte 0"), std::string::npos) << error.what();
  }
}

// A service offers a bad version again and again, and each refusal is a record. The log must stay bounded,
// and a compaction must keep the active version, the last good one and what failed its trial.
TEST(ConfigStore, CompactionKeepsWhatHasMeaningAndBoundsTheFile) {
  auto disk = std::make_shared<MortalDisk>();
  VersionStore s(disk, {.max_bytes = 20000, .kept_versions = 4, .kept_records = 20});
  HistoryRecord good = accepted(1, 500);
  s.add(good);
  s.add(about(HistoryRecord::Kind::confirmed, good));
  HistoryRecord broken = accepted(2, 500);
  s.add(broken);
  s.add(about(HistoryRecord::Kind::reverted, broken, &good));
  for (int k = 0; k < 2000; ++k)
    s.add({.kind = HistoryRecord::Kind::refused, .number = 3, .cause = "a storm of refusals"});
  EXPECT_LT(disk->now["config.log"].size(), 21000u);
  VersionStore again(disk);
  EXPECT_EQ(again.history().active()->number, 1u);
  EXPECT_EQ(again.history().last_good()->resources, *good.content);
  EXPECT_TRUE(again.history().reverted_contents().contains(broken.hash));
}

// The same store on a folder of this machine, through compactions, and beside it a reader that leaves the
// file alone.
TEST(ConfigStore, OnARealFolder) {
  std::string folder = std::filesystem::temp_directory_path() / fmt::format("beamshunt-store-{}", ::getpid());
  {
    VersionStore s(std::shared_ptr<Disk>(open_folder(folder)),
                   {.max_bytes = 3000, .kept_versions = 2, .kept_records = 4});
    for (std::uint64_t n = 1; n <= 50; ++n) s.add(accepted(n, 300));
  }
  VersionStore s{std::shared_ptr<Disk>(open_folder(folder))};
  EXPECT_EQ(s.history().active()->number, 50u);
  EXPECT_EQ(s.history().find_version(49)->number, 49u);
  auto disk = open_folder(folder);
  EXPECT_EQ(VersionStore::read_history(*disk).highest_number(), 50u);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace beamshunt::config_stream
