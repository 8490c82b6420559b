// Regular expressions on text of any length.
#include "base/pattern.h"

#include <gtest/gtest.h>

namespace beamshunt::base {
namespace {

TEST(Pattern, MatchesAPartOrTheWholeText) {
  EXPECT_TRUE(contains_match("north-1", "^[a-z]+"));
  EXPECT_FALSE(is_match("north-1", "[a-z]+"));
  EXPECT_TRUE(is_match("north-1", "[a-z]+-[0-9]"));
  EXPECT_THROW(static_cast<void>(contains_match("a", "[")), PatternError);
}

// Guards against a stack overflow: the matcher calls itself for each byte of the text, and the compiler for
// each group of the pattern.
TEST(Pattern, LongTextAndPatternsAreRefused) {
  EXPECT_TRUE(is_match(std::string(kMaxMatchedBytes, 'a'), "^[a-z0-9][a-z0-9-]*$"));
  EXPECT_THROW(static_cast<void>(is_match(std::string(500000, 'a'), "[a-z]*")), PatternError);
  const std::string longest = std::string(kMaxPatternBytes / 2, '(') + std::string(kMaxPatternBytes / 2, ')');
  EXPECT_TRUE(contains_match("a", longest));
  EXPECT_THROW(static_cast<void>(contains_match("a", std::string(500000, '('))), PatternError);
}

}  // namespace
}  // namespace beamshunt::base
