#include "node/placement_guard.hpp"

#include <utility>

namespace poplarroute::node
{

namespace
{

/// Cancels the attempt at the engines, then reports its end to the pool's
/// owner. In the other order, the owner could grant memory that is not free
/// yet.
awaitable<void> release_placement(
    context& with,
    pool_client& pools,
    placement_result placement,
    end_request end_report)
{
    engine_client engines(with.http_);
    for (const std::string& address :
         {placement.reply_.prefill_address_, placement.reply_.decode_address_})
    {
        if (!address.empty())
        {
            const bool freed =
                co_await engines.cancel(address, placement.attempt_);
            end_report.freed_ = end_report.freed_ && freed;
        }
    }
    pools.report_end(placement.zone_, std::move(end_report));
}

} // namespace

placement_guard::placement_guard(
    context& with,
    pool_client& pools,
    core::service_id service,
    placement_result placement,
    std::int64_t pieces,
    std::string key_id)
    : with_(with), pools_(pools), placement_(std::move(placement))
{
    end_report_.service_ = service;
    end_report_.attempt_ = placement_.attempt_;
    running_attempt running;
    running.service_ = std::move(service);
    running.zone_ = placement_.zone_;
    // Promised memory is not held yet, so a new owner must not count it as
    // granted.
    running.decode_ = placement_.reply_.promised_ ? core::endpoint_id()
                                                  : placement_.reply_.decode_;
    running.pieces_ = pieces;
    running.key_ = std::move(key_id);
    with_.board_.section<running_section>().attempts_[placement_.attempt_] =
        std::move(running);
}

placement_guard::~placement_guard()
{
    with_.board_.section<running_section>().attempts_.erase(
        placement_.attempt_);
    if (engines_released_)
    {
        pools_.report_end(placement_.zone_, std::move(end_report_));
        return;
    }
    drivers::spawn_task(
        with_.io_,
        "release_placement",
        release_placement(
            with_, pools_, std::move(placement_), std::move(end_report_)));
}

void placement_guard::confirm_decode(const reserve_reply& chosen)
{
    if (!chosen.decode_.empty())
    {
        placement_.reply_.decode_ = chosen.decode_;
        placement_.reply_.decode_address_ = chosen.decode_address_;
        placement_.reply_.decode_boot_ = chosen.decode_boot_;
    }
    with_.board_.section<running_section>()
        .attempts_[placement_.attempt_]
        .decode_ = placement_.reply_.decode_;
}

} // namespace poplarroute::node
