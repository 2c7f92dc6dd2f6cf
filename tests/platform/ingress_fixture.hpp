#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "drivers/http_server.hpp"
#include "node/ingress_controller.hpp"
#include "platform/catalog_json.hpp"
#include "tests/platform/process.hpp"

namespace poplarroute::platform
{

/// An answer of a stand-in endpoint.
struct stub_answer
{
    int status_ = 200;
    drivers::header_list headers_;
    std::string body_;
};

/// An endpoint that answers each request by a function and keeps the requests.
class stub_endpoint
{
public:
    using answer_function =
        std::function<stub_answer(const drivers::http_request&)>;

    stub_endpoint(
        drivers::asio::io_context& io,
        std::string name,
        std::string address,
        answer_function answer)
        : name_(std::move(name)),
          address_(std::move(address)),
          answer_(std::move(answer)),
          server_(
              io,
              address_,
              drivers::http_limits(),
              [this](drivers::http_exchange& exchange)
              {
                  return handle(exchange);
              })
    {
        server_.start();
    }

    /// \return the number of callers' requests, without housekeeping.
    std::size_t requests() const
    {
        std::size_t out = 0;
        for (const drivers::http_request& item : received_)
        {
            out += item.method_ == "POST" ? 1 : 0;
        }
        return out;
    }

    std::string name_;
    std::string address_;
    answer_function answer_;
    std::vector<drivers::http_request> received_;

private:
    drivers::asio::awaitable<void> handle(drivers::http_exchange& exchange)
    {
        received_.push_back(exchange.request());
        stub_answer out = answer_(exchange.request());
        out.headers_.emplace_back(
            "Attempt-Id",
            std::string(drivers::find_header(
                exchange.request().headers_, "Attempt-Id")));
        co_await exchange.send(
            out.status_, std::move(out.headers_), std::move(out.body_));
    }

    drivers::http_server server_;
};

/// An entry host without a leader, in front of stand-in endpoints: a plain
/// service "desk" and engines "llm" of both stages.
class ingress_fixture : public ::testing::Test
{
protected:
    static constexpr const char* host_address_ = "127.0.0.1:19510";
    static constexpr const char* configuration_ = R"({"version":1,
      "routes":[
        {"name":"s","host":"a.example","pathPrefix":"/llm/","kind":"stream",
         "timeoutMs":3000,"targetLatencyMs":300,"gapAimMs":200,
         "service":"llm","maxAttempts":2,"public":true,"resumable":true},
        {"name":"b","host":"a.example","pathPrefix":"/desk/","kind":"unsafe",
         "timeoutMs":1000,"targetLatencyMs":100,"service":"desk",
         "maxAttempts":1,"public":true}],
      "services":[{"name":"desk"},
        {"name":"llm","engine":{"slots":8,"kvCapTokens":20000,"stride":5}}]})";

    ingress_fixture()
        : host_(io_, "127.0.0.1:19511", "127.0.0.1:19512"),
          rollouts_(host_.with_),
          ingress_(host_.with_, host_.codec_, rollouts_),
          port_(
              io_,
              host_address_,
              drivers::http_limits(),
              [this](drivers::http_exchange& exchange)
              {
                  return ingress_.handle(exchange);
              }),
          caller_(io_)
    {
        node::fleet_bounds& bounds =
            host_.board_.section<node::settings_section>().settings_.bounds_;
        bounds.retry_slack_ = 100;
        host_.board_.section<node::group_section>().hosts_ = 1;
        ingress_.start();
        port_.start();
        core::finding_list findings;
        node::catalog_section& catalog =
            host_.board_.section<node::catalog_section>();
        catalog.view_ = std::make_shared<control::catalog_view>(
            *decode_catalog_json(configuration_, findings));
        for (const auto& changed : catalog.on_change_)
        {
            changed();
        }
    }

    static stub_answer plain_answer(const drivers::http_request&)
    {
        return {200, {{"Server-Stamp", "s"}}, "done"};
    }

    static stub_answer prefill_answer(const drivers::http_request&)
    {
        return {200, {}, R"({"kvHandle":"h","tokens":100,"version":1})"};
    }

    static stub_answer decode_answer(const drivers::http_request&)
    {
        return {
            200,
            {{"Server-Stamp", "s"}, {"Content-Type", "text/event-stream"}},
            "id: 1\ndata: a\n\n"};
    }

    /// Adds an endpoint to the list that the host knows.
    stub_endpoint& add_endpoint(
        std::string name,
        int port,
        std::string service,
        bool reads_prompts,
        stub_endpoint::answer_function answer)
    {
        stubs_.push_back(std::make_unique<stub_endpoint>(
            io_,
            std::move(name),
            "127.0.0.1:" + std::to_string(port),
            std::move(answer)));
        node::listed_endpoint entry;
        entry.name_ = stubs_.back()->name_;
        entry.address_ = stubs_.back()->address_;
        entry.service_ = std::move(service);
        entry.slots_ = 8;
        entry.reads_prompts_ = reads_prompts;
        list_.push_back(std::move(entry));
        put_list();
        return *stubs_.back();
    }

    void put_list()
    {
        node::endpoint_section& section =
            host_.board_.section<node::endpoint_section>();
        node::update_notices(section, list_, core::steady_now());
        node::replace_endpoints(section, list_, core::steady_now());
    }

    /// Sends a caller's request to the host and waits for the response.
    /// \param patience time after which the caller closes the connection.
    /// \param headers besides those that each request has.
    drivers::http_response call(
        const std::string& target,
        core::duration patience = drivers::http_call().timeout_,
        drivers::header_list headers = {})
    {
        drivers::http_response out;
        drivers::spawn(
            io_,
            [](ingress_fixture& test,
               std::string target,
               core::duration patience,
               drivers::header_list headers,
               drivers::http_response& out) -> drivers::asio::awaitable<void>
            {
                drivers::http_call request;
                request.timeout_ = patience;
                request.address_ = host_address_;
                request.method_ = "POST";
                request.target_ = std::move(target);
                request.headers_ = std::move(headers);
                request.headers_.emplace_back("Host", "a.example");
                request.headers_.emplace_back(
                    "Attempt-Id", "a" + std::to_string(++test.attempts_));
                request.headers_.emplace_back("Token-Counts", "100,100");
                request.body_ = "b";
                const auto reply =
                    co_await test.caller_.request(std::move(request));
                if (core::is_ok(reply))
                {
                    out = core::value(reply);
                }
                test.io_.stop();
            }(*this, target, patience, std::move(headers), out));
        io_.restart();
        io_.run();
        return out;
    }

    /// Lets the host run for a time.
    void wait(core::duration time)
    {
        io_.restart();
        io_.run_for(time.chrono());
    }

    /// \return the seconds of a response's Retry-After; -1 without one.
    static double retry_after(const drivers::http_response& response)
    {
        const std::string text(
            drivers::find_header(response.headers_, "Retry-After"));
        return text.empty() ? -1 : std::stod(text);
    }

    drivers::asio::io_context io_{1};
    process host_;
    node::rollout_client rollouts_;
    node::ingress_controller ingress_;
    drivers::http_server port_;
    drivers::http_client caller_;
    std::vector<std::unique_ptr<stub_endpoint>> stubs_;
    std::vector<node::listed_endpoint> list_;
    int attempts_ = 0;
};

} // namespace poplarroute::platform
