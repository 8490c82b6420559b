// Frames of the native protocol: valid streams in arbitrary fragments, and malformed input.
#include "native_protocol/frames.h"

#include <gtest/gtest.h>

#include <cmath>

#include "seeded_random.h"

namespace beamshunt::native_protocol {
namespace {

std::vector<Frame> one_frame_of_each_kind() {
  return {Hello{.proxy = 7, .incarnation = 9, .attempt = 2, .locality = "north", .expected_rate = 12.5},
          Welcome{.epoch = 5, .heartbeat_ms = 500, .report_period_ms = 250},
          Refuse{RefuseCode::id_in_use, 300, "proxy 7 is here"},
          UpdateMessage{
              3,
              1000.5,
              9,
              {AssignTableUpdate{3, 1}, WeightUpdate{1, 44, 0.5, 1, 2, 0x7f0a0001, 8000}, ClearTableUpdate{2},
               ExcludeEndpointUpdate{44, true}, AdmissionLimitUpdate{1, 1, 25, 2}, AckRequestUpdate{77}}},
          Acknowledgement{3},
          LoadReportMessage{1, 250, {{44, 10, 1, 25.5, {{"utilization", 0.5}}}}, {{0, 12, 1}}},
          Ping{1},
          Pong{1},
          PeerHello{.instance = 2},
          PeerNote{"note"}};
}

std::vector<Frame> parse_in_fragments(std::string_view bytes, std::size_t fragment_bytes) {
  FrameParser parser;
  std::vector<Frame> frames;
  for (std::size_t offset = 0; offset < bytes.size(); offset += fragment_bytes)
    parser.feed(bytes.substr(offset, fragment_bytes), frames);
  EXPECT_EQ(parser.buffered_bytes(), 0u);
  return frames;
}

TEST(Frames, AreDecodedFromArbitraryFragments) {
  std::string bytes;
  for (const Frame& frame : one_frame_of_each_kind()) bytes += encode(frame);
  for (std::size_t fragment_bytes : {1u, 2u, 7u, 64u, 100000u})
    EXPECT_EQ(parse_in_fragments(bytes, fragment_bytes), one_frame_of_each_kind()) << fragment_bytes;
}

TEST(Frames, ProtocolErrorReportsItsStreamOffset) {
  auto error_of = [](std::string bytes,
                     std::size_t min_preceding_bytes = 0) -> std::pair<RefuseCode, std::uint64_t> {
    FrameParser parser(1000);
    std::vector<Frame> frames;
    std::string preceding_frames;
    while (preceding_frames.size() < min_preceding_bytes) preceding_frames += encode(Ping{1});
    parser.feed(preceding_frames, frames);
    try {
      parser.feed(bytes, frames);
    } catch (const ProtocolError& error) {
      return {error.code, error.offset - preceding_frames.size()};
    }
    return {RefuseCode{}, 0};
  };
  EXPECT_EQ(error_of(std::string("\x00\x10\x00\x00\x01", 5), 50),
            std::pair(RefuseCode::bad_frame, std::uint64_t{0}));
  EXPECT_EQ(error_of(std::string("\x00\x00\x00\x00\x63", 5)),
            std::pair(RefuseCode::bad_frame, std::uint64_t{0}));
  EXPECT_EQ(error_of(std::string("\x00\x00\x00\x02\x07\x01\x01", 7), 13),
            std::pair(RefuseCode::bad_frame, std::uint64_t{5}));
  std::string other_version = encode(Hello{.version = 9});
  EXPECT_EQ(error_of(other_version), std::pair(RefuseCode::bad_version, std::uint64_t{9}));
  EXPECT_EQ(error_of(other_version.substr(0, 5 + 6) + std::string(60, 'x')).first, RefuseCode::bad_version);
  EXPECT_EQ(error_of(encode(Hello{.magic = 1})).first, RefuseCode::bad_frame);
}

TEST(Frames, InvalidValuesAreRejected) {
  const Frame kInvalidFrames[] = {Hello{.expected_rate = -1},
                                  Hello{.expected_rate = NAN},
                                  Hello{.expected_rate = 1e300},
                                  UpdateMessage{1, 0, 1, {WeightUpdate{.weight = -0.5}}},
                                  UpdateMessage{1, 0, 1, {AdmissionLimitUpdate{.limit = INFINITY}}},
                                  UpdateMessage{1, 0, 1, {AdmissionLimitUpdate{.retry_mode = 4}}},
                                  LoadReportMessage{1, 250, {{1, 1, 2, 0, {}}}, {}},
                                  LoadReportMessage{1, 250, {{1, 1, 0, 1e-310, {}}}, {}},
                                  LoadReportMessage{1, 250, {{1, 1, 0, 1e300, {}}}, {}},
                                  LoadReportMessage{1, -1, {}, {}},
                                  LoadReportMessage{1, 250, {{1, 1, 0, 1, {{"utilization", NAN}}}}, {}},
                                  LoadReportMessage{1, 3600001, {}, {}},
                                  PeerNote{std::string(257, 'x')}};
  for (const Frame& frame : kInvalidFrames) {
    FrameParser parser;
    std::vector<Frame> frames;
    EXPECT_THROW(parser.feed(encode(frame), frames), ProtocolError) << frame_kind_name(frame);
  }
}

// A request may arrive in the interval of one load report and end in the interval of the next, so a report
// may contain more ended requests than arrivals.
TEST(Frames, LoadReportMayContainMoreEndedRequestsThanArrivals) {
  FrameParser parser;
  std::vector<Frame> frames;
  parser.feed(encode(LoadReportMessage{1, 250, {}, {{0, 1, 2, 3}}}), frames);
  EXPECT_EQ(frames.size(), 1u);
}

// Applies seeded mutations to a valid stream. The parser must decode it or throw ProtocolError, within a
// bound on its buffer. The sanitizers of the CI build detect memory errors.
TEST(Frames, MutatedStreamIsDecodedOrRejected) {
  std::string bytes;
  for (const Frame& frame : one_frame_of_each_kind()) bytes += encode(frame);
  test::SeededRandom random(7);
  int rejected = 0;
  for (int iteration = 0; iteration < 20000; ++iteration) {
    std::string mutated = bytes;
    for (std::size_t k = 0; k <= random(4); ++k) {
      std::size_t position = random(mutated.size());
      switch (random(3)) {
        case 0:
          mutated[position] = static_cast<char>(random(256));
          break;
        case 1:
          mutated.erase(position, random(9));
          break;
        default:
          mutated.insert(position, random(9), static_cast<char>(random(256)));
      }
    }
    FrameParser parser(4096);
    std::vector<Frame> frames;
    try {
      std::size_t fragment_bytes = 1 + random(97);
      for (std::size_t k = 0; k < mutated.size(); k += fragment_bytes)
        parser.feed(mutated.substr(k, fragment_bytes), frames);
    } catch (const ProtocolError& error) {
      ++rejected;
      EXPECT_LE(error.offset, mutated.size());
    }
    EXPECT_LE(parser.buffered_bytes(), 4096u + kFrameHeaderBytes + 97);
  }
  EXPECT_GT(rejected, 10000);
}

}  // namespace
}  // namespace beamshunt::native_protocol
