#include "node/pool_gateway.hpp"

#include <algorithm>
#include <utility>

#include "core/digest.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration call_slack{300};
constexpr core::duration end_deadline{1'000};
constexpr core::duration pause{100};
constexpr int end_tries = 3;

reserve_reply no_owner()
{
    reserve_reply reply;
    reply.reason_ = static_cast<int>(policy::refusal_reason::taking_over);
    reply.retry_after_ms_ = 1'000;
    return reply;
}

/// \return whether a refusal for this reason may be over in a moment.
bool is_passing(int reason)
{
    const auto why = static_cast<policy::refusal_reason>(reason);
    return why == policy::refusal_reason::taking_over ||
           why == policy::refusal_reason::none_usable;
}

} // namespace

pool_gateway::pool_gateway(context& with, pool_controller& own)
    : with_(with), own_(own)
{
}

std::vector<core::zone_id> pool_gateway::zones_of(
    const core::service_id& service) const
{
    const control::directory& fleet = with_.directory().fleet_;
    std::set<core::zone_id> able;
    for (const auto& [name, endpoint] : fleet.settings().endpoints_)
    {
        if (endpoint.service_ == service &&
            !fleet.is_zone_out_of_service(endpoint.zone_))
        {
            able.insert(endpoint.zone_);
        }
    }
    std::vector<core::zone_id> out;
    const core::zone_id& home = with_.identity().zone_;
    if (able.erase(home) != 0)
    {
        out.push_back(home);
    }
    std::vector<core::zone_id> others(able.begin(), able.end());
    // Each host and moment begins elsewhere, so that no zone gets it all.
    if (!others.empty())
    {
        const std::uint64_t turn = with_.identity().next_attempt_ +
                                   core::stable_hash(with_.identity().host_);
        std::rotate(
            others.begin(),
            others.begin() + static_cast<std::ptrdiff_t>(turn % others.size()),
            others.end());
    }
    out.insert(out.end(), others.begin(), others.end());
    return out;
}

awaitable<reserve_reply> pool_gateway::reserve_in(
    core::zone_id zone, reserve_request request)
{
    const core::host_id owner = own_.owner_of(zone, request.service_);
    if (owner == with_.identity().host_)
    {
        co_return co_await own_.reserve(std::move(request));
    }
    const auto address = with_.address_of(owner);
    if (owner.empty() || !address)
    {
        co_return no_owner();
    }
    const core::duration wait = core::duration{request.due_in_ms_} + call_slack;
    end_request given_up;
    given_up.service_ = request.service_;
    given_up.attempt_ = request.attempt_;
    const auto reply = co_await ask<reserve_reply>(
        with_.peers_, *address, method::reserve, std::move(request), wait);
    if (core::is_ok(reply))
    {
        co_return core::value(reply);
    }
    if (core::failure(reply).code_ != core::errc::unreachable)
    {
        // It may have been granted without our knowing.
        end(zone, std::move(given_up));
    }
    co_return no_owner();
}

awaitable<placed> pool_gateway::reserve(
    reserve_request request, core::time_point due)
{
    placed best;
    best.reply_ = no_owner();
    best.reply_.reason_ = static_cast<int>(policy::refusal_reason::no_endpoint);
    bool first = true;
    for (;;)
    {
        bool may_change = false;
        for (const core::zone_id& zone : zones_of(request.service_))
        {
            const core::duration left = due - core::steady_now();
            if (left.ms_ <= 0)
            {
                co_return best;
            }
            request.due_in_ms_ = left.ms_;
            request.attempt_.number_ = with_.identity().next_attempt_++;
            placed got;
            got.zone_ = zone;
            got.reply_ = co_await reserve_in(zone, request);
            if (got.reply_.granted_)
            {
                got.attempt_ = request.attempt_;
                co_return got;
            }
            may_change = may_change || is_passing(got.reply_.reason_);
            if (first ||
                got.reply_.retry_after_ms_ < best.reply_.retry_after_ms_)
            {
                best = got;
                first = false;
            }
        }
        if (!may_change)
        {
            co_return best;
        }
        // An owner that is replaced grants again soon, and an endpoint that
        // is down may come back.
        co_await drivers::sleep_for(pause);
    }
}

awaitable<reserve_reply> pool_gateway::prefilled(
    core::zone_id zone, prefilled_request request)
{
    const core::host_id owner = own_.owner_of(zone, request.service_);
    if (owner == with_.identity().host_)
    {
        co_return co_await own_.prefilled(std::move(request));
    }
    const auto address = with_.address_of(owner);
    if (owner.empty() || !address)
    {
        co_return no_owner();
    }
    const core::duration wait = core::duration{request.wait_ms_} + call_slack;
    const auto reply = co_await ask<reserve_reply>(
        with_.peers_, *address, method::prefilled, std::move(request), wait);
    co_return core::is_ok(reply) ? core::value(reply) : no_owner();
}

awaitable<void> pool_gateway::send_end(core::zone_id zone, end_request request)
{
    for (int attempt = 0; attempt < end_tries; ++attempt)
    {
        const core::host_id owner = own_.owner_of(zone, request.service_);
        if (owner == with_.identity().host_)
        {
            own_.end(request);
            co_return;
        }
        const auto address = with_.address_of(owner);
        if (owner.empty() || !address)
        {
            co_return;
        }
        const auto reply = co_await ask<empty_reply>(
            with_.peers_, *address, method::end, request, end_deadline);
        if (core::is_ok(reply))
        {
            co_return;
        }
    }
}

awaitable<void> pool_gateway::send_transferred(
    std::string address, transferred_request request)
{
    // When it is lost, the end of the attempt frees the memory.
    co_await ask<empty_reply>(
        with_.peers_,
        std::move(address),
        method::transferred,
        std::move(request),
        end_deadline);
}

void pool_gateway::transferred(core::zone_id zone, transferred_request request)
{
    const core::host_id owner = own_.owner_of(zone, request.service_);
    const auto address = with_.address_of(owner);
    if (owner == with_.identity().host_)
    {
        own_.transferred(request);
    }
    else if (!owner.empty() && address)
    {
        drivers::spawn(
            with_.io_, send_transferred(*address, std::move(request)));
    }
}

void pool_gateway::end(core::zone_id zone, end_request request)
{
    if (own_.owner_of(zone, request.service_) == with_.identity().host_)
    {
        own_.end(request);
        return;
    }
    drivers::spawn(with_.io_, send_end(std::move(zone), std::move(request)));
}

awaitable<void> pool_gateway::renew_all()
{
    std::map<std::pair<core::zone_id, core::service_id>, renew_request> all;
    for (const auto& [attempt, running] :
         with_.board_.section<running_section>().attempts_)
    {
        renew_request& request = all[{running.zone_, running.service_}];
        request.service_ = running.service_;
        request.places_.push_back({attempt, running.decode_, running.pieces_});
    }
    for (const auto& [pool, request] : all)
    {
        const core::host_id owner = own_.owner_of(pool.first, pool.second);
        if (owner == with_.identity().host_)
        {
            own_.renew(request);
            continue;
        }
        const auto address = with_.address_of(owner);
        if (!owner.empty() && address)
        {
            co_await ask<empty_reply>(
                with_.peers_, *address, method::renew, request, end_deadline);
        }
    }
}

} // namespace poplarroute::node
