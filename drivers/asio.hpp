#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/clock.hpp"

namespace poplarroute::drivers
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Suspends the calling coroutine.
/// \param span how long.
/// \throws boost::system::system_error when the wait is cancelled.
asio::awaitable<void> sleep_for(core::duration span);

/// Ends the calling coroutine if it has been cancelled. An operation that was
/// cancelled reports an error like one that failed, so this tells them apart.
/// \throws boost::system::system_error when the coroutine has been cancelled.
asio::awaitable<void> throw_if_cancelled();

/// Starts a coroutine that nothing waits for and that parses no input. An
/// exception that escapes it ends the process.
void spawn(asio::io_context& context, asio::awaitable<void> work);

/// Starts a coroutine that handles input once. An exception that escapes it
/// ends nothing else; it is logged and counted.
/// \param name of the task, for the log.
void spawn_task(
    asio::io_context& context,
    std::string_view name,
    asio::awaitable<void> work);

/// Starts a loop that handles input. An exception that escapes it is logged and
/// counted, and the loop starts again after a pause.
/// \param name of the loop, for the log.
/// \param loop starts it; called again after each exception.
void spawn_loop(
    asio::io_context& context,
    std::string_view name,
    std::function<asio::awaitable<void>()> loop);

/// Logs and counts an exception that ended one connection, task or call.
/// \param name of what it ended.
void report_exception(std::string_view name, const std::exception_ptr& thrown);

/// \return the number of exceptions that were reported.
std::uint64_t reported_exceptions();

} // namespace poplarroute::drivers
