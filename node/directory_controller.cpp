#include "node/directory_controller.hpp"

#include <algorithm>

#include "core/invariant.hpp"
#include "drivers/log.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

constexpr std::size_t changes_kept = 512;
constexpr core::duration pull_deadline{3'000};
constexpr core::duration confirm_every{200};
constexpr core::duration confirm_deadline{1'000};
constexpr core::duration ask_again_after{2'000};

std::vector<std::uint8_t> bytes_of(const std::string& text)
{
    return {text.begin(), text.end()};
}

std::string text_of(const std::vector<std::uint8_t>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

/// A withdrawal that an operator hands to hosts directly.
struct withdraw_request
{
    std::string key_;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(withdraw_request, key_)

} // namespace

directory_controller::directory_controller(context& with, replica* own)
    : with_(with), own_(own)
{
}

void directory_controller::start()
{
    with_.calls_.add_typed<directory_pull_request, directory_pull_reply>(
        method::pull,
        caller_kind::host,
        [this](drivers::peer_identity, directory_pull_request request)
            -> awaitable<core::result<directory_pull_reply>>
        {
            return answer_pull(request);
        });
    with_.calls_.add_typed<withdraw_request, empty_reply>(
        method::withdraw,
        caller_kind::operator_or_host,
        [this](drivers::peer_identity, withdraw_request request)
            -> awaitable<core::result<empty_reply>>
        {
            withdraw_now(request.key_);
            co_return empty_reply();
        });
    if (own_ != nullptr)
    {
        own_->on_change(
            [this]()
            {
                follow_replica();
            });
        follow_replica();
    }
    drivers::spawn(with_.io_, confirm_loop());
}

awaitable<core::result<directory_pull_reply>> directory_controller::answer_pull(
    directory_pull_request request)
{
    const control::directory& fleet = with_.directory().fleet_;
    directory_pull_reply reply;
    reply.version_ = fleet.version();
    if (request.version_ >= fleet.version())
    {
        co_return reply;
    }
    const bool has_all =
        !recent_.empty() && recent_.front().version_ <= request.version_ + 1;
    if (!has_all)
    {
        reply.whole_ = bytes_of(fleet.encode());
        co_return reply;
    }
    for (const control::directory_change& change : recent_)
    {
        if (change.version_ > request.version_)
        {
            reply.versions_.push_back(change.version_);
            reply.changes_.push_back(bytes_of(change.command_));
        }
    }
    co_return reply;
}

void directory_controller::pull_from(const core::host_id& host)
{
    // A host with a disk has its directory from the log alone.
    // One pull at a time: several peers would all send the same. A member of
    // the control group pulls too: its log may be far behind after a lost
    // disk, and what peers hold is committed.
    if (!pulling_)
    {
        pulling_ = true;
        drivers::spawn(with_.io_, pull(host));
    }
}

awaitable<void> directory_controller::pull(core::host_id host)
{
    const auto address = with_.address_of(host);
    if (address)
    {
        const directory_pull_request request{
            with_.directory().fleet_.version()};
        const auto reply = co_await ask<directory_pull_reply>(
            with_.peers_, *address, method::pull, request, pull_deadline);
        if (core::is_ok(reply))
        {
            const directory_pull_reply& got = core::value(reply);
            if (!got.whole_.empty())
            {
                auto whole = control::directory::decode(text_of(got.whole_));
                if (whole)
                {
                    take_whole(std::move(*whole));
                }
            }
            for (std::size_t at = 0; at < got.changes_.size(); ++at)
            {
                take_change({got.versions_[at], text_of(got.changes_[at])});
            }
        }
    }
    pulling_ = false;
}

bool directory_controller::take_change(const control::directory_change& change)
{
    directory_section& section = with_.directory();
    if (!section.fleet_.follow(change))
    {
        return false;
    }
    recent_.push_back(change);
    while (recent_.size() > changes_kept)
    {
        recent_.pop_front();
    }
    changed();
    return true;
}

void directory_controller::take_whole(control::directory next)
{
    directory_section& section = with_.directory();
    if (next.version() <= section.fleet_.version())
    {
        return;
    }
    core::check_invariant(
        next.configuration_version() >= section.fleet_.configuration_version(),
        "a configuration in force never reverts");
    section.fleet_ = std::move(next);
    recent_.clear();
    changed();
}

void directory_controller::changed()
{
    directory_section& section = with_.directory();
    log_event(
        log_level::info,
        "directory_changed",
        {{"version", section.fleet_.version()},
         {"configuration", section.fleet_.configuration_version()}});
    with_.metrics_.set(
        "poplarroute_directory_version",
        {},
        static_cast<double>(section.fleet_.version()));
    for (const auto& call : section.on_change_)
    {
        call();
    }
}

void directory_controller::follow_replica()
{
    const control::state_machine& state = own_->state();
    directory_section& section = with_.directory();
    while (section.fleet_.version() < state.fleet().version())
    {
        const std::uint64_t next = section.fleet_.version() + 1;
        const auto& changes = state.changes();
        const auto found = std::find_if(
            changes.begin(),
            changes.end(),
            [&](const control::directory_change& change)
            {
                return change.version_ == next;
            });
        if (found == changes.end() || !take_change(*found))
        {
            take_whole(state.fleet());
            return;
        }
    }
}

void directory_controller::withdraw_now(const std::string& key)
{
    directory_section& section = with_.directory();
    if (section.withdrawn_early_.insert(key).second)
    {
        log_event(log_level::info, "key_withdrawn_early", {{"key", key}});
        for (const auto& call : section.on_change_)
        {
            call();
        }
    }
}

awaitable<bool> directory_controller::confirm_once()
{
    const core::host_id leader = with_.membership().leader_;
    const std::uint64_t version = with_.directory().fleet_.version();
    const auto address = with_.address_of(leader);
    if (!address || version == 0)
    {
        co_return false;
    }
    const confirm_version_request request{
        with_.identity().host_, with_.identity().incarnation_, version};
    const auto reply = co_await ask<confirm_version_reply>(
        with_.peers_, *address, method::confirm, request, confirm_deadline);
    if (!core::is_ok(reply))
    {
        co_return false;
    }
    confirmed_version_ = version;
    confirmed_to_ = leader;
    co_return true;
}

awaitable<void> directory_controller::confirm_loop()
{
    core::time_point quiet_until;
    for (;;)
    {
        co_await drivers::sleep_for(confirm_every);
        const directory_section& section = with_.directory();
        const bool news = section.fleet_.version() != confirmed_version_ ||
                          with_.membership().leader_ != confirmed_to_;
        if (!news || !section.confirmed_ || core::steady_now() < quiet_until)
        {
            continue;
        }
        const bool confirmed = co_await confirm_once();
        if (!confirmed)
        {
            quiet_until = core::steady_now() + ask_again_after;
        }
    }
}

} // namespace poplarroute::node
