#include "node/replica.hpp"

#include <filesystem>

#include <gtest/gtest.h>
#include <unistd.h>

namespace poplarroute::node
{
namespace
{

namespace fs = std::filesystem;

constexpr const char* host = "127.0.0.1:19493";

/// Disk of a member in the users' deployments.
constexpr std::uintmax_t disk_bytes = 128ULL * 1024 * 1024;

/// Configuration of 11,000 routes.
constexpr std::size_t catalog_bytes = 2 * 1024 * 1024;
constexpr std::uint64_t versions = 80;

class replica_test : public ::testing::Test
{
protected:
    replica_test()
        : folder_(
              fs::temp_directory_path() /
              ("poplarroute-replica-" + std::to_string(::getpid())))
    {
        fs::remove_all(folder_);
        identity_section& identity = board_.section<identity_section>();
        identity.host_ = host;
        identity.settings_.data_folder_ = folder_.string();
    }

    ~replica_test() override
    {
        fs::remove_all(folder_);
    }

    std::uintmax_t folder_bytes() const
    {
        std::uintmax_t out = 0;
        for (const auto& entry : fs::recursive_directory_iterator(folder_))
        {
            out += entry.is_regular_file() ? entry.file_size() : 0;
        }
        return out;
    }

    /// Submits catalogs one after another.
    awaitable<void> submit_all(catalog_replica& group)
    {
        while (!group.leads())
        {
            co_await drivers::sleep_for(core::duration{20});
        }
        const std::string text(catalog_bytes, 'x');
        for (std::uint64_t version = 1; version <= versions; ++version)
        {
            std::string command = control::encode(control::catalog_command(
                control::submit_catalog{version, text}));
            const auto reply = co_await group.submit(std::move(command));
            EXPECT_TRUE(core::is_ok(reply));
            most_bytes_ = std::max(most_bytes_, folder_bytes());
        }
        io_.stop();
    }

    fs::path folder_;
    drivers::asio::io_context io_{1};
    core::blackboard board_;
    drivers::metrics metrics_;
    call_dispatcher calls_;
    drivers::http_client http_{io_};
    drivers::peer_client peers_{io_, nullptr};
    context with_{io_, board_, peers_, http_, metrics_, calls_};
    std::uintmax_t most_bytes_ = 0;
};

TEST_F(replica_test, many_large_catalogs_do_not_fill_the_disk)
{
    {
        catalog_replica group(with_);
        ASSERT_TRUE(core::is_ok(group.open()));
        control::member_group members;
        members.members_.push_back({host, group.store(), true});
        ASSERT_TRUE(core::is_ok(group.bootstrap(members)));
        group.start();
        drivers::spawn(io_, submit_all(group));
        io_.run();
        EXPECT_EQ(group.state().version(), versions);
    }
    EXPECT_LT(most_bytes_, disk_bytes);
    drivers::disk_contents contents;
    const auto reopened = drivers::disk_log::open(folder_.string(), contents);
    ASSERT_TRUE(core::is_ok(reopened));
    const control::log_index last = contents.entries_.empty()
                                        ? contents.snapshot_.index_
                                        : contents.entries_.back().index_;
    EXPECT_GT(last, versions);
}

} // namespace
} // namespace poplarroute::node
