// Records in files: what is torn or damaged is never read as something else.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>

#include "base/archive.h"
#include "base/clock_step_detector.h"
#include "base/file.h"

namespace beamshunt::base {
namespace {

std::string scratch(const std::string& name) {
  auto folder = std::filesystem::temp_directory_path() / ("beamshunt-test-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  return (folder / name).string();
}

TEST(Archive, GivesBackWhatWasPut) {
  Encoder e;
  std::map<std::string, double> load{{"busy", 0.5}, {"queue", 7}};
  std::variant<int, std::string> choice = std::string("two");
  e(std::uint16_t{7}, -3, true, 1.25, std::string("text"), load, choice, std::vector<std::uint8_t>{1, 2});
  Decoder d(e.bytes());
  std::uint16_t a = 0;
  int b = 0;
  bool c = false;
  double x = 0;
  std::string s;
  std::map<std::string, double> m;
  std::variant<int, std::string> v;
  std::vector<std::uint8_t> bytes;
  d(a, b, c, x, s, m, v, bytes);
  d.expect_end();
  EXPECT_EQ(a, 7);
  EXPECT_EQ(b, -3);
  EXPECT_TRUE(c);
  EXPECT_EQ(x, 1.25);
  EXPECT_EQ(s, "text");
  EXPECT_EQ(m, load);
  EXPECT_EQ(std::get<std::string>(v), "two");
  EXPECT_EQ(bytes.size(), 2u);
}

// Four damaged bytes of a count announce four thousand million items. The decoder refuses them before it
// takes memory for them.
TEST(Archive, ACountIsCheckedBeforeMemoryIsTaken) {
  Decoder d(std::string_view("\xff\xff\xff\xff", 4));
  std::vector<std::uint64_t> items;
  EXPECT_THROW(d(items), DecodeError);
}

// A record ends early, at any byte. It must not be read as a shorter or another record.
TEST(Archive, EveryCutIsNoticed) {
  Encoder e;
  e(std::string("abc"), 5.0, std::vector<std::uint32_t>{1, 2, 3});
  for (std::size_t cut = 0; cut < e.bytes().size(); ++cut) {
    Decoder d(std::string_view(e.bytes()).substr(0, cut));
    std::string s;
    double x = 0;
    std::vector<std::uint32_t> items;
    EXPECT_THROW(d(s, x, items), DecodeError) << cut;
  }
}

// The disk returns one changed byte, in the length, the checksum or the payload. The record is not read, and
// the reader stays where it begins.
TEST(Seal, EveryDamagedByteIsNoticed) {
  std::string whole = encode_record("some payload") + encode_record("another");
  std::size_t offset = 0;
  EXPECT_EQ(read_record(whole, offset), "some payload");
  EXPECT_EQ(read_record(whole, offset), "another");
  EXPECT_EQ(offset, whole.size());
  for (std::size_t k = 0; k < encode_record("some payload").size(); ++k) {
    std::string damaged = whole;
    damaged[k] = static_cast<char>(damaged[k] ^ 0x10);
    offset = 0;
    EXPECT_FALSE(read_record(damaged, offset)) << k;
    EXPECT_EQ(offset, 0u);
  }
}

// No file is an ordinary first start; a folder that is not there is an error that names the file and its
// cause.
TEST(File, MissingIsNothingAndReplacedIsWhole) {
  std::string path = scratch("file");
  std::filesystem::remove(path);
  EXPECT_FALSE(read_file(path));
  replace_file(path, "first");
  replace_file(path, "second, longer");
  EXPECT_EQ(read_file(path), "second, longer");
  EXPECT_THROW(replace_file("/nonexistent-folder/file", "x"), std::runtime_error);
  try {
    replace_file("/nonexistent-folder/file", "x");
  } catch (const FileError& error) {
    EXPECT_EQ(error.operation, "create");
    EXPECT_EQ(error.path, "/nonexistent-folder/file.new");
    EXPECT_EQ(error.error_number, ENOENT);
    EXPECT_STREQ(error.what(), "cannot create /nonexistent-folder/file.new: No such file or directory");
  }
}

// A writer is killed at instants of its own. The file is at all times one of the versions it wrote, whole.
TEST(File, SurvivesKillAtAnyInstant) {
  std::string path = scratch("killed");
  replace_file(path, encode_record("0"));
  for (int round = 0; round < 20; ++round) {
    pid_t child = ::fork();
    if (child == 0) {
      for (int k = 0;; ++k)
        replace_file(path, encode_record(std::string(static_cast<std::size_t>(k % 50) * 100, 'x')));
    }
    ::usleep(static_cast<useconds_t>(500 + round * 777));
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    std::string whole = read_file(path).value_or("");
    std::size_t offset = 0;
    ASSERT_TRUE(read_record(whole, offset)) << "round " << round;
    ASSERT_EQ(offset, whole.size());
  }
}

// A clock that steps is told from a process that is held up, whichever of its two readings is late.
TEST(ClockStepDetector, AreToldFromALoopThatIsHeldUp) {
  ClockStepDetector clock;
  clock.sample(0, 1000, 0);
  clock.sample(20, 1020, 20.1);
  clock.sample(900, 1900, 900);     // the loop was late: no step
  clock.sample(920, 1920, 1850);    // held up between its readings: tells nothing
  clock.sample(1870, 2870, 1870);   //
  clock.sample(1890, 48890, 1890);  // 46 s on
  clock.sample(1910, 48900, 1910);  // slewed
  clock.sample(1930, 47920, 1930);  // a second back
  ASSERT_EQ(clock.steps().size(), 2u);
  EXPECT_EQ(clock.steps()[0].offset, 46000);
  EXPECT_EQ(clock.steps()[1].offset, -1000);
  EXPECT_EQ(clock.forward_offset(2800, 48950), 46000);
  EXPECT_EQ(clock.forward_offset(2880, 48880), 46000);  // both stamps within the two looks
  EXPECT_EQ(clock.forward_offset(48890, 49500), 0);     // after it
  EXPECT_EQ(clock.forward_offset(1000, 2870), 0);       // before it
}

}  // namespace
}  // namespace beamshunt::base
