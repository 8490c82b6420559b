// Binary encoding of records, for state files and for frames on streams. One description of a record's fields
// serves both directions. Integers and doubles are fixed width and big-endian; lengths and counts have 32
// bits; a time is a double in the unit of its type. A type takes part by a free function that is found by its
// namespace:
// It never adds a version or a checksum: who stores a record writes its own version first and seals it
// (file.h).
#pragma once

#include <bit>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace beamshunt::base {

// Bytes that are not what an Encoder wrote for the same fields. what() says what was found and expected.
class DecodeError : public std::runtime_error {
 public:
  DecodeError(std::size_t where, const std::string& reason) : std::runtime_error(reason), offset(where) {}
  std::size_t offset;  // in bytes, from the start of the bytes given to the Decoder
};

// Appends values to a buffer of its own.
class Encoder {
 public:
  // Appends the values in their order.
  template <typename... Ts>
  void operator()(const Ts&... values) {
    (put(values), ...);
  }
  // Moves the bytes out; the encoder is empty afterwards.
  std::string release() { return std::move(out_); }
  [[nodiscard]] const std::string& bytes() const { return out_; }

 private:
  template <std::integral T>
  void put(T value) {
    auto bits = static_cast<std::uint64_t>(value);
    for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
      out_.push_back(static_cast<char>(bits >> shift & 0xff));
  }
  void put(double value) { put(std::bit_cast<std::uint64_t>(value)); }
  template <typename T>
  requires std::is_enum_v<T>
  void put(T value) { put(static_cast<std::underlying_type_t<T>>(value)); }
  void put(const std::string& text) {
    put(static_cast<std::uint32_t>(text.size()));
    out_ += text;
  }
  template <typename R, typename P>
  void put(std::chrono::duration<R, P> d) {
    put(static_cast<double>(d.count()));
  }
  template <typename C, typename D>
  void put(std::chrono::time_point<C, D> t) {
    put(t.time_since_epoch());
  }
  template <typename A, typename B>
  void put(const std::pair<A, B>& pair) {
    put(pair.first);
    put(pair.second);
  }
  template <typename T>
  void put(const std::vector<T>& items) {
    put(static_cast<std::uint32_t>(items.size()));
    for (const T& item : items) put(item);
  }
  template <typename K, typename V>
  void put(const std::map<K, V>& items) {
    put(static_cast<std::uint32_t>(items.size()));
    for (const auto& [key, value] : items) {
      put(key);
      put(value);
    }
  }
  template <typename... Ts>
  void put(const std::variant<Ts...>& choice) {
    put(static_cast<std::uint8_t>(choice.index()));
    std::visit([&](const auto& value) { put(value); }, choice);
  }
  template <typename T>
  requires std::is_class_v<T>
  void put(const T& record) {
    fields(*this, const_cast<T&>(record));  // an encoder only reads; the one description is not const
  }

  std::string out_;
};

// Reads values from bytes, which must outlive it. Every read is checked against what is left, and a count is
// checked before memory is taken for it: four bytes of a damaged file or a hostile peer must not claim
// gigabytes.
class Decoder {
 public:
  explicit Decoder(std::string_view bytes) : bytes_(bytes) {}

  // Reads the values in their order. Throws DecodeError; the values read up to there are changed.
  template <typename... Ts>
  void operator()(Ts&... values) {
    (get(values), ...);
  }
  [[nodiscard]] std::size_t offset() const { return at_; }
  [[nodiscard]] std::size_t remaining() const { return bytes_.size() - at_; }
  // Throws DecodeError if bytes are left.
  void expect_end() const {
    if (remaining() > 0) fail(std::to_string(remaining()) + " bytes too many");
  }
  // Throws DecodeError at the present offset, for a value that the caller finds impossible.
  [[noreturn]] void fail(const std::string& reason) const { throw DecodeError(at_, reason); }

 private:
  std::string_view raw(std::size_t size) {
    if (size > remaining()) fail("ends " + std::to_string(size - remaining()) + " bytes early");
    at_ += size;
    return bytes_.substr(at_ - size, size);
  }
  std::size_t count() {
    std::uint32_t n = 0;
    get(n);
    if (n > remaining())
      fail("a count of " + std::to_string(n) + " in " + std::to_string(remaining()) + " bytes");
    return n;
  }
  template <std::integral T>
  void get(T& value) {
    std::uint64_t bits = 0;
    for (char c : raw(sizeof(T))) bits = bits << 8 | static_cast<unsigned char>(c);
    if constexpr (std::same_as<T, bool>)
      if (bits > 1) fail("a flag that is neither 0 nor 1");
    value = static_cast<T>(bits);
  }
  void get(double& value) {
    std::uint64_t bits = 0;
    get(bits);
    value = std::bit_cast<double>(bits);
  }
  template <typename T>
  requires std::is_enum_v<T>
  void get(T& value) {
    std::underlying_type_t<T> bits{};
    get(bits);
    value = static_cast<T>(bits);
  }
  void get(std::string& text) { text = raw(count()); }
  template <typename R, typename P>
  void get(std::chrono::duration<R, P>& d) {
    double value = 0;
    get(value);
    d = std::chrono::duration<R, P>(static_cast<R>(value));
  }
  template <typename C, typename D>
  void get(std::chrono::time_point<C, D>& t) {
    D since{};
    get(since);
    t = std::chrono::time_point<C, D>(since);
  }
  template <typename A, typename B>
  void get(std::pair<A, B>& pair) {
    get(pair.first);
    get(pair.second);
  }
  template <typename T>
  void get(std::vector<T>& items) {
    items.clear();
    for (std::size_t n = count(); n > 0; --n) get(items.emplace_back());
  }
  template <typename K, typename V>
  void get(std::map<K, V>& items) {
    items.clear();
    for (std::size_t n = count(); n > 0; --n) {
      K key{};
      get(key);
      get(items[key]);
    }
  }
  template <typename... Ts>
  void get(std::variant<Ts...>& choice) {
    std::uint8_t index = 0;
    get(index);
    if (index >= sizeof...(Ts)) fail("a choice of kind " + std::to_string(index) + ", which is unknown");
    get_alternative(index, choice);
  }
  template <std::size_t K = 0, typename... Ts>
  void get_alternative(std::size_t index, std::variant<Ts...>& choice) {
    if constexpr (K < sizeof...(Ts)) {
      if (index != K) return get_alternative<K + 1>(index, choice);
      get(choice.template emplace<K>());
    }
  }
  template <typename T>
  requires std::is_class_v<T>
  void get(T& record) { fields(*this, record); }

  std::string_view bytes_;
  std::size_t at_ = 0;
};

}  // namespace beamshunt::base
