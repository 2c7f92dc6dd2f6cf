#include "control/membership.hpp"

#include <algorithm>
#include <tuple>

namespace poplarroute::control
{

namespace
{

constexpr core::duration suspicion_timeout{1'500};
constexpr std::size_t max_updates_per_probe = 8;
constexpr int min_transmissions = 6;

} // namespace

membership::membership(
    core::host_id self,
    core::zone_id zone,
    std::uint64_t incarnation,
    std::uint64_t seed)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      own_state_{self_, incarnation, 0, liveness::alive, false},
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
        const auto existing = peers_.find(host.host_);
        peer_record record = existing == peers_.end() ? host : existing->second;
        record.zone_ = host.zone_;
        record.peer_ = host.peer_;
        if (existing == peers_.end())
        {
            record.changed_at_ = now;
        }
        next[host.host_] = std::move(record);
    }
    peers_ = std::move(next);
}

core::host_id membership::next_target(bool own_zone)
{
    std::deque<core::host_id>& round =
        own_zone ? own_zone_round_ : other_zones_round_;
    while (!round.empty() && peers_.count(round.front()) == 0)
    {
        round.pop_front();
    }
    if (round.empty())
    {
        // Each round probes every host once, in a new random order.
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

std::vector<core::host_id> membership::probe_targets()
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
    out.sender_ = own_state_;
    out.version_ = version;
    out.control_age_ms_ = control_age_ms;
    out.leader_ = leader;
    const auto target = peers_.find(to);
    if (target != peers_.end() && target->second.incarnation_ != 0 &&
        target->second.state_ != liveness::alive)
    {
        const peer_record& peer = target->second;
        out.rumours_.push_back(
            {peer.host_,
             peer.incarnation_,
             peer.revision_,
             peer.state_,
             false});
    }
    for (auto& [update, transmissions_left] : pending_updates_)
    {
        if (out.rumours_.size() >= max_updates_per_probe)
        {
            break;
        }
        out.rumours_.push_back(update);
        --transmissions_left;
    }
    std::erase_if(
        pending_updates_,
        [](const auto& item)
        {
            return item.second <= 0;
        });
    return out;
}

void membership::enqueue_update(const membership_update& update)
{
    std::erase_if(
        pending_updates_,
        [&](const auto& item)
        {
            return item.first.host_ == update.host_;
        });
    // An update reaches all hosts with high probability if each host sends it
    // a number of times proportional to the logarithm of the fleet's size.
    int transmissions = min_transmissions;
    for (std::size_t size = peers_.size(); size > 1; size /= 2)
    {
        transmissions += 2;
    }
    pending_updates_.emplace_front(update, transmissions);
}

void membership::heard(const probe& from, core::time_point now)
{
    const auto found = peers_.find(from.sender_.host_);
    if (found != peers_.end())
    {
        apply_update(from.sender_, now);
        found->second.version_ = from.version_;
    }
    for (const membership_update& update : from.rumours_)
    {
        apply_update(update, now);
    }
}

void membership::apply_update(
    const membership_update& update, core::time_point now)
{
    if (update.host_ == self_)
    {
        const bool is_about_this_process =
            update.incarnation_ == own_state_.incarnation_;
        if (is_about_this_process && update.state_ != liveness::alive &&
            update.revision_ >= own_state_.revision_)
        {
            own_state_.revision_ = update.revision_ + 1;
            enqueue_update(own_state_);
        }
        return;
    }
    const auto found = peers_.find(update.host_);
    if (found == peers_.end())
    {
        return;
    }
    peer_record& peer = found->second;
    const auto existing = std::tuple(
        peer.incarnation_, peer.revision_, peer.state_, peer.draining_);
    const auto received = std::tuple(
        update.incarnation_, update.revision_, update.state_, update.draining_);
    if (received <= existing)
    {
        return;
    }
    if (peer.incarnation_ != 0 && update.incarnation_ > peer.incarnation_ &&
        peer.state_ != liveness::dead)
    {
        // A new process of a host proves that its previous one has ended.
        dead_hosts_.push_back(
            {peer.host_,
             peer.incarnation_,
             peer.revision_,
             liveness::dead,
             false});
    }
    set_state(peer, update, now);
    enqueue_update(update);
}

void membership::set_state(
    peer_record& peer, const membership_update& update, core::time_point now)
{
    peer.incarnation_ = update.incarnation_;
    peer.revision_ = update.revision_;
    peer.draining_ = update.draining_;
    if (peer.state_ == update.state_)
    {
        return;
    }
    peer.state_ = update.state_;
    peer.changed_at_ = now;
    if (update.state_ == liveness::dead)
    {
        dead_hosts_.push_back(update);
    }
}

void membership::no_answer(const core::host_id& host, core::time_point now)
{
    const auto found = peers_.find(host);
    if (found == peers_.end() || found->second.state_ != liveness::alive)
    {
        return;
    }
    peer_record& peer = found->second;
    const membership_update update{
        host,
        peer.incarnation_,
        peer.revision_,
        liveness::suspect,
        peer.draining_};
    set_state(peer, update, now);
    enqueue_update(update);
}

void membership::tick(core::time_point now)
{
    for (auto& [host, peer] : peers_)
    {
        if (peer.state_ != liveness::suspect ||
            now - peer.changed_at_ < suspicion_timeout)
        {
            continue;
        }
        const membership_update update{
            host,
            peer.incarnation_,
            peer.revision_,
            liveness::dead,
            peer.draining_};
        set_state(peer, update, now);
        enqueue_update(update);
    }
}

void membership::start_draining()
{
    own_state_.draining_ = true;
    ++own_state_.revision_;
    enqueue_update(own_state_);
}

std::vector<core::host_id> membership::serving_hosts_in(
    const core::zone_id& zone) const
{
    std::vector<core::host_id> out;
    if (zone == zone_ && !own_state_.draining_)
    {
        out.push_back(self_);
    }
    for (const auto& [host, peer] : peers_)
    {
        if (peer.zone_ == zone && peer.state_ != liveness::dead &&
            !peer.draining_)
        {
            out.push_back(host);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<membership_update> membership::take_dead_hosts()
{
    std::vector<membership_update> out = std::move(dead_hosts_);
    dead_hosts_.clear();
    return out;
}

} // namespace poplarroute::control
