// The settings language: what it means, and that every fault is named with its place.
#include <gtest/gtest.h>

#include "config/value.h"

namespace beamshunt::config {
namespace {

const Source kSchema{"schema", R"(
#Class: {
  name: string & =~"^[a-z-]+$"
  slo: duration & >0s
  share: number & >0 & <=1 | *0.5
  kind: "safe" | "keyed" | *"unsafe"
  window?: duration
}
#Site: {
  listen: address
  classes: [...#Class]
  limits: {
    queue: int & >0 & <=1000 | *100
    rate: rate | *250/s
    frame: size | *64KiB
  }
  prefix?: cidr
  admin?: { listen: address, open: bool | *false }
}
)"};

Tree loaded(const std::string& text) { return load(kSchema, "#Site", {{"site.cue", text}}); }

std::string refused(const std::string& text) {
  try {
    loaded(text);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "taken";
}

TEST(Config, FillsDefaultsAndKeepsOrigins) {
  Tree t = loaded("listen: \"127.0.0.1:7000\"\nclasses: [{name: \"top-up\", slo: 1.5s, kind: \"keyed\"}]\n");
  EXPECT_EQ(t.at("classes").items.at(0).real("slo"), 1500);
  EXPECT_EQ(t.at("classes").items.at(0).real("share"), 0.5);
  EXPECT_EQ(t.at("classes").items.at(0).string("kind"), "keyed");
  EXPECT_EQ(t.at("limits").whole("queue"), 100);
  EXPECT_EQ(t.at("limits").real("rate"), 250);
  EXPECT_EQ(t.at("limits").real("frame"), 65536);
  EXPECT_FALSE(t.has("admin"));
  EXPECT_EQ(to_string(t.at("listen").from), "site.cue:1:9");
  EXPECT_EQ(*t.at("limits").at("queue").from.file, "schema");
}

TEST(Config, FilesUnifyAndShorthandReaches) {
  Tree t = load(kSchema, "#Site",
                {{"a.cue", "listen: \"127.0.0.1:1\", limits: queue: 7 // short\n"},
                 {"b.cue", "limits: rate: 600/min\nadmin: listen: \"127.0.0.1:2\"\n"}});
  EXPECT_EQ(t.at("limits").whole("queue"), 7);
  EXPECT_EQ(t.at("limits").real("rate"), 10);
  EXPECT_FALSE(t.at("admin").flag("open"));
}

TEST(Config, NamesCanBeDefinedAndUsed) {
  Tree t = loaded(
      "_slow: {slo: 2s}\nlisten: \"127.0.0.1:1\"\nclasses: [_slow & {name: \"a\"}, {name: \"b\", slo: "
      "_slow.slo}]\n");
  EXPECT_EQ(t.at("classes").items.at(0).real("slo"), 2000);
  EXPECT_EQ(t.at("classes").items.at(1).real("slo"), 2000);
}

TEST(Config, PrintedSettingsLoadAgain) {
  Tree t = loaded("listen: \"127.0.0.1:1\"\nclasses: [{name: \"a\", slo: 10ms}, {name: \"b\", slo: 2s}]\n");
  std::string text = print(t, false);
  EXPECT_EQ(print(loaded(text), false), text);
  EXPECT_EQ(print(loaded(print(t, true)), false), text);
}

TEST(Config, EveryFaultIsNamedWithItsPlace) {
  const std::pair<const char*, const char*> kCases[] = {
      {"listen: 5", "site.cue:1:9: listen: expected an address such as \"127.0.0.1:7000\", not 5"},
      {"listen: \"127.0.0.1\"", "site.cue:1:9: listen: \"127.0.0.1\" is not an address"},
      {"lisen: \"127.0.0.1:1\"", "site.cue:1:1: lisen: unknown field; is listen meant?"},
      {"limits: {queue: 0}", "site.cue:1:17: limits.queue: expected a whole number >0 <=1000, not 0"},
      {"limits: {queue: 1.5}", "limits.queue: expected a whole number >0 <=1000, not 1.5"},
      {"limits: {rate: 5s}", "limits.rate: expected a rate such as 250/s, not 5s"},
      {"limits: {frame: \"big\"}", "limits.frame: expected a size such as 64KiB, not \"big\""},
      {"limits: 7", "site.cue:1:9: limits: expected a structure {...}, not 7"},
      {"classes: [{name: \"A\", slo: 1s}]", "classes[0].name: \"A\" is not =~\"^[a-z-]+$\""},
      {"classes: [{name: \"a\", slo: 1s, kind: \"odd\"}]",
       "classes[0].kind: expected \"safe\" or \"keyed\" or \"unsafe\", not \"odd\""},
      {"listen: \"127.0.0.1:1\"\nclasses: [{name: \"a\"}]", "classes[0].slo: missing: expected a duration"},
      {"classes: []", "listen: missing: expected an address"},
      {"prefix: \"127.10.0.1/16\"", "bits set behind its prefix; 127.10.0.0/16 would do"},
      {"listen: \"127.0.0.1:1\"\nlisten: \"127.0.0.1:2\"", "conflicts with"},
      {"listen: #Nowhere", "site.cue:1:9: listen: '#Nowhere' is neither a type nor defined here"},
      {"#A: #A\nlisten: #A", "'#A' refers to itself"},
      {"listen \"x\"", "site.cue:1:8: expected ':' behind the field's name"},
      {"limits: {queue: 5", "expected a field or '}'"},
      {"limits: {queue: }", "site.cue:1:17: expected a value"},
      {"limits: queue: 5q", "site.cue:1:17: expected a unit"},
      {"listen: \"open", "expected '\"' to end the string on its line"},
      {"classes: [1 2]", "expected ',' or ']'"},
      {"listen: \"127.0.0.1:1\" limits: queue: 5", "expected a comma or the end of the line"},
      {"]", "site.cue:1:1: expected a field"},
  };
  for (auto& [text, wanted] : kCases)
    EXPECT_NE(refused(text).find(wanted), std::string::npos) << text << "\n" << refused(text);
}

TEST(Config, WhatIsNestedWithoutEndIsRefusedAndSoIsARegularExpressionThatIsNone) {
  std::string lists = "classes: " + std::string(100000, '['), structures, names;
  for (int k = 0; k < 100000; ++k) structures += "a: {", names += "a: ";
  for (const std::string& text : {lists, structures, names})
    EXPECT_NE(refused(text).find("nested too deeply"), std::string::npos);
  EXPECT_NE(
      refused("listen: =~\"[\"\nlisten: \"127.0.0.1:1\"").find("listen: \"[\" is no regular expression"),
      std::string::npos);
}

// Guards against a stack overflow: each of 50,000 fields names the next, or a name is matched byte by byte.
TEST(Config, WhatIsReachedThroughManyNamesAndLongTextIsRefused) {
  std::string chain = "listen: _a0\n";
  for (int k = 0; k < 50000; ++k) chain += "_a" + std::to_string(k) + ": _a" + std::to_string(k + 1) + "\n";
  chain += "_a50000: \"127.0.0.1:1\"\n";
  EXPECT_NE(refused(chain).find("reached through too many names"), std::string::npos) << refused(chain);
  std::string long_name =
      "listen: \"127.0.0.1:1\"\nclasses: [{slo: 1s, name: \"" + std::string(500000, 'a') + "\"}]";
  EXPECT_NE(refused(long_name).find("longer than 1024 bytes"), std::string::npos);
  std::string long_pattern = "listen: \"127.0.0.1:1\" & =~\"" + std::string(500000, '(') + "\"";
  EXPECT_NE(refused(long_pattern).find("longer than 1024 bytes"), std::string::npos);
}

TEST(Config, AllFaultsAreListed) {
  std::string all = refused("listen: 5\nlimits: {queue: 0, rte: 5/s}\n");
  EXPECT_NE(all.find("listen"), std::string::npos);
  EXPECT_NE(all.find("limits.queue"), std::string::npos);
  EXPECT_NE(all.find("limits.rte"), std::string::npos);
}

// Settings cut or changed at any byte are taken or refused with a place, and nothing else happens.
TEST(Config, MutatedTextNeverPassesForSomethingElse) {
  const std::string text =
      "// a\nlisten: \"127.0.0.1:1\"\nclasses: [{name: \"a\", slo: 10ms & >1ms}, ...]\nlimits: {queue: 5, "
      "rate: 5/s}\n";
  std::uint32_t random = 1;
  for (int round = 0; round < 400; ++round) {
    std::string mutated = text;
    for (int k = 0; k <= round % 3; ++k) {
      random = random * 1664525 + 1013904223;
      std::size_t at = (random >> 8) % mutated.size();
      if (round % 2) mutated[at] = "{}[]\":,|&*.#\n 5a/\\"[(random >> 3) % 18];
      else mutated.erase(at, 1 + (random >> 4) % 5);
    }
    std::string answer = refused(mutated);
    EXPECT_TRUE(answer == "taken" || answer.find(": ") != std::string::npos) << mutated;
  }
}

}  // namespace
}  // namespace beamshunt::config
