// Tests the platform's wire protocol: which lines are accepted, which are rejected, and whether a rejection
// ends the connection.
#include "platform/message.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "nested_json.h"
#include "seeded_random.h"

namespace beamshunt::platform {
namespace {

const settings::Names kNames{{"north", "south"}, {"look", "buy"}};
using Scope = ProtocolError::Scope;

std::optional<Scope> rejection(const std::string& line) {
  try {
    parse_message(line, kNames, 40);
    return std::nullopt;
  } catch (const ProtocolError& error) {
    EXPECT_STRNE(error.what(), "");
    return error.scope;
  }
}

TEST(Message, ValidMessagesAreParsed) {
  auto registration = std::get<ProxyRegistration>(
      parse_message(R"({"t":"hello","node":17,"locality":"south","w":21.5,"cold":true})", kNames, 40));
  EXPECT_EQ(registration.proxy, ProxyId{17});
  EXPECT_EQ(registration.locality, Locality{1});
  EXPECT_EQ(registration.expected_rate, 21.5);
  EXPECT_TRUE(registration.only_static_tables);
  auto report = std::get<EndpointReportMessage>(
      parse_message(R"({"t":"outcomes","locality":"north","endpoint":"s-a","total":9,"errors":2,"rtt":41.7,)"
                    R"("interval":1000,"metrics":{"inflight":7,"util":0.61,"odd":1}})",
                    kNames, 40));
  EXPECT_EQ(report.uid, "s-a");
  EXPECT_EQ(report.attempts, 9);
  EXPECT_EQ(report.load, (LoadReport{{"outstanding", 7}, {"utilization", 0.61}}));
  auto demand = std::get<DemandReportMessage>(parse_message(
      R"({"t":"demand","node":3,"route":"buy","total":4,"errors":0,"interval":500.5})", kNames, 40));
  EXPECT_EQ(demand.request_class, ClassId{1});
  auto ack = std::get<Ack>(parse_message(R"({"t":"ack","node":3,"nonce":905,"latency":310.4})", kNames, 40));
  EXPECT_EQ(ack.nonce, 905u);
  // Without a successful attempt, the mean latency may be missing.
  EXPECT_FALSE(rejection(
      R"({"t":"outcomes","locality":"north","endpoint":"s-a","total":2,"errors":2,"interval":1000})"));
}

// A field of a message is missing, has the wrong type or is out of range. Only that message is rejected, and
// the next one can still be read. Bytes that are not a JSON object end the connection.
TEST(Message, MalformedFieldRejectsOnlyItsMessage) {
  using nlohmann::json;
  json valid[] = {
      {{"t", "hello"}, {"node", 1}, {"locality", "north"}, {"w", 2.0}, {"cold", false}},
      {{"t", "ack"}, {"node", 1}, {"nonce", 5}, {"latency", 2.0}},
      {{"t", "demand"}, {"node", 1}, {"route", "buy"}, {"total", 5}, {"errors", 1}, {"interval", 500.0}},
      {{"t", "outcomes"},
       {"locality", "north"},
       {"endpoint", "s"},
       {"total", 5},
       {"errors", 1},
       {"rtt", 3.0},
       {"interval", 500.0}},
  };
  for (const json& message : valid) {
    ASSERT_FALSE(rejection(message.dump())) << message;
    for (auto& [name, value] : message.items()) {
      json malformed = message;
      malformed.erase(name);
      EXPECT_EQ(rejection(malformed.dump()), Scope::message) << malformed;
      for (const json& wrong : {json(nullptr), json("zz"), json(json::array()), json(-1), json(1e300)}) {
        if (name == "endpoint" && wrong.is_string())
          continue;  // any string is valid here; the catalog checks uids
        malformed[name] = wrong;
        EXPECT_EQ(rejection(malformed.dump()), Scope::message) << malformed;
      }
    }
  }
  // A time that is positive but too short to be measured is as impossible as a negative one.
  for (double tiny : {1e-310, 5e-324, 1e-20})
    for (const json& message : valid)
      for (const char* name : {"interval", "rtt"}) {
        if (!message.contains(name)) continue;
        json malformed = message;
        malformed[name] = tiny;
        EXPECT_EQ(rejection(malformed.dump()), Scope::message) << malformed;
      }
  // Requests may fail in a later interval than the one in which they arrive, so failures may exceed arrivals.
  // An attempt is counted in the interval in which it ends, so failures may not exceed attempts.
  EXPECT_FALSE(rejection(R"({"t":"demand","node":1,"route":"buy","total":1,"errors":2,"interval":500})"));
  EXPECT_EQ(rejection(R"({"t":"outcomes","locality":"north","endpoint":"s","total":1,"errors":2,"rtt":1,)"
                      R"("interval":500})"),
            Scope::message);
  EXPECT_EQ(rejection(R"({"t":"ack","node":1,"nonce":5,"latency":1e999})"), Scope::message);
  EXPECT_EQ(rejection(R"({"t":"push","rows":[]})"), Scope::message);
  EXPECT_EQ(rejection("[1]"), Scope::connection);
  EXPECT_EQ(rejection("{\"t\":"), Scope::connection);
}

// Guards against a stack overflow: a value of the wrong type with 400,000 levels was quoted by a function
// that calls itself for each level. Only its message is rejected, whichever field and message it is in.
TEST(Message, DeeplyNestedValueRejectsOnlyItsMessage) {
  const std::string arrays = beamshunt::test::nested_arrays();
  const std::string objects = beamshunt::test::nested_objects();
  using nlohmann::json;
  const json report = {
      {"t", "outcomes"}, {"locality", "north"}, {"endpoint", "s"}, {"total", 5},
      {"errors", 1},     {"rtt", 3.0},          {"interval", 500}, {"metrics", {{"util", 0.5}}}};
  const std::pair<json, const char*> fields[] = {
      {report, "/t"},
      {report, "/total"},
      {report, "/metrics"},
      {report, "/metrics/util"},
      {{{"t", "hello"}, {"node", 1}, {"locality", "north"}, {"w", 2}, {"cold", true}}, "/cold"},
      {{{"t", "ack"}, {"node", 1}, {"nonce", 5}, {"latency", 2}}, "/nonce"},
      {{{"t", "demand"}, {"node", 1}, {"route", "buy"}, {"total", 5}, {"errors", 1}, {"interval", 500}},
       "/route"}};
  for (const auto& [message, field] : fields)
    for (const std::string& nested : {arrays, objects}) {
      json malformed = message;
      malformed[json::json_pointer(field)] = "@";
      std::string line = malformed.dump();
      line.replace(line.find("\"@\""), 3, nested);
      EXPECT_EQ(rejection(line), Scope::message) << field << " of " << message;
    }
  // A field that no message has is ignored, whatever its value.
  EXPECT_FALSE(rejection(R"({"t":"probe","odd":)" + arrays + "}"));
}

TEST(LineReader, ReturnsTheSameLinesForChunksOfAnySize) {
  std::string bytes = "{\"a\":1}\n\r\n  {}\n{\"b\":[2]}\n{\"un";
  std::vector<std::string> expected_lines;
  LineReader single_chunk(100);
  single_chunk.append(bytes);
  while (auto line = single_chunk.next()) expected_lines.push_back(*line);
  ASSERT_EQ(expected_lines.size(), 4u);
  beamshunt::test::SeededRandom draw(5);
  for (int round = 0; round < 50; ++round) {
    std::vector<std::string> lines;
    LineReader reader(100);
    for (std::size_t from = 0, size; from < bytes.size(); from += size) {
      size = std::min<std::size_t>(1 + draw(6), bytes.size() - from);
      reader.append(std::string_view(bytes).substr(from, size));
      while (auto line = reader.next()) lines.push_back(*line);
    }
    EXPECT_EQ(lines, expected_lines);
    EXPECT_EQ(reader.unfinished_bytes(), 4u);
  }
}

// A peer speaks HTTP or TLS, or sends a line without end. The first bytes must be rejected, because waiting
// for a line end would occupy memory and a descriptor.
TEST(LineReader, RejectsBytesAsSoonAsTheyCannotBecomeAMessage) {
  LineReader http(100);
  http.append("G");
  EXPECT_THROW(http.next(), ProtocolError);
  LineReader binary(100);
  binary.append(std::string(1, '\0'));
  EXPECT_THROW(binary.next(), ProtocolError);
  LineReader endless(100);
  endless.append("{" + std::string(100, ' '));
  EXPECT_THROW(endless.next(), ProtocolError);
  LineReader fits(100);
  fits.append("{" + std::string(98, ' ') + "}\n");
  EXPECT_TRUE(fits.next());
}

TEST(LoadReport, UsesTheControllersNamesAndOmitsInvalidMetrics) {
  EXPECT_EQ(parse_load_report("TEXT inflight=7, queue=2, util=0.61\n"),
            (LoadReport{{"outstanding", 7}, {"backlog", 2}, {"utilization", 0.61}}));
  // Endpoints may also use the controller's names. When only the short names were accepted, all reports of
  // such endpoints were ignored.
  EXPECT_EQ(parse_load_report("TEXT utilization=0.25, backlog=3"),
            (LoadReport{{"backlog", 3}, {"utilization", 0.25}}));
  EXPECT_EQ(parse_load_report("TEXT util=-1, queue=x, odd=3, =4, inflight=1e99, eps=2"),
            (LoadReport{{"errors_per_s", 2}}));
  EXPECT_TRUE(parse_load_report("util=0.5").empty());
}

TEST(Push, LastPartOfAMessageCarriesTheNonce) {
  std::vector<UpdatePart> parts(2);
  parts[0] = {.classes = 1, .replaces_table = true, .weights = {{"s-a", 1.5}}};
  parts[1] = {.classes = 3, .limit = PartLimit{4.0, RetryMode::if_not_processed}};
  EXPECT_EQ(count_lines(parts, true), 4);
  std::string lines = update_lines(parts, 905, kNames);
  std::size_t end = lines.find('\n');
  EXPECT_EQ(nlohmann::json::parse(lines.substr(0, end)),
            nlohmann::json::parse(
                R"({"t":"push","for":["look"],"replace":true,"rows":[["s-a",1.5]],"part":true})"));
  EXPECT_EQ(nlohmann::json::parse(lines.substr(end + 1)),
            nlohmann::json::parse(R"({"t":"push","gate":4.0,"again":1,"stamp":905})"));
}

}  // namespace
}  // namespace beamshunt::platform
