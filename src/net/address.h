// IPv4 socket addresses and a longest-prefix-match map for the address ranges in the settings.
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
// Formats an address as "127.0.0.1:80".
std::string to_string(Address address);
std::string ip_to_string(std::uint32_t ip);
// Parses an IPv4 address in dotted decimal notation. Returns nothing if the text is malformed.
std::optional<std::uint32_t> parse_ip(std::string_view text);
// Parses an IPv4 address and a port, for example "127.0.0.1:80". Returns nothing if the text is malformed or
// the port is missing.
std::optional<Address> parse_address(std::string_view text);

// Maps IPv4 addresses to numbers by CIDR prefix. The longest matching prefix decides.
class PrefixMap {
 public:
  PrefixMap();
  ~PrefixMap();
  PrefixMap(const PrefixMap&);
  PrefixMap& operator=(const PrefixMap&);
  PrefixMap(PrefixMap&&) noexcept;
  PrefixMap& operator=(PrefixMap&&) noexcept;

  // Maps the prefix `cidr` to `value`. Returns an error message if `cidr` is not a valid prefix, has host
  // bits set or is already mapped to another value, and nothing on success.
  std::optional<std::string> add(std::string_view cidr, std::uint32_t value);
  // Returns the value of the longest prefix that contains `ip`, or nothing if no prefix contains it.
  std::optional<std::uint32_t> find(std::uint32_t ip) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace beamshunt::net
