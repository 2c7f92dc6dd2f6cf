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

constexpr std::size_t max_recent_changes = 512;
constexpr core::duration pull_timeout{3'000};
constexpr core::duration confirm_interval{200};
constexpr core::duration confirm_timeout{1'000};
constexpr core::duration confirm_retry_delay{2'000};

std::vector<std::uint8_t> bytes_of(const std::string& text)
{
    return {text.begin(), text.end()};
}

std::string text_of(const std::vector<std::uint8_t>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

/// Withdrawal of a key that an operator sends to hosts directly, ahead of the
/// directory version that contains it.
struct withdraw_request
{
    std::string key_;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(withdraw_request, key_)

} // namespace

directory_controller::directory_controller(
    context& with, replica* local_replica)
    : with_(with), local_replica_(local_replica)
{
}

void directory_controller::start()
{
    with_.calls_.add_typed<directory_pull_request, directory_pull_reply>(
        method::pull,
        allowed_callers::host,
        [this](drivers::peer_identity, directory_pull_request request)
            -> awaitable<core::result<directory_pull_reply>>
        {
            return answer_pull(request);
        });
    with_.calls_.add_typed<withdraw_request, empty_reply>(
        method::withdraw,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, withdraw_request request)
            -> awaitable<core::result<empty_reply>>
        {
            withdraw_key(request.key_);
            co_return empty_reply();
        });
    if (local_replica_ != nullptr)
    {
        local_replica_->on_change(
            [this]()
            {
                sync_from_replica();
            });
        sync_from_replica();
    }
    drivers::spawn_loop(
        with_.io_,
        "confirm_loop",
        [this]()
        {
            return confirm_loop();
        });
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
    const bool has_all_changes =
        !recent_changes_.empty() &&
        recent_changes_.front().version_ <= request.version_ + 1;
    if (!has_all_changes)
    {
        reply.whole_ = bytes_of(fleet.encode());
        co_return reply;
    }
    for (const control::directory_change& change : recent_changes_)
    {
        if (change.version_ > request.version_)
        {
            reply.versions_.push_back(change.version_);
            reply.changes_.push_back(bytes_of(change.command_));
        }
    }
    co_return reply;
}

void directory_controller::pull_directory(const core::host_id& host)
{
    // One pull runs at a time, since several peers would all send the same
    // changes. A member of the control group pulls too: its log may be far
    // behind after a lost disk, and what peers hold is committed.
    if (!pull_in_progress_)
    {
        pull_in_progress_ = true;
        drivers::spawn_task(with_.io_, "pull", pull(host));
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
            with_.peers_, *address, method::pull, request, pull_timeout);
        if (core::is_ok(reply))
        {
            const directory_pull_reply& pulled = core::value(reply);
            if (!pulled.whole_.empty())
            {
                auto whole = control::directory::decode(text_of(pulled.whole_));
                if (whole)
                {
                    replace_directory(std::move(*whole));
                }
            }
            for (std::size_t index = 0; index < pulled.changes_.size(); ++index)
            {
                apply_change(
                    {pulled.versions_[index], text_of(pulled.changes_[index])});
            }
        }
    }
    pull_in_progress_ = false;
}

bool directory_controller::apply_change(const control::directory_change& change)
{
    directory_section& section = with_.directory();
    if (!section.fleet_.follow(change))
    {
        return false;
    }
    recent_changes_.push_back(change);
    while (recent_changes_.size() > max_recent_changes)
    {
        recent_changes_.pop_front();
    }
    notify_change();
    return true;
}

void directory_controller::replace_directory(control::directory next)
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
    recent_changes_.clear();
    notify_change();
}

void directory_controller::notify_change()
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
    for (const auto& callback : section.on_change_)
    {
        callback();
    }
}

void directory_controller::sync_from_replica()
{
    const control::state_machine& state = local_replica_->state();
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
        if (found == changes.end() || !apply_change(*found))
        {
            replace_directory(state.fleet());
            return;
        }
    }
}

void directory_controller::withdraw_key(const std::string& key)
{
    directory_section& section = with_.directory();
    if (section.early_withdrawn_keys_.insert(key).second)
    {
        log_event(log_level::info, "key_withdrawn_early", {{"key", key}});
        for (const auto& callback : section.on_change_)
        {
            callback();
        }
    }
}

awaitable<bool> directory_controller::send_confirmation()
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
        with_.peers_, *address, method::confirm, request, confirm_timeout);
    if (!core::is_ok(reply))
    {
        co_return false;
    }
    confirmed_version_ = version;
    confirmed_to_leader_ = leader;
    co_return true;
}

awaitable<void> directory_controller::confirm_loop()
{
    core::time_point retry_at;
    for (;;)
    {
        co_await drivers::sleep_for(confirm_interval);
        const directory_section& section = with_.directory();
        const bool unconfirmed =
            section.fleet_.version() != confirmed_version_ ||
            with_.membership().leader_ != confirmed_to_leader_;
        if (!unconfirmed || !section.confirmed_ ||
            core::steady_now() < retry_at)
        {
            continue;
        }
        const bool confirmed = co_await send_confirmation();
        if (!confirmed)
        {
            retry_at = core::steady_now() + confirm_retry_delay;
        }
    }
}

} // namespace poplarroute::node
