// The simulator's protocol: every message, each kind of malformed input, and the event loop on strings.
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "simulator_adapter/session.h"

namespace beamshunt::simulator_adapter {
namespace {

const std::string kSettings =
    "azs=north,south balancers=1 locality=north classes.count=2 classes.0.name=read classes.0.slo=1000.0 "
    "classes.0.deadline=3000.0 classes.0.semantics=retryable classes.1.name=pay classes.1.slo=1500.0 "
    "classes.1.deadline=5000.0 classes.1.semantics=dedup classes.1.key_scope=cell classes.1.window=3000.0 "
    "discovery=on_request family_info.home_only=false,true family_info.key_ranges=0 "
    "family_info.level_kind=rate family_info.default_retry=0 family_info.try_factor=1.2 "
    "family_info.egress_per_s=1800.0 family_info.envelope=3.0 family_info.most_waiting=3600.0 "
    "family_info.pushes_allowed=30 family_info.messages_over=10000.0 family_info.push_delay=271.0 "
    "family_info.late_most=677.5 family_info.period=500.0 family_info.agents=6 family_info.empty_for=5000.0 "
    "guarantees.must_ask_in=10000.0 guarantees.drain_grace=3400.0 guarantees.warm_up=16000.0 "
    "guarantees.fall=3000.0 guarantees.start_capacity=0.27 guarantees.tip_multiple=4.0 "
    "limits.conn_idle=15000.0 limits.may_probe=true something.new=1";
const std::string kSheet =
    "SHEET 0 2\nROW - north big in_service 2 0 11\nROW 6100.0 south big in_service 1.5 0 12\n";
const std::string kStart = "MARK 8412.25\nINIT assigner_3 63 " + kSettings + "\n" + kSheet +
                           "ENDPOINTS assigner_3 0 41 warm_copy\nFLUSH\n";

struct Result {
  std::string out, error;
  std::uint64_t line = 0;
};
Result run(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  Session session(in, out);
  Result result;
  try {
    session.run();
  } catch (const WireError& e) {
    result.error = e.what();
  }
  result.out = out.str();
  result.line = session.line_number();
  return result;
}
std::string error_of(const std::string& lines) { return run(kStart + "MARK 8500\n" + lines).error; }

TEST(Session, RepliesToEmptyBatchesAndReturnsAtTheEndOfInput) {
  Result result = run("MARK 8412.25\nFLUSH\nMARK 8413\nFLUSH\n");
  EXPECT_EQ(result.out, "NEXT\nNEXT\n");
  EXPECT_EQ(result.error, "");
}

TEST(Session, AStartedInstanceSubscribesToTheEndpointList) {
  Result result = run(kStart);
  EXPECT_EQ(result.error, "");
  EXPECT_NE(result.out.find("OBSERVE assigner_3 1\n"), std::string::npos);
  EXPECT_NE(result.out.find("SET_ALARM assigner_3 8912.25 0\n"), std::string::npos);
}

TEST(Session, AssignsTablesToARegisteredProxyByClassMask) {
  Result result = run(kStart + "MARK 8500\nSTREAM_UP assigner_3 41 north 6.5 1\nFLUSH\n");
  EXPECT_EQ(result.error, "");
  EXPECT_NE(result.out.find("POINT assigner_3 1 41 "), std::string::npos);
  EXPECT_NE(result.out.find("POINT assigner_3 2 41 "), std::string::npos);
  EXPECT_NE(result.out.find("BARRIER assigner_3 1 0\n"), std::string::npos);
}

TEST(Session, AcceptsEveryEvent) {
  EXPECT_EQ(error_of("STREAM_UP assigner_3 41 north - 0\n"
                     "STATS assigner_3 north 11 14 1 48.25 1000.0 utilization:0.62,backlog:3,novel:9\n"
                     "STATS assigner_3 south 12 1 1 0 1000.0 -\n"
                     "USAGE assigner_3 41 read 9 0 2000.0\n"
                     "BELL assigner_3 77\n"
                     "CHECK_RESULT assigner_3 delivered 11 3.5 utilization:0.1\n"
                     "CHECK_RESULT assigner_3 dial_failed 12 3.5 -\n"
                     "DATAGRAM assigner_3 1 68692037\n"
                     "DATAGRAM assigner_3 1 -\n"
                     "RECEIPT assigner_3 41 120.5 1\n"
                     "WEIGHT_SEEN assigner_3 1000.0 0 pay 12 3\n"
                     "HANDED assigner_3 1 3\n"
                     "IN_STORE assigner_3 3 11 1.0\n"
                     "ENDPOINTS assigner_3 - - lost\n"
                     "DISCONNECTED assigner_3 41\nFLUSH\n"),
            "");
}

TEST(Session, AListSlotIsResolvedWhenItIsReferenced) {
  std::string out =
      run(kStart +
          "MARK 8500\nSHEET 0 1\nROW - north big terminating 2 0 11\nENDPOINTS assigner_3 0 42 incr\n"
          "SHEET 0 1\nROW - north big in_service 2 0 13\nENDPOINTS assigner_3 0 43 incr\n"
          "STREAM_UP assigner_3 41 north 6.5 1\nFLUSH\n")
          .out;
  EXPECT_EQ(out.find(" 11 2"), std::string::npos);
  EXPECT_NE(out.find("ENDPOINT assigner_3 0 13 2\n"), std::string::npos);
}

TEST(Session, ADetachedInstanceSendsNothingAndCanBeStartedAgain) {
  Result result = run(kStart + "MARK 8500\nSTREAM_UP assigner_3 41 north 6.5 1\nDETACH assigner_3\nFLUSH\n");
  EXPECT_EQ(result.out.find("POINT"), std::string::npos);
  EXPECT_EQ(run(kStart + "MARK 8500\nDETACH assigner_3\nBELL assigner_3 1\nFLUSH\n").error,
            "instance is unknown: 'assigner_3'");
  result = run(kStart + "MARK 8500\nDETACH assigner_3\nINIT assigner_3 7 " + kSettings +
               "\nENDPOINTS assigner_3 0 1 warm_copy\nFLUSH\n");
  EXPECT_EQ(result.error, "");
  EXPECT_NE(result.out.rfind("OBSERVE assigner_3 1\n"), result.out.find("OBSERVE assigner_3 1\n"));
}

TEST(Session, InstancesAreIndependent) {
  std::string other = kStart;
  for (std::size_t p; (p = other.find("assigner_3")) != std::string::npos;)
    other.replace(p, 10, "assigner_8");
  std::string together = "MARK 8412.25\n" + kStart.substr(13, kStart.size() - 19) +
                         other.substr(13, other.size() - 19) + "FLUSH\n";
  std::string out = run(together).out, first_alone = run(kStart).out, second_alone = run(other).out;
  EXPECT_EQ(out, first_alone.substr(0, first_alone.size() - 5) + second_alone);
}

TEST(MalformedInput, IsReportedWithFieldProblemAndValue) {
  EXPECT_EQ(error_of("SNACK assigner_3\nFLUSH\n"), "message is unknown: 'SNACK'");
  EXPECT_EQ(error_of("BELL assigner_9 1\nFLUSH\n"), "instance is unknown: 'assigner_9'");
  EXPECT_EQ(error_of("BELL assigner_3\nFLUSH\n"), "field handle is missing");
  EXPECT_EQ(error_of("BELL assigner_3 1 2\nFLUSH\n"), "line has more fields than the message");
  EXPECT_EQ(error_of("BELL assigner_3 9999999999999999999\nFLUSH\n"),
            "handle is out of range: '9999999999999999999'");
  EXPECT_EQ(error_of("BELL assigner_3 -1\nFLUSH\n"), "handle is not a whole number: '-1'");
  EXPECT_EQ(error_of("DISCONNECTED assigner_3 65536\nFLUSH\n"), "agent is out of range: '65536'");
  EXPECT_EQ(error_of("STATS assigner_3 north 4294967296 1 0 4 5 -\nFLUSH\n"),
            "task is out of range: '4294967296'");
  EXPECT_EQ(error_of("STATS assigner_3 north 11 1 0 nan 5 -\nFLUSH\n"), "duration is not finite: 'nan'");
  EXPECT_EQ(error_of("STATS assigner_3 north 11 -1 0 4 5 -\nFLUSH\n"), "many is below 0: '-1'");
  EXPECT_EQ(error_of("STATS assigner_3 west 11 1 0 4 5 -\nFLUSH\n"),
            "zone is not among the settings: 'west'");
  EXPECT_EQ(error_of("STATS assigner_3 north 11 1 0 4 5 x\nFLUSH\n"), "stats is not name:value: 'x'");
  EXPECT_EQ(error_of("USAGE assigner_3 1 buy 1 0 5\nFLUSH\n"), "class is not among the settings: 'buy'");
  EXPECT_EQ(error_of("CHECK_RESULT assigner_3 fine 11 1 -\nFLUSH\n"), "reason is unknown: 'fine'");
  EXPECT_EQ(error_of("DATAGRAM assigner_3 1 6\nFLUSH\n"), "payload has an odd count of hex digits: '6'");
  EXPECT_EQ(error_of("STREAM_UP assigner_3 1 north 5 2\nFLUSH\n"), "flag is neither 0 nor 1: '2'");
  EXPECT_EQ(error_of("SHEET 16 0\nFLUSH\n"), "slot is out of range: '16'");
  EXPECT_EQ(error_of("SHEET 1 2\nROW - north big in_service 2 0 11\nFLUSH\n"),
            "SHEET of 2 rows has only 1 ROW lines");
  EXPECT_EQ(error_of("ROW - north big in_service 2 0 11\nFLUSH\n"), "ROW without a SHEET");
  EXPECT_EQ(error_of("ENDPOINTS assigner_3 5 1 total\nFLUSH\n"),
            "ENDPOINTS refers to a SHEET that was not sent");
  EXPECT_EQ(error_of("ENDPOINTS assigner_3 0 1 half\nFLUSH\n"), "form is unknown: 'half'");
  EXPECT_EQ(error_of("BELL assigner_3 1\n"), "the input ends within a batch");
  EXPECT_EQ(run("BELL assigner_3 1\n").error, "a batch must begin with MARK, not 'BELL'");
  EXPECT_EQ(run(kStart + "MARK 8500\nBELL assigner_9 1\nFLUSH\n").line, 9u);
}

TEST(MalformedInput, AMissingSettingIsReportedByItsPath) {
  for (std::string key : {"guarantees.warm_up", "family_info.period", "classes.1.window", "azs"}) {
    std::string input = kStart;
    std::size_t from = input.find(key + "="), to = input.find(' ', from);
    input.erase(from, to - from + 1);
    EXPECT_EQ(run(input).error, "setting " + key + " is missing");
  }
}

// A number that is too small or too large would make quotients of settings infinite.
TEST(MalformedInput, ASettingOutOfRangeIsReportedByItsPath) {
  for (std::string value : {"1e-310", "1e300"}) {
    std::string input = kStart;
    std::size_t from = input.find("guarantees.warm_up=") + std::string("guarantees.warm_up=").size();
    input.replace(from, input.find(' ', from) - from, value);
    EXPECT_EQ(run(input).error, "setting guarantees.warm_up is out of range: '" + value + "'");
  }
}

// Input that is truncated or corrupted at any byte must be accepted or rejected with a one-line message, and
// must never crash the adapter.
TEST(MalformedInput, CorruptedBatchesNeverCrash) {
  std::string input = kStart +
                      "MARK 8500\nSTREAM_UP assigner_3 41 north 6.5 1\n"
                      "STATS assigner_3 north 11 14 1 48.25 1000.0 utilization:0.62\nFLUSH\n"
                      "MARK 8912.25\nBELL assigner_3 0\nUSAGE assigner_3 41 read 9 0 2000.0\nFLUSH\n";
  for (std::size_t cut = 0; cut < input.size(); ++cut) {
    Result result = run(input.substr(0, cut));
    EXPECT_EQ(result.error.find('\n'), std::string::npos);
  }
  std::mt19937 random(5);
  int rejected = 0;
  for (int i = 0; i < 4000; ++i) {
    std::string corrupted = input;
    for (int k = 0; k < 3; ++k)
      corrupted[random() % corrupted.size()] = static_cast<char>(' ' + random() % 95);
    Result result = run(corrupted);
    EXPECT_EQ(result.error.find('\n'), std::string::npos);
    rejected += !result.error.empty();
  }
  EXPECT_GT(rejected, 1000);
}

TEST(Actions, AreFormattedAsTheProtocolDefines) {
  std::string out;
  auto append = [&](Action action) { append_action(out, "assigner_3", action); };
  append(Subscribe{false});
  append(FetchEndpoints{});
  append(SetTimer{clock_time(8912.25), 77});
  append(SendHealthCheck{EndpointId(4294967295)});
  append(SendPeerMessage{0, true, {0x68, 0x07}});
  append(SendPeerMessage{2, false, {}});
  append(SetWeight{TableId(117), EndpointId(5), 0.75});
  append(SetWeight{TableId(117), EndpointId(5), 1e-7});
  append(ClearTable{TableId(117)});
  append(AssignTable{3, ProxyId(41), TableId(117)});
  append(ExcludeEndpoint{EndpointId(5), true});
  append(SetAdmissionLimit{TableId(117), false, 2, 1e6, RetryMode::if_not_processed});
  append(SetAdmissionLimit{TableId(1), true, 0, 0, RetryMode::twice});
  append(AckRequest{9, true});
  append(LogMessage{"two\nlines"});
  append(InvariantViolated{"why"});
  EXPECT_EQ(
      out,
      "OBSERVE assigner_3 0\nFETCH assigner_3\nSET_ALARM assigner_3 8912.25 77\n"
      "CHECK assigner_3 4294967295\nSIGNAL assigner_3 * 6807\nSIGNAL assigner_3 2 -\n"
      "ENDPOINT assigner_3 117 5 0.75\nENDPOINT assigner_3 117 5 0.0000001\nRESET_TABLE assigner_3 117\n"
      "POINT assigner_3 3 41 117\nBENCH assigner_3 5 1\nADMIT assigner_3 117 2 1000000 1\n"
      "ADMIT assigner_3 65535 0 0 3\nBARRIER assigner_3 9 1\nREMARK assigner_3 two lines\n"
      "PANIC assigner_3 why\n");
}

}  // namespace
}  // namespace beamshunt::simulator_adapter
