#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include "node/catalog_watcher.hpp"
#include "node/rollout_client.hpp"
#include "tests/platform/lone_member.hpp"

namespace poplarroute::platform
{

/// An entry host that watches a member.
struct watching_host : process
{
    /// \param seeds members that it knows at its start; the first is the
    /// leader.
    watching_host(
        drivers::asio::io_context& io,
        const std::string& address,
        std::vector<std::string> seeds)
        : process(io, address, seeds.front()),
          rollouts_(with_),
          watcher_(with_, codec_, rollouts_)
    {
        board_.section<node::settings_section>().settings_.seeds_ =
            std::move(seeds);
        watcher_.start();
    }

    const node::endpoint_section& list()
    {
        return board_.section<node::endpoint_section>();
    }

    node::rollout_client rollouts_;
    node::catalog_watcher watcher_;
};

/// A group of one member with a long endpoint list.
class endpoint_list_fixture : public ::testing::Test
{
protected:
    static constexpr int endpoints_ = 2'000;

    /// \param name of the test, for its folder.
    endpoint_list_fixture(const std::string& name, std::string member_address)
        : folder_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-" + name + "-" + std::to_string(::getpid()))),
          member_(make_member(member_address))
    {
        for (int index = 0; index < endpoints_; ++index)
        {
            add_endpoint(index);
        }
        publish();
    }

    ~endpoint_list_fixture() override
    {
        std::filesystem::remove_all(folder_);
    }

    void add_endpoint(int index)
    {
        node::listed_endpoint item;
        item.name_ = "i-" + std::to_string(index);
        item.service_ = "depu9b";
        item.address_ = "10.1.64." + std::to_string(index) + ":8066";
        item.zone_ = "zone-a";
        items_.push_back(item);
    }

    /// Lets the member have read the list.
    void publish()
    {
        run_until(
            [this]()
            {
                return member_->controller_->leads();
            });
        node::endpoint_section& section = member_list();
        section.epoch_ = "epoch";
        node::replace_endpoints(section, items_, core::steady_now());
    }

    node::endpoint_section& member_list()
    {
        return member_->board_.section<node::endpoint_section>();
    }

    void run_until(const std::function<bool()>& condition)
    {
        const core::time_point until =
            core::steady_now() + core::duration{10'000};
        while (!condition() && core::steady_now() < until)
        {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(5));
        }
        ASSERT_TRUE(condition());
    }

    void run_until_current(watching_host& host)
    {
        run_until(
            [&]()
            {
                return host.list().revision_ == member_list().revision_ &&
                       host.list().epoch_ == "epoch";
            });
    }

    drivers::asio::io_context io_{1};
    std::filesystem::path folder_;
    std::unique_ptr<lone_member> member_;
    std::vector<node::listed_endpoint> items_;

private:
    std::unique_ptr<lone_member> make_member(const std::string& address)
    {
        std::filesystem::remove_all(folder_);
        return std::make_unique<lone_member>(
            io_, address, address, folder_.string());
    }
};

} // namespace poplarroute::platform
