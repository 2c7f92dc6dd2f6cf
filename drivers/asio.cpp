#include "drivers/asio.hpp"

#include <exception>
#include <utility>

#include <boost/asio/redirect_error.hpp>

namespace poplarroute::drivers
{

asio::awaitable<void> sleep_for(core::duration span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(span.chrono());
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> throw_if_cancelled()
{
    // Awaiting any coroutine throws in a caller that has been cancelled.
    co_return;
}

void spawn(asio::io_context& context, asio::awaitable<void> work)
{
    asio::co_spawn(
        context,
        std::move(work),
        [](const std::exception_ptr& thrown)
        {
            if (thrown)
            {
                std::rethrow_exception(thrown);
            }
        });
}

} // namespace poplarroute::drivers
