#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::node
{

/// How a request counts against the service level objective.
enum class service_result
{
    good,
    late,    ///< Answered, but a latency target was missed.
    refused, ///< Refused although within the account's limit.
    failed,  ///< Interrupted, or answered with an error.
    /// Does not count, since the caller was the cause: it exceeded its limit,
    /// sent an invalid request or disconnected.
    excluded,
};

/// Number of requests by result in one minute.
struct minute_counts
{
    std::int64_t minute_ = -1;
    std::array<std::uint64_t, 5> by_result_{};
};

/// Request results by account and route for each of the last 360 minutes.
class slo_history
{
public:
    /// Counts a request's result.
    void add(
        const core::account_id& account,
        const std::string& route,
        service_result result,
        core::time_point now);

    /// \return a JSON array with a row for each account and route, with the
    /// counts for the last 5 minutes, 1 hour and 6 hours and for each of the
    /// last 60 minutes.
    nlohmann::json rows(core::time_point now) const;

private:
    static constexpr std::size_t kept_minutes_ = 360;

    using key = std::pair<core::account_id, std::string>;

    std::map<key, std::array<minute_counts, kept_minutes_>> records_;
};

} // namespace poplarroute::node
