#include "tests/fakes/fake_common.hpp"

#include <cstdio>
#include <cstdlib>

namespace poplarroute::tests::fakes
{

namespace
{

constexpr int fell_over_status = 9;
constexpr std::size_t borne_when_cold = 2;
constexpr std::int64_t ms_per_second = 1'000;

} // namespace

drivers::asio::awaitable<void> send_json(
    drivers::http_exchange& exchange, int status, nlohmann::json body)
{
    drivers::header_list headers{{"Content-Type", "application/json"}};
    co_await exchange.send(status, std::move(headers), body.dump());
}

cold_start::cold_start(core::duration span)
    : span_(span), began_(core::steady_now())
{
}

void cold_start::begin()
{
    began_ = core::steady_now();
}

bool cold_start::cold() const
{
    return core::steady_now() - began_ < span_;
}

void cold_start::check(std::size_t running)
{
    const core::duration age = core::steady_now() - began_;
    const auto borne =
        borne_when_cold + 2 * static_cast<std::size_t>(age.ms_ / ms_per_second);
    if (cold() && running > borne)
    {
        std::fprintf(
            stderr, "event=fell_over running=%zu borne=%zu\n", running, borne);
        std::_Exit(fell_over_status);
    }
}

bool shows_key(const drivers::http_request& request)
{
    return !drivers::find_header(request.headers_, "Authorization").empty() ||
           request.body_.find("pr_") != std::string::npos;
}

} // namespace poplarroute::tests::fakes
