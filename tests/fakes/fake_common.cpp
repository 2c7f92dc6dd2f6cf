#include "tests/fakes/fake_common.hpp"

#include <cstdio>
#include <cstdlib>

namespace poplarroute::tests::fakes
{

namespace
{

constexpr int overload_exit_status = 9;
constexpr std::size_t tolerated_requests_at_start = 2;
constexpr std::int64_t ms_per_second = 1'000;

} // namespace

std::string attempt_of(const drivers::http_exchange& exchange)
{
    return std::string(
        drivers::find_header(exchange.request().headers_, "X-Attempt-Id"));
}

drivers::asio::awaitable<void> send_json(
    drivers::http_exchange& exchange, int status, nlohmann::json body)
{
    drivers::header_list headers{
        {"Content-Type", "application/json"},
        {"X-Attempt-Id", attempt_of(exchange)}};
    co_await exchange.send(status, std::move(headers), body.dump());
}

cold_start::cold_start(core::duration warm_up_time)
    : warm_up_time_(warm_up_time), started_at_(core::steady_now())
{
}

void cold_start::restart()
{
    started_at_ = core::steady_now();
}

bool cold_start::is_cold() const
{
    return core::steady_now() - started_at_ < warm_up_time_;
}

void cold_start::crash_if_overloaded(std::size_t running_requests)
{
    const core::duration age = core::steady_now() - started_at_;
    const auto tolerated_requests =
        tolerated_requests_at_start +
        2 * static_cast<std::size_t>(age.ms_ / ms_per_second);
    if (is_cold() && running_requests > tolerated_requests)
    {
        std::fprintf(
            stderr,
            "event=fell_over running=%zu borne=%zu\n",
            running_requests,
            tolerated_requests);
        std::_Exit(overload_exit_status);
    }
}

bool contains_api_key(const drivers::http_request& request)
{
    return !drivers::find_header(request.headers_, "Authorization").empty() ||
           request.body_.find("pr_") != std::string::npos;
}

} // namespace poplarroute::tests::fakes
