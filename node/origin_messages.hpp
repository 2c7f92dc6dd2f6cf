#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/codec.hpp"
#include "core/ids.hpp"
#include "node/fleet_sections.hpp"
#include "policy/stream_origins.hpp"
#include "policy/version_history.hpp"

namespace poplarroute::node
{

namespace method
{

/// From a host to the leader: origins of streams that have begun.
inline constexpr const char* origins_record = "origins.record";
/// From the leader to the other members: origins, and versions listed.
inline constexpr const char* origins_replicate = "origins.replicate";
/// From a host to a member: asks for the origin of a stream.
inline constexpr const char* origins_find = "origins.find";

} // namespace method

/// The origin of a stream that its caller may still take up.
struct origin_message
{
    std::string attempt_;
    core::service_id service_;
    std::string version_;
    std::int64_t left_ms_ = 0; ///< Until it expires.
};

/// When a version was last listed for a service.
struct listed_version_message
{
    core::service_id service_;
    std::string version_;
    std::int64_t age_ms_ = 0;
};

/// Origins of streams, and the sender's version history if it has one.
struct origins_message
{
    std::vector<origin_message> origins_;
    bool has_history_ = false;
    std::int64_t history_ms_ = 0;  ///< Since its beginning.
    std::int64_t list_age_ms_ = 0; ///< Of its last list.
    std::vector<listed_version_message> versions_;
};

/// Reply of the process that has recorded them.
struct origins_reply
{
    std::string epoch_; ///< Of the process; it knows nothing of earlier ones.
};

/// Asks for the origin of a stream.
struct origin_request
{
    std::string attempt_; ///< Empty: the caller does not state it.
    core::service_id service_;
    std::int64_t longest_ms_ = 0; ///< Longest time since the stream began.
};

/// What a member knows of it.
struct origin_reply
{
    bool known_ = false;
    std::string version_;
    bool inferred_ = false; ///< There was only one version all the time.
    /// Whether no other process knows more: the member leads, and has heard
    /// from the hosts since its election.
    bool is_final_ = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    origin_message, attempt_, service_, version_, left_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    listed_version_message, service_, version_, age_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    origins_message,
    origins_,
    has_history_,
    history_ms_,
    list_age_ms_,
    versions_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(origins_reply, epoch_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    origin_request, attempt_, service_, longest_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    origin_reply, known_, version_, inferred_, is_final_)

/// Largest number of origins in one message.
inline constexpr std::size_t max_origins_per_message = 500;

/// Takes the origins that have been recorded since a position.
/// \param position is advanced; see policy::stream_origins::recorded_since().
origins_message make_origins_message(
    const policy::stream_origins& origins,
    std::uint64_t& position,
    core::time_point now);

void record_origins(
    policy::stream_origins& origins,
    std::span<const origin_message> items,
    core::time_point now);

/// Adds a version history to a message.
void add_history(
    const policy::version_history& history,
    origins_message& to,
    core::time_point now);

/// Replaces a version history by that of a message, if it has one.
void adopt_history(
    const origins_message& item,
    policy::version_history& history,
    core::time_point now);

/// Records the list in force in a version history.
void observe_list(
    const endpoint_section& list, policy::version_history& history);

} // namespace poplarroute::node
