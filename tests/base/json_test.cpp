// Parsing of JSON text: what is kept of deeply nested values.
#include "base/json.h"

#include <gtest/gtest.h>

#include "nested_json.h"

namespace beamshunt::base {
namespace {

using nlohmann::json;
using test::nested_arrays;

TEST(Json, ValidTextIsParsedAsTheLibraryParsesIt) {
  for (const char* text :
       {"null", "true", "-3", "18446744073709551615", "1.5e-310", R"("a\u00e4\n")", "[]", "{}",
        R"([1,[2,{"a":[],"b":{"c":null}}],"d"])", R"({"a":1,"b":[{}],"a":{"c":[2]}})"}) {
    EXPECT_EQ(parse_json(text).value.dump(), json::parse(text).dump()) << text;
    EXPECT_TRUE(parse_json(text).truncated_members.empty());
  }
}

TEST(Json, InvalidTextIsDiscarded) {
  for (const char* text : {"", "{", "[1,]", "1e999", "{} {}", "\"\xff\"", R"({"a":1)", "[[[["})
    EXPECT_TRUE(parse_json(text).value.is_discarded()) << text;
}

// Values beside one that is nested too deeply, before and after it, must be kept.
TEST(Json, OnlyTheLevelsBelowTheLimitAreReplacedByNull) {
  EXPECT_EQ(parse_json(nested_arrays(kMaxJsonDepth)).value.dump(), nested_arrays(kMaxJsonDepth));
  std::string kept = std::string(kMaxJsonDepth, '[') + "null" + std::string(kMaxJsonDepth, ']');
  EXPECT_EQ(parse_json(nested_arrays(kMaxJsonDepth + 1)).value.dump(), kept);

  ParsedJson parsed = parse_json(R"({"a":[1,)" + nested_arrays() + R"(,2],"b":{"c":3}})");
  EXPECT_EQ(parsed.truncated_members, std::set<std::string>{"a"});
  EXPECT_EQ(parsed.value["a"].size(), 3u);
  EXPECT_EQ(parsed.value["a"][2], 2);
  EXPECT_EQ(parsed.value["b"]["c"], 3);
}

TEST(Json, ExcerptIsShortForAnyValue) {
  EXPECT_EQ(json_excerpt(json::parse(R"({"a":[1,"b"]})")), R"({"a":[1,"b"]})");
  EXPECT_EQ(json_excerpt(parse_json('"' + std::string(1000000, 'x') + '"').value).size(), 256u);
}

}  // namespace
}  // namespace beamshunt::base
