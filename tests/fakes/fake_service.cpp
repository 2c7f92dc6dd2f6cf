// A fake plain service, such as one that takes bookings. It counts how often
// each call was executed, by the "id" in the call's body.

#include <iostream>
#include <map>

#include <cxxopts.hpp>

#include "core/digest.hpp"
#include "tests/fakes/fake_common.hpp"

namespace poplarroute::tests::fakes
{

namespace
{

namespace asio = drivers::asio;
using asio::awaitable;
using nlohmann::json;

class fake_service
{
public:
    fake_service(core::duration call_duration, core::duration warm_up_time)
        : call_duration_(call_duration),
          boot_(core::random_hex(8)),
          cold_start_(warm_up_time)
    {
    }

    awaitable<void> handle_request(drivers::http_exchange& exchange)
    {
        const drivers::http_request& request = exchange.request();
        received_api_key_ = received_api_key_ || contains_api_key(request);
        if (request.target_ == "/report")
        {
            json report{{"boot", boot_}, {"running", running_calls_}};
            report["held"] = json::array();
            co_await send_json(exchange, 200, std::move(report));
            co_return;
        }
        if (request.target_.starts_with("/events"))
        {
            json no_events{{"next", 0}};
            no_events["events"] = json::array();
            co_await send_json(exchange, 200, std::move(no_events));
            co_return;
        }
        if (request.target_ == "/stats")
        {
            json stats{
                {"runs", executions_by_id_}, {"saw_key", received_api_key_}};
            stats["boot"] = boot_;
            co_await send_json(exchange, 200, std::move(stats));
            co_return;
        }
        if (request.target_ == "/fault")
        {
            call_duration_.ms_ =
                json::parse(request.body_).value("takes_ms", 0);
            co_await send_json(exchange, 200, empty_object_);
            co_return;
        }
        co_await execute_call(exchange);
    }

private:
    awaitable<void> execute_call(drivers::http_exchange& exchange)
    {
        const json body = json::parse(exchange.request().body_, nullptr, false);
        const std::string id =
            body.is_object() ? body.value("id", "none") : "none";
        ++running_calls_;
        cold_start_.crash_if_overloaded(running_calls_);
        const int execution_count = ++executions_by_id_[id];
        if (exchange.request().method_ != "GET")
        {
            std::cout << "ran " << id << std::endl;
        }
        co_await drivers::sleep_for(call_duration_);
        --running_calls_;
        json reply{{"id", id}, {"run", execution_count}};
        co_await send_json(exchange, 200, std::move(reply));
    }

    core::duration call_duration_;
    std::string boot_;
    cold_start cold_start_;
    std::size_t running_calls_ = 0;
    std::map<std::string, int> executions_by_id_;
    bool received_api_key_ = false;
    json empty_object_ = json::object();
};

} // namespace

} // namespace poplarroute::tests::fakes

int main(int argc, char** argv)
{
    namespace fakes = poplarroute::tests::fakes;
    namespace drivers = poplarroute::drivers;
    cxxopts::Options options("fake_service", "A fake plain service.");
    options.add_options()(
        "listen",
        "address to listen on, ip:port",
        cxxopts::value<std::string>())(
        "takes-ms",
        "duration of a call in ms",
        cxxopts::value<int>()->default_value("20"))(
        "cold-ms",
        "warm-up time in ms",
        cxxopts::value<int>()->default_value("0"));
    const auto given = options.parse(argc, argv);
    drivers::asio::io_context io(1);
    fakes::fake_service service(
        {given["takes-ms"].as<int>()}, {given["cold-ms"].as<int>()});
    drivers::http_server server(
        io,
        given["listen"].as<std::string>(),
        drivers::http_limits(),
        [&](drivers::http_exchange& exchange)
        {
            return service.handle_request(exchange);
        });
    server.start();
    io.run();
    return 0;
}
