#include "node/stop_gate.hpp"

#include <boost/asio/redirect_error.hpp>

namespace poplarroute::node
{

namespace asio = drivers::asio;

stop_gate::stop_gate(asio::io_context& io)
    : timer_(io, asio::steady_timer::time_point::max())
{
}

void stop_gate::close_at(core::time_point time)
{
    time_ = time;
    timer_.expires_after((time - core::steady_now()).chrono());
}

asio::awaitable<void> stop_gate::closed()
{
    while (!time_ || core::steady_now() < *time_)
    {
        // Setting the time ends the wait early.
        drivers::error_code woken;
        co_await timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, woken));
    }
}

} // namespace poplarroute::node
