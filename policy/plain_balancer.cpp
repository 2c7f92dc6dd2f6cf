#include "policy/plain_balancer.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarroute::policy
{

namespace
{

/// Weight of a new observation in a running mean.
constexpr double news = 0.1;

/// Validity of the load that an endpoint reported with an answer.
constexpr core::duration told_valid{400};

/// Consecutive failures that eject an endpoint; a refused connection ejects it
/// at once.
constexpr int failures_to_leave_out = 3;

/// Ejection time, doubled up to a maximum.
constexpr core::duration first_out{500};
constexpr core::duration longest_out{6'000};

/// An endpoint with calls in flight and no answer for this long counts as
/// unresponsive.
constexpr core::duration silence{400};

/// Excess of the error rate over the other endpoints' mean that ejects an
/// endpoint, and the least number of calls observed.
constexpr double error_margin = 0.25;
constexpr std::int64_t least_seen = 10;

/// Preference for the own zone, in calls.
constexpr double far_penalty = 0.5;

constexpr core::duration one_second{1'000};

} // namespace

plain_balancer::plain_balancer(std::uint64_t seed) : random_(seed) {}

void plain_balancer::set_endpoints(std::span<const plain_endpoint> endpoints)
{
    std::map<core::endpoint_id, state> next;
    for (const plain_endpoint& facts : endpoints)
    {
        const auto found = endpoints_.find(facts.name_);
        state item = found == endpoints_.end() ? state() : found->second;
        item.facts_ = facts;
        next.emplace(facts.name_, std::move(item));
    }
    endpoints_ = std::move(next);
}

bool plain_balancer::healthy(const state& item, core::time_point now) const
{
    const bool silent = item.own_ > 0 && now - item.progress_at_ > silence;
    return item.out_until_ <= now && !silent;
}

double plain_balancer::score(
    const state& item, const core::zone_id& zone, core::time_point now) const
{
    const bool told = now - item.told_at_ <= told_valid;
    const double calls = static_cast<double>(
        std::max(item.own_, told ? item.told_ : std::int64_t{0}));
    const double far = item.facts_.zone_ == zone ? 0 : far_penalty;
    const double slowness = std::max(item.latency_ms_, 1.0);
    return (calls + 1 + far) * slowness /
           static_cast<double>(std::max<std::int64_t>(item.facts_.slots_, 1));
}

std::optional<core::endpoint_id> plain_balancer::begin(
    const core::zone_id& zone,
    const std::set<core::endpoint_id>& avoid,
    core::time_point now)
{
    std::vector<state*> good;
    std::vector<state*> doubtful;
    for (auto& [name, item] : endpoints_)
    {
        while (!item.starts_.empty() && now - item.starts_.front() > one_second)
        {
            item.starts_.pop_front();
        }
        const std::int64_t cold = item.facts_.starts_per_second_;
        const bool full =
            cold > 0 && static_cast<std::int64_t>(item.starts_.size()) >= cold;
        if (!item.facts_.usable_ || avoid.count(name) != 0 || full)
        {
            continue;
        }
        (healthy(item, now) ? good : doubtful).push_back(&item);
    }
    // At most half of the endpoints stay ejected: they may have recovered, and
    // the rest cannot carry the whole load.
    if (good.size() < doubtful.size())
    {
        std::sort(
            doubtful.begin(),
            doubtful.end(),
            [](const state* left, const state* right)
            {
                return left->out_until_ < right->out_until_;
            });
        const std::size_t lacking =
            (good.size() + doubtful.size() + 1) / 2 - good.size();
        doubtful.resize(std::min(doubtful.size(), lacking));
        good.insert(good.end(), doubtful.begin(), doubtful.end());
    }
    if (good.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, good.size() - 1);
    state* first = good[draw(random_)];
    state* second = good[draw(random_)];
    state* best =
        score(*second, zone, now) < score(*first, zone, now) ? second : first;
    if (best->own_ == 0)
    {
        best->progress_at_ = now;
    }
    ++best->own_;
    best->starts_.push_back(now);
    return best->facts_.name_;
}

void plain_balancer::leave_out(state& item, core::time_point now)
{
    if (now < item.out_until_)
    {
        return;
    }
    item.out_for_ = item.out_for_.ms_ == 0
                        ? first_out
                        : std::min(item.out_for_ * 2, longest_out);
    item.out_until_ = now + item.out_for_;
    item.failures_ = 0;
    item.seen_ = 0;
    item.errors_ = 0;
}

bool plain_balancer::stands_out(const state& item) const
{
    if (item.seen_ < least_seen)
    {
        return false;
    }
    double others = 0;
    int count = 0;
    for (const auto& [name, other] : endpoints_)
    {
        if (&other != &item && other.seen_ > 0)
        {
            others += other.errors_;
            ++count;
        }
    }
    return count > 0 && item.errors_ > others / count + error_margin;
}

void plain_balancer::end(
    const core::endpoint_id& name,
    call_outcome outcome,
    core::time_point began,
    core::time_point now)
{
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end())
    {
        return;
    }
    state& item = found->second;
    item.own_ = std::max<std::int64_t>(item.own_ - 1, 0);
    const bool bad =
        outcome == call_outcome::broken || outcome == call_outcome::unreachable;
    const bool error = bad || outcome == call_outcome::errored;
    if (outcome != call_outcome::shed)
    {
        ++item.seen_;
        item.errors_ += news * ((error ? 1.0 : 0.0) - item.errors_);
    }
    if (!bad)
    {
        item.progress_at_ = now;
        item.failures_ = 0;
        const auto took = static_cast<double>((now - began).ms_);
        item.latency_ms_ =
            item.latency_ms_ == 0
                ? took
                : item.latency_ms_ + news * (took - item.latency_ms_);
    }
    if (outcome == call_outcome::answered)
    {
        item.out_for_ = {};
    }
    item.failures_ += bad ? 1 : 0;
    if (outcome == call_outcome::unreachable ||
        item.failures_ >= failures_to_leave_out || stands_out(item))
    {
        leave_out(item, now);
    }
}

void plain_balancer::record_load(
    const core::endpoint_id& name,
    std::int64_t running,
    std::int64_t waiting,
    core::time_point now)
{
    const auto found = endpoints_.find(name);
    if (found != endpoints_.end())
    {
        found->second.told_ = running + waiting;
        found->second.told_at_ = now;
    }
}

} // namespace poplarroute::policy
