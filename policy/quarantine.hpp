#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Whether a request may run, judged by the endpoints that crashed while they
/// ran it.
enum class suspicion
{
    none,        ///< It may run as usual.
    suspect,     ///< It may run again, as the only request of an endpoint.
    quarantined, ///< It is refused for some time.
};

/// Weight of a crashed endpoint as evidence against a request that ran on it.
enum class evidence
{
    long_running = 1, ///< It had run there for a while without fault.
    just_started = 2, ///< It had just begun there.
    alone = 4,        ///< It was the only request there.
};

/// Records, by digest, the requests that may crash the endpoints they run on.
class quarantine
{
public:
    /// Records that an endpoint crashed while it ran a request.
    /// \param digest the request's digest.
    /// \param crash the crash's id, so that repeated reports of it count once.
    /// \param weight how strongly the crash implicates the request.
    /// \param span how long the request stays under suspicion.
    /// \return whether the crash was not yet recorded for the request.
    bool crashed(
        const std::string& digest,
        const std::string& crash,
        evidence weight,
        core::duration span,
        core::time_point now);

    /// \return the suspicion against a request, by its digest.
    suspicion look_up(const std::string& digest, core::time_point now) const;

    /// Keeps the record of a request at least until a time.
    void keep_until(const std::string& digest, core::time_point until);

    /// Records that an endpoint answered a request with this digest, which
    /// clears it of suspicion unless it is quarantined.
    /// \return whether there was a suspicion.
    bool answered(const std::string& digest, core::time_point now);

    /// \return whether any request is under suspicion without being
    /// quarantined.
    bool has_suspects(core::time_point now) const;

    /// \return the digests of the requests under suspicion that are not
    /// quarantined; nothing if there are more than a number.
    std::optional<std::vector<std::string>> suspects(
        std::size_t most, core::time_point now) const;

    /// Removes the records that have expired.
    void expire(core::time_point now);

    std::size_t size() const
    {
        return records_.size();
    }

private:
    /// Crashes that a request was involved in, by their ids.
    struct record
    {
        std::map<std::string, evidence> crashes_;
        core::time_point expires_at_;
    };

    std::map<std::string, record> records_;
};

} // namespace poplarroute::policy
