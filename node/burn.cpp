#include "node/burn.hpp"

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
    for (const minute_counts& item : minutes)
    {
        if (item.minute_ < from || item.minute_ > to)
        {
            continue;
        }
        for (std::size_t at = 0; at < sums.size(); ++at)
        {
            sums[at] += item.by_result_[at];
        }
    }
    nlohmann::json out;
    for (std::size_t at = 0; at < sums.size(); ++at)
    {
        out[result_names[at]] = sums[at];
    }
    return out;
}

} // namespace

void burn_record::add(
    const core::account_id& account,
    const std::string& route,
    service_result result,
    core::time_point now)
{
    const std::int64_t minute = now.ms_ / ms_per_minute;
    auto& minutes = records_[{account, route}];
    minute_counts& item =
        minutes[static_cast<std::size_t>(minute) % minutes.size()];
    if (item.minute_ != minute)
    {
        item = {minute, {}};
    }
    ++item.by_result_[static_cast<std::size_t>(result)];
}

nlohmann::json burn_record::rows(core::time_point now) const
{
    const std::int64_t minute = now.ms_ / ms_per_minute;
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [name, minutes] : records_)
    {
        nlohmann::json row;
        row["account"] = name.first;
        row["route"] = name.second;
        for (const window& span : windows)
        {
            row["windows"][span.name_] =
                sum_of(minutes, minute - span.minutes_ + 1, minute);
        }
        nlohmann::json series = nlohmann::json::array();
        constexpr std::int64_t plotted_minutes = 60;
        for (std::int64_t back = plotted_minutes - 1; back >= 0; --back)
        {
            series.push_back(sum_of(minutes, minute - back, minute - back));
        }
        row["series"] = std::move(series);
        out.push_back(std::move(row));
    }
    return out;
}

} // namespace poplarroute::node
