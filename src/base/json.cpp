#include "base/json.h"

#include <utility>
#include <vector>

namespace beamshunt::base {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxExcerptBytes = 256;

// Builds a document from the events of the JSON parser, which itself does not recurse.
class DepthLimitedBuilder final : public nlohmann::json_sax<json> {
 public:
  bool null() override { return add(nullptr); }
  bool boolean(bool value) override { return add(value); }
  bool number_integer(number_integer_t value) override { return add(value); }
  bool number_unsigned(number_unsigned_t value) override { return add(value); }
  bool number_float(number_float_t value, const string_t& /*text*/) override { return add(value); }
  bool string(string_t& value) override { return add(std::move(value)); }
  bool binary(binary_t& value) override { return add(std::move(value)); }
  bool start_object(std::size_t /*size*/) override { return open(json::object()); }
  bool start_array(std::size_t /*size*/) override { return open(json::array()); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }

  bool key(string_t& name) override {
    if (skipped_levels_ > 0) return true;
    if (open_.size() == 1) outermost_member_ = name;
    member_ = &(*open_.back())[name];
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

  [[nodiscard]] ParsedJson take_result() {
    return {.value = std::move(root_), .truncated_members = std::move(truncated_members_)};
  }

 private:
  bool add(json value) {
    if (skipped_levels_ == 0) place(std::move(value));
    return true;
  }

  // Stores the value in the innermost open array or object and returns where it is.
  json* place(json value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    json& parent = *open_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    *member_ = std::move(value);
    return member_;
  }

  bool open(json container) {
    if (skipped_levels_ > 0) {
      ++skipped_levels_;
    } else if (open_.size() == kMaxJsonDepth) {
      place(nullptr);
      truncated_members_.insert(outermost_member_);
      skipped_levels_ = 1;
    } else {
      open_.push_back(place(std::move(container)));
    }
    return true;
  }

  bool close() {
    if (skipped_levels_ > 0) --skipped_levels_;
    else open_.pop_back();
    return true;
  }

  json root_ = json::value_t::discarded;
  std::vector<json*> open_;  // the open arrays and objects from the outermost to the innermost
  json* member_ = nullptr;   // member of the innermost open object whose value follows
  std::string outermost_member_;
  std::set<std::string> truncated_members_;
  std::size_t skipped_levels_ = 0;  // open arrays and objects that are not kept
};

}  // namespace

ParsedJson parse_json(std::string_view text) {
  DepthLimitedBuilder builder;
  if (!json::sax_parse(text, &builder)) return {.value = json::value_t::discarded};
  return builder.take_result();
}

std::string json_excerpt(const json& value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxExcerptBytes) text.resize(kMaxExcerptBytes);
  return text;
}

}  // namespace beamshunt::base
