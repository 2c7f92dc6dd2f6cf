#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/claims.hpp"
#include "control/commands.hpp"
#include "control/directory.hpp"

namespace poplarroute::control
{

/// One accepted configuration, for the operator's history.
struct history_entry
{
    std::uint64_t version_ = 0;
    std::string operator_;
    std::int64_t wall_ms_ = 0;
    std::string text_;
};

/// An order's holder sends it within this time, or not at all.
inline constexpr core::duration order_lifetime{4'000};

/// The turn of the latest order to an endpoint.
struct order_turn
{
    std::uint64_t fence_ = 0;

    /// By then the order has been carried out or given up, by the wall clock
    /// of whoever drew the number. Turns on endpoints that ignore numbers do
    /// not overlap.
    std::int64_t over_ms_ = 0;
};

/// What the replicated log drives: the directory, claims, fencing numbers and
/// the replies that make a resent command idempotent.
class state_machine
{
public:
    using reply = command_reply;

    /// \return a number that grows with each change of the directory.
    std::uint64_t revision() const
    {
        return directory_.version();
    }

    /// Applies one committed command.
    /// \param bytes an encoded command.
    /// \return the reply; a command id seen before gets its first reply.
    command_reply apply(std::string_view bytes);

    const directory& fleet() const
    {
        return directory_;
    }

    const claim_table& claims() const
    {
        return claims_;
    }

    const std::deque<history_entry>& history() const
    {
        return history_;
    }

    /// \return the latest changes, oldest first, for hosts that are a little
    /// behind.
    const std::deque<directory_change>& changes() const
    {
        return changes_;
    }

    std::string encode() const;
    static std::optional<state_machine> decode(std::string_view bytes);

private:
    command_reply apply(const command& order, std::string_view bytes);
    command_reply apply_fence(const take_fence& order);
    void remember(const std::string& id, const command_reply& reply);

    directory directory_;
    claim_table claims_;
    std::map<core::endpoint_id, order_turn> fences_;
    std::map<std::string, command_reply> replies_;
    std::deque<std::string> reply_order_;
    std::deque<history_entry> history_;
    std::deque<directory_change> changes_;
};

} // namespace poplarroute::control
