// Members of a group whose disks are full for some seconds, never two at once.

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include <gtest/gtest.h>
#include <unistd.h>

#include "node/catalog_controller.hpp"
#include "tests/platform/process.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;
namespace fs = std::filesystem;
using core::duration;
using core::steady_now;
using core::time_point;
using drivers::disk_access;

constexpr std::size_t members = 3;
constexpr int first_port = 19600;
const std::set<disk_access> all_accesses{
    disk_access::open,
    disk_access::write,
    disk_access::sync,
    disk_access::rename};

/// Longer than a member waits before it asks to join its group again.
constexpr duration long_refusal{5'000};
constexpr duration middle_refusal{3'000};
constexpr duration short_refusal{1'500};

/// An election, and a call to a member that cannot answer, come before it.
constexpr duration max_acknowledgement{4'000};
constexpr duration usual_acknowledgement{1'000};
constexpr duration recovery{10'000};

/// Bytes of a comment in each configuration; few of them fill a segment.
std::string configuration(std::uint64_t version, std::size_t bytes)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[],"services":[],"tenants":[]})" +
           std::string(bytes, ' ');
}

std::string address_of(std::size_t index)
{
    return "127.0.0.1:" + std::to_string(first_port + index);
}

/// One process of the group.
struct group_member : listening_process
{
    group_member(
        asio::io_context& io,
        std::size_t index,
        const std::string& folder,
        bool first_start)
        : listening_process(io, address_of(index), address_of(index))
    {
        board_.section<node::identity_section>().settings_.data_folder_ =
            folder;
        auto& settings = board_.section<node::settings_section>().settings_;
        settings.first_start_ = first_start;
        settings.seeds_.clear();
        for (std::size_t seed = 0; seed < members; ++seed)
        {
            settings.seeds_.push_back(address_of(seed));
        }
        control::raft_timing timing{
            duration{100}, duration{450}, duration{450}, duration{120}};
        replica_ = std::make_unique<node::catalog_replica>(with_, timing);
        const auto opened = replica_->open();
        is_open_ = core::is_ok(opened);
        if (!is_open_)
        {
            return;
        }
        controller_ = std::make_unique<node::catalog_controller>(
            with_, *replica_, codec_);
        replica_->start();
        controller_->start();
        port_.start();
    }

    bool is_open_ = false;
    std::unique_ptr<node::catalog_replica> replica_;
    std::unique_ptr<node::catalog_controller> controller_;
};

/// A machine: its process, which may be restarted, and its disk.
struct machine
{
    std::unique_ptr<asio::io_context> io_;
    std::unique_ptr<group_member> member_;
    std::string folder_;
};

class full_disk : public ::testing::Test
{
protected:
    full_disk()
        : folder_(
              fs::temp_directory_path() /
              ("poplarroute-full-" + std::to_string(::getpid())))
    {
        fs::remove_all(folder_);
        drivers::set_disk_fault(
            [this](
                disk_access access,
                const std::string& path,
                std::string_view bytes)
            {
                return refuses(access, path, bytes);
            });
        for (std::size_t index = 0; index < members; ++index)
        {
            machines_[index].folder_ = folder_ / std::to_string(index);
            start(index, true);
        }
    }

    ~full_disk() override
    {
        for (std::size_t index = 0; index < members; ++index)
        {
            stop(index);
        }
        drivers::set_disk_fault({});
        fs::remove_all(folder_);
    }

    bool refuses(
        disk_access access, const std::string& path, std::string_view bytes)
    {
        const std::lock_guard lock(mutex_);
        const bool refused = !full_folder_.empty() &&
                             path.starts_with(full_folder_) &&
                             refused_accesses_.contains(access);
        if (refused && access == disk_access::write)
        {
            // The rest of the room takes half of the record.
            std::ofstream(path, std::ios::binary | std::ios::app)
                << bytes.substr(0, bytes.size() / 2);
        }
        refusals_ += refused ? 1 : 0;
        return refused;
    }

    void fill_disk(
        std::size_t index, std::set<disk_access> accesses = all_accesses)
    {
        const std::lock_guard lock(mutex_);
        full_folder_ = machines_[index].folder_;
        refused_accesses_ = std::move(accesses);
        refusals_ = 0;
    }

    int refusals()
    {
        const std::lock_guard lock(mutex_);
        return refusals_;
    }

    int free_disk()
    {
        const std::lock_guard lock(mutex_);
        full_folder_.clear();
        return refusals_;
    }

    void start(std::size_t index, bool first_start)
    {
        machine& it = machines_[index];
        it.io_ = std::make_unique<asio::io_context>(1);
        it.member_ = std::make_unique<group_member>(
            *it.io_, index, it.folder_, first_start);
        EXPECT_TRUE(it.member_->is_open_)
            << "the process of member " << index << " ended";
        if (!it.member_->is_open_)
        {
            stop(index);
        }
    }

    void stop(std::size_t index)
    {
        submission_ = {};
        machines_[index].member_.reset();
        machines_[index].io_.reset();
    }

    bool runs(std::size_t index) const
    {
        return machines_[index].member_ != nullptr;
    }

    const control::raft& raft(std::size_t index) const
    {
        return *machines_[index].member_->replica_->member();
    }

    bool leads(std::size_t index) const
    {
        return runs(index) && machines_[index].member_->replica_->leads();
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t index = 0; index < members; ++index)
        {
            if (leads(index))
            {
                return index;
            }
        }
        return std::nullopt;
    }

    /// Runs the processes until a condition holds.
    /// \return whether it held in time.
    bool run_until(duration limit, const std::function<bool()>& condition)
    {
        const time_point until = steady_now() + limit;
        while (steady_now() < until)
        {
            if (condition())
            {
                return true;
            }
            for (machine& it : machines_)
            {
                if (it.io_)
                {
                    it.io_->restart();
                    it.io_->poll();
                }
            }
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        }
        return condition();
    }

    struct submission
    {
        std::optional<bool> accepted_;
    };

    /// Submits the next configuration to one member.
    std::shared_ptr<submission> submit(std::size_t index)
    {
        auto out = std::make_shared<submission>();
        drivers::spawn(
            *machines_[index].io_,
            [](node::catalog_controller& controller,
               std::string text,
               std::shared_ptr<submission> out) -> asio::awaitable<void>
            {
                const node::operator_call_result result =
                    co_await controller.submit_text(std::move(text));
                out->accepted_ = result.accepted_;
            }(*machines_[index].member_->controller_,
              configuration(version_ + 1, text_bytes_),
              out));
        return out;
    }

    /// Submits configurations all along, each to the members in turn until it
    /// is acknowledged.
    void submit_for(duration length)
    {
        const time_point until = steady_now() + length;
        run_until(
            length,
            [this, until]()
            {
                continue_submitting();
                return steady_now() >= until;
            });
    }

    /// \return whether a change has been acknowledged; the next one is
    /// submitted by the next call.
    bool continue_submitting()
    {
        slowest_ = std::max(slowest_, steady_now() - unacknowledged_since_);
        if (submission_ && !submission_->accepted_)
        {
            return false;
        }
        if (submission_ && *submission_->accepted_)
        {
            ++version_;
            unacknowledged_since_ = steady_now();
            submission_ = {};
            return true;
        }
        next_member_ = (next_member_ + 1) % members;
        if (runs(next_member_))
        {
            submission_ = submit(next_member_);
        }
        return false;
    }

    void submit_until_acknowledged(duration limit)
    {
        EXPECT_TRUE(run_until(
            limit,
            [this]()
            {
                return continue_submitting();
            }))
            << "no member acknowledges a change";
    }

    void begin()
    {
        ASSERT_TRUE(run_until(
            recovery,
            [this]()
            {
                return leader().has_value();
            }));
        unacknowledged_since_ = steady_now();
        submit_for(duration{300});
        EXPECT_GT(version_, 0U);
        slowest_ = {};
        unacknowledged_since_ = steady_now();
        for (std::size_t index = 0; index < members; ++index)
        {
            stores_[index] = machines_[index].member_->replica_->store();
        }
    }

    bool all_agree() const
    {
        for (std::size_t index = 0; index < members; ++index)
        {
            if (!runs(index) ||
                raft(index).commit_index() != raft(0).commit_index() ||
                machines_[index].member_->replica_->state().version() !=
                    version_)
            {
                return false;
            }
            for (std::size_t voter = 0; voter < members; ++voter)
            {
                if (!raft(index).log().group().is_voter(
                        address_of(voter), stores_[voter]))
                {
                    return false;
                }
            }
        }
        return leader().has_value();
    }

    std::string describe() const
    {
        std::string out = "version " + std::to_string(version_);
        for (std::size_t index = 0; index < members; ++index)
        {
            if (!runs(index))
            {
                out += "; member " + std::to_string(index) + " has ended";
                continue;
            }
            out += "; member " + std::to_string(index) + " version " +
                   std::to_string(
                       machines_[index].member_->replica_->state().version()) +
                   " commit " + std::to_string(raft(index).commit_index()) +
                   " group";
            for (const control::member& item :
                 raft(index).log().group().members_)
            {
                out += " " + item.host_ + "/" + item.store_ +
                       (item.voter_ ? "" : "/learner");
            }
        }
        return out;
    }

    /// Checks that the group is whole again and has lost nothing.
    void expect_recovery()
    {
        submit_until_acknowledged(max_acknowledgement);
        EXPECT_LE(slowest_.ms_, max_acknowledgement.ms_);
        RecordProperty("slowest_ms", std::to_string(slowest_.ms_));
        EXPECT_TRUE(run_until(
            recovery,
            [this]()
            {
                return all_agree();
            }))
            << describe();
        for (std::size_t index = 0; index < members; ++index)
        {
            if (!runs(index))
            {
                continue;
            }
            const auto sent = submit(index);
            run_until(
                usual_acknowledgement,
                [&sent]()
                {
                    return sent->accepted_.has_value();
                });
            EXPECT_TRUE(sent->accepted_.value_or(false))
                << "member " << index << "; " << describe();
            version_ += sent->accepted_.value_or(false) ? 1 : 0;
        }
        for (std::size_t index = 0; index < members; ++index)
        {
            stop(index);
        }
        for (std::size_t index = 0; index < members; ++index)
        {
            start(index, false);
        }
        EXPECT_TRUE(run_until(
            recovery,
            [this]()
            {
                return all_agree();
            }))
            << describe();
    }

    fs::path folder_;
    std::mutex mutex_;
    std::string full_folder_;
    std::set<disk_access> refused_accesses_;
    int refusals_ = 0;
    std::array<machine, members> machines_;
    std::array<std::string, members> stores_;
    std::size_t text_bytes_ = 0;
    std::uint64_t version_ = 0; ///< Newest that is acknowledged.
    std::size_t next_member_ = 0;
    std::shared_ptr<submission> submission_;
    time_point unacknowledged_since_;
    duration slowest_;
};

// Guards against a group that accepts no change after its disks were full.
TEST_F(full_disk, one_disk_after_another_leaves_a_whole_group)
{
    begin();
    for (const duration length : {middle_refusal, short_refusal, short_refusal})
    {
        const std::size_t first = leader().value_or(0);
        for (std::size_t turn = 0; turn < members; ++turn)
        {
            fill_disk((first + turn) % members);
            submit_for(length);
            EXPECT_GT(free_disk(), 0);
            submit_for(duration{200});
        }
    }
    expect_recovery();
}

// Guards against a member that is replaced although its disk is not lost.
TEST_F(full_disk, a_member_keeps_its_place_while_its_disk_is_full)
{
    begin();
    const std::size_t follower = (*leader() + 1) % members;
    fill_disk(follower);
    submit_for(long_refusal);
    for (std::size_t index = 0; index < members; ++index)
    {
        const auto& group = raft(*leader()).log().group();
        EXPECT_TRUE(group.is_voter(address_of(index), stores_[index]))
            << describe();
    }
    free_disk();
    expect_recovery();
}

// Guards against a member that shows an older state once it has room again.
TEST_F(full_disk, a_member_never_shows_an_older_state)
{
    begin();
    const std::size_t follower = (*leader() + 1) % members;
    fill_disk(follower);
    const node::catalog_replica& replica =
        *machines_[follower].member_->replica_;
    std::uint64_t newest = 0;
    bool is_older = false;
    const auto check = [&]()
    {
        continue_submitting();
        is_older = is_older || replica.state().version() < newest;
        newest = std::max(newest, replica.state().version());
        return false;
    };
    run_until(short_refusal, check);
    free_disk();
    run_until(short_refusal, check);
    EXPECT_FALSE(is_older);
    expect_recovery();
}

// Guards against a process that ends because its disk is full at its start.
TEST_F(full_disk, a_process_starts_on_a_full_disk)
{
    begin();
    for (std::size_t index = 0; index < members && !HasFailure(); ++index)
    {
        fill_disk(index);
        submit_for(duration{500});
        stop(index);
        submit_for(duration{200});
        start(index, false);
        submit_for(short_refusal);
        free_disk();
        submit_for(short_refusal);
    }
    expect_recovery();
}

// Guards against a half-written record that a restart finds.
TEST_F(full_disk, a_process_restarts_as_soon_as_there_is_room)
{
    begin();
    for (std::size_t index = 0; index < members; ++index)
    {
        fill_disk(index);
        submit_for(short_refusal);
        stop(index);
        free_disk();
        start(index, false);
        submit_for(short_refusal);
    }
    expect_recovery();
}

// Guards against a member that cannot persist its vote after a failure.
TEST_F(full_disk, a_member_that_could_not_vote_votes_once_it_has_room)
{
    begin();
    const std::size_t old_leader = *leader();
    const std::size_t voter = (old_leader + 1) % members;
    fill_disk(voter);
    stop(old_leader);
    run_until(
        short_refusal,
        []()
        {
            return false;
        });
    EXPECT_FALSE(leader().has_value());
    EXPECT_GT(free_disk(), 0);
    unacknowledged_since_ = steady_now();
    submit_until_acknowledged(max_acknowledgement);
    start(old_leader, false);
    expect_recovery();
}

/// The disk refuses one kind of access only.
class full_disk_access : public full_disk,
                         public ::testing::WithParamInterface<disk_access>
{
};

// Guards against a kind of access whose failure a member does not survive.
// Large configurations make segments roll and snapshots fall due.
TEST_P(full_disk_access, a_refused_access_leaves_a_whole_group)
{
    text_bytes_ = 300'000;
    begin();
    for (int turn = 0; turn < 2; ++turn)
    {
        const std::size_t first = leader().value_or(0);
        fill_disk((first + turn) % members, {GetParam()});
        EXPECT_TRUE(run_until(
            recovery,
            [this]()
            {
                continue_submitting();
                return refusals() > 0;
            }));
        submit_for(short_refusal);
        free_disk();
        submit_for(duration{500});
    }
    expect_recovery();
}

INSTANTIATE_TEST_SUITE_P(
    each,
    full_disk_access,
    ::testing::ValuesIn(all_accesses.begin(), all_accesses.end()));

} // namespace
} // namespace poplarroute::platform
