#include "node/origin_messages.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::node
{

namespace
{

/// Callers' longest deadline that is believed.
constexpr std::int64_t max_origin_ms = 3'600'000;

} // namespace

origins_message make_origins_message(
    const policy::stream_origins& origins,
    std::uint64_t& position,
    core::time_point now)
{
    origins_message out;
    for (const policy::known_origin& item :
         origins.recorded_since(position, max_origins_per_message, now))
    {
        out.origins_.push_back(
            {item.attempt_,
             item.origin_.service_,
             item.origin_.version_,
             (item.expires_at_ - now).ms_});
    }
    return out;
}

void record_origins(
    policy::stream_origins& origins,
    std::span<const origin_message> items,
    core::time_point now)
{
    for (const origin_message& item : items)
    {
        const core::duration left{
            std::clamp<std::int64_t>(item.left_ms_, 0, max_origin_ms)};
        origins.record(
            {item.attempt_, {item.service_, item.version_}, now + left}, now);
    }
}

void add_history(
    const policy::version_history& history,
    origins_message& to,
    core::time_point now)
{
    const auto known = history.known();
    if (!known)
    {
        return;
    }
    to.has_history_ = true;
    to.history_ms_ = (now - known->began_at_).ms_;
    to.list_age_ms_ = (now - known->read_at_).ms_;
    for (const auto& [service, versions] : known->last_listed_)
    {
        for (const auto& [version, listed_at] : versions)
        {
            to.versions_.push_back({service, version, (now - listed_at).ms_});
        }
    }
}

void adopt_history(
    const origins_message& item,
    policy::version_history& history,
    core::time_point now)
{
    if (!item.has_history_)
    {
        return;
    }
    policy::version_history::contents out;
    out.began_at_ = now - core::duration{item.history_ms_};
    out.read_at_ = now - core::duration{item.list_age_ms_};
    for (const listed_version_message& listed : item.versions_)
    {
        out.last_listed_[listed.service_][listed.version_] =
            now - core::duration{listed.age_ms_};
    }
    history.adopt(std::move(out));
}

void observe_list(
    const endpoint_section& list, policy::version_history& history)
{
    if (list.read_at_.ms_ == 0)
    {
        return;
    }
    std::map<core::service_id, std::set<std::string>> versions;
    for (const auto& [name, item] : list.endpoints_)
    {
        versions[item.listed_.service_].insert(item.listed_.version_);
    }
    history.observe(versions, list.read_at_);
}

} // namespace poplarroute::node
