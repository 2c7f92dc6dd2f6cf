#include "node/pool_calls.hpp"

#include "node/messages.hpp"

namespace poplarroute::node
{

void register_pool_calls(context& with, pool_controller& pools)
{
    with.calls_.add_typed<reserve_request, reserve_reply>(
        method::reserve,
        allowed_callers::host,
        [&pools](drivers::peer_identity, reserve_request request)
            -> awaitable<core::result<reserve_reply>>
        {
            reserve_reply reply = co_await pools.reserve(std::move(request));
            co_return reply;
        });
    with.calls_.add_typed<prefilled_request, reserve_reply>(
        method::prefilled,
        allowed_callers::host,
        [&pools](drivers::peer_identity, prefilled_request request)
            -> awaitable<core::result<reserve_reply>>
        {
            reserve_reply reply =
                co_await pools.wait_for_decode_memory(std::move(request));
            co_return reply;
        });
    with.calls_.add_typed<transferred_request, empty_reply>(
        method::transferred,
        allowed_callers::host,
        [&pools](drivers::peer_identity, transferred_request request)
            -> awaitable<core::result<empty_reply>>
        {
            pools.record_transfer(request);
            co_return empty_reply();
        });
    with.calls_.add_typed<end_request, empty_reply>(
        method::end,
        allowed_callers::host,
        [&pools](drivers::peer_identity, end_request request)
            -> awaitable<core::result<empty_reply>>
        {
            pools.end_attempt(request);
            co_return empty_reply();
        });
    with.calls_.add_typed<renew_request, empty_reply>(
        method::renew,
        allowed_callers::host,
        [&pools](drivers::peer_identity, renew_request request)
            -> awaitable<core::result<empty_reply>>
        {
            pools.renew(request);
            co_return empty_reply();
        });
    with.calls_.add_typed<renew_request, empty_reply>(
        method::hand_over,
        allowed_callers::host,
        [&pools](drivers::peer_identity, renew_request request)
            -> awaitable<core::result<empty_reply>>
        {
            pools.take_over(request);
            co_return empty_reply();
        });
}

} // namespace poplarroute::node
