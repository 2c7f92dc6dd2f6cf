#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/ids.hpp"

namespace poplarroute::control
{

/// Sender of an operator's command, and the id by which a repeated request is
/// recognised.
struct command_origin
{
    std::string id_;
    std::string operator_;
    std::int64_t wall_ms_ = 0; ///< Unix time at which it was sent.
};

/// Replaces the configuration in force if its version is still base_.
struct submit_configuration
{
    command_origin origin_;
    std::uint64_t base_ = 0; ///< Version that the text was derived from.
    std::string text_;
};

/// Issues a client account's key. It carries only a salted digest of the key's
/// secret.
struct issue_key
{
    command_origin origin_;
    std::string key_;
    core::account_id account_;
    std::string salt_;
    std::string digest_;
};

/// Withdraws a key permanently.
struct withdraw_key
{
    command_origin origin_;
    std::string key_;
};

/// Takes an availability zone or a host out of service or back into service.
struct set_out_of_service
{
    command_origin origin_;
    bool zone_ = false; ///< Whether the name is that of an availability zone.
    std::string name_;
    bool out_ = false; ///< Whether it is taken out of service.

    /// Version of the directory on which the command was decided: it is refused
    /// if the zone or host has changed since. 0: not stated.
    std::uint64_t base_ = 0;
};

/// Retires a host whose process provably no longer serves, so that its share
/// of each account's limit can go to other hosts.
struct retire_host
{
    command_origin origin_;
    core::host_id host_;
    std::string evidence_;   ///< What shows that the process has ended.
    std::uint64_t base_ = 0; ///< As in set_out_of_service.
};

/// Restores the share of a retired host that is back.
struct readmit_host
{
    command_origin origin_;
    core::host_id host_;
    std::uint64_t base_ = 0; ///< As in set_out_of_service.
};

/// Records that every host that holds a share has confirmed a version of the
/// directory.
struct settle_shares
{
    command_origin origin_;
    std::uint64_t version_ = 0;
};

/// Claims the exclusive right to run a non-idempotent call.
struct claim_call
{
    core::account_id account_;
    std::string key_;
    std::string digest_;
    std::string attempt_;
    std::int64_t wall_ms_ = 0;
};

/// Records the response to a claimed call for repeated requests.
struct record_outcome
{
    core::account_id account_;
    std::string key_;
    std::string attempt_;
    int status_ = 0;
    std::string content_type_;
    std::string body_;
};

/// Abandons the claim of a call of which no byte reached an endpoint.
struct abandon_claim
{
    core::account_id account_;
    std::string key_;
    std::string attempt_;
};

/// Acquires the next fencing number for an order to an endpoint. For an
/// endpoint that does not check fencing numbers, the reply also says how long
/// to wait until no earlier order can take effect any more.
struct acquire_fencing_number
{
    command_origin origin_;
    core::endpoint_id endpoint_;
};

using command = std::variant<
    submit_configuration,
    issue_key,
    withdraw_key,
    set_out_of_service,
    retire_host,
    readmit_host,
    settle_shares,
    claim_call,
    record_outcome,
    abandon_claim,
    acquire_fencing_number>;

/// Result of a command.
enum class verdict
{
    accepted,    ///< The command took effect.
    conflict,    ///< Another command came first; nothing changed.
    invalid,     ///< The command does not fit the state; nothing changed.
    granted,     ///< The caller holds the claim and may run the call.
    in_progress, ///< Another attempt holds the claim; no response yet.
    recorded,    ///< The call has run; the reply holds its response.
    mismatch,    ///< The idempotency key belongs to another request.
};

/// Reply to a command. A repeated request gets the reply to the first one.
struct command_reply
{
    verdict verdict_ = verdict::invalid;
    std::string message_;
    std::uint64_t version_ = 0; ///< Of the directory, or the fencing number.
    std::string attempt_;       ///< Attempt that holds the claim.
    int status_ = 0;            ///< HTTP status of the recorded response.
    std::string content_type_;
    std::string body_;
    std::int64_t wait_ms_ = 0; ///< To wait before the order is sent.
};

/// Each encodes a command or a reply as CBOR, or decodes it.
/// \return nothing when the bytes to decode are not well formed.
std::string encode(const command& request);
std::optional<command> decode_command(std::string_view bytes);
std::string encode(const command_reply& reply);
std::optional<command_reply> decode_reply(std::string_view bytes);

/// \return the origin of an operator's command, or nullptr for the commands on
/// claims.
const command_origin* origin_of(const command& request);

/// \return the verdict's stable name, for logs and JSON.
std::string_view name_of(verdict value);

} // namespace poplarroute::control
