#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "control/membership.hpp"
#include "core/ids.hpp"
#include "policy/pool_types.hpp"

// The messages between the router's processes. A field that an older process
// does not send takes its default value; a field that it does not know is
// ignored.

namespace poplarroute::core
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    attempt_id, host_, incarnation_, number_)

} // namespace poplarroute::core

namespace poplarroute::control
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    membership_update, host_, incarnation_, revision_, state_, draining_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    probe, sender_, version_, control_age_ms_, leader_, rumours_)

} // namespace poplarroute::control

namespace poplarroute::node
{

/// Names of the remote calls between processes.
namespace method
{

inline constexpr const char* probe = "membership.probe";
inline constexpr const char* raft = "control.raft";
inline constexpr const char* bootstrap = "control.bootstrap";
inline constexpr const char* command = "control.command";
inline constexpr const char* confirm = "control.confirm";
inline constexpr const char* read = "control.read";
inline constexpr const char* change_group = "control.change_group";
inline constexpr const char* pull = "directory.pull";
inline constexpr const char* withdraw = "directory.withdraw";
inline constexpr const char* reserve = "pool.reserve";
inline constexpr const char* prefilled = "pool.prefilled";
inline constexpr const char* transferred = "pool.transferred";
inline constexpr const char* end = "pool.end";
inline constexpr const char* renew = "pool.renew";
inline constexpr const char* hand_over = "pool.hand_over";
inline constexpr const char* transfer_tokens = "escrow.give";
inline constexpr const char* give_back = "escrow.give_back";
inline constexpr const char* crash = "quarantine.crash";
inline constexpr const char* status = "operator.status";
inline constexpr const char* burn = "operator.burn";
inline constexpr const char* cut = "torture.cut";

} // namespace method

/// Requests a placement from a pool's owner; the reply comes when the
/// placement is granted or refused.
struct reserve_request
{
    core::service_id service_;
    core::attempt_id attempt_;
    core::account_id account_;
    std::int64_t weight_ = 1;
    bool interactive_ = true;
    bool alone_ = false; ///< Suspect: no other request may run beside it.
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0;
    std::int64_t pieces_ = 1;    ///< Memory needed at the decode engine.
    std::uint64_t prefix_ = 0;   ///< Hash of the prompt's beginning.
    std::int64_t due_in_ms_ = 0; ///< Time left until the first token is due.
    std::vector<core::endpoint_id> avoid_;
};

/// A placement or a refusal.
struct reserve_reply
{
    bool granted_ = false;
    bool promised_ = false; ///< The decode memory is not free yet.
    core::endpoint_id prefill_;
    std::string prefill_address_;
    core::endpoint_id decode_;
    std::string decode_address_;
    std::string prefill_boot_; ///< Tells a restart from a lost connection.
    std::string decode_boot_;
    int reason_ = 0; ///< A policy::refusal_reason.
    std::int64_t retry_after_ms_ = 0;
};

/// Reports that the prefill of a placement with promised decode memory is
/// finished; the reply comes when the decode memory is available.
struct prefilled_request
{
    core::service_id service_;
    core::attempt_id attempt_;
    std::int64_t wait_ms_ = 0;
};

/// Reports that the decode engine has received the KV cache from the prefill
/// engine.
struct transferred_request
{
    core::service_id service_;
    core::attempt_id attempt_;
};

/// Reports how an attempt ended.
struct end_request
{
    core::service_id service_;
    core::attempt_id attempt_;
    bool completed_ = false;
    bool freed_ = true; ///< The engines confirmed that they hold nothing of it.
    bool endpoint_lost_ = false;
    core::endpoint_id lost_endpoint_;
    std::int64_t output_tokens_ = 0;
    std::int64_t prefill_ms_ = 0;
    std::int64_t decode_ms_ = 0;
    std::int64_t prefilled_tokens_ = 0;
};

/// A placement that an entry host still uses.
struct renewed_placement
{
    core::attempt_id attempt_;
    core::endpoint_id decode_;
    std::int64_t pieces_ = 0;
};

/// Renews an entry host's placements, or lists the placements of a pool that is
/// handed over.
struct renew_request
{
    core::service_id service_;
    std::vector<renewed_placement> places_;
};

/// Asks a donor for rate tokens of an account.
struct token_transfer_request
{
    core::account_id account_;
    std::int64_t needed_ = 0; ///< Tokens that the recipient's request lacks.
    std::int64_t wanted_ = 0; ///< Additional tokens for its next requests.
};

/// Tokens that a donor transfers.
struct token_transfer_reply
{
    std::int64_t tokens_ = 0;
    std::int64_t rate_ = 0; ///< The donor's rate in tokens per second.
};

/// Returns transferred tokens that were not enough for a request.
struct token_return_request
{
    core::account_id account_;
    std::int64_t tokens_ = 0;
};

/// Reports that an endpoint was lost while it ran a request.
struct crash_report
{
    std::string digest_;       ///< Digest of the request.
    std::string crash_;        ///< Identifies the endpoint and its boot.
    int weight_ = 0;           ///< A policy::evidence.
    std::int64_t span_ms_ = 0; ///< How long the request stays suspect.
};

/// Requests the directory changes after a version.
struct directory_pull_request
{
    std::uint64_t version_ = 0;
};

/// The changes after the requested version, or the whole directory.
struct directory_pull_reply
{
    std::uint64_t version_ = 0;
    std::vector<std::vector<std::uint8_t>> changes_;
    std::vector<std::uint64_t> versions_; ///< Version of each change.
    /// The encoded directory, if the sender no longer has all of the changes.
    std::vector<std::uint8_t> whole_;
};

/// Reports that a directory version is in force at a host.
struct confirm_version_request
{
    core::host_id host_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 0;
};

/// The leader's reply to a reported version.
struct confirm_version_reply
{
    std::uint64_t term_ = 0;
    bool retired_ = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    reserve_request,
    service_,
    attempt_,
    account_,
    weight_,
    interactive_,
    alone_,
    prompt_tokens_,
    output_tokens_,
    pieces_,
    prefix_,
    due_in_ms_,
    avoid_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    reserve_reply,
    granted_,
    promised_,
    prefill_,
    prefill_address_,
    decode_,
    decode_address_,
    prefill_boot_,
    decode_boot_,
    reason_,
    retry_after_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    prefilled_request, service_, attempt_, wait_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    transferred_request, service_, attempt_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    end_request,
    service_,
    attempt_,
    completed_,
    freed_,
    endpoint_lost_,
    lost_endpoint_,
    output_tokens_,
    prefill_ms_,
    decode_ms_,
    prefilled_tokens_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    renewed_placement, attempt_, decode_, pieces_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    renew_request, service_, places_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    token_transfer_request, account_, needed_, wanted_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    token_transfer_reply, tokens_, rate_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    token_return_request, account_, tokens_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    crash_report, digest_, crash_, weight_, span_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    directory_pull_request, version_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    directory_pull_reply, version_, changes_, versions_, whole_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    confirm_version_request, host_, incarnation_, version_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    confirm_version_reply, term_, retired_)

} // namespace poplarroute::node
