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

/// The answer that a claimed call was given.
struct outcome
{
    int status_ = 0;
    std::string content_type_;
    std::string body_;
};

/// Who may run, runs or ran a non-idempotent call.
struct claim
{
    std::string digest_;
    std::string attempt_;
    std::int64_t wall_ms_ = 0;
    std::optional<outcome> outcome_;
};

/// All claims of a control group, ended after a retention time.
class claim_table
{
public:
    using claim_key = std::pair<core::account_id, std::string>;

    /// Grants the claim to the first attempt that asks, and to that attempt
    /// again when it repeats itself after a lost answer.
    command_reply apply(const claim_call& order);

    /// Keeps the outcome that the claim's holder reports.
    command_reply apply(const record_outcome& order);

    /// Frees the claim, if its holder asks and no outcome is known.
    command_reply apply(const abandon_claim& order);

    /// Ends claims older than the retention time. The time is the latest
    /// that any command carried, so that all members do the same.
    void expire(core::duration retention);

    const std::map<claim_key, claim>& all() const
    {
        return claims_;
    }

    std::string encode() const;
    static std::optional<claim_table> decode(std::string_view bytes);

private:
    std::map<claim_key, claim> claims_;
    std::multimap<std::int64_t, claim_key> by_age_;
    std::int64_t latest_ms_ = 0;
};

} // namespace poplarroute::control
