#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "drivers/byte_budget.hpp"
#include "drivers/metrics.hpp"

namespace poplarroute::drivers
{

/// What the connections of one listener may take together.
struct listener_limits
{
    std::size_t connections_ = 4096;
    std::size_t bytes_ = 64 * 1024 * 1024; ///< Besides bodies of requests.
};

/// What a process gives to the connections that it accepts.
struct client_settings
{
    std::size_t memory_mb_ = 512;           ///< Memory of the process.
    std::size_t memory_percent_ = 35;       ///< Of it, for all connections.
    std::size_t descriptor_percent_ = 80;   ///< Of the process's descriptors.
    std::size_t connections_ = 4096;        ///< Of callers, open at a time.
    std::size_t framing_bytes_ = 64 * 1024; ///< Around a request's body.
    core::duration write_timeout_{15'000};  ///< For one write of a response.
};

/// The limits of each listener of a process. Their sum is within the shares
/// that client_settings gives to all connections.
struct process_limits
{
    listener_limits callers_;
    listener_limits service_; ///< Of each listener for readiness, metrics or
                              ///< operators.
    listener_limits peers_;
};

/// Divides the shares of a process between its listeners, so that no listener
/// can use up what another one needs.
/// \param has_callers whether the process serves callers; otherwise peers get
/// what callers would.
process_limits divide_limits(const client_settings& settings, bool has_callers);

class held_connection;

/// Limits what the connections of a listener hold together.
///
/// When connections are short, the connection that has been idle longest is
/// closed, then the one whose request has been arriving longest; without
/// either, the new connection is refused. When memory is short, the arriving
/// request that holds most is ended if it holds more than the one that asks,
/// then the connection that has been idle longest is closed; without either,
/// the one that asks is refused. Connections whose request runs are never
/// closed. Finding the largest looks at each arriving request, at the limit
/// only; everything else takes constant time. It is designed for thousands of
/// connections, of which tens have a request arriving.
class connection_group
{
public:
    /// \param listener its name in the log and in metrics.
    /// \param bodies limits the bodies of requests.
    /// \param counters receives a count of each closed connection; may be null.
    connection_group(
        std::string listener,
        listener_limits limits,
        byte_budget_ptr bodies,
        metrics* counters = nullptr);

    /// Makes room for a connection.
    /// \return false if the connection has to be refused.
    bool admit();

    /// Ends arriving requests until a number of bytes of bodies is free, or
    /// none is left. For responses, whose requests already run.
    void free_bodies(std::size_t bytes);

    /// Counts and logs a connection that is closed or refused by a limit.
    /// \param reason a name that does not change, such as "header_limit".
    void report(std::string_view reason, std::string_view remote);

    /// Changes the limits from now on.
    void set_limits(listener_limits limits);

    const std::string& listener() const
    {
        return listener_;
    }

    const byte_budget_ptr& bodies() const
    {
        return bodies_;
    }

    std::size_t connections() const
    {
        return connections_;
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    friend class held_connection;

    using connection_list = std::list<held_connection*>;
    using size_of = std::size_t (*)(const held_connection&);

    bool close_longest_idle();
    bool close_longest_arriving();
    bool end_largest(size_of held, std::size_t smallest);

    std::string listener_;
    listener_limits limits_;
    byte_budget_ptr bodies_;
    metrics* counters_;
    std::size_t connections_ = 0;
    std::size_t bytes_ = 0;
    connection_list idle_;     ///< Between two requests, longest first.
    connection_list arriving_; ///< With an incomplete request, longest first.
    connection_list running_;  ///< With a complete request.
};

using connection_group_ptr = std::shared_ptr<connection_group>;

/// One open connection of a group, and what it holds.
class held_connection
{
public:
    enum class phase
    {
        idle,
        arriving,
        running,
    };

    /// Ends the wait or the read of the connection. For an idle connection,
    /// \return false if it cannot be closed because a request has arrived.
    using ender = std::function<bool(phase)>;

    /// Starts in the phase arriving.
    held_connection(connection_group_ptr group, std::string remote, ender end);
    ~held_connection();
    held_connection(const held_connection&) = delete;
    held_connection& operator=(const held_connection&) = delete;

    /// Enters a phase, also when it is the current one: the time in it starts
    /// again.
    void enter(phase next);

    /// Sets the bytes that are held besides the body.
    /// \return false, without any change, if there is no room for them.
    bool hold(std::size_t bytes);

    /// Sets the bytes of the request's body.
    /// \return false, without any change, if there is no room for them.
    bool hold_body(std::size_t bytes);

    /// Replaces what ends the connection.
    void set_ender(ender end);

    /// \return whether the group has ended the connection. It then counts as
    /// closed, and has to be closed without delay.
    bool ended() const
    {
        return ended_;
    }

    const std::string& remote() const
    {
        return remote_;
    }

    connection_group& group() const
    {
        return *group_;
    }

private:
    friend class connection_group;

    connection_group::connection_list& list_of(phase of) const;
    bool end(std::string_view reason);
    void leave();

    connection_group_ptr group_;
    std::string remote_;
    ender end_;
    phase phase_ = phase::arriving;
    connection_group::connection_list::iterator at_;
    std::size_t bytes_ = 0;
    std::size_t body_bytes_ = 0;
    byte_hold body_;
    bool ended_ = false;
};

} // namespace poplarroute::drivers
