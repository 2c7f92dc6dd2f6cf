#pragma once

namespace poplarroute
{

inline constexpr const char* version = "0.1.0";

} // namespace poplarroute
