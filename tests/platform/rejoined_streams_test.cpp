// Streams that callers take up after all hosts have been killed and have come
// back, while engines of several software versions serve.

#include <filesystem>

#include <gtest/gtest.h>
#include <unistd.h>

#include "node/ingress_controller.hpp"
#include "tests/platform/lone_member.hpp"
#include "tests/platform/raw_engine.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;

constexpr const char* member_address = "127.0.0.1:19810";
constexpr const char* next_member_address = "127.0.0.1:19818";
constexpr int first_host_port = 19811;
constexpr int first_engine_port = 19820;
constexpr const char* configuration = R"({"version":1,
  "routes":[
    {"name":"s","host":"a.example","pathPrefix":"/llm/","kind":"stream",
     "timeoutMs":5000,"targetLatencyMs":300,"gapAimMs":200,
     "service":"llm","maxAttempts":2,"public":true,"resumable":true}],
  "services":[
    {"name":"llm","engine":{"slots":8,"kvCapTokens":20000,"stride":5}}]})";

/// An entry host that knows the leader.
struct entry_host : process
{
    entry_host(
        asio::io_context& io,
        std::string address,
        const std::vector<node::listed_endpoint>& list)
        : process(io, address, member_address),
          address_(std::move(address)),
          rollouts_(with_),
          ingress_(with_, codec_, rollouts_),
          port_(
              io,
              address_,
              drivers::http_limits(),
              [this](drivers::http_exchange& exchange)
              {
                  return ingress_.handle(exchange);
              })
    {
        board_.section<node::settings_section>()
            .settings_.bounds_.retry_slack_ = 100;
        node::group_section& group = board_.section<node::group_section>();
        group.hosts_ = 1;
        group.leader_ = member_address;
        group.members_ = {member_address};
        ingress_.start();
        port_.start();
        core::finding_list findings;
        node::catalog_section& catalog =
            board_.section<node::catalog_section>();
        catalog.view_ = std::make_shared<control::catalog_view>(
            *codec_.decode_catalog(configuration, findings));
        for (const auto& changed : catalog.on_change_)
        {
            changed();
        }
        node::replace_endpoints(
            board_.section<node::endpoint_section>(), list, core::steady_now());
    }

    std::string address_; ///< For callers.
    node::rollout_client rollouts_;
    node::ingress_controller ingress_;
    drivers::http_server port_;
};

class rejoined_streams : public ::testing::Test
{
protected:
    rejoined_streams()
        : folder_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-rejoined-" + std::to_string(::getpid()))),
          caller_(io_)
    {
        std::filesystem::remove_all(folder_);
        member_ = std::make_unique<lone_member>(
            io_, member_address, member_address, folder_.string());
        run_until(
            [this]()
            {
                return member_->replica_->leads();
            });
        bool accepted = false;
        drivers::spawn(
            io_,
            [](node::catalog_controller& controller,
               bool& accepted) -> asio::awaitable<void>
            {
                const node::operator_call_result result =
                    co_await controller.submit_text(configuration);
                accepted = result.accepted_;
            }(*member_->controller_, accepted));
        run_until(
            [&accepted]()
            {
                return accepted;
            });
    }

    ~rejoined_streams() override
    {
        std::filesystem::remove_all(folder_);
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        constexpr int max_steps = 5'000;
        for (int step = 0; step < max_steps && !condition(); ++step)
        {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(1));
        }
        ASSERT_TRUE(condition());
    }

    raw_engine& add_engine(const std::string& name, const std::string& version)
    {
        const int port = first_engine_port + static_cast<int>(engines_.size());
        engines_.push_back(std::make_unique<raw_engine>(
            io_, port, broken_stream(), rest_of_stream()));
        node::listed_endpoint entry;
        entry.name_ = name;
        entry.address_ = "127.0.0.1:" + std::to_string(port);
        entry.service_ = "llm";
        entry.slots_ = 8;
        entry.version_ = version;
        list_.push_back(std::move(entry));
        return *engines_.back();
    }

    /// Replaces the host that callers use by one that knows nothing of before.
    void replace_host()
    {
        node::replace_endpoints(
            member_->board_.section<node::endpoint_section>(),
            list_,
            core::steady_now());
        const int port = first_host_port + static_cast<int>(hosts_.size());
        hosts_.push_back(std::make_unique<entry_host>(
            io_, "127.0.0.1:" + std::to_string(port), list_));
    }

    /// \return what a member knows of an attempt's stream.
    node::origin_reply ask_member(
        const std::string& member, const std::string& attempt)
    {
        std::optional<node::origin_reply> out;
        drivers::spawn(
            io_,
            [](process& from,
               std::string member,
               std::string attempt,
               std::optional<node::origin_reply>& out) -> asio::awaitable<void>
            {
                node::origin_request request;
                request.attempt_ = std::move(attempt);
                request.service_ = "llm";
                const auto reply = co_await node::ask<node::origin_reply>(
                    from.with_.peers_,
                    member,
                    node::method::origins_find,
                    request,
                    core::duration{1'000});
                out = core::is_ok(reply) ? core::value(reply)
                                         : node::origin_reply();
            }(*hosts_.back(), member, attempt, out));
        run_until(
            [&out]()
            {
                return out.has_value();
            });
        return *out;
    }

    drivers::http_response call(
        const std::string& attempt, drivers::header_list headers)
    {
        std::optional<drivers::http_response> out;
        headers.emplace_back("Host", "a.example");
        headers.emplace_back("Attempt-Id", attempt);
        headers.emplace_back("Token-Counts", "100,100");
        drivers::spawn(
            io_,
            [](drivers::http_client& caller,
               std::string address,
               drivers::header_list headers,
               std::optional<drivers::http_response>& out)
                -> asio::awaitable<void>
            {
                drivers::http_call request;
                request.address_ = std::move(address);
                request.method_ = "POST";
                request.target_ = "/llm/x";
                request.headers_ = std::move(headers);
                request.body_ = "b";
                const auto reply = co_await caller.request(std::move(request));
                out = core::is_ok(reply) ? core::value(reply)
                                         : drivers::http_response();
            }(caller_, hosts_.back()->address_, std::move(headers), out));
        run_until(
            [&out]()
            {
                return out.has_value();
            });
        return *out;
    }

    asio::io_context io_{1};
    std::filesystem::path folder_;
    std::unique_ptr<lone_member> member_;
    std::vector<node::listed_endpoint> list_;
    std::vector<std::unique_ptr<raw_engine>> engines_;
    std::vector<std::unique_ptr<entry_host>> hosts_;
    drivers::http_client caller_;
};

TEST_F(rejoined_streams, do_not_go_on_at_another_version)
{
    add_engine("i-old", "v1");
    replace_host();
    EXPECT_EQ(call("first", {}).status_, 0);
    EXPECT_EQ(engines_[0]->requests_.size(), 1U);
    list_.clear();
    const raw_engine& other = add_engine("i-new", "v2");
    replace_host();
    const drivers::http_response response =
        call("second", {{"Last-Event-Id", "2"}, {"Resumes", "first"}});
    EXPECT_EQ(response.status_, 503);
    EXPECT_TRUE(other.requests_.empty());
}

TEST_F(rejoined_streams, go_on_at_their_version)
{
    add_engine("i-old", "v1");
    replace_host();
    EXPECT_EQ(call("first", {}).status_, 0);
    list_.clear();
    add_engine("i-new", "v2");
    add_engine("i-new2", "v2");
    const raw_engine& same = add_engine("i-old2", "v1");
    replace_host();
    const drivers::http_response response =
        call("second", {{"Last-Event-Id", "2"}, {"Resumes", "first"}});
    EXPECT_EQ(response.status_, 200);
    EXPECT_EQ(response.body_, stream_event_text(3) + stream_event_text(4));
    EXPECT_EQ(same.requests_.size(), 1U);
}

TEST_F(rejoined_streams, are_reported_to_a_new_leader)
{
    lone_member next(
        io_, next_member_address, next_member_address, folder_.string() + "-2");
    add_engine("i-old", "v1");
    replace_host();
    EXPECT_EQ(call("first", {}).status_, 0);
    EXPECT_EQ(ask_member(member_address, "first").version_, "v1");
    EXPECT_FALSE(ask_member(next_member_address, "first").known_);
    hosts_.back()->board_.section<node::group_section>().leader_ =
        next_member_address;
    run_until(
        [&]()
        {
            return ask_member(next_member_address, "first").known_;
        });
    EXPECT_EQ(ask_member(next_member_address, "first").version_, "v1");
    std::filesystem::remove_all(folder_.string() + "-2");
}

TEST_F(rejoined_streams, are_known_to_members_that_got_a_copy)
{
    add_engine("i-old", "v1");
    replace_host();
    bool copied = false;
    drivers::spawn(
        io_,
        [](process& from, bool& copied) -> asio::awaitable<void>
        {
            node::origins_message item;
            item.origins_.push_back({"other", "llm", "v3", 5'000});
            const auto reply = co_await node::ask<node::origins_reply>(
                from.with_.peers_,
                member_address,
                node::method::origins_replicate,
                item,
                core::duration{1'000});
            copied = core::is_ok(reply);
        }(*hosts_.back(), copied));
    run_until(
        [&copied]()
        {
            return copied;
        });
    EXPECT_EQ(ask_member(member_address, "other").version_, "v3");
}

} // namespace
} // namespace poplarroute::platform
