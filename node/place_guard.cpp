#include "node/place_guard.hpp"

#include <utility>

namespace poplarroute::node
{

namespace
{

/// Frees the engines' memory first, so that the owner does not give it out
/// before it is free.
awaitable<void> free_place(
    context& with, pool_gateway& pools, placed place, end_request ending)
{
    engine_adapter engines(with.http_);
    for (const std::string& address :
         {place.reply_.prefill_address_, place.reply_.decode_address_})
    {
        if (!address.empty())
        {
            const bool freed = co_await engines.cancel(address, place.attempt_);
            ending.freed_ = ending.freed_ && freed;
        }
    }
    pools.end(place.zone_, std::move(ending));
}

} // namespace

place_guard::place_guard(
    context& with,
    pool_gateway& pools,
    core::service_id service,
    placed place,
    std::int64_t pieces,
    std::string key_id)
    : with_(with), pools_(pools), place_(std::move(place))
{
    ending_.service_ = service;
    ending_.attempt_ = place_.attempt_;
    running_attempt running;
    running.service_ = std::move(service);
    running.zone_ = place_.zone_;
    // Memory that is only promised is not held: a new owner must not take it
    // for given.
    running.decode_ =
        place_.reply_.promised_ ? core::endpoint_id() : place_.reply_.decode_;
    running.pieces_ = pieces;
    running.key_ = std::move(key_id);
    with_.board_.section<running_section>().attempts_[place_.attempt_] =
        std::move(running);
}

place_guard::~place_guard()
{
    with_.board_.section<running_section>().attempts_.erase(place_.attempt_);
    if (finished_)
    {
        pools_.end(place_.zone_, std::move(ending_));
        return;
    }
    drivers::spawn(
        with_.io_,
        free_place(with_, pools_, std::move(place_), std::move(ending_)));
}

void place_guard::confirm_decode(const reserve_reply& chosen)
{
    if (!chosen.decode_.empty())
    {
        place_.reply_.decode_ = chosen.decode_;
        place_.reply_.decode_address_ = chosen.decode_address_;
        place_.reply_.decode_boot_ = chosen.decode_boot_;
    }
    with_.board_.section<running_section>().attempts_[place_.attempt_].decode_ =
        place_.reply_.decode_;
}

} // namespace poplarroute::node
