#pragma once

#include <string>

#include "node/messages.hpp"

namespace poplarroute::node
{

namespace method
{

inline constexpr const char* order = "operator.order";

} // namespace method

/// Operator's order to an endpoint: load, adapter, version or role.
struct order_request
{
    std::string id_; ///< The operator's command id.
    std::string operator_;
    core::endpoint_id endpoint_;
    std::string name_;
    std::string value_;
};

struct order_reply
{
    std::uint64_t fence_ = 0; ///< Fencing number of the order.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    order_request, id_, operator_, endpoint_, name_, value_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(order_reply, fence_)

} // namespace poplarroute::node
