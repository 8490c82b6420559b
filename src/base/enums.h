// Numbers of scoped enumerations, as ids are.
#pragma once

#include <type_traits>

namespace beamshunt::base {

template <typename Enum>
requires std::is_enum_v<Enum>
constexpr auto to_underlying(Enum value) { return static_cast<std::underlying_type_t<Enum>>(value); }

}  // namespace beamshunt::base
