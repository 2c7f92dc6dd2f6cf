#include "node/group_manager.hpp"

#include <algorithm>

#include "drivers/log.hpp"
#include "node/replica_messages.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Time between attempts to form or join a group.
constexpr core::duration form_interval{150};

/// Time between checks once the group is formed.
constexpr core::duration check_interval{900};

/// Number of members that are asked, one after another, to add this one.
constexpr std::size_t max_members_asked = 8;
constexpr core::duration peer_timeout{600};

/// A member without a leader for this long asks to join again: it may have been
/// removed while it was unreachable.
constexpr core::duration rejoin_after{4'000};

/// A member unreachable for this long is removed if another joined since.
constexpr core::duration remove_after{6'000};

/// A member counts as reachable if it was heard from within this time.
constexpr core::duration reachable_within{1'500};

/// Members are removed only while at least this many remain reachable.
constexpr std::size_t min_reachable_members = 3;

} // namespace

group_manager::group_manager(context& with, catalog_replica& group)
    : with_(with), group_(group)
{
}

void group_manager::start()
{
    with_.calls_.add_typed<join_request, submit_reply>(
        method::catalog_join,
        allowed_callers::host,
        [this](drivers::peer_identity, join_request request)
            -> awaitable<core::result<submit_reply>>
        {
            if (!group_.leads())
            {
                co_return error{errc::not_leader, group_.leader()};
            }
            const control::member* known =
                group_.member()->log().group().find(request.host_);
            const bool is_member =
                known != nullptr && known->store_ == request.store_;
            if (!is_member && joining_.insert(request.host_).second)
            {
                co_await add_member(request);
                joining_.erase(request.host_);
            }
            co_return submit_reply();
        });
    drivers::spawn_loop(
        with_.io_,
        "form_group",
        [this]()
        {
            return form_group();
        });
}

void group_manager::begin_leading()
{
    unreachable_since_.clear();
}

bool group_manager::was_replaced(
    const core::host_id& lost, core::time_point lost_since) const
{
    return std::any_of(
        joined_at_.begin(),
        joined_at_.end(),
        [&](const auto& joined)
        {
            return joined.first != lost &&
                   joined.second + remove_after > lost_since;
        });
}

awaitable<bool> group_manager::bootstrap_from_seeds()
{
    const fleet_settings& settings =
        with_.board_.section<settings_section>().settings_;
    control::member_group group;
    for (const std::string& seed : settings.seeds_)
    {
        const core::result<identify_reply> reply = co_await ask<identify_reply>(
            with_.peers_,
            seed,
            method::identify,
            identify_request(),
            peer_timeout);
        if (!core::is_ok(reply))
        {
            co_return false;
        }
        group.members_.push_back({seed, core::value(reply).store_, true});
    }
    std::sort(
        group.members_.begin(),
        group.members_.end(),
        [](const control::member& left, const control::member& right)
        {
            return left.host_ < right.host_;
        });
    const core::result<core::done> formed = group_.bootstrap(group);
    log_event(
        core::is_ok(formed) ? log_level::info : log_level::warning,
        "group_formed",
        {{"members", group.members_.size()},
         {"problem",
          core::is_ok(formed) ? "" : core::failure(formed).message_}});
    co_return core::is_ok(formed);
}

awaitable<void> group_manager::ask_to_join()
{
    std::vector<core::host_id> asked =
        with_.board_.section<settings_section>().settings_.seeds_;
    const core::host_id self = with_.identity().host_;
    for (std::size_t index = 0;
         index < asked.size() && index < max_members_asked;
         ++index)
    {
        if (asked[index] == self)
        {
            continue;
        }
        const join_request request{self, group_.store()};
        const core::result<submit_reply> reply = co_await ask<submit_reply>(
            with_.peers_,
            asked[index],
            method::catalog_join,
            request,
            peer_timeout);
        if (core::is_ok(reply))
        {
            co_return;
        }
        const error& failure = core::failure(reply);
        if (failure.code_ == errc::not_leader && !failure.message_.empty() &&
            std::find(asked.begin(), asked.end(), failure.message_) ==
                asked.end())
        {
            asked.push_back(failure.message_);
        }
    }
}

awaitable<void> group_manager::form_group()
{
    const fleet_settings& settings =
        with_.board_.section<settings_section>().settings_;
    const core::host_id self = with_.identity().host_;
    for (;;)
    {
        if (group_.is_suspended())
        {
            co_await drivers::sleep_for(form_interval);
            continue;
        }
        const bool has_no_group =
            group_.member()->log().group().members_.empty();
        const auto& seeds = settings.seeds_;
        const bool is_founder =
            settings.first_start_ &&
            std::find(seeds.begin(), seeds.end(), self) != seeds.end();
        if (has_no_group && is_founder)
        {
            const bool formed = co_await bootstrap_from_seeds();
            if (!formed)
            {
                co_await ask_to_join();
            }
        }
        else if (
            has_no_group || core::steady_now() - group_.member()->last_contact(
                                                     core::steady_now()) >
                                rejoin_after)
        {
            co_await ask_to_join();
        }
        co_await drivers::sleep_for(
            has_no_group ? form_interval : check_interval);
    }
}

awaitable<void> group_manager::add_member(join_request request)
{
    const auto& members = group_.member()->log().group();
    const control::member* known = members.find(request.host_);
    if (known != nullptr && known->store_ != request.store_)
    {
        // The host returned without its disk and joins as a new member.
        const auto removed =
            co_await group_.change_group("remove", request.host_, "");
        if (!core::is_ok(removed))
        {
            co_return;
        }
        known = nullptr;
    }
    if (known == nullptr)
    {
        const auto added =
            co_await group_.change_group("add", request.host_, request.store_);
        if (!core::is_ok(added))
        {
            co_return;
        }
    }
    joined_at_[request.host_] = core::steady_now();
    log_event(log_level::info, "member_joined", {{"member", request.host_}});
}

awaitable<void> group_manager::update_members()
{
    const control::raft& raft = *group_.member();
    const control::member_group group = raft.log().group();
    const core::time_point now = core::steady_now();
    for (const control::member& item : group.members_)
    {
        if (!item.voter_ && raft.is_caught_up(item.host_))
        {
            const auto promoted =
                co_await group_.change_group("promote", item.host_, "");
            if (core::is_ok(promoted))
            {
                log_event(
                    log_level::info,
                    "member_promoted",
                    {{"member", item.host_}});
            }
            co_return;
        }
    }
    std::size_t reachable = 0;
    core::host_id lost;
    core::time_point lost_since = now;
    for (const control::member& item : group.members_)
    {
        const auto heard = raft.last_reply_from(item.host_);
        const bool self = item.host_ == with_.identity().host_;
        if (self || (heard && now - *heard <= reachable_within))
        {
            unreachable_since_.erase(item.host_);
            ++reachable;
            continue;
        }
        const core::time_point since =
            unreachable_since_.try_emplace(item.host_, now).first->second;
        if (since < lost_since)
        {
            lost = item.host_;
            lost_since = since;
        }
    }
    const bool replaced = was_replaced(lost, lost_since);
    const bool others_reachable = reachable + 1 == group.members_.size();
    if (!lost.empty() && replaced && others_reachable &&
        reachable >= min_reachable_members && now - lost_since > remove_after)
    {
        const auto removed = co_await group_.change_group("remove", lost, "");
        if (core::is_ok(removed))
        {
            log_event(
                log_level::info,
                "member_removed",
                {{"member", lost}, {"silent_ms", (now - lost_since).ms_}});
            joined_at_.clear();
        }
    }
}

} // namespace poplarroute::node
