#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/rollouts.hpp"
#include "core/codec.hpp"
#include "core/ids.hpp"
#include "node/wire_codec.hpp"
#include "policy/account_meter.hpp"
#include "policy/stream_scheduler.hpp"

namespace poplarroute::node
{

namespace method
{

inline constexpr const char* catalog_watch = "catalog.watch";
inline constexpr const char* catalog_submit = "catalog.submit";
inline constexpr const char* catalog_read = "catalog.read";
inline constexpr const char* document_part = "documents.part";
inline constexpr const char* catalog_join = "catalog.join";
inline constexpr const char* catalog_leave = "catalog.leave";
inline constexpr const char* streams_place = "streams.place";
inline constexpr const char* streams_end = "streams.end";
inline constexpr const char* streams_note = "streams.note";
inline constexpr const char* meters_settle = "meters.settle";
inline constexpr const char* crash_report = "crashes.report";
inline constexpr const char* limits_take = "limits.take";

} // namespace method

/// A running placement, as its entry host reports it.
struct placement_message
{
    std::string id_;
    core::service_id service_;
    core::endpoint_id decoder_; ///< Decode engine.
    std::int64_t prompt_tokens_ = 0;
    std::int64_t expected_output_ = 0; ///< Expected number of output tokens.
    std::int64_t age_ms_ = 0;
};

/// What an endpoint's newest answer says of the requests that it takes.
struct endpoint_limit_message
{
    core::endpoint_id endpoint_;
    bool limited_ = false;
    std::int64_t milli_per_second_ =
        0; ///< From all hosts together, if limited.
    std::int64_t age_ms_ = 0;
};

/// Asks a group member for anything newer than the host's own state. The member
/// delays its reply until there is something, or the wait time is over.
struct watch_request
{
    core::host_id host_;
    std::uint64_t revision_ = 0;
    std::uint64_t list_revision_ = 0;
    std::uint64_t crash_revision_ = 0;
    std::string list_epoch_; ///< Epoch of the list's source.
    std::int64_t wait_ms_ = 0;
    std::vector<placement_message> places_;

    /// Latest revision known to the host; revision_ is in force.
    std::uint64_t known_revision_ = 0;

    /// Latest endpoint list known to the host; list_revision_ is in force.
    std::string known_list_epoch_;
    std::uint64_t known_list_revision_ = 0;

    /// Whether the host fetches the catalog and the endpoint list in parts.
    /// Older programs expect them in the reply.
    bool fetches_parts_ = false;

    /// What the host refuses, for a leader that has just been elected.
    std::vector<std::string> crashers_;

    /// Endpoints that told the host that they are leaving, and that no list has
    /// shown as such.
    std::vector<core::endpoint_id> leaving_;

    /// Number of live entry hosts, as last told to the host; 0: unknown.
    std::int64_t hosts_ = 0;

    /// Whether the host takes changes of the endpoint list in the reply, from
    /// list_revision_ on.
    bool takes_changes_ = false;

    /// The limits of endpoints that the host knows, for a new leader, and the
    /// leader's revision of the last reply.
    std::vector<endpoint_limit_message> limits_;
    std::uint64_t limit_revision_ = 0;

    /// Where other hosts may hand requests to this one, "ip:port"; empty:
    /// nowhere. It takes none of the services that it does not reach.
    std::string relay_;
    core::zone_id zone_;
    std::vector<core::service_id> lost_services_;
};

/// An endpoint of the platform's list.
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
    std::int64_t started_at_ms_ = 0; ///< Unix time; 0: unknown.
    std::string version_;            ///< Of its software; empty: not stated.
};

/// Changes of an endpoint list between two revisions. They apply to each
/// revision from the first on.
struct list_changes
{
    std::uint64_t from_ = 0;
    std::uint64_t to_ = 0;
    std::vector<endpoint_message> changed_; ///< Added ones, too.
    std::vector<core::endpoint_id> removed_;
};

/// Reply to watch_request.
struct watch_reply
{
    bool leads_ = false;
    core::host_id leader_;   ///< Peer address; empty: unknown.
    std::uint64_t term_ = 0; ///< Raft term of the member.
    std::vector<core::host_id> members_;
    std::uint64_t revision_ = 0;
    /// Whether the member's catalog is known to be current. A member that is
    /// cut off may hold an older one.
    bool current_ = false;
    std::uint64_t version_ = 0; ///< Version of the catalog; 0: not stated.
    /// For hosts that do not fetch parts: the catalog as a binary value if it
    /// is newer than the host's; else null.
    nlohmann::json text_;
    std::vector<core::zone_id> zones_out_;
    std::string list_epoch_;
    std::uint64_t list_revision_ = 0;
    bool list_sent_ = false; ///< Whether list_ replaces the host's.
    std::vector<endpoint_message> list_;
    std::int64_t list_age_ms_ = 0;
    /// Endpoints of the list that are leaving, which hosts heed at once: the
    /// list itself is fetched by another call. Not stated to a host that has
    /// the newest list or gets changes to it.
    std::vector<core::endpoint_id> leaving_;
    std::int64_t hosts_ = 0; ///< Number of live entry hosts; 0: unknown.
    std::uint64_t crash_revision_ = 0;
    /// Digests of quarantined requests and keys of quarantined prompt parts.
    std::vector<std::string> crashers_;
    /// Whether hosts report the requests and prompts that are answered.
    bool suspects_parts_ = false;
    /// An encoded list_changes as a binary value, with times relative to when
    /// the list was read; null: none are sent.
    nlohmann::json list_changes_;
    /// Endpoints that have left the list since the host's revision, for a host
    /// that has to download the list.
    std::vector<core::endpoint_id> withdrawn_;
    /// The latest roll-out of each service, without its history.
    std::vector<control::rollout> rollouts_;
    std::vector<endpoint_limit_message> limits_; ///< That the member knows.
    std::uint64_t limit_revision_ = 0;
    /// Whether scarce_accounts_ is stated; older programs do not, nor does a
    /// leader whose ledger is new.
    bool tells_scarce_ = false;
    /// Accounts whose level is low. Hosts may charge the others without asking.
    std::vector<core::account_id> scarce_accounts_;
    /// Whether suspect_digests_ is stated; hosts then report only the answers
    /// to these requests, else to all.
    bool tells_suspects_ = false;
    std::vector<std::string> suspect_digests_;
};

/// Identifies a document that hosts fetch in parts.
struct document_id
{
    std::string name_;
    std::uint64_t revision_ = 0; ///< Increases with each change.

    bool operator==(const document_id&) const = default;
};

/// Asks a member for the part of a document that begins at an offset.
struct document_part_request
{
    document_id id_;
    std::uint64_t offset_ = 0; ///< In bytes of the compressed document.
    /// Oldest revision that will do, since changes can bring it up to date; 0:
    /// only the requested one or a newer one.
    std::uint64_t least_revision_ = 0;
};

/// Part of a compressed document. It is of another revision than requested when
/// the member has only that one; it then begins at offset 0.
struct document_part_reply
{
    document_id id_;
    std::uint64_t size_ = 0;     ///< Of the whole compressed document.
    std::uint64_t checksum_ = 0; ///< core::stable_hash of the whole.
    std::uint64_t offset_ = 0;
    nlohmann::json bytes_;    ///< As a binary value.
    std::int64_t age_ms_ = 0; ///< Of the document's content.
    core::zone_id zone_;      ///< Of the member that replies; empty: unknown.
};

/// The catalog as read at the leader.
struct catalog_read_reply
{
    std::uint64_t version_ = 0;
    nlohmann::json text_;
};

/// Result of a submitted command.
struct submit_reply
{
    bool changed_ = false;
    std::uint64_t number_ = 0;
    bool conflicts_ = false; ///< Refused, since a newer change came first.
};

/// Asks the leader to add a member to the group.
struct join_request
{
    core::host_id host_;
    std::string store_;

    /// Whether the fleet starts for the first time: the member replaces no
    /// other.
    bool first_start_ = false;
};

/// Tells a member that the process of another one stops.
struct leave_request
{
    core::host_id host_;
    std::string store_;
};

/// Asks the leader for a placement of a stream.
struct placement_request
{
    core::service_id service_;
    std::string id_;
    std::string digest_; ///< Equal for repeated requests.
    core::host_id host_;
    core::zone_id zone_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t most_output_ = 0;     ///< Maximum number of output tokens.
    std::int64_t output_hint_ = 0;     ///< Estimate of output tokens; 0: none.
    int priority_ = 0;                 ///< 0 is first.
    std::int64_t on_time_ms_ = 0;      ///< Time left for an on-time placement.
    std::int64_t give_up_ms_ = 0;      ///< Longest time in the queue.
    bool prompt_is_read_ = false;      ///< The prompt has been prefilled.
    bool decode_reads_prompt_ = false; ///< The decode engine prefills it.
    std::vector<core::endpoint_id> avoid_; ///< Engines that are excluded.
    core::account_id account_;
    std::int64_t price_ = 0; ///< Charged to the account; 0: nothing to charge.
    std::int64_t resends_ = 0; ///< Number of retries that the placement is for.
    /// Account and price by which capacity is shared, also when the account has
    /// been charged before. Older programs do not send them.
    core::account_id sharing_account_;
    std::int64_t sharing_price_ = 0;
    /// Whether only engines of kv_version_ may serve it: one of them has begun
    /// the stream or prefilled the prompt.
    bool pins_version_ = false;
    std::string kv_version_;
};

/// A placement, or the refusal of one.
struct placement_reply
{
    bool placed_ = false;
    bool over_rate_ = false;    ///< The account is over its rate.
    core::endpoint_id reader_;  ///< Prefill engine; empty: none is needed.
    core::endpoint_id decoder_; ///< Decode engine.
    std::string reason_;        ///< Why it was refused.
    std::int64_t retry_ms_ = 0; ///< When the caller may retry.
    std::int64_t waited_ms_ = 0;
    std::int64_t waiting_ = 0;     ///< Number of queued streams.
    bool decided_locally_ = false; ///< Decided without a leader; not sent.
    /// Whether its engines are of a running roll-out's target, which the leader
    /// permits for rollout_grant_validity.
    bool is_target_ = false;
};

/// Reports that a stream ended and how.
struct stream_end_message
{
    core::service_id service_;
    std::string id_;
    bool complete_ = false;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t read_ms_ = 0; ///< Prefill time; 0: none.
    std::int64_t output_tokens_ = 0;
    std::int64_t decode_ms_ = 0;     ///< From the first to the last event.
    std::vector<std::string> parts_; ///< Shared parts of its prompt.
    std::string digest_;             ///< Digest of the request.
};

/// How long work takes on an engine's machine, in percent of the usual.
struct engine_pace_message
{
    core::endpoint_id engine_;
    std::int64_t percent_ = 0;
};

/// Reports an event at an engine. Empty fields are not reported.
struct engine_event_message
{
    core::service_id service_;
    core::host_id host_;       ///< Entry host that made the calls.
    std::string read_;         ///< Placement whose prompt was prefilled.
    core::endpoint_id failed_; ///< Engine that failed or is unreachable.
    core::endpoint_id lapsed_; ///< Prefill engine whose KV handle had expired.
    std::vector<core::endpoint_id> worked_; ///< Engines whose call succeeded.
    /// Engine at whose address another process answers.
    core::endpoint_id replaced_;
    core::endpoint_id leaving_; ///< Endpoint that said that it is leaving.
    bool answered_ = false;     ///< A stream has been answered for a while.
    std::vector<std::string> answered_parts_; ///< Shared parts of its prompt.
    std::string answered_digest_; ///< Of a request that is wholly answered.
    std::vector<engine_pace_message> paces_;     ///< As engines reported them.
    std::vector<endpoint_limit_message> limits_; ///< That the host knows.
};

/// Asks the leader for a request to a limited endpoint.
struct limit_request
{
    core::endpoint_id endpoint_;
    std::vector<endpoint_limit_message> limits_; ///< That the host knows.
};

/// The leader's answer to it.
struct limit_reply
{
    bool granted_ = false;
    std::int64_t wait_ms_ = 0;                   ///< Else, when to ask again.
    std::vector<endpoint_limit_message> limits_; ///< That the leader knows.
};

/// An account's usage and level, in tokens. A request contains the usage and
/// this host's share of the level, a reply only the level of the whole fleet.
struct account_usage_message
{
    core::account_id account_;
    std::int64_t used_ = 0;
    std::int64_t level_ = 0;
};

/// Settles a host's usage of accounts.
struct settle_request
{
    core::host_id host_;
    std::vector<account_usage_message> uses_;
};

/// The accounts' levels after a settlement.
struct settle_reply
{
    std::vector<account_usage_message> levels_;
};

/// Reports that an endpoint crashed while it ran a request.
struct crash_message
{
    std::string digest_; ///< Digest of the request.
    std::string crash_;  ///< Name of the endpoint.
    int weight_ = 1;     ///< How strongly it implicates the request.
    core::service_id service_;
    /// Shared parts of its prompt; empty when it had answered for a while.
    std::vector<std::string> parts_;
    std::int64_t ran_ms_ = 0; ///< Since the request was sent there.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    placement_message,
    id_,
    service_,
    decoder_,
    prompt_tokens_,
    expected_output_,
    age_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    endpoint_limit_message, endpoint_, limited_, milli_per_second_, age_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    watch_request,
    host_,
    revision_,
    list_revision_,
    crash_revision_,
    list_epoch_,
    wait_ms_,
    places_,
    known_revision_,
    known_list_epoch_,
    known_list_revision_,
    fetches_parts_,
    crashers_,
    leaving_,
    hosts_,
    takes_changes_,
    limits_,
    limit_revision_,
    relay_,
    zone_,
    lost_services_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    endpoint_message,
    name_,
    service_,
    address_,
    zone_,
    slots_,
    leaving_,
    cold_ms_,
    reads_prompts_,
    started_at_ms_,
    version_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    watch_reply,
    leads_,
    leader_,
    term_,
    members_,
    revision_,
    current_,
    version_,
    text_,
    zones_out_,
    list_epoch_,
    list_revision_,
    list_sent_,
    list_,
    list_age_ms_,
    leaving_,
    hosts_,
    crash_revision_,
    crashers_,
    suspects_parts_,
    list_changes_,
    withdrawn_,
    rollouts_,
    limits_,
    limit_revision_,
    tells_scarce_,
    scarce_accounts_,
    tells_suspects_,
    suspect_digests_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    list_changes, from_, to_, changed_, removed_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(document_id, name_, revision_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    document_part_request, id_, offset_, least_revision_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    document_part_reply, id_, size_, checksum_, offset_, bytes_, age_ms_, zone_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    catalog_read_reply, version_, text_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    submit_reply, changed_, number_, conflicts_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    join_request, host_, store_, first_start_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(leave_request, host_, store_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    placement_request,
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
    resends_,
    sharing_account_,
    sharing_price_,
    pins_version_,
    kv_version_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    placement_reply,
    placed_,
    over_rate_,
    reader_,
    decoder_,
    reason_,
    retry_ms_,
    waited_ms_,
    waiting_,
    is_target_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    stream_end_message,
    service_,
    id_,
    complete_,
    prompt_tokens_,
    read_ms_,
    output_tokens_,
    decode_ms_,
    parts_,
    digest_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    engine_pace_message, engine_, percent_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    engine_event_message,
    service_,
    host_,
    read_,
    failed_,
    lapsed_,
    worked_,
    replaced_,
    leaving_,
    answered_,
    answered_parts_,
    answered_digest_,
    paces_,
    limits_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    limit_request, endpoint_, limits_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    limit_reply, granted_, wait_ms_, limits_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    account_usage_message, account_, used_, level_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(settle_request, host_, uses_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(settle_reply, levels_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    crash_message, digest_, crash_, weight_, service_, parts_, ran_ms_)

endpoint_message to_message(const listed_endpoint& item);
listed_endpoint from_message(const endpoint_message& item);

/// \return the request with absolute times; its times count from now.
policy::stream_request from_message(
    const placement_request& item, core::time_point now);
policy::stream_result from_message(const stream_end_message& item);
placement_reply to_message(const policy::stream_decision& item);

/// \return the id of the document that holds a version of the catalog.
document_id catalog_document(std::uint64_t version);

/// \return the id of the document that holds a revision of an endpoint list.
/// \param epoch that of the list's source.
document_id endpoint_list_document(
    std::string_view epoch, std::uint64_t revision);

/// \return whether a document is an endpoint list.
bool is_endpoint_list(const document_id& id);

/// \return the refusal of a stream whose account is over its rate.
/// \param inputs the values that decided it, for the log.
/// \param wait time after which the caller may retry.
placement_reply make_over_rate_reply(std::string inputs, core::duration wait);

} // namespace poplarroute::node
