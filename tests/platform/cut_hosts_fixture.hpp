#pragma once

#include <filesystem>
#include <functional>

#include <gtest/gtest.h>
#include <unistd.h>

#include "node/catalog_watcher.hpp"
#include "node/ingress_controller.hpp"
#include "tests/platform/ingress_fixture.hpp"
#include "tests/platform/lone_member.hpp"
#include "tests/platform/raw_engine.hpp"

namespace poplarroute::platform
{

/// An entry host that watches the leader.
struct cut_host : process
{
    static constexpr const char* configuration_ = R"({"version":1,
      "routes":[
        {"name":"s","host":"a.example","pathPrefix":"/llm/","kind":"stream",
         "timeoutMs":5000,"targetLatencyMs":300,"gapAimMs":200,
         "service":"llm","maxAttempts":2,"public":true,"resumable":true},
        {"name":"b","host":"a.example","pathPrefix":"/desk/","kind":"unsafe",
         "timeoutMs":1500,"targetLatencyMs":100,"service":"desk",
         "maxAttempts":1,"public":false}],
      "tenants":[{"name":"acme","apiKeys":["k"]}],
      "services":[{"name":"desk"},
        {"name":"llm","engine":{"slots":8,"kvCapTokens":20000,"stride":5}}]})";

    /// \param first_port of its listeners: for peers, callers and other hosts.
    cut_host(
        drivers::asio::io_context& io,
        int first_port,
        const std::string& member)
        : process(io, "127.0.0.1:" + std::to_string(first_port), member),
          callers_("127.0.0.1:" + std::to_string(first_port + 1)),
          rollouts_(with_),
          watcher_(with_, codec_, rollouts_),
          ingress_(with_, codec_, rollouts_),
          port_(
              io,
              callers_,
              drivers::http_limits(),
              [this](drivers::http_exchange& exchange)
              {
                  return ingress_.handle(exchange);
              }),
          relay_port_(
              io,
              "127.0.0.1:" + std::to_string(first_port + 2),
              drivers::http_limits(),
              [this](drivers::http_exchange& exchange)
              {
                  ++relayed_;
                  return ingress_.handle_relayed(exchange);
              })
    {
        board_.section<node::reach_section>().relay_address_ =
            "127.0.0.1:" + std::to_string(first_port + 2);
        relay_port_.start();
        node::group_section& group = board_.section<node::group_section>();
        group.leader_ = member;
        group.members_ = {member};
        watcher_.start();
        ingress_.start();
        port_.start();
    }

    std::string callers_; ///< Address for callers.
    node::rollout_client rollouts_;
    node::catalog_watcher watcher_;
    node::ingress_controller ingress_;
    drivers::http_server port_;
    drivers::http_server relay_port_;
    int relayed_ = 0; ///< Requests that other hosts handed to this one.
};

/// A member and two entry hosts, the first of which callers use.
class cut_hosts : public ::testing::Test
{
protected:
    static constexpr const char* member_address_ = "127.0.0.1:19840";
    static constexpr int first_host_port_ = 19841;
    static constexpr int second_host_port_ = 19844;
    static constexpr int first_endpoint_port_ = 19850;

    /// A port at which nobody listens.
    static constexpr const char* closed_address_ = "127.0.0.1:19849";

    cut_hosts()
        : folder_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-cut-" + std::to_string(::getpid()))),
          caller_(io_)
    {
        std::filesystem::remove_all(folder_);
        member_ = std::make_unique<lone_member>(
            io_, member_address_, member_address_, folder_.string());
        allow_retries(*member_);
        run_until(
            [this]()
            {
                return member_->replica_->leads();
            });
        bool accepted = false;
        drivers::spawn(
            io_,
            [](node::catalog_controller& controller,
               bool& accepted) -> drivers::asio::awaitable<void>
            {
                const node::operator_call_result result =
                    co_await controller.submit_text(cut_host::configuration_);
                accepted = result.accepted_;
            }(*member_->controller_, accepted));
        run_until(
            [&accepted]()
            {
                return accepted;
            });
        for (const int port : {first_host_port_, second_host_port_})
        {
            hosts_.push_back(
                std::make_unique<cut_host>(io_, port, member_address_));
            allow_retries(*hosts_.back());
        }
        run_until(
            [this]()
            {
                return hosts_[0]->catalog().view_ != nullptr &&
                       hosts_[1]->catalog().view_ != nullptr;
            });
    }

    ~cut_hosts() override
    {
        std::filesystem::remove_all(folder_);
    }

    static void allow_retries(process& item)
    {
        item.board_.section<node::settings_section>()
            .settings_.bounds_.retry_slack_ = 100;
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        constexpr int max_steps = 8'000;
        for (int step = 0; step < max_steps && !condition(); ++step)
        {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(1));
        }
        ASSERT_TRUE(condition());
    }

    void run_for(core::duration time)
    {
        io_.restart();
        io_.run_for(time.chrono());
    }

    stub_endpoint& add_endpoint(
        const std::string& name,
        const std::string& service,
        bool reads_prompts,
        stub_endpoint::answer_function answer)
    {
        const std::string address =
            "127.0.0.1:" +
            std::to_string(
                first_endpoint_port_ + static_cast<int>(stubs_.size()));
        stubs_.push_back(std::make_unique<stub_endpoint>(
            io_, name, address, std::move(answer)));
        node::listed_endpoint entry;
        entry.name_ = name;
        entry.address_ = address;
        entry.service_ = service;
        entry.slots_ = 8;
        entry.reads_prompts_ = reads_prompts;
        list_.push_back(std::move(entry));
        put_lists(list_);
        return *stubs_.back();
    }

    stub_endpoint& add_desk()
    {
        return add_endpoint(
            "i-desk",
            "desk",
            false,
            [](const drivers::http_request&) -> stub_answer
            {
                return {200, {{"Server-Stamp", "s"}}, "done"};
            });
    }

    stub_endpoint& add_engine()
    {
        return add_endpoint(
            "i-engine",
            "llm",
            false,
            [](const drivers::http_request&) -> stub_answer
            {
                return {
                    200,
                    {{"Server-Stamp", "s"},
                     {"Content-Type", "text/event-stream"}},
                    stream_event_text(1)};
            });
    }

    /// \param first_list the list as the first host sees it.
    void put_lists(const std::vector<node::listed_endpoint>& first_list)
    {
        const auto put = [](process& to, const auto& list)
        {
            node::replace_endpoints(
                to.board_.section<node::endpoint_section>(),
                list,
                core::steady_now());
        };
        put(*member_, list_);
        put(*hosts_[0], first_list);
        put(*hosts_[1], list_);
    }

    /// Lets the first host reach no endpoint: its connections are reset.
    void cut_first_host()
    {
        std::vector<node::listed_endpoint> cut = list_;
        for (node::listed_endpoint& item : cut)
        {
            item.address_ = closed_address_;
        }
        put_lists(cut);
    }

    /// Calls the first host.
    drivers::http_response call(
        const std::string& target, const std::string& attempt)
    {
        std::optional<drivers::http_response> out;
        drivers::spawn(
            io_,
            [](drivers::http_client& caller,
               std::string address,
               std::string target,
               std::string attempt,
               std::optional<drivers::http_response>& out)
                -> drivers::asio::awaitable<void>
            {
                drivers::http_call request;
                request.address_ = std::move(address);
                request.method_ = "POST";
                request.target_ = std::move(target);
                request.headers_ = {
                    {"Host", "a.example"},
                    {"Attempt-Id", attempt},
                    {"Authorization", "Bearer k"},
                    {"Deadline-Ms", "3000"},
                    {"Token-Counts", "100,100"}};
                request.body_ = "b";
                const auto reply = co_await caller.request(std::move(request));
                out = core::is_ok(reply) ? core::value(reply)
                                         : drivers::http_response();
            }(caller_, hosts_[0]->callers_, target, attempt, out));
        run_until(
            [&out]()
            {
                return out.has_value();
            });
        return *out;
    }

    drivers::asio::io_context io_{1};
    std::filesystem::path folder_;
    std::unique_ptr<lone_member> member_;
    std::vector<std::unique_ptr<cut_host>> hosts_;
    std::vector<std::unique_ptr<stub_endpoint>> stubs_;
    std::vector<node::listed_endpoint> list_;
    drivers::http_client caller_;
};

} // namespace poplarroute::platform
