#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Whether a request may run, by the endpoints that were lost running it.
enum class suspicion
{
    none,
    suspect,     ///< It may run once more, alone on an endpoint.
    quarantined, ///< It is refused for a time.
};

/// How much a lost endpoint speaks against a request that ran on it.
enum class evidence
{
    long_running = 1, ///< It had run there well for a while.
    just_started = 2, ///< It had just begun there.
    alone = 4,        ///< Nothing else ran there.
};

/// Knows requests by digest that crash the endpoints they run on.
class quarantine
{
public:
    /// Notes that an endpoint was lost while it ran a request.
    /// \param digest of the request.
    /// \param crash an id of the event, so that hearing of it twice counts
    /// once.
    /// \param weight how much the loss speaks against it.
    /// \param span how long the request stays under suspicion.
    /// \return whether this was news.
    bool crashed(
        const std::string& digest,
        const std::string& crash,
        evidence weight,
        core::duration span,
        core::time_point now);

    suspicion look_up(const std::string& digest, core::time_point now) const;

    /// Forgets what has run out.
    void expire(core::time_point now);

    std::size_t size() const
    {
        return records_.size();
    }

private:
    struct record
    {
        std::map<std::string, evidence> crashes_;
        core::time_point until_;
    };

    std::map<std::string, record> records_;
};

} // namespace poplarroute::policy
