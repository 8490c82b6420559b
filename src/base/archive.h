// Binary encoding of records, for state files and for frames on streams. Integers and doubles are big-endian
// and have a fixed width. Lengths and counts have 32 bits. A duration or a point in time is a double in the
// unit of its type.
//
// A record type is supported if its namespace declares a function that passes all fields of the record to an
// Encoder or a Decoder; argument-dependent lookup finds it, and it serves both directions:
//
//   template <typename Archive>
//   void fields(Archive& archive, Point& point) { archive(point.x, point.y); }
//
// The encoding has neither a version nor a checksum. A caller that stores a record writes a version first and
// frames the result with encode_record() of base/file.h, which adds a checksum.
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

// Thrown by Decoder for bytes that an Encoder can't have written for the same fields. what() describes the
// mismatch.
class DecodeError : public std::runtime_error {
 public:
  DecodeError(std::size_t error_offset, const std::string& reason)
      : std::runtime_error(reason), offset(error_offset) {}
  std::size_t offset;  // position of the error in the decoder's input, in bytes
};

// Encodes values into a buffer that the encoder owns.
class Encoder {
 public:
  // Appends the encoded values to the buffer, in the order of the arguments.
  template <typename... Ts>
  void operator()(const Ts&... values) {
    (put(values), ...);
  }
  // Returns the encoded bytes and leaves the encoder empty.
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
    // fields() has a non-const parameter because it also serves Decoder; an encoder only reads the record.
    fields(*this, const_cast<T&>(record));
  }

  std::string out_;
};

// Decodes values from bytes that must outlive the decoder. Every read is checked against the remaining input.
// A count is checked before memory is allocated for its items: four bytes of a damaged file or from a hostile
// peer must not cause an allocation of gigabytes.
class Decoder {
 public:
  explicit Decoder(std::string_view bytes) : bytes_(bytes) {}

  // Decodes into the arguments, in their order. Throws DecodeError at the first value that can't be decoded;
  // the arguments before it have changed by then.
  template <typename... Ts>
  void operator()(Ts&... values) {
    (get(values), ...);
  }
  // The number of bytes read so far.
  [[nodiscard]] std::size_t offset() const { return offset_; }
  // The number of bytes not read yet.
  [[nodiscard]] std::size_t remaining() const { return bytes_.size() - offset_; }
  // Throws DecodeError unless the whole input has been read.
  void expect_end() const {
    if (remaining() > 0) fail(std::to_string(remaining()) + " bytes too many");
  }
  // Throws DecodeError at the current offset. Callers reject an invalid decoded value with it.
  [[noreturn]] void fail(const std::string& reason) const { throw DecodeError(offset_, reason); }

 private:
  std::string_view read_bytes(std::size_t size) {
    if (size > remaining()) fail("ends " + std::to_string(size - remaining()) + " bytes early");
    offset_ += size;
    return bytes_.substr(offset_ - size, size);
  }
  std::size_t read_count() {
    std::uint32_t count = 0;
    get(count);
    if (count > remaining())
      fail("a count of " + std::to_string(count) + " in " + std::to_string(remaining()) + " bytes");
    return count;
  }
  template <std::integral T>
  void get(T& value) {
    std::uint64_t bits = 0;
    for (char c : read_bytes(sizeof(T))) bits = bits << 8 | static_cast<unsigned char>(c);
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
  void get(std::string& text) { text = read_bytes(read_count()); }
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
    for (std::size_t n = read_count(); n > 0; --n) get(items.emplace_back());
  }
  template <typename K, typename V>
  void get(std::map<K, V>& items) {
    items.clear();
    for (std::size_t n = read_count(); n > 0; --n) {
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
  std::size_t offset_ = 0;
};

}  // namespace beamshunt::base
