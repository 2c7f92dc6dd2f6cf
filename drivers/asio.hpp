#pragma once

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

/// Starts a coroutine that nothing waits for. An exception that escapes it ends
/// the process, since only a programming error can cause one.
void spawn(asio::io_context& context, asio::awaitable<void> work);

} // namespace poplarroute::drivers
