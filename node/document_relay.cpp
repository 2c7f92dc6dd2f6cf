#include "node/document_relay.hpp"

#include <string>
#include <utility>

#include <boost/asio/redirect_error.hpp>

#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace asio = drivers::asio;
using core::errc;
using core::error;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// How long a request waits for the download. It is shorter than the time for
/// which a host waits for a relay.
constexpr core::duration max_wait{800};
constexpr core::duration part_timeout{2'000};

/// Number of requests that may wait; further ones are refused, and their hosts
/// ask another member.
constexpr std::size_t max_waiting = 64;

/// Age up to which an earlier revision is served to hosts that take one. The
/// leader has the changes since then, except when most endpoints change.
constexpr core::duration max_age{5'000};

} // namespace

document_relay::document_relay(
    context& with, std::function<core::host_id()> leader)
    : with_(with), leader_(std::move(leader))
{
}

std::optional<document_part_reply> document_relay::kept_part(
    const document_part_request& request)
{
    const core::time_point now = core::steady_now();
    if (kept_.contains(request.id_))
    {
        return kept_.part(request, now);
    }
    const std::uint64_t newest = kept_.newest_revision(request.id_.name_);
    const bool is_recent = request.least_revision_ > 0 &&
                           newest >= request.least_revision_ &&
                           now - fetched_at_ <= max_age;
    if (newest == 0 || (newest < request.id_.revision_ && !is_recent))
    {
        return std::nullopt;
    }
    return kept_.part({{request.id_.name_, newest}, 0, 0}, now);
}

error document_relay::refuse(const char* reason)
{
    with_.metrics_.count(
        "poplarroute_relay_refusals_total", {{"reason", reason}});
    return {errc::not_ready, std::string("the list is not here: ") + reason};
}

awaitable<core::result<document_part_reply>> document_relay::answer_part(
    document_part_request request)
{
    auto part = kept_part(request);
    if (!part)
    {
        if (leader_().empty())
        {
            co_return refuse("no leader");
        }
        if (waiting_.size() >= max_waiting)
        {
            co_return refuse("queue full");
        }
        if (!is_fetching_)
        {
            is_fetching_ = true;
            drivers::spawn_task(with_.io_, "fetch", fetch(request.id_));
        }
        auto timer = std::make_shared<asio::steady_timer>(with_.io_);
        waiting_.push_back(timer);
        timer->expires_after(max_wait.chrono());
        drivers::error_code woken;
        co_await timer->async_wait(
            asio::redirect_error(asio::use_awaitable, woken));
        std::erase(waiting_, timer);
        part = kept_part(request);
    }
    if (!part)
    {
        co_return refuse("leader did not send it");
    }
    with_.metrics_.count("poplarroute_relayed_parts_total");
    co_return *part;
}

awaitable<void> document_relay::fetch(document_id id)
{
    const core::time_point started_at = core::steady_now();
    const core::host_id leader = leader_();
    document_download download;
    download.want(id);
    auto state = document_download::progress::incomplete;
    std::string problem;
    while (state == document_download::progress::incomplete)
    {
        const document_part_request request = download.next_request();
        const core::result<document_part_reply> reply =
            co_await ask<document_part_reply>(
                with_.peers_,
                leader,
                method::document_part,
                request,
                part_timeout);
        if (!core::is_ok(reply))
        {
            problem = core::failure(reply).message_;
            break;
        }
        state = download.add(core::value(reply));
        problem = state == document_download::progress::damaged
                      ? "the document is damaged"
                      : "";
    }
    if (state == document_download::progress::complete)
    {
        fetched_at_ = core::steady_now();
        kept_.put_compressed(
            download.id(), download.compressed(), fetched_at_ - download.age());
    }
    log_event(
        problem.empty() ? log_level::info : log_level::warning,
        problem.empty() ? "list_relayed" : "relay_failed",
        {{"document", id.name_},
         {"revision", download.id().revision_},
         {"asked", leader},
         {"waiting", waiting_.size()},
         {"took_ms", (core::steady_now() - started_at).ms_},
         {"problem", problem}});
    is_fetching_ = false;
    for (const auto& timer : waiting_)
    {
        timer->cancel();
    }
}

} // namespace poplarroute::node
