// The numeric value of a scoped enumeration, such as an id type.
#pragma once

#include <type_traits>

namespace beamshunt::base {

// Returns `value` as the enumeration's underlying type, as std::to_underlying of C++23 does.
template <typename Enum>
requires std::is_enum_v<Enum>
constexpr auto to_underlying(Enum value) { return static_cast<std::underlying_type_t<Enum>>(value); }

}  // namespace beamshunt::base
