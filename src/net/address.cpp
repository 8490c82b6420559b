#include "net/address.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/icl/interval_map.hpp>
#include <map>
#include <utility>

#include "base/parse.h"

namespace beamshunt::net {

namespace ip = boost::asio::ip;
namespace icl = boost::icl;

std::string ip_to_string(std::uint32_t ip) { return ip::address_v4(ip).to_string(); }
std::string to_string(Address a) { return ip_to_string(a.ip) + ":" + std::to_string(a.port); }

std::optional<std::uint32_t> parse_ip(std::string_view text) {
  boost::system::error_code error;
  auto address = ip::make_address_v4(std::string(text), error);
  if (error) return std::nullopt;
  return address.to_uint();
}

std::optional<Address> parse_address(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto ip = parse_ip(text.substr(0, colon));
  auto port = base::parse_number<std::uint16_t>(text.substr(colon + 1));
  if (!ip || !port) return std::nullopt;
  return Address{*ip, *port};
}

struct PrefixMap::State {
  std::map<std::pair<std::uint32_t, unsigned>, std::uint32_t> prefixes;  // network, length
  icl::interval_map<std::uint32_t, std::uint32_t, icl::partial_enricher> ranges;

  void rebuild() {  // from the shortest prefix on, so that the longest has the last word
    ranges.clear();
    for (unsigned length = 0; length <= 32; ++length)
      for (auto& [prefix, value] : prefixes) {
        if (prefix.second != length) continue;
        std::uint32_t last =
            prefix.first + static_cast<std::uint32_t>((std::uint64_t{1} << (32 - length)) - 1);
        ranges.set({icl::interval<std::uint32_t>::closed(prefix.first, last), value});
      }
  }
};

PrefixMap::PrefixMap() : state_(std::make_unique<State>()) {}
PrefixMap::~PrefixMap() = default;
PrefixMap::PrefixMap(const PrefixMap& other) : state_(std::make_unique<State>(*other.state_)) {}
PrefixMap& PrefixMap::operator=(const PrefixMap& other) { return *this = PrefixMap(other); }
PrefixMap::PrefixMap(PrefixMap&&) noexcept = default;
PrefixMap& PrefixMap::operator=(PrefixMap&&) noexcept = default;

std::optional<std::string> PrefixMap::add(std::string_view cidr, std::uint32_t value) {
  boost::system::error_code error;
  ip::network_v4 network = ip::make_network_v4(std::string(cidr), error);
  if (error) return "'" + std::string(cidr) + "' is not an IPv4 prefix such as 127.10.0.0/16";
  if (network.address() != network.network())
    return "'" + std::string(cidr) + "' has bits set behind its prefix; " + network.canonical().to_string() +
           " would do";
  std::pair key{network.address().to_uint(), static_cast<unsigned>(network.prefix_length())};
  auto [held, fresh] = state_->prefixes.emplace(key, value);
  if (!fresh && held->second != value) return "'" + std::string(cidr) + "' is given twice";
  state_->rebuild();
  return std::nullopt;
}

std::optional<std::uint32_t> PrefixMap::find(std::uint32_t ip) const {
  auto range = state_->ranges.find(ip);
  if (range == state_->ranges.end()) return std::nullopt;
  return range->second;
}

}  // namespace beamshunt::net
