#pragma once

#include <string>
#include <vector>

#include "node/messages.hpp"

namespace poplarroute::node
{

namespace method
{

inline constexpr const char* identify = "control.identify";

} // namespace method

/// Member of the control group in the messages of operators' calls.
struct member_info
{
    core::host_id host_;
    std::string store_;
    bool voter_ = false;
};

/// Asks a member for the id of its store and for the group that it knows.
struct identify_request
{
    int version_ = 1;
};

struct identify_reply
{
    std::string store_;
    std::vector<member_info> members_;
};

/// Sets the first group of members that belong to none yet.
struct bootstrap_request
{
    std::vector<member_info> members_;
};

/// Changes the group by one member: "add", "promote" or "remove".
struct group_change_request
{
    std::string action_;
    core::host_id host_;
    std::string store_;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    member_info, host_, store_, voter_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(identify_request, version_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    identify_reply, store_, members_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(bootstrap_request, members_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    group_change_request, action_, host_, store_)

} // namespace poplarroute::node
