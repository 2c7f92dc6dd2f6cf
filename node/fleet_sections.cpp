#include "node/fleet_sections.hpp"

#include <algorithm>

namespace poplarroute::node
{

namespace
{

/// Fraction of a cold endpoint's capacity that is used. The rest absorbs hosts
/// that count their shares independently.
constexpr double cold_capacity_fraction = 0.8;

/// Fraction of the rates' excess and slack that is used. The rest is needed
/// because hosts learn of each other's plain calls with a lag and, without a
/// leader, not at all of each other's streams.
constexpr double rate_slack_fraction = 0.4;

/// \return the calls per second that one host may send to a cold endpoint; 0:
/// any number. A host that does not know how many share the capacity sends one.
std::int64_t cold_starts_per_second(
    const control::catalog_service& service,
    const known_endpoint& item,
    std::optional<std::int64_t> hosts,
    core::time_point now)
{
    if (now >= item.cold_until_ || service.max_cold_calls_per_second_ == 0)
    {
        return 0;
    }
    if (!hosts)
    {
        return 1;
    }
    const auto share = static_cast<std::int64_t>(
        cold_capacity_fraction *
        static_cast<double>(service.max_cold_calls_per_second_) /
        static_cast<double>(std::max<std::int64_t>(*hosts, 1)));
    return std::max<std::int64_t>(share, 1);
}

} // namespace

bool is_usable(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    const listed_endpoint& item,
    core::time_point now)
{
    return !item.leaving_ && catalog.zones_out_.count(item.zone_) == 0 &&
           !endpoints.notices_.is_leaving(item.name_, now);
}

std::map<core::service_id, std::vector<policy::engine_info>> engines_of(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    std::optional<std::int64_t> hosts,
    core::time_point now)
{
    std::map<core::service_id, std::vector<policy::engine_info>> out;
    if (!catalog.view_)
    {
        return out;
    }
    for (const auto& [name, item] : endpoints.endpoints_)
    {
        const control::catalog_service* service =
            catalog.view_->find_service(item.listed_.service_);
        if (service == nullptr || !service->engine_)
        {
            continue;
        }
        policy::engine_info facts;
        facts.name_ = name;
        facts.zone_ = item.listed_.zone_;
        facts.version_ = item.listed_.version_;
        facts.reads_prompts_ = item.listed_.reads_prompts_;
        facts.usable_ = is_usable(catalog, endpoints, item.listed_, now);
        facts.slots_ = service->engine_->slots_;
        facts.memory_tokens_ = service->engine_->memory_tokens_;
        facts.starts_per_second_ =
            cold_starts_per_second(*service, item, hosts, now);
        out[service->name_].push_back(std::move(facts));
    }
    return out;
}

std::vector<policy::plain_endpoint> plain_endpoints_of(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    const core::service_id& service,
    std::optional<std::int64_t> hosts,
    core::time_point now)
{
    std::vector<policy::plain_endpoint> out;
    const control::catalog_service* known =
        catalog.view_ ? catalog.view_->find_service(service) : nullptr;
    if (known == nullptr)
    {
        return out;
    }
    for (const auto& [name, item] : endpoints.endpoints_)
    {
        if (item.listed_.service_ == service)
        {
            out.push_back(
                {name,
                 item.listed_.zone_,
                 item.listed_.slots_,
                 is_usable(catalog, endpoints, item.listed_, now) &&
                     endpoints.notices_.may_send(
                         name, policy::call_purpose::request, now) &&
                     endpoints.limits_.may_have_room(name, now),
                 cold_starts_per_second(*known, item, hosts, now)});
        }
    }
    return out;
}

policy::trial_endpoints trial_endpoints_of(
    const control::rollout& item,
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    double share,
    bool prefills)
{
    std::vector<core::endpoint_id> targets;
    const core::time_point now = core::steady_now();
    for (const auto& [name, known] : endpoints.endpoints_)
    {
        const listed_endpoint& listed = known.listed_;
        const bool is_target = listed.service_ == item.service_ &&
                               control::role_of(item, listed.version_) ==
                                   control::rollout_role::target;
        if (is_target && listed.reads_prompts_ == prefills &&
            is_usable(catalog, endpoints, listed, now))
        {
            targets.push_back(name);
        }
    }
    const core::duration elapsed{core::wall_ms() - item.ordered_at_ms_};
    return policy::choose_trial_endpoints(targets, item.id_, share, elapsed);
}

std::map<core::account_id, policy::rate_limit> limits_of(
    const control::catalog& catalog, const fleet_bounds& bounds)
{
    std::map<core::account_id, policy::rate_limit> out;
    for (const control::catalog_account& account : catalog.accounts_)
    {
        if (account.rate_ <= 0)
        {
            continue;
        }
        const double excess = 1 + bounds.rate_excess_ * rate_slack_fraction;
        const double slack =
            account.counts_tokens_
                ? rate_slack_fraction * static_cast<double>(bounds.rate_slack_)
                : 0;
        out[account.name_] = {
            static_cast<std::int64_t>(
                static_cast<double>(account.rate_) * excess),
            static_cast<std::int64_t>(
                static_cast<double>(account.burst_) * excess + slack)};
    }
    return out;
}

policy::retry_bound retry_bound_of(const fleet_bounds& bounds)
{
    return {bounds.retry_ratio_, bounds.retry_slack_, bounds.retry_window_};
}

policy::listed_state to_listed_state(const listed_endpoint& item)
{
    return {item.name_, item.leaving_, item.started_at_ms_};
}

void update_notices(
    endpoint_section& section,
    std::span<const listed_endpoint> list,
    core::time_point now)
{
    std::vector<policy::listed_state> states;
    states.reserve(list.size());
    for (const listed_endpoint& item : list)
    {
        states.push_back(to_listed_state(item));
    }
    section.notices_.update(states, now);
}

void compare_notices(endpoint_section& section, core::time_point now)
{
    std::vector<policy::listed_state> states;
    for (const core::endpoint_id& name : section.notices_.endpoints())
    {
        const auto found = section.endpoints_.find(name);
        if (found != section.endpoints_.end())
        {
            states.push_back(to_listed_state(found->second.listed_));
        }
    }
    section.notices_.update(states, now);
}

bool mark_leaving(
    endpoint_section& section,
    const core::endpoint_id& name,
    core::time_point now)
{
    const auto found = section.endpoints_.find(name);
    if (found == section.endpoints_.end())
    {
        return false;
    }
    listed_endpoint& listed = found->second.listed_;
    const policy::endpoint_notice notice{true, std::nullopt};
    const bool is_new =
        section.notices_.record(to_listed_state(listed), notice, now);
    if (!is_new || listed.leaving_)
    {
        return is_new;
    }
    listed.leaving_ = true;
    ++section.revision_;
    for (const auto& call : section.on_change_)
    {
        call();
    }
    return true;
}

void forget_unlisted_limits(endpoint_section& section)
{
    if (section.limits_.statements().all().empty())
    {
        return;
    }
    std::set<core::endpoint_id> listed;
    for (const auto& [name, item] : section.endpoints_)
    {
        listed.insert(name);
    }
    section.limits_.keep_only(listed);
}

std::optional<core::duration> time_until_return(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    const core::service_id& service,
    core::time_point now)
{
    std::optional<core::duration> earliest;
    for (const auto& [name, item] : endpoints.endpoints_)
    {
        if (item.listed_.service_ != service ||
            !is_usable(catalog, endpoints, item.listed_, now))
        {
            continue;
        }
        const auto turned_away =
            endpoints.notices_.turned_away_until(name, now);
        const auto closed = endpoints.limits_.closed_until(name, now);
        if (!turned_away && !closed)
        {
            return std::nullopt;
        }
        const core::duration left =
            std::max(turned_away.value_or(now), closed.value_or(now)) - now;
        earliest = earliest ? std::min(*earliest, left) : left;
    }
    return earliest;
}

void replace_endpoints(
    endpoint_section& section,
    std::span<const listed_endpoint> list,
    core::time_point read_at)
{
    section.endpoints_.clear();
    for (const listed_endpoint& item : list)
    {
        section.endpoints_[item.name_] = {item, read_at + item.cold_time_left_};
    }
    section.read_at_ = read_at;
    ++section.revision_;
    for (const auto& call : section.on_change_)
    {
        call();
    }
}

} // namespace poplarroute::node
