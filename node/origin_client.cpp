#include "node/origin_client.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::node
{

namespace
{

constexpr core::duration report_interval{200};
constexpr core::duration report_timeout{1'000};
constexpr core::duration question_timeout{300};
constexpr core::duration retry_interval{60};

/// How long listed versions are remembered.
constexpr core::duration history_length{600'000};

/// Largest number of streams whose version the list does not show yet.
constexpr std::size_t max_unlisted = 1'000;

} // namespace

origin_client::origin_client(context& with)
    : with_(with),
      versions_(with.board_.section<settings_section>().settings_.first_start_)
{
}

void origin_client::start()
{
    drivers::spawn_loop(
        with_.io_,
        "origin_client",
        [this]()
        {
            return run();
        });
}

void origin_client::record(
    const std::string& attempt,
    const core::service_id& service,
    const std::string& version,
    core::time_point expires_at)
{
    const bool is_news = origins_.record(
        {attempt, {service, version}, expires_at}, core::steady_now());
    if (!is_news)
    {
        return;
    }
    ++newest_;
    if (!is_sending_)
    {
        drivers::spawn_task(with_.io_, "send_news", send_news());
    }
}

void origin_client::record_unlisted(
    const std::string& attempt,
    const core::service_id& service,
    endpoint_process process,
    core::time_point expires_at)
{
    if (unlisted_.size() < max_unlisted)
    {
        unlisted_.push_back({attempt, service, std::move(process), expires_at});
    }
}

std::optional<std::string> origin_client::own(const std::string& attempt) const
{
    const auto found = origins_.find(attempt, core::steady_now());
    return found ? std::optional(found->version_) : std::nullopt;
}

void origin_client::resolve_unlisted()
{
    const core::time_point now = core::steady_now();
    const auto& listed = with_.board_.section<endpoint_section>().endpoints_;
    std::erase_if(
        unlisted_,
        [&](const unlisted_origin& item)
        {
            const auto found = listed.find(item.process_.endpoint_);
            const bool is_listed =
                found != listed.end() && found->second.listed_.started_at_ms_ ==
                                             item.process_.started_at_ms_;
            if (is_listed)
            {
                record(
                    item.attempt_,
                    item.service_,
                    found->second.listed_.version_,
                    item.expires_at_);
            }
            return is_listed || item.expires_at_ <= now;
        });
}

awaitable<void> origin_client::run()
{
    for (;;)
    {
        co_await drivers::sleep_for(report_interval);
        const core::time_point now = core::steady_now();
        origins_.expire(now);
        observe_list(with_.board_.section<endpoint_section>(), versions_);
        versions_.expire(now - history_length);
        resolve_unlisted();
        if (has_news() && !is_sending_)
        {
            co_await send_news();
        }
    }
}

bool origin_client::has_news() const
{
    const core::host_id& leader = with_.board_.section<group_section>().leader_;
    return !leader.empty() && origins_.size() > 0 &&
           (leader != reported_to_ || reported_ != newest_);
}

/// Reports what the leader does not know; to a new leader, everything.
awaitable<void> origin_client::send_news()
{
    is_sending_ = true;
    while (has_news())
    {
        const core::host_id leader =
            with_.board_.section<group_section>().leader_;
        const bool is_new = leader != reported_to_;
        std::uint64_t position = is_new ? 0 : position_;
        const std::uint64_t newest = newest_;
        const origins_message out =
            make_origins_message(origins_, position, core::steady_now());
        const core::result<origins_reply> reply = co_await ask<origins_reply>(
            with_.peers_, leader, method::origins_record, out, report_timeout);
        if (!core::is_ok(reply))
        {
            break;
        }
        reported_to_ = leader;
        position_ = position;
        if (out.origins_.size() < max_origins_per_message)
        {
            reported_ = newest;
        }
    }
    is_sending_ = false;
}

awaitable<std::optional<found_origin>> origin_client::find(
    std::string attempt,
    core::service_id service,
    core::duration longest,
    core::duration timeout)
{
    const core::time_point asked_at = core::steady_now();
    const core::time_point until = asked_at + timeout;
    if (const auto version = own(attempt))
    {
        co_return found_origin{*version, "own_record"};
    }
    const origin_request request{attempt, service, longest.ms_};
    const group_section& group = with_.board_.section<group_section>();
    do
    {
        const core::host_id leader = group.leader_;
        std::vector<core::host_id> asked = group.members_;
        std::erase(asked, leader);
        if (!leader.empty())
        {
            asked.insert(asked.begin(), leader);
        }
        for (const core::host_id& member : asked)
        {
            const core::result<origin_reply> reply = co_await ask<origin_reply>(
                with_.peers_,
                member,
                method::origins_find,
                request,
                question_timeout);
            if (!core::is_ok(reply))
            {
                continue;
            }
            const origin_reply& answer = core::value(reply);
            if (answer.known_)
            {
                co_return found_origin{
                    answer.version_,
                    answer.inferred_ ? "only_version" : "group"};
            }
            if (answer.is_final_)
            {
                co_return std::nullopt;
            }
        }
        if (leader.empty())
        {
            // A host that was cut off or paused may have missed a version at
            // which others have begun the stream.
            observe_list(with_.board_.section<endpoint_section>(), versions_);
            const auto version =
                versions_.only_version(service, asked_at - longest, asked_at);
            if (version)
            {
                co_return found_origin{*version, "only_version"};
            }
        }
        co_await drivers::sleep_for(retry_interval);
    } while (core::steady_now() < until);
    co_return std::nullopt;
}

} // namespace poplarroute::node
