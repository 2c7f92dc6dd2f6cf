#include "drivers/asio.hpp"

#include <exception>
#include <string>
#include <utility>

#include <boost/asio/redirect_error.hpp>

#include "drivers/log.hpp"

namespace poplarroute::drivers
{

namespace
{

/// Time between an exception that ended a loop and its next start.
constexpr core::duration loop_restart_delay{100};

std::uint64_t& exception_count()
{
    static std::uint64_t count = 0;
    return count;
}

asio::awaitable<void> repeat(
    std::string_view name, std::function<asio::awaitable<void>()> loop)
{
    for (;;)
    {
        std::exception_ptr thrown;
        try
        {
            co_await loop();
        }
        catch (const std::exception&)
        {
            thrown = std::current_exception();
        }
        if (!thrown)
        {
            co_return;
        }
        report_exception(name, thrown);
        co_await sleep_for(loop_restart_delay);
    }
}

} // namespace

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

void spawn_task(
    asio::io_context& context,
    std::string_view name,
    asio::awaitable<void> work)
{
    asio::co_spawn(
        context,
        std::move(work),
        [name](const std::exception_ptr& thrown)
        {
            if (thrown)
            {
                report_exception(name, thrown);
            }
        });
}

void spawn_loop(
    asio::io_context& context,
    std::string_view name,
    std::function<asio::awaitable<void>()> loop)
{
    spawn(context, repeat(name, std::move(loop)));
}

void report_exception(std::string_view name, const std::exception_ptr& thrown)
{
    ++exception_count();
    std::string problem = "unknown";
    try
    {
        std::rethrow_exception(thrown);
    }
    catch (const std::exception& known)
    {
        problem = known.what();
    }
    catch (...)
    {
    }
    log_event(
        log_level::error,
        "exception_caught",
        {{"in", std::string(name)}, {"problem", problem}});
}

std::uint64_t reported_exceptions()
{
    return exception_count();
}

} // namespace poplarroute::drivers
