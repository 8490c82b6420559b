#include "config_stream/store.h"

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
  void cut(const std::string& file, std::size_t size) override { now[file].resize(size), step(); }
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

Record accepted(std::uint64_t number, std::size_t bytes = 50) {
  Resources r{{{"limits", "site"}, {number, std::string(bytes, 'x') + std::to_string(number)}}};
  return {.kind = Record::Kind::accepted, .number = number, .hash = content_hash(r), .content = r};
}
Record about(Record::Kind kind, const Record& of, const Record* to = nullptr) {
  Record r{.kind = kind, .number = of.number, .hash = of.hash};
  if (to) r.to_number = to->number, r.to_hash = to->hash;
  return r;
}

TEST(ConfigStore, TheLastGoodVersionIsFoundAgain) {
  auto disk = std::make_shared<MortalDisk>();
  Record one = accepted(1), two = accepted(2);
  {
    Store s(disk);
    EXPECT_EQ(s.ledger().in_force(), nullptr);
    s.add(one);
    s.add(about(Record::Kind::confirmed, one));
    s.add(two);
    EXPECT_TRUE(s.ledger().on_trial());
  }
  Store s(disk);
  ASSERT_NE(s.ledger().in_force(), nullptr);
  EXPECT_EQ(s.ledger().in_force()->number, 2u);
  EXPECT_EQ(s.ledger().confirmed()->number, 1u);
  EXPECT_EQ(s.ledger().in_force()->resources, *two.content);
  s.add(about(Record::Kind::reverted, two, &one));
  EXPECT_EQ(s.ledger().in_force()->number, 1u);
  EXPECT_TRUE(s.ledger().broken().contains(two.hash));
  EXPECT_EQ(s.ledger().newest(), 2u) << "the number is spent";
  s.add(about(Record::Kind::forgiven, two));
  EXPECT_FALSE(s.ledger().broken().contains(two.hash));
}

TEST(ConfigStore, AVersionThatEndsItsProcessInItsTrialGivesWayToTheLastGoodOne) {
  auto disk = std::make_shared<MortalDisk>();
  Store s(disk);
  const Version* abandoned = nullptr;
  Record one = accepted(1), two = accepted(2);
  s.add(one);
  s.add(about(Record::Kind::started, one));
  EXPECT_EQ(s.ledger().to_start(&abandoned)->number, 1u) << "there is no better one";
  s.add(about(Record::Kind::confirmed, one));
  s.add(two);
  EXPECT_EQ(s.ledger().to_start(&abandoned)->number, 2u) << "between ack and apply: it is run";
  s.add(about(Record::Kind::started, two));
  EXPECT_EQ(s.ledger().to_start(&abandoned)->number, 1u);
  ASSERT_NE(abandoned, nullptr);
  EXPECT_EQ(abandoned->number, 2u);
}

// Every change, stopped at every write, cut, sync and rename, with three kinds of luck.
TEST(ConfigStore, AKillAtAnyStepLeavesTheStateBeforeOrAfter) {
  Record one = accepted(1), two = accepted(2, 400), three = accepted(3, 400), four = accepted(4, 400);
  std::vector<Record> script{one,
                             about(Record::Kind::confirmed, one),
                             two,
                             about(Record::Kind::reverted, two, &one),
                             three,
                             about(Record::Kind::confirmed, three),
                             about(Record::Kind::pinned, three),
                             about(Record::Kind::unpinned, three),
                             four,
                             about(Record::Kind::rolled_back, four, &three)};
  Store::Options small{.most_bytes = 900, .versions = 2, .records = 2};  // compacts on the way
  auto state = [](const Ledger& l) {
    return fmt::format("{} {} {} {} {}", l.in_force() ? l.in_force()->number : 0,
                       l.confirmed() ? l.confirmed()->number : 0, l.newest(), l.pinned().value_or(0),
                       l.broken().size());
  };
  std::vector<std::string> states{"0 0 0 0 0"};
  Ledger meaning;
  for (const Record& r : script) meaning.add(r), states.push_back(state(meaning));
  int tried = 0;
  for (double survives : {0.0, 0.6, 1.0})
    for (int die_at = 1;; ++die_at) {
      auto disk = std::make_shared<MortalDisk>();
      disk->survives = survives, disk->die_at = die_at;
      std::size_t done = 0;
      bool killed = false;
      try {
        Store s(disk, small);
        for (const Record& r : script) s.add(r), ++done;
      } catch (const Killed&) {
        killed = true;
      }
      if (!killed) break;
      ++tried;
      disk->come_back();
      Store again(disk, small);
      std::string found = state(again.ledger());
      EXPECT_TRUE(found == states[done] || found == states[done + 1])
          << "step " << die_at << ", luck " << survives << ": " << found << " after " << done << " records";
      if (again.ledger().newest() > 0) {
        EXPECT_NE(again.ledger().in_force(), nullptr) << die_at;
      }
      for (std::size_t k = found == states[done] ? done : done + 1; k < script.size(); ++k)
        again.add(script[k]);
      EXPECT_EQ(state(again.ledger()), states.back()) << "it goes on from there";
    }
  EXPECT_GT(tried, 60);
}

TEST(ConfigStore, AFullDiskTakesNothingAndForgetsNothing) {
  for (int full_after = 0; full_after < 4; ++full_after) {
    auto disk = std::make_shared<MortalDisk>();
    disk->full_after = full_after;
    Store s(disk);
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
    EXPECT_EQ(s.ledger().newest(), static_cast<std::uint64_t>(full_after));
    disk->full_after = -1;  // there is room again
    s.add(accepted(9));
    Store again(disk);
    EXPECT_EQ(again.cut_bytes(), 0u);
    EXPECT_EQ(again.ledger().in_force()->number, 9u);
    EXPECT_EQ(again.ledger().records().size(), static_cast<std::size_t>(full_after) + 1);
  }
}

TEST(ConfigStore, DamageBeforeWholeRecordsIsRefusedNotSkipped) {
  auto disk = std::make_shared<MortalDisk>();
  {
    Store s(disk);
    s.add(accepted(1));
    s.add(accepted(2));
  }
  disk->now["config.log"][20] ^= 1;
  try {
    Store s(disk);
    FAIL() << "damage was passed over";
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find("damaged at byte 0"), std::string::npos) << error.what();
  }
}

TEST(ConfigStore, CompactionKeepsWhatHasMeaningAndBoundsTheFile) {
  auto disk = std::make_shared<MortalDisk>();
  Store s(disk, {.most_bytes = 20000, .versions = 4, .records = 20});
  Record good = accepted(1, 500);
  s.add(good);
  s.add(about(Record::Kind::confirmed, good));
  Record broken = accepted(2, 500);
  s.add(broken);
  s.add(about(Record::Kind::reverted, broken, &good));
  for (int k = 0; k < 2000; ++k)
    s.add({.kind = Record::Kind::refused, .number = 3, .cause = "a storm of refusals"});
  EXPECT_LT(disk->now["config.log"].size(), 21000u);
  Store again(disk);
  EXPECT_EQ(again.ledger().in_force()->number, 1u);
  EXPECT_EQ(again.ledger().confirmed()->resources, *good.content);
  EXPECT_TRUE(again.ledger().broken().contains(broken.hash));
}

TEST(ConfigStore, OnARealFolder) {
  std::string folder = std::filesystem::temp_directory_path() / fmt::format("beamshunt-store-{}", ::getpid());
  {
    Store s(std::shared_ptr<Disk>(folder_disk(folder)), {.most_bytes = 3000, .versions = 2, .records = 4});
    for (std::uint64_t n = 1; n <= 50; ++n) s.add(accepted(n, 300));
  }
  Store s{std::shared_ptr<Disk>(folder_disk(folder))};
  EXPECT_EQ(s.ledger().in_force()->number, 50u);
  EXPECT_EQ(s.ledger().version(49)->number, 49u);
  auto disk = folder_disk(folder);
  EXPECT_EQ(Store::look(*disk).newest(), 50u);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace beamshunt::config_stream
