#include "control/membership.hpp"

#include <algorithm>
#include <tuple>

namespace poplarroute::control
{

namespace
{

constexpr core::duration suspicion_lasts{1'500};
constexpr std::size_t rumours_per_probe = 8;
constexpr int repeats_least = 6;

} // namespace

membership::membership(
    core::host_id self,
    core::zone_id zone,
    std::uint64_t incarnation,
    std::uint64_t seed)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      own_{self_, incarnation, 0, liveness::alive, false},
      random_(seed)
{
}

void membership::set_hosts(
    std::span<const peer_record> hosts, core::time_point now)
{
    std::map<core::host_id, peer_record> next;
    for (const peer_record& host : hosts)
    {
        if (host.host_ == self_)
        {
            continue;
        }
        const auto known = peers_.find(host.host_);
        peer_record record = known == peers_.end() ? host : known->second;
        record.zone_ = host.zone_;
        record.peer_ = host.peer_;
        if (known == peers_.end())
        {
            record.changed_at_ = now;
        }
        next[host.host_] = std::move(record);
    }
    peers_ = std::move(next);
}

core::host_id membership::next_target(bool own_zone)
{
    std::deque<core::host_id>& round = own_zone ? zone_round_ : other_round_;
    while (!round.empty() && peers_.count(round.front()) == 0)
    {
        round.pop_front();
    }
    if (round.empty())
    {
        // Every host once a round, in an order of its own each time.
        for (const auto& [host, record] : peers_)
        {
            if ((record.zone_ == zone_) == own_zone)
            {
                round.push_back(host);
            }
        }
        std::shuffle(round.begin(), round.end(), random_);
    }
    if (round.empty())
    {
        return {};
    }
    core::host_id next = round.front();
    round.pop_front();
    return next;
}

std::vector<core::host_id> membership::targets()
{
    std::vector<core::host_id> out;
    for (const bool own_zone : {true, false})
    {
        core::host_id next = next_target(own_zone);
        if (!next.empty())
        {
            out.push_back(std::move(next));
        }
    }
    return out;
}

probe membership::make_probe(
    const core::host_id& to,
    std::uint64_t version,
    std::int64_t control_age_ms,
    const core::host_id& leader)
{
    probe out;
    out.sender_ = own_;
    out.version_ = version;
    out.control_age_ms_ = control_age_ms;
    out.leader_ = leader;
    const auto target = peers_.find(to);
    if (target != peers_.end() && target->second.incarnation_ != 0 &&
        target->second.state_ != liveness::alive)
    {
        const peer_record& of = target->second;
        out.rumours_.push_back(
            {of.host_, of.incarnation_, of.revision_, of.state_, false});
    }
    for (auto& [news, left] : news_)
    {
        if (out.rumours_.size() >= rumours_per_probe)
        {
            break;
        }
        out.rumours_.push_back(news);
        --left;
    }
    std::erase_if(
        news_,
        [](const auto& item)
        {
            return item.second <= 0;
        });
    return out;
}

void membership::spread(const rumour& news)
{
    std::erase_if(
        news_,
        [&](const auto& item)
        {
            return item.first.host_ == news.host_;
        });
    // A rumour reaches all with high probability after a few times the
    // logarithm of the fleet's size.
    int repeats = repeats_least;
    for (std::size_t size = peers_.size(); size > 1; size /= 2)
    {
        repeats += 2;
    }
    news_.emplace_front(news, repeats);
}

void membership::heard(const probe& from, core::time_point now)
{
    const auto found = peers_.find(from.sender_.host_);
    if (found != peers_.end())
    {
        take(from.sender_, now);
        found->second.version_ = from.version_;
    }
    for (const rumour& news : from.rumours_)
    {
        take(news, now);
    }
}

void membership::take(const rumour& news, core::time_point now)
{
    if (news.host_ == self_)
    {
        const bool about_now = news.incarnation_ == own_.incarnation_;
        if (about_now && news.state_ != liveness::alive &&
            news.revision_ >= own_.revision_)
        {
            own_.revision_ = news.revision_ + 1;
            spread(own_);
        }
        return;
    }
    const auto found = peers_.find(news.host_);
    if (found == peers_.end())
    {
        return;
    }
    peer_record& of = found->second;
    const auto known =
        std::tuple(of.incarnation_, of.revision_, of.state_, of.draining_);
    const auto told = std::tuple(
        news.incarnation_, news.revision_, news.state_, news.draining_);
    if (told <= known)
    {
        return;
    }
    if (of.incarnation_ != 0 && news.incarnation_ > of.incarnation_ &&
        of.state_ != liveness::dead)
    {
        // A new process of that host proves that the earlier one is gone.
        deaths_.push_back(
            {of.host_, of.incarnation_, of.revision_, liveness::dead, false});
    }
    set_state(of, news, now);
    spread(news);
}

void membership::set_state(
    peer_record& of, const rumour& news, core::time_point now)
{
    of.incarnation_ = news.incarnation_;
    of.revision_ = news.revision_;
    of.draining_ = news.draining_;
    if (of.state_ == news.state_)
    {
        return;
    }
    of.state_ = news.state_;
    of.changed_at_ = now;
    if (news.state_ == liveness::dead)
    {
        deaths_.push_back(news);
    }
}

void membership::no_answer(const core::host_id& host, core::time_point now)
{
    const auto found = peers_.find(host);
    if (found == peers_.end() || found->second.state_ != liveness::alive)
    {
        return;
    }
    peer_record& of = found->second;
    const rumour news{
        host, of.incarnation_, of.revision_, liveness::suspect, of.draining_};
    set_state(of, news, now);
    spread(news);
}

void membership::tick(core::time_point now)
{
    for (auto& [host, of] : peers_)
    {
        if (of.state_ != liveness::suspect ||
            now - of.changed_at_ < suspicion_lasts)
        {
            continue;
        }
        const rumour news{
            host, of.incarnation_, of.revision_, liveness::dead, of.draining_};
        set_state(of, news, now);
        spread(news);
    }
}

void membership::start_draining()
{
    own_.draining_ = true;
    ++own_.revision_;
    spread(own_);
}

std::vector<core::host_id> membership::serving_in(
    const core::zone_id& zone) const
{
    std::vector<core::host_id> out;
    if (zone == zone_ && !own_.draining_)
    {
        out.push_back(self_);
    }
    for (const auto& [host, of] : peers_)
    {
        if (of.zone_ == zone && of.state_ != liveness::dead && !of.draining_)
        {
            out.push_back(host);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<rumour> membership::take_deaths()
{
    std::vector<rumour> out = std::move(deaths_);
    deaths_.clear();
    return out;
}

} // namespace poplarroute::control
