#include "node/slo_history.hpp"

namespace poplarroute::node
{

namespace
{

constexpr std::int64_t ms_per_minute = 60'000;

struct window
{
    const char* name_;
    std::int64_t minutes_;
};

constexpr std::array<window, 3> windows{{{"5m", 5}, {"1h", 60}, {"6h", 360}}};

constexpr std::array<const char*, 5> result_names{
    {"good", "late", "refused", "failed", "excluded"}};

template <std::size_t Size>
nlohmann::json sum_of(
    const std::array<minute_counts, Size>& minutes,
    std::int64_t from,
    std::int64_t to)
{
    std::array<std::uint64_t, result_names.size()> sums{};
    for (const minute_counts& counts : minutes)
    {
        if (counts.minute_ < from || counts.minute_ > to)
        {
            continue;
        }
        for (std::size_t index = 0; index < sums.size(); ++index)
        {
            sums[index] += counts.by_result_[index];
        }
    }
    nlohmann::json out;
    for (std::size_t index = 0; index < sums.size(); ++index)
    {
        out[result_names[index]] = sums[index];
    }
    return out;
}

} // namespace

void slo_history::add(
    const core::account_id& account,
    const std::string& route,
    service_result result,
    core::time_point now)
{
    const std::int64_t minute = now.ms_ / ms_per_minute;
    auto& minutes = records_[{account, route}];
    minute_counts& counts =
        minutes[static_cast<std::size_t>(minute) % minutes.size()];
    if (counts.minute_ != minute)
    {
        counts = {minute, {}};
    }
    ++counts.by_result_[static_cast<std::size_t>(result)];
}

nlohmann::json slo_history::rows(core::time_point now) const
{
    const std::int64_t minute = now.ms_ / ms_per_minute;
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [account_and_route, minutes] : records_)
    {
        nlohmann::json row;
        row["account"] = account_and_route.first;
        row["route"] = account_and_route.second;
        for (const window& interval : windows)
        {
            row["windows"][interval.name_] =
                sum_of(minutes, minute - interval.minutes_ + 1, minute);
        }
        nlohmann::json series = nlohmann::json::array();
        constexpr std::int64_t plotted_minutes = 60;
        for (std::int64_t minutes_ago = plotted_minutes - 1; minutes_ago >= 0;
             --minutes_ago)
        {
            series.push_back(
                sum_of(minutes, minute - minutes_ago, minute - minutes_ago));
        }
        row["series"] = std::move(series);
        out.push_back(std::move(row));
    }
    return out;
}

} // namespace poplarroute::node
