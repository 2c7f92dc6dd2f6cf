#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "control/commands.hpp"
#include "core/clock.hpp"

namespace poplarroute::control
{

/// Response to a claimed call, kept for repeated requests.
struct recorded_response
{
    int status_ = 0;
    std::string content_type_;
    std::string body_;
};

/// Exclusive right of one attempt to run a non-idempotent call.
struct claim
{
    std::string digest_;       ///< Of the request, to detect a reused key.
    std::string attempt_;      ///< Id of the attempt that holds the claim.
    std::int64_t wall_ms_ = 0; ///< Unix time at which the call was claimed.
    std::optional<recorded_response> outcome_; ///< Empty while it runs.
};

/// Claims of a control group by account and idempotency key. They expire after
/// a retention time.
class claim_table
{
public:
    /// Account and idempotency key.
    using claim_key = std::pair<core::account_id, std::string>;

    /// Grants the claim to the first attempt that asks for it, and to the same
    /// attempt again when it repeats the command after a lost reply.
    command_reply apply(const claim_call& request);

    /// Records the response that the claim's holder reports.
    command_reply apply(const record_outcome& request);

    /// Removes the claim if its holder asks for it and no response is recorded.
    command_reply apply(const abandon_claim& request);

    /// Removes claims older than the retention time. Their age is measured from
    /// the latest time that any command carried, not from a local clock, so
    /// that all members remove the same claims.
    void expire(core::duration retention);

    const std::map<claim_key, claim>& all() const
    {
        return claims_;
    }

    /// \return the claims as bytes for a snapshot.
    std::string encode() const;

    /// \return the claims that encode() wrote, or nothing when the bytes are
    /// damaged.
    static std::optional<claim_table> decode(std::string_view bytes);

private:
    std::map<claim_key, claim> claims_;
    std::multimap<std::int64_t, claim_key> claims_by_time_;
    std::int64_t latest_wall_ms_ = 0;
};

} // namespace poplarroute::control
