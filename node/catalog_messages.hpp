#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/codec.hpp"
#include "core/ids.hpp"
#include "node/wire_codec.hpp"
#include "policy/account_meter.hpp"
#include "policy/stream_broker.hpp"

namespace poplarroute::node
{

namespace method
{

inline constexpr const char* catalog_watch = "catalog.watch";
inline constexpr const char* catalog_submit = "catalog.submit";
inline constexpr const char* catalog_read = "catalog.read";
inline constexpr const char* catalog_join = "catalog.join";
inline constexpr const char* streams_place = "streams.place";
inline constexpr const char* streams_end = "streams.end";
inline constexpr const char* streams_note = "streams.note";
inline constexpr const char* meters_settle = "meters.settle";
inline constexpr const char* crash_report = "crashes.report";

} // namespace method

/// A placement, as its entry host reports it.
struct place_message
{
    std::string id_;
    core::service_id service_;
    core::endpoint_id decoder_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t expected_output_ = 0;
    std::int64_t age_ms_ = 0;
};

/// Asks a group member for anything newer than what the host has.
struct watch_request
{
    core::host_id host_;
    std::uint64_t revision_ = 0;
    std::uint64_t list_revision_ = 0;
    std::uint64_t crash_revision_ = 0;
    std::string list_epoch_; ///< The member's that gave the list.
    std::int64_t wait_ms_ = 0;
    std::vector<place_message> places_;
};

struct endpoint_message
{
    core::endpoint_id name_;
    core::service_id service_;
    std::string address_;
    core::zone_id zone_;
    std::int64_t slots_ = 1;
    bool leaving_ = false;
    std::int64_t cold_ms_ = 0;
    bool reads_prompts_ = false;
};

struct watch_reply
{
    bool leads_ = false;
    core::host_id leader_; ///< A peer address; empty when unknown.
    std::vector<core::host_id> members_;
    std::uint64_t revision_ = 0;
    nlohmann::json text_; ///< Bytes, when newer than the host's; or null.
    std::vector<core::zone_id> zones_out_;
    std::string list_epoch_;
    std::uint64_t list_revision_ = 0;
    bool list_sent_ = false;
    std::vector<endpoint_message> list_;
    std::int64_t list_age_ms_ = 0;
    std::int64_t hosts_ = 1; ///< Entry hosts heard of lately.
    std::uint64_t crash_revision_ = 0;
    std::vector<std::string> crashers_; ///< Digests of refused requests.
};

struct read_reply_message
{
    std::uint64_t version_ = 0;
    nlohmann::json text_;
};

struct submit_reply
{
    bool changed_ = false;
    std::uint64_t number_ = 0;
};

struct join_request
{
    core::host_id host_;
    std::string store_;
};

struct want_message
{
    core::service_id service_;
    std::string id_;
    std::string digest_; ///< Equal for the same request sent again.
    core::host_id host_;
    core::zone_id zone_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t most_output_ = 0;
    std::int64_t output_hint_ = 0;
    int priority_ = 0;
    std::int64_t on_time_ms_ = 0; ///< From now.
    std::int64_t give_up_ms_ = 0; ///< From now.
    bool prompt_is_read_ = false;
    bool decode_reads_prompt_ = false;
    std::vector<core::endpoint_id> avoid_;
    core::account_id account_;
    std::int64_t price_ = 0; ///< To charge the account; 0: it has been charged.
    std::int64_t resends_ =
        0; ///< Calls that repeat earlier ones of the stream.
};

struct place_reply
{
    bool placed_ = false;
    bool over_rate_ = false; ///< The account's level did not suffice.
    core::endpoint_id reader_;
    core::endpoint_id decoder_;
    std::string reason_;
    std::int64_t retry_ms_ = 0;
    std::int64_t waited_ms_ = 0;
    std::int64_t waiting_ = 0;
    bool alone_ = false; ///< This host decided without a leader; not sent.
};

struct end_message
{
    core::service_id service_;
    std::string id_;
    bool complete_ = false;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t read_ms_ = 0;
    std::int64_t output_tokens_ = 0;
    std::int64_t decode_ms_ = 0;
};

/// What happened at an engine.
struct note_message
{
    core::service_id service_;
    core::host_id host_; ///< Whose calls these were.
    std::string read_;   ///< Id of a stream whose prompt has been read; or "".
    core::endpoint_id failed_;
    core::endpoint_id lapsed_; ///< A reader whose prompt could not be had.
    std::vector<core::endpoint_id> worked_;
    core::endpoint_id replaced_; ///< Another process answers at its address.
};

struct use_message
{
    core::account_id account_;
    std::int64_t used_ = 0;
    std::int64_t level_ = 0; ///< Asking: this host's part. Answering: all.
};

struct settle_request
{
    core::host_id host_;
    std::vector<use_message> uses_;
};

struct settle_reply
{
    std::vector<use_message> levels_;
};

/// An endpoint was lost while it ran a request.
struct crash_message
{
    std::string digest_; ///< Of the request.
    std::string crash_;  ///< Names the event.
    int weight_ = 1;     ///< How much it speaks against the request.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    place_message,
    id_,
    service_,
    decoder_,
    prompt_tokens_,
    expected_output_,
    age_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    watch_request,
    host_,
    revision_,
    list_revision_,
    crash_revision_,
    list_epoch_,
    wait_ms_,
    places_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    endpoint_message,
    name_,
    service_,
    address_,
    zone_,
    slots_,
    leaving_,
    cold_ms_,
    reads_prompts_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    watch_reply,
    leads_,
    leader_,
    members_,
    revision_,
    text_,
    zones_out_,
    list_epoch_,
    list_revision_,
    list_sent_,
    list_,
    list_age_ms_,
    hosts_,
    crash_revision_,
    crashers_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    read_reply_message, version_, text_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(submit_reply, changed_, number_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(join_request, host_, store_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    want_message,
    service_,
    id_,
    digest_,
    host_,
    zone_,
    prompt_tokens_,
    most_output_,
    output_hint_,
    priority_,
    on_time_ms_,
    give_up_ms_,
    prompt_is_read_,
    decode_reads_prompt_,
    avoid_,
    account_,
    price_,
    resends_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    place_reply,
    placed_,
    over_rate_,
    reader_,
    decoder_,
    reason_,
    retry_ms_,
    waited_ms_,
    waiting_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    end_message,
    service_,
    id_,
    complete_,
    prompt_tokens_,
    read_ms_,
    output_tokens_,
    decode_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    note_message, service_, host_, read_, failed_, lapsed_, worked_, replaced_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    use_message, account_, used_, level_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(settle_request, host_, uses_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(settle_reply, levels_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    crash_message, digest_, crash_, weight_)

endpoint_message to_message(const listed_endpoint& item);
listed_endpoint from_message(const endpoint_message& item);

/// \return the places to forecast with; times count from now.
policy::stream_want from_message(
    const want_message& item, core::time_point now);
policy::stream_end from_message(const end_message& item);
place_reply to_message(const policy::stream_decision& item);

/// \return the refusal of a stream whose account's level does not suffice.
/// \param inputs what decided it.
place_reply refuse_over_rate(std::string inputs, core::duration wait);

} // namespace poplarroute::node
