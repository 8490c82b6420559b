// Encoding, files and clock steps: incomplete or damaged data is detected and never decoded as other data.
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

std::string temporary_path(const std::string& name) {
  auto folder = std::filesystem::temp_directory_path() / ("beamshunt-test-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  return (folder / name).string();
}

TEST(Archive, DecodesTheEncodedValues) {
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

// Four damaged bytes are read as a count of more than four billion items. The decoder must reject the count
// before it allocates memory for the items.
TEST(Archive, RejectsATooLargeCountBeforeAllocating) {
  Decoder d(std::string_view("\xff\xff\xff\xff", 4));
  std::vector<std::uint64_t> items;
  EXPECT_THROW(d(items), DecodeError);
}

// Input that is truncated at any byte must not be decoded as a shorter or different record.
TEST(Archive, RejectsTruncatedInput) {
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

// The disk returns a record with one changed byte, in the length, the checksum or the payload. The record
// must not be read, and the offset must stay at its beginning.
TEST(EncodedRecord, RejectsEveryDamagedByte) {
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

// A missing file is the normal case of a first start and not an error. A missing folder is an error that
// names the file and the cause.
TEST(File, ReadsNulloptIfMissingAndTheWholeContentAfterReplacement) {
  std::string path = temporary_path("file");
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

// A process is killed at arbitrary points while it replaces the file. The file must always hold one complete
// version.
TEST(File, IsCompleteAfterAKillAtAnyPoint) {
  std::string path = temporary_path("killed");
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

// A delayed process must not be taken for a step of the wall clock, whether it is delayed between two samples
// or between the clock readings of one sample.
TEST(ClockStepDetector, DistinguishesStepsFromADelayedProcess) {
  ClockStepDetector clock;
  clock.sample(0, 1000, 0);
  clock.sample(20, 1020, 20.1);
  clock.sample(900, 1900, 900);   // delayed between two samples: no step
  clock.sample(920, 1920, 1850);  // delayed between its clock readings: ignored
  clock.sample(1870, 2870, 1870);
  clock.sample(1890, 48890, 1890);  // a step of 46 s forward
  clock.sample(1910, 48900, 1910);  // slewed by 10 ms: no step
  clock.sample(1930, 47920, 1930);  // a step of one second back
  ASSERT_EQ(clock.steps().size(), 2u);
  EXPECT_EQ(clock.steps()[0].offset, 46000);
  EXPECT_EQ(clock.steps()[1].offset, -1000);
  EXPECT_EQ(clock.forward_offset(2800, 48950), 46000);
  EXPECT_EQ(clock.forward_offset(2880, 48880),
            46000);                                  // timestamps between the samples that enclose the step
  EXPECT_EQ(clock.forward_offset(48890, 49500), 0);  // both timestamps after the step
  EXPECT_EQ(clock.forward_offset(1000, 2870), 0);    // both timestamps before the step
}

}  // namespace
}  // namespace beamshunt::base
