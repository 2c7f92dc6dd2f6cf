#include "drivers/connection_budget.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <sys/resource.h>

#include "drivers/log.hpp"

namespace poplarroute::drivers
{

namespace
{

constexpr std::size_t mega = 1024 * 1024;
constexpr std::size_t percent = 100;

/// Parts of the shares, as divisors.
constexpr std::size_t service_part = 16;
constexpr std::size_t service_memory_part = 32;
constexpr std::size_t peer_part = 8;
constexpr std::size_t peer_memory_part = 6;
constexpr std::size_t service_listeners = 3;

constexpr std::size_t max_service_connections = 64;
constexpr std::size_t min_peers = 4;
constexpr std::size_t max_peers = 2'048;

/// Of a process that serves callers. Peers seldom call it: it calls them.
constexpr std::size_t max_peers_beside_callers = 512;
constexpr std::size_t min_service_connections = 4;

/// Of a process without a limit.
constexpr std::size_t max_descriptors = 65'536;

std::size_t descriptor_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return std::min<std::size_t>(limit.rlim_cur, max_descriptors);
}

} // namespace

process_limits divide_limits(const client_settings& settings, bool has_callers)
{
    const std::size_t descriptors =
        descriptor_limit() * settings.descriptor_percent_ / percent;
    const std::size_t bytes =
        settings.memory_mb_ * mega * settings.memory_percent_ / percent;
    process_limits out;
    out.service_.connections_ = std::clamp(
        descriptors / service_part,
        min_service_connections,
        max_service_connections);
    out.service_.bytes_ = bytes / service_memory_part;
    const std::size_t service = service_listeners * out.service_.connections_;
    const std::size_t rest = std::max(descriptors, service + 2) - service;
    const std::size_t rest_bytes =
        bytes - service_listeners * out.service_.bytes_;
    out.peers_ = {rest, rest_bytes};
    if (has_callers)
    {
        out.peers_ = {
            std::min(rest / peer_part, max_peers_beside_callers),
            rest_bytes / peer_memory_part};
        out.callers_.connections_ =
            std::min(settings.connections_, rest - out.peers_.connections_);
        out.callers_.bytes_ = rest_bytes - out.peers_.bytes_;
    }
    out.peers_.connections_ =
        std::clamp(out.peers_.connections_, min_peers, max_peers);
    return out;
}

connection_group::connection_group(
    std::string listener,
    listener_limits limits,
    byte_budget_ptr bodies,
    metrics* counters)
    : listener_(std::move(listener)),
      limits_(limits),
      bodies_(std::move(bodies)),
      counters_(counters)
{
}

void connection_group::set_limits(listener_limits limits)
{
    limits_ = limits;
}

bool connection_group::admit()
{
    while (connections_ >= limits_.connections_)
    {
        if (!close_longest_idle() && !close_longest_arriving())
        {
            return false;
        }
    }
    return true;
}

bool connection_group::close_longest_idle()
{
    for (held_connection* candidate : idle_)
    {
        if (candidate->end("idle_longest"))
        {
            return true;
        }
    }
    return false;
}

bool connection_group::close_longest_arriving()
{
    return !arriving_.empty() && arriving_.front()->end("arriving_longest");
}

bool connection_group::end_largest(size_of held, std::size_t smallest)
{
    const auto largest = std::max_element(
        arriving_.begin(),
        arriving_.end(),
        [held](const held_connection* left, const held_connection* right)
        {
            return held(*left) < held(*right);
        });
    if (largest == arriving_.end() || held(**largest) < smallest)
    {
        return false;
    }
    return (*largest)->end("holds_most");
}

void connection_group::free_bodies(std::size_t bytes)
{
    const auto body_of = [](const held_connection& connection)
    {
        return connection.body_bytes_;
    };
    while (bodies_->used() + bytes > bodies_->limit() &&
           end_largest(body_of, 1))
    {
    }
}

void connection_group::report(std::string_view reason, std::string_view remote)
{
    if (counters_ != nullptr)
    {
        counters_->count(
            "poplarroute_connections_limited_total",
            {{"listener", listener_}, {"reason", std::string(reason)}});
    }
    log_event(
        log_level::warning,
        "connection_limited",
        {{"listener", listener_},
         {"reason", reason},
         {"remote", remote},
         {"open", connections_},
         {"bytes", bytes_}});
}

held_connection::held_connection(
    connection_group_ptr group, std::string remote, ender end)
    : group_(std::move(group)),
      remote_(std::move(remote)),
      end_(std::move(end)),
      body_(group_->bodies_)
{
    ++group_->connections_;
    at_ = group_->arriving_.insert(group_->arriving_.end(), this);
}

held_connection::~held_connection()
{
    leave();
}

connection_group::connection_list& held_connection::list_of(phase of) const
{
    switch (of)
    {
    case phase::idle:
        return group_->idle_;
    case phase::arriving:
        return group_->arriving_;
    case phase::running:
        break;
    }
    return group_->running_;
}

void held_connection::enter(phase next)
{
    if (ended_)
    {
        return;
    }
    connection_group::connection_list& to = list_of(next);
    to.splice(to.end(), list_of(phase_), at_);
    phase_ = next;
}

bool held_connection::hold(std::size_t bytes)
{
    if (ended_)
    {
        return false;
    }
    const auto held_by = [](const held_connection& connection)
    {
        return connection.bytes_;
    };
    while (bytes > bytes_ &&
           group_->bytes_ - bytes_ + bytes > group_->limits_.bytes_)
    {
        // What this connection holds itself is less than it asks for.
        if (!group_->end_largest(held_by, bytes + 1) &&
            !group_->close_longest_idle())
        {
            return false;
        }
    }
    group_->bytes_ = group_->bytes_ - bytes_ + bytes;
    bytes_ = bytes;
    return true;
}

bool held_connection::hold_body(std::size_t bytes)
{
    if (ended_)
    {
        return false;
    }
    const auto body_of = [](const held_connection& connection)
    {
        return connection.body_bytes_;
    };
    const byte_budget& bodies = *group_->bodies_;
    while (bytes > body_bytes_ &&
           bodies.used() - body_bytes_ + bytes > bodies.limit())
    {
        if (!group_->end_largest(body_of, bytes + 1))
        {
            return false;
        }
    }
    body_bytes_ = bytes;
    return body_.resize(bytes);
}

void held_connection::set_ender(ender end)
{
    end_ = std::move(end);
}

bool held_connection::end(std::string_view reason)
{
    if (!end_(phase_))
    {
        return false;
    }
    leave();
    group_->report(reason, remote_);
    return true;
}

void held_connection::leave()
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    list_of(phase_).erase(at_);
    --group_->connections_;
    group_->bytes_ -= bytes_;
    bytes_ = 0;
    body_bytes_ = 0;
    body_.resize(0);
}

} // namespace poplarroute::drivers
