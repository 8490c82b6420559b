// The order channel's frames: however the bytes are cut, whatever they are.
#include "native_protocol/frames.h"

#include <gtest/gtest.h>

#include <cmath>

#include "seeded_random.h"

namespace beamshunt::native_protocol {
namespace {

std::vector<Frame> one_of_each() {
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

std::vector<Frame> parsed(std::string_view bytes, std::size_t step) {
  FrameParser parser;
  std::vector<Frame> out;
  for (std::size_t k = 0; k < bytes.size(); k += step) parser.feed(bytes.substr(k, step), out);
  EXPECT_EQ(parser.buffered_bytes(), 0u);
  return out;
}

TEST(Frames, ComeThroughHoweverTheyAreCut) {
  std::string bytes;
  for (const Frame& f : one_of_each()) bytes += encode(f);
  for (std::size_t step : {1u, 2u, 7u, 64u, 100000u}) EXPECT_EQ(parsed(bytes, step), one_of_each()) << step;
}

TEST(Frames, FaultsNameTheirOffset) {
  auto fault = [](std::string bytes, std::size_t before = 0) -> std::pair<RefuseCode, std::uint64_t> {
    FrameParser parser(1000);
    std::vector<Frame> out;
    std::string lead;
    while (lead.size() < before) lead += encode(Ping{1});
    parser.feed(lead, out);
    try {
      parser.feed(bytes, out);
    } catch (const ProtocolError& error) {
      return {error.code, error.offset - lead.size()};
    }
    return {RefuseCode{}, 0};
  };
  EXPECT_EQ(fault(std::string("\x00\x10\x00\x00\x01", 5), 50),
            std::pair(RefuseCode::bad_frame, std::uint64_t{0}));
  EXPECT_EQ(fault(std::string("\x00\x00\x00\x00\x63", 5)),
            std::pair(RefuseCode::bad_frame, std::uint64_t{0}));
  EXPECT_EQ(fault(std::string("\x00\x00\x00\x02\x07\x01\x01", 7), 13),
            std::pair(RefuseCode::bad_frame, std::uint64_t{5}));
  std::string other_version = encode(Hello{.version = 9});
  EXPECT_EQ(fault(other_version), std::pair(RefuseCode::bad_version, std::uint64_t{9}));
  EXPECT_EQ(fault(other_version.substr(0, 5 + 6) + std::string(60, 'x')).first, RefuseCode::bad_version);
  EXPECT_EQ(fault(encode(Hello{.magic = 1})).first, RefuseCode::bad_frame);
}

TEST(Frames, ImpossibleFiguresAreRefused) {
  const Frame kBad[] = {Hello{.expected_rate = -1},
                        Hello{.expected_rate = NAN},
                        UpdateMessage{1, 0, 1, {WeightUpdate{.weight = -0.5}}},
                        UpdateMessage{1, 0, 1, {AdmissionLimitUpdate{.limit = INFINITY}}},
                        UpdateMessage{1, 0, 1, {AdmissionLimitUpdate{.retry_mode = 4}}},
                        LoadReportMessage{1, 250, {{1, 1, 2, 0, {}}}, {}},
                        LoadReportMessage{1, -1, {}, {}},
                        LoadReportMessage{1, 250, {{1, 1, 0, 1, {{"utilization", NAN}}}}, {}},
                        LoadReportMessage{1, 3600001, {}, {}},
                        PeerNote{std::string(257, 'x')}};
  for (const Frame& f : kBad) {
    FrameParser parser;
    std::vector<Frame> out;
    EXPECT_THROW(parser.feed(encode(f), out), ProtocolError) << frame_kind_name(f);
  }
}

// A request may come in one report's span and end in the next one's.
TEST(Frames, MoreMayEndThanCame) {
  FrameParser parser;
  std::vector<Frame> out;
  parser.feed(encode(LoadReportMessage{1, 250, {}, {{0, 1, 2, 3}}}), out);
  EXPECT_EQ(out.size(), 1u);
}

// Seeded mutations of valid streams: parsed or refused, memory bounded, never anything else. The sanitizers
// of the CI build watch.
TEST(Frames, MutatedStreamsAreParsedOrRefused) {
  std::string bytes;
  for (const Frame& f : one_of_each()) bytes += encode(f);
  test::SeededRandom draw(7);
  int refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string mutated = bytes;
    for (std::size_t k = 0; k <= draw(4); ++k) {
      std::size_t at = draw(mutated.size());
      switch (draw(3)) {
        case 0:
          mutated[at] = static_cast<char>(draw(256));
          break;
        case 1:
          mutated.erase(at, draw(9));
          break;
        default:
          mutated.insert(at, draw(9), static_cast<char>(draw(256)));
      }
    }
    FrameParser parser(4096);
    std::vector<Frame> out;
    try {
      std::size_t step = 1 + draw(97);
      for (std::size_t k = 0; k < mutated.size(); k += step) parser.feed(mutated.substr(k, step), out);
    } catch (const ProtocolError& error) {
      ++refused;
      EXPECT_LE(error.offset, mutated.size());
    }
    EXPECT_LE(parser.buffered_bytes(), 4096u + kFrameHeaderBytes + 97);
  }
  EXPECT_GT(refused, 10000);
}

}  // namespace
}  // namespace beamshunt::native_protocol
