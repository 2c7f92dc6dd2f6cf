#include "node/pool_client.hpp"

#include <algorithm>
#include <utility>

#include "core/digest.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration reply_timeout_slack{300};
constexpr core::duration call_timeout{1'000};
constexpr core::duration retry_interval{100};
constexpr int max_end_attempts = 3;

reserve_reply no_owner_reply()
{
    reserve_reply reply;
    reply.reason_ = static_cast<int>(policy::refusal_reason::taking_over);
    reply.retry_after_ms_ = 1'000;
    return reply;
}

/// \return whether a request refused for this reason may soon be granted.
bool is_temporary(int reason)
{
    const auto cause = static_cast<policy::refusal_reason>(reason);
    return cause == policy::refusal_reason::taking_over ||
           cause == policy::refusal_reason::none_usable;
}

} // namespace

pool_client::pool_client(context& with, pool_controller& local_pools)
    : with_(with), local_pools_(local_pools)
{
}

std::vector<core::zone_id> pool_client::zones_of(
    const core::service_id& service) const
{
    const control::directory& fleet = with_.directory().fleet_;
    std::set<core::zone_id> zones;
    for (const auto& [name, endpoint] : fleet.settings().endpoints_)
    {
        if (endpoint.service_ == service &&
            !fleet.is_zone_out_of_service(endpoint.zone_))
        {
            zones.insert(endpoint.zone_);
        }
    }
    std::vector<core::zone_id> out;
    const core::zone_id& own_zone = with_.identity().zone_;
    if (zones.erase(own_zone) != 0)
    {
        out.push_back(own_zone);
    }
    std::vector<core::zone_id> others(zones.begin(), zones.end());
    // The order rotates with the host and the attempt number, so that the load
    // is spread over the other zones.
    if (!others.empty())
    {
        const std::uint64_t rotation =
            with_.identity().next_attempt_ +
            core::stable_hash(with_.identity().host_);
        std::rotate(
            others.begin(),
            others.begin() +
                static_cast<std::ptrdiff_t>(rotation % others.size()),
            others.end());
    }
    out.insert(out.end(), others.begin(), others.end());
    return out;
}

awaitable<reserve_reply> pool_client::reserve_in_zone(
    core::zone_id zone, reserve_request request)
{
    const core::host_id owner = local_pools_.owner_of(zone, request.service_);
    if (owner == with_.identity().host_)
    {
        co_return co_await local_pools_.reserve(std::move(request));
    }
    const auto address = with_.address_of(owner);
    if (owner.empty() || !address)
    {
        co_return no_owner_reply();
    }
    const core::duration wait =
        core::duration{request.due_in_ms_} + reply_timeout_slack;
    end_request abandoned;
    abandoned.service_ = request.service_;
    abandoned.attempt_ = request.attempt_;
    const auto reply = co_await ask<reserve_reply>(
        with_.peers_, *address, method::reserve, std::move(request), wait);
    if (core::is_ok(reply))
    {
        co_return core::value(reply);
    }
    if (core::failure(reply).code_ != core::errc::unreachable)
    {
        // The owner may have granted the placement although its reply was lost.
        report_end(zone, std::move(abandoned));
    }
    co_return no_owner_reply();
}

awaitable<placement_result> pool_client::reserve(
    reserve_request request, core::time_point deadline)
{
    placement_result best;
    best.reply_ = no_owner_reply();
    best.reply_.reason_ = static_cast<int>(policy::refusal_reason::no_endpoint);
    bool first = true;
    for (;;)
    {
        bool is_retryable = false;
        for (const core::zone_id& zone : zones_of(request.service_))
        {
            const core::duration remaining = deadline - core::steady_now();
            if (remaining.ms_ <= 0)
            {
                co_return best;
            }
            request.due_in_ms_ = remaining.ms_;
            request.attempt_.number_ = with_.identity().next_attempt_++;
            placement_result result;
            result.zone_ = zone;
            result.reply_ = co_await reserve_in_zone(zone, request);
            if (result.reply_.granted_)
            {
                result.attempt_ = request.attempt_;
                co_return result;
            }
            is_retryable = is_retryable || is_temporary(result.reply_.reason_);
            if (first ||
                result.reply_.retry_after_ms_ < best.reply_.retry_after_ms_)
            {
                best = result;
                first = false;
            }
        }
        if (!is_retryable)
        {
            co_return best;
        }
        // A new owner soon grants placements again, and an endpoint that is
        // down may recover.
        co_await drivers::sleep_for(retry_interval);
    }
}

awaitable<reserve_reply> pool_client::report_prefilled(
    core::zone_id zone, prefilled_request request)
{
    const core::host_id owner = local_pools_.owner_of(zone, request.service_);
    if (owner == with_.identity().host_)
    {
        co_return co_await local_pools_.wait_for_decode_memory(
            std::move(request));
    }
    const auto address = with_.address_of(owner);
    if (owner.empty() || !address)
    {
        co_return no_owner_reply();
    }
    const core::duration wait =
        core::duration{request.wait_ms_} + reply_timeout_slack;
    const auto reply = co_await ask<reserve_reply>(
        with_.peers_, *address, method::prefilled, std::move(request), wait);
    co_return core::is_ok(reply) ? core::value(reply) : no_owner_reply();
}

awaitable<void> pool_client::send_end(core::zone_id zone, end_request request)
{
    for (int attempt = 0; attempt < max_end_attempts; ++attempt)
    {
        const core::host_id owner =
            local_pools_.owner_of(zone, request.service_);
        if (owner == with_.identity().host_)
        {
            local_pools_.end_attempt(request);
            co_return;
        }
        const auto address = with_.address_of(owner);
        if (owner.empty() || !address)
        {
            co_return;
        }
        const auto reply = co_await ask<empty_reply>(
            with_.peers_, *address, method::end, request, call_timeout);
        if (core::is_ok(reply))
        {
            co_return;
        }
    }
}

awaitable<void> pool_client::send_transferred(
    std::string address, transferred_request request)
{
    // If this message is lost, the end of the attempt frees the memory.
    co_await ask<empty_reply>(
        with_.peers_,
        std::move(address),
        method::transferred,
        std::move(request),
        call_timeout);
}

void pool_client::report_transferred(
    core::zone_id zone, transferred_request request)
{
    const core::host_id owner = local_pools_.owner_of(zone, request.service_);
    const auto address = with_.address_of(owner);
    if (owner == with_.identity().host_)
    {
        local_pools_.record_transfer(request);
    }
    else if (!owner.empty() && address)
    {
        drivers::spawn_task(
            with_.io_,
            "send_transferred",
            send_transferred(*address, std::move(request)));
    }
}

void pool_client::report_end(core::zone_id zone, end_request request)
{
    if (local_pools_.owner_of(zone, request.service_) == with_.identity().host_)
    {
        local_pools_.end_attempt(request);
        return;
    }
    drivers::spawn_task(
        with_.io_, "send_end", send_end(std::move(zone), std::move(request)));
}

awaitable<void> pool_client::renew_placements()
{
    std::map<std::pair<core::zone_id, core::service_id>, renew_request>
        requests;
    for (const auto& [attempt, running] :
         with_.board_.section<running_section>().attempts_)
    {
        renew_request& request = requests[{running.zone_, running.service_}];
        request.service_ = running.service_;
        request.places_.push_back({attempt, running.decode_, running.pieces_});
    }
    for (const auto& [pool, request] : requests)
    {
        const core::host_id owner =
            local_pools_.owner_of(pool.first, pool.second);
        if (owner == with_.identity().host_)
        {
            local_pools_.renew(request);
            continue;
        }
        const auto address = with_.address_of(owner);
        if (!owner.empty() && address)
        {
            co_await ask<empty_reply>(
                with_.peers_, *address, method::renew, request, call_timeout);
        }
    }
}

} // namespace poplarroute::node
