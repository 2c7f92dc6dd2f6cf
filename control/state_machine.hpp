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

/// Accepted configuration in the history that operators can read.
struct history_entry
{
    std::uint64_t version_ = 0;
    std::string operator_;
    std::int64_t wall_ms_ = 0;
    std::string text_;
};

/// Time within which a router sends an order after its wait, or drops it.
inline constexpr core::duration order_lifetime{4'000};

/// Fencing number and end of the latest order to an endpoint.
struct latest_order
{
    std::uint64_t fence_ = 0;

    /// Unix time by which the order has been executed or dropped, by the clock
    /// of the router that acquired the number. Orders to an endpoint that does
    /// not check fencing numbers do not overlap in time.
    std::int64_t over_ms_ = 0;
};

/// Replicated state machine of the control group: the directory, claims,
/// fencing numbers, and the replies that make repeated requests idempotent.
class state_machine
{
public:
    using reply = command_reply;

    /// \return a number that increases with each change of the directory.
    std::uint64_t revision() const
    {
        return directory_.version();
    }

    /// Applies one committed command.
    /// \param bytes an encoded command.
    /// \return the reply; a command whose id was applied before gets the first
    /// reply.
    command_reply apply(std::string_view bytes);

    /// \return the fleet's directory.
    const directory& fleet() const
    {
        return directory_;
    }

    const claim_table& claims() const
    {
        return claims_;
    }

    /// \return the latest accepted configurations, oldest first.
    const std::deque<history_entry>& history() const
    {
        return history_;
    }

    /// \return the latest changes of the directory, oldest first, for hosts
    /// that are slightly behind.
    const std::deque<directory_change>& changes() const
    {
        return changes_;
    }

    /// \return the state as bytes for a snapshot.
    std::string encode() const;

    /// \return the state that encode() wrote, or nothing when the bytes are
    /// damaged.
    static std::optional<state_machine> decode(std::string_view bytes);

private:
    command_reply apply(const command& request, std::string_view bytes);
    command_reply apply_fencing_number(const acquire_fencing_number& request);
    void store_reply(const std::string& id, const command_reply& reply);

    directory directory_;
    claim_table claims_;
    std::map<core::endpoint_id, latest_order> latest_orders_;
    std::map<std::string, command_reply> replies_;
    std::deque<std::string> reply_order_; ///< Command ids, oldest first.
    std::deque<history_entry> history_;
    std::deque<directory_change> changes_;
};

} // namespace poplarroute::control
