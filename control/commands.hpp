#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/ids.hpp"

namespace poplarroute::control
{

/// Who sends an operator's command, and the id that makes a resend
/// idempotent.
struct command_origin
{
    std::string id_;
    std::string operator_;
    std::int64_t wall_ms_ = 0;
};

/// Puts a configuration in force in place of the version it was made from.
struct submit_configuration
{
    command_origin origin_;
    std::uint64_t base_ = 0;
    std::string text_;
};

/// Makes a key valid. Only a digest of its secret is known here.
struct issue_key
{
    command_origin origin_;
    std::string key_;
    core::account_id account_;
    std::string salt_;
    std::string digest_;
};

/// Ends a key for good.
struct withdraw_key
{
    command_origin origin_;
    std::string key_;
};

/// Takes an availability zone or a host out, or back in.
struct set_out
{
    command_origin origin_;
    bool zone_ = false; ///< Whether the name is an availability zone's.
    std::string name_;
    bool out_ = false;
};

/// Says, on evidence, that a host's process no longer serves, so that its
/// share of every rate may go to others.
struct retire_host
{
    command_origin origin_;
    core::host_id host_;
    std::string evidence_;
};

/// Gives a retired host that is back its share again.
struct readmit_host
{
    command_origin origin_;
    core::host_id host_;
};

/// Says that every host that holds a share has confirmed a version.
struct settle_shares
{
    command_origin origin_;
    std::uint64_t version_ = 0;
};

/// Claims the one run of a non-idempotent call.
struct claim_call
{
    core::account_id account_;
    std::string key_;
    std::string digest_;
    std::string attempt_;
    std::int64_t wall_ms_ = 0;
};

/// Keeps the answer of a claimed call for resends.
struct record_outcome
{
    core::account_id account_;
    std::string key_;
    std::string attempt_;
    int status_ = 0;
    std::string content_type_;
    std::string body_;
};

/// Gives a claim back of which no byte reached an endpoint.
struct abandon_claim
{
    core::account_id account_;
    std::string key_;
    std::string attempt_;
};

/// Draws the next fencing number for orders to an endpoint, and the time in
/// which its holder may send one to an endpoint that ignores the number.
struct take_fence
{
    command_origin origin_;
    core::endpoint_id endpoint_;
};

using command = std::variant<
    submit_configuration,
    issue_key,
    withdraw_key,
    set_out,
    retire_host,
    readmit_host,
    settle_shares,
    claim_call,
    record_outcome,
    abandon_claim,
    take_fence>;

/// What became of a command.
enum class verdict
{
    accepted,
    conflict,    ///< Another came first; nothing changed.
    invalid,     ///< The command does not fit the state; nothing changed.
    granted,     ///< The caller holds the claim and may run the call.
    in_progress, ///< Another attempt holds the claim, without an outcome.
    recorded,    ///< The call ran and this was its answer.
    mismatch,    ///< The idempotency key belongs to another request.
};

/// The answer to a command, the same again when its id is sent again.
struct command_reply
{
    verdict verdict_ = verdict::invalid;
    std::string message_;
    std::uint64_t version_ = 0; ///< The directory's, or a fencing number.
    std::string attempt_;       ///< The attempt that holds the claim.
    int status_ = 0;            ///< The recorded outcome.
    std::string content_type_;
    std::string body_;
    std::int64_t wait_ms_ = 0; ///< Before an order may be sent.
};

std::string encode(const command& order);
std::optional<command> decode_command(std::string_view bytes);
std::string encode(const command_reply& reply);
std::optional<command_reply> decode_reply(std::string_view bytes);

/// \return the origin of an operator's command, or nothing for a claim's.
const command_origin* origin_of(const command& order);

/// \return the verdict's stable name, for logs and JSON.
std::string_view name_of(verdict outcome);

} // namespace poplarroute::control
