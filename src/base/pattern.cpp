#include "base/pattern.h"

#include <regex>

namespace beamshunt::base {
namespace {

std::regex compile(const std::string& pattern) {
  if (pattern.size() > kMaxPatternBytes)
    throw PatternError("a regular expression is longer than " + std::to_string(kMaxPatternBytes) + " bytes");
  try {
    return std::regex(pattern);
  } catch (const std::regex_error&) {
    throw PatternError("\"" + pattern + "\" is no regular expression");
  }
}

void require_bounded(const std::string& text) {
  if (text.size() > kMaxMatchedBytes)
    throw PatternError("longer than " + std::to_string(kMaxMatchedBytes) +
                       " bytes, too long for a regular expression");
}

}  // namespace

bool contains_match(const std::string& text, const std::string& pattern) {
  require_bounded(text);
  return std::regex_search(text, compile(pattern));
}

bool is_match(const std::string& text, const std::string& pattern) {
  require_bounded(text);
  return std::regex_match(text, compile(pattern));
}

}  // namespace beamshunt::base
