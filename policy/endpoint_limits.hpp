#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// What an answer says of the requests that its endpoint takes.
struct limit_statement
{
    /// Requests per second from all hosts together; nothing: any number.
    std::optional<double> per_second_;
    /// Time of which it is certain that the endpoint said so then or later: of
    /// the answer if it names a limit, else of the request's send.
    core::time_point said_at_;
};

/// The limits that endpoints have named, each as its newest statement has it.
class limit_statements
{
public:
    /// Takes a statement, unless a newer one is known.
    /// \return whether the endpoint has begun or ended to be limited.
    bool record(
        const core::endpoint_id& name, const limit_statement& statement);

    /// \return the requests per second that an endpoint takes from all hosts
    /// together; nothing when it names no limit.
    std::optional<double> limit_of(const core::endpoint_id& name) const;

    const std::map<core::endpoint_id, limit_statement>& all() const
    {
        return statements_;
    }

    /// Drops the statements of endpoints that are not listed any more.
    void keep_only(const std::set<core::endpoint_id>& listed);

private:
    std::map<core::endpoint_id, limit_statement> statements_;
};

/// Answer to a host that wants to send a request to a limited endpoint.
struct limit_grant
{
    bool granted_ = false;
    core::duration wait_; ///< Else, time after which to ask again.
};

/// Grants requests to limited endpoints, for all hosts. It is kept at the
/// group's leader.
///
/// Load: an endpoint that names a limit far below what all hosts send to it.
/// Hosts share what it takes in the order in which they ask. A ledger begins
/// empty, since an earlier leader may have granted what has just accrued.
class limit_ledger
{
public:
    /// \param per_second the endpoint's limit.
    limit_grant take(
        const core::endpoint_id& name, double per_second, core::time_point now);

    /// Forgets what has accrued.
    void clear();

private:
    struct bucket
    {
        double level_ = 0; ///< Requests.
        core::time_point filled_at_;
    };

    std::map<core::endpoint_id, bucket> buckets_;
};

/// What one host may send to limited endpoints: what the leader grants, and
/// without a leader a share of its own.
///
/// Load: a host that learns of a limit by an answer while others do not know it
/// yet, that is cut off, or that continues after a pause.
class endpoint_allowance
{
public:
    endpoint_allowance() = default;

    /// \param seed seeds the host's own share; it must differ between hosts.
    explicit endpoint_allowance(std::uint64_t seed);

    /// Takes a statement of an endpoint's answer, or of the leader.
    /// \return whether the endpoint has begun or ended to be limited.
    bool record(
        const core::endpoint_id& name, const limit_statement& statement);

    const limit_statements& statements() const
    {
        return statements_;
    }

    /// Drops what is known of endpoints that are not listed any more.
    void keep_only(const std::set<core::endpoint_id>& listed);

    /// \return whether an endpoint may have room for a request of this host. A
    /// limited one has none until the time at which the leader may grant more.
    bool may_have_room(
        const core::endpoint_id& name, core::time_point now) const;

    /// \return when an endpoint may have room; nothing: now.
    std::optional<core::time_point> closed_until(
        const core::endpoint_id& name, core::time_point now) const;

    /// Records that the leader has refused a request.
    void record_refusal(
        const core::endpoint_id& name,
        core::duration wait,
        core::time_point now);

    /// Takes a request from this host's own share of a limit, which it uses
    /// while no leader answers.
    /// \param hosts number of hosts that share the limit; nothing: unknown, and
    /// there is no share.
    /// \return whether there was one.
    bool take_own_share(
        const core::endpoint_id& name,
        std::optional<std::int64_t> hosts,
        core::time_point now);

private:
    struct own_share
    {
        core::time_point drawn_at_;
        core::time_point valid_until_; ///< Of the request that was drawn.
    };

    limit_statements statements_;
    std::map<core::endpoint_id, core::time_point> closed_until_;
    std::map<core::endpoint_id, own_share> shares_;
    std::mt19937_64 random_;
};

} // namespace poplarroute::policy
