#include "policy/crash_counter.hpp"

namespace poplarroute::policy
{

namespace
{

/// Longer than any request runs, so that no report of a removed crash comes.
constexpr core::duration record_duration{600'000};

} // namespace

std::string crash_counter::record(
    const core::endpoint_id& endpoint,
    core::time_point began_at,
    core::time_point now)
{
    last_crash& last = crashes_[endpoint];
    if (last.number_ == 0 || began_at > last.recorded_at_)
    {
        ++last.number_;
        last.recorded_at_ = now;
    }
    return endpoint + "#" + std::to_string(last.number_);
}

void crash_counter::expire(core::time_point now)
{
    std::erase_if(
        crashes_,
        [now](const auto& item)
        {
            return now - item.second.recorded_at_ > record_duration;
        });
}

} // namespace poplarroute::policy
