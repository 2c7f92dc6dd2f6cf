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

/// How a request counts against the service level.
enum class service_result
{
    good,
    late,     ///< Answered, but a latency target was missed.
    refused,  ///< Refused though within the account's limit.
    failed,   ///< Broken off or an error.
    excluded, ///< The caller's own doing: over its limit, bad input, gone.
};

/// Counts of one minute.
struct minute_counts
{
    std::int64_t minute_ = -1;
    std::array<std::uint64_t, 5> by_result_{};
};

/// Results by account and route over the last hours, minute by minute.
class burn_record
{
public:
    /// Notes a request's result.
    void add(
        const core::account_id& account,
        const std::string& route,
        service_result result,
        core::time_point now);

    /// \return rows of account, route and counts per window, as JSON.
    nlohmann::json rows(core::time_point now) const;

private:
    static constexpr std::size_t minutes_ = 360;

    using key = std::pair<core::account_id, std::string>;

    std::map<key, std::array<minute_counts, minutes_>> records_;
};

} // namespace poplarroute::node
