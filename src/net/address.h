// IPv4 addresses, and the sets of them that settings speak of.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace beamshunt::net {

struct Address {
  std::uint32_t ip = 0;  // most significant byte first: 127.0.0.1 is 0x7f000001
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};
std::string to_string(Address address);  // "127.0.0.1:80"
std::string ip_to_string(std::uint32_t ip);
std::optional<std::uint32_t> parse_ip(std::string_view text);
std::optional<Address> parse_address(std::string_view text);  // "127.0.0.1:80", nothing else

// From addresses to small numbers by CIDR prefixes; the longest prefix wins.
class PrefixMap {
 public:
  PrefixMap();
  ~PrefixMap();
  PrefixMap(const PrefixMap&);
  PrefixMap& operator=(const PrefixMap&);
  PrefixMap(PrefixMap&&) noexcept;
  PrefixMap& operator=(PrefixMap&&) noexcept;

  // Why `cidr` can't be taken in: not a prefix, host bits set, or already given to another value. Nothing if
  // it was taken.
  std::optional<std::string> add(std::string_view cidr, std::uint32_t value);
  std::optional<std::uint32_t> find(std::uint32_t ip) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace beamshunt::net
