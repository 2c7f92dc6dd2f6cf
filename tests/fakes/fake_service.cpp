// A stand-in for a plain service, such as one that takes bookings. It counts
// how often each call ran, by the "id" in its body.

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
    fake_service(core::duration takes, core::duration cold)
        : takes_(takes), boot_(core::random_hex(8)), cold_(cold)
    {
    }

    awaitable<void> answer(drivers::http_exchange& exchange)
    {
        const drivers::http_request& request = exchange.request();
        saw_key_ = saw_key_ || shows_key(request);
        if (request.target_ == "/report")
        {
            json report{{"boot", boot_}, {"running", running_}};
            report["held"] = json::array();
            co_await send_json(exchange, 200, std::move(report));
            co_return;
        }
        if (request.target_.starts_with("/events"))
        {
            json none{{"next", 0}};
            none["events"] = json::array();
            co_await send_json(exchange, 200, std::move(none));
            co_return;
        }
        if (request.target_ == "/stats")
        {
            json stats{{"runs", runs_}, {"saw_key", saw_key_}};
            stats["boot"] = boot_;
            co_await send_json(exchange, 200, std::move(stats));
            co_return;
        }
        if (request.target_ == "/fault")
        {
            takes_.ms_ = json::parse(request.body_).value("takes_ms", 0);
            co_await send_json(exchange, 200, nothing_);
            co_return;
        }
        co_await run(exchange);
    }

private:
    awaitable<void> run(drivers::http_exchange& exchange)
    {
        const json body = json::parse(exchange.request().body_, nullptr, false);
        const std::string id =
            body.is_object() ? body.value("id", "none") : "none";
        ++running_;
        cold_.check(running_);
        const int times = ++runs_[id];
        if (exchange.request().method_ != "GET")
        {
            std::cout << "ran " << id << std::endl;
        }
        co_await drivers::sleep_for(takes_);
        --running_;
        json done{{"id", id}, {"run", times}};
        co_await send_json(exchange, 200, std::move(done));
    }

    core::duration takes_;
    std::string boot_;
    cold_start cold_;
    std::size_t running_ = 0;
    std::map<std::string, int> runs_;
    bool saw_key_ = false;
    json nothing_ = json::object();
};

} // namespace

} // namespace poplarroute::tests::fakes

int main(int argc, char** argv)
{
    namespace fakes = poplarroute::tests::fakes;
    namespace drivers = poplarroute::drivers;
    cxxopts::Options options("fake_service", "A stand-in for a service.");
    options.add_options()("listen", "ip:port", cxxopts::value<std::string>())(
        "takes-ms", "per call", cxxopts::value<int>()->default_value("20"))(
        "cold-ms", "cold start", cxxopts::value<int>()->default_value("0"));
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
            return service.answer(exchange);
        });
    server.start();
    io.run();
    return 0;
}
