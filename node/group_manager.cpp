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
constexpr core::duration rejoin_after{1'500};

/// How long it is remembered that a member stops. It covers an election.
constexpr core::duration leave_validity{4'000};

/// How long a member that stops waits for the others' replies.
constexpr core::duration leave_timeout{500};
constexpr core::duration leave_check_interval{10};

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
    with_.calls_.add_typed<leave_request, submit_reply>(
        method::catalog_leave,
        allowed_callers::host,
        [this](drivers::peer_identity, leave_request request)
            -> awaitable<core::result<submit_reply>>
        {
            co_await take_leave(std::move(request));
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
    leading_since_ = core::steady_now();
}

/// Notes that a member stops. The leader replies once it has removed it, if
/// that is due.
awaitable<void> group_manager::take_leave(leave_request request)
{
    const control::member* known =
        group_.member()->log().group().find(request.host_);
    if (known == nullptr || known->store_ != request.store_)
    {
        co_return;
    }
    leaving_[request.host_] = core::steady_now();
    log_event(log_level::info, "member_stops", {{"member", request.host_}});
    if (group_.leads())
    {
        co_await update_members();
    }
}

awaitable<void> group_manager::announce_leave()
{
    is_leaving_ = true;
    const core::host_id self = with_.identity().host_;
    const control::member_group group = group_.member()->log().group();
    const leave_request request{self, group_.store()};
    auto waiting = std::make_shared<std::size_t>(0);
    for (const control::member& item : group.members_)
    {
        if (item.host_ == self)
        {
            continue;
        }
        ++*waiting;
        drivers::spawn_task(
            with_.io_,
            "announce_leave",
            [](context& with,
               core::host_id to,
               leave_request told,
               std::shared_ptr<std::size_t> left) -> awaitable<void>
            {
                co_await ask<submit_reply>(
                    with.peers_,
                    to,
                    method::catalog_leave,
                    told,
                    leave_timeout);
                --*left;
            }(with_, item.host_, request, waiting));
    }
    const core::time_point until = core::steady_now() + leave_timeout;
    while (*waiting > 0 && core::steady_now() < until)
    {
        co_await drivers::sleep_for(leave_check_interval);
    }
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
        // A member that was removed and returns has a group.
        const bool is_founder =
            with_.board_.section<settings_section>().settings_.first_start_ &&
            group_.member()->log().group().members_.empty();
        const join_request request{self, group_.store(), is_founder};
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
        if (group_.is_suspended() || is_leaving_)
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
        const auto added = co_await group_.change_group(
            request.first_start_ ? "found" : "add",
            request.host_,
            request.store_);
        if (!core::is_ok(added))
        {
            co_return;
        }
    }
    leaving_.erase(request.host_);
    log_event(log_level::info, "member_joined", {{"member", request.host_}});
}

/// \return what is known of all members except this one.
std::map<core::host_id, control::member_contact> group_manager::contacts() const
{
    const control::raft& raft = *group_.member();
    const core::time_point now = core::steady_now();
    std::map<core::host_id, control::member_contact> out;
    for (const control::member& item : raft.log().group().members_)
    {
        if (item.host_ == with_.identity().host_)
        {
            continue;
        }
        const core::time_point heard =
            raft.last_reply_from(item.host_).value_or(leading_since_);
        const auto leaving = leaving_.find(item.host_);
        out[item.host_] = {
            now - std::max(heard, leading_since_),
            !item.voter_ && raft.is_caught_up(item.host_),
            leaving != leaving_.end() &&
                now - leaving->second <= leave_validity};
    }
    return out;
}

awaitable<void> group_manager::update_members()
{
    if (is_updating_)
    {
        co_return;
    }
    const std::map<core::host_id, control::member_contact> known = contacts();
    const std::optional<control::group_change> change =
        control::decide_group_change(group_.member()->log().group(), known);
    if (!change)
    {
        co_return;
    }
    const bool removes = change->kind_ == control::group_change::kind::remove;
    is_updating_ = true;
    const auto changed = co_await group_.change_group(
        removes ? "remove" : "promote", change->host_, "");
    is_updating_ = false;
    if (!core::is_ok(changed))
    {
        co_return;
    }
    const control::member_contact& contact = known.at(change->host_);
    log_event(
        log_level::info,
        removes ? "member_removed" : "member_promoted",
        {{"member", change->host_},
         {"silent_ms", contact.silence_.ms_},
         {"stops", contact.leaves_ ? 1 : 0},
         {"surplus", group_.member()->log().group().surplus_}});
}

void group_manager::set_metrics() const
{
    const control::member_group& group = group_.member()->log().group();
    with_.metrics_.set(
        "poplarroute_group_voters",
        {},
        static_cast<double>(group.voter_count()));
    with_.metrics_.set(
        "poplarroute_group_surplus_members",
        {},
        static_cast<double>(group.surplus_));
    constexpr const char* silence = "poplarroute_group_member_silence_ms";
    with_.metrics_.clear(silence);
    if (!group_.leads())
    {
        return;
    }
    for (const auto& [host, contact] : contacts())
    {
        with_.metrics_.set(
            silence,
            {{"member", host}},
            static_cast<double>(contact.silence_.ms_));
    }
}

} // namespace poplarroute::node
