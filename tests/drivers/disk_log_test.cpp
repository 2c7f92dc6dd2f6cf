#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <utility>

#include <boost/crc.hpp>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include "drivers/disk_log.hpp"

namespace poplarroute::drivers
{

namespace
{

namespace fs = std::filesystem;

/// Fixture with a data folder that is deleted after the test.
class disk_log_test : public ::testing::Test
{
protected:
    disk_log_test()
        : folder_(
              fs::temp_directory_path() /
              ("poplarroute-disk-" + std::to_string(::getpid())))
    {
        fs::remove_all(folder_);
    }

    ~disk_log_test() override
    {
        fs::remove_all(folder_);
    }

    std::unique_ptr<disk_log> open(disk_contents& contents)
    {
        auto opened = disk_log::open(folder_.string(), contents);
        EXPECT_TRUE(core::is_ok(opened)) << core::failure(opened).message_;
        return core::is_ok(opened) ? std::move(core::value(opened)) : nullptr;
    }

    std::string failure_to_open()
    {
        disk_contents contents;
        const auto opened = disk_log::open(folder_.string(), contents);
        return core::is_ok(opened) ? std::string()
                                   : core::failure(opened).message_;
    }

    static control::raft_actions entries(
        control::log_index first, control::log_index last)
    {
        control::raft_actions actions;
        actions.hard_state_ = control::hard_state{3, "a"};
        for (control::log_index index = first; index <= last; ++index)
        {
            actions.append_.push_back(
                {index,
                 3,
                 control::entry_kind::command,
                 "payload " + std::to_string(index)});
        }
        return actions;
    }

    fs::path last_segment() const
    {
        fs::path last;
        for (const auto& item : fs::directory_iterator(folder_))
        {
            const bool segment =
                item.path().filename().string().starts_with("segment-");
            if (segment && item.path() > last && fs::file_size(item) > 0)
            {
                last = item.path();
            }
        }
        return last;
    }

    fs::path folder_;
};

} // namespace

TEST_F(disk_log_test, reads_back_what_was_written)
{
    disk_contents contents;
    auto log = open(contents);
    EXPECT_TRUE(contents.blank_);
    const std::string store = contents.store_;
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 20))));
    control::raft_actions truncation;
    truncation.truncate_from_ = 11;
    ASSERT_TRUE(core::is_ok(log->write(truncation)));
    log.reset();
    disk_contents reopened_contents;
    open(reopened_contents);
    EXPECT_EQ(reopened_contents.store_, store);
    EXPECT_FALSE(reopened_contents.blank_);
    EXPECT_EQ(reopened_contents.hard_state_.term_, 3U);
    EXPECT_EQ(reopened_contents.hard_state_.voted_for_, "a");
    ASSERT_EQ(reopened_contents.entries_.size(), 10U);
    EXPECT_EQ(reopened_contents.entries_.back().payload_, "payload 10");
}

TEST_F(disk_log_test, cuts_a_torn_tail_at_every_byte)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 3))));
    const fs::path path = last_segment();
    log.reset();
    std::ifstream in(path, std::ios::binary);
    const std::string whole(std::istreambuf_iterator<char>(in), {});
    const std::string store = contents.store_;
    for (std::size_t size = whole.size() - 1; size > 0; size -= 5)
    {
        fs::remove_all(folder_);
        fs::create_directories(folder_);
        std::ofstream(folder_ / "store-id") << store;
        std::ofstream(path, std::ios::binary) << whole.substr(0, size);
        disk_contents read;
        auto reopened = open(read);
        ASSERT_NE(reopened, nullptr) << size;
        ASSERT_LT(read.entries_.size(), 3U);
        // Entries after the cut are written and read as usual.
        const auto next = read.entries_.size() + 1;
        ASSERT_TRUE(core::is_ok(reopened->write(entries(next, next))));
        reopened.reset();
        disk_contents reread;
        open(reread);
        ASSERT_EQ(reread.entries_.size(), next);
        if (size < 5)
        {
            break;
        }
    }
}

// Guards against a record that is read although a byte of it has changed, where
// it can still be decoded.
TEST_F(disk_log_test, an_entry_with_a_changed_byte_is_not_read)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 3))));
    const fs::path path = last_segment();
    log.reset();
    std::ifstream in(path, std::ios::binary);
    std::string bytes(std::istreambuf_iterator<char>(in), {});
    const std::size_t at = bytes.rfind("payload 3");
    ASSERT_NE(at, std::string::npos);
    bytes[at] = 'P';
    std::ofstream(path, std::ios::binary) << bytes;
    disk_contents read;
    open(read);
    ASSERT_EQ(read.entries_.size(), 2U);
    EXPECT_EQ(read.entries_.back().payload_, "payload 2");
}

TEST_F(disk_log_test, reports_the_offset_of_damage_before_the_end)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 20))));
    const fs::path path = last_segment();
    log.reset();
    std::fstream file(path, std::ios::binary | std::ios::in | std::ios::out);
    const auto middle = static_cast<std::streamoff>(fs::file_size(path) / 2);
    file.seekp(middle);
    file.put('\x5a');
    file.put('\x5a');
    file.close();
    const std::string message = failure_to_open();
    EXPECT_NE(message.find("damaged at byte"), std::string::npos) << message;
    EXPECT_NE(message.find("replace this member"), std::string::npos)
        << message;
}

// The number of a record with a valid checksum may still be out of range; the
// member must report it and not end by an exception.
TEST_F(disk_log_test, reports_a_truncation_at_an_index_out_of_range)
{
    disk_contents contents;
    open(contents);
    const std::string record = "t" + std::string(30, '9');
    boost::crc_32_type crc;
    crc.process_bytes(record.data(), record.size());
    const std::array<std::uint32_t, 2> head{
        static_cast<std::uint32_t>(record.size()), crc.checksum()};
    std::ofstream file(last_segment(), std::ios::binary);
    file.write(
        reinterpret_cast<const char*>(head.data()),
        static_cast<std::streamsize>(sizeof(head)));
    file << record << record;
    file.close();
    EXPECT_NE(failure_to_open().find("damaged at byte"), std::string::npos);
}

TEST_F(disk_log_test, refuses_a_log_without_its_store_id)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 2))));
    log.reset();
    fs::remove(folder_ / "store-id");
    EXPECT_NE(failure_to_open().find("missing"), std::string::npos);
}

TEST_F(disk_log_test, a_snapshot_replaces_older_segments)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 200))));
    const control::snapshot snapshot{
        150, 3, {{{"a", contents.store_, true}}}, "state"};
    ASSERT_TRUE(core::is_ok(log->write_snapshot(snapshot)));
    ASSERT_TRUE(core::is_ok(log->write(entries(201, 210))));
    log.reset();
    disk_contents reopened_contents;
    open(reopened_contents);
    EXPECT_EQ(reopened_contents.snapshot_.index_, 150U);
    EXPECT_EQ(reopened_contents.snapshot_.state_, "state");
    EXPECT_EQ(reopened_contents.hard_state_.term_, 3U);
    ASSERT_EQ(reopened_contents.entries_.size(), 60U);
    EXPECT_EQ(reopened_contents.entries_.front().index_, 151U);
}

TEST_F(disk_log_test, an_installed_snapshot_drops_a_log_that_conflicts)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 20))));
    control::raft_actions actions;
    actions.install_snapshot_ =
        control::snapshot{15, 9, {{{"a", contents.store_, true}}}, "leader's"};
    ASSERT_TRUE(core::is_ok(log->write(actions)));
    log.reset();
    disk_contents reopened_contents;
    open(reopened_contents);
    EXPECT_EQ(reopened_contents.snapshot_.index_, 15U);
    EXPECT_TRUE(reopened_contents.entries_.empty());
}

TEST_F(disk_log_test, a_failed_write_loses_no_earlier_entries)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 5))));
    rlimit before{};
    ::getrlimit(RLIMIT_FSIZE, &before);
    const auto ignored = std::signal(SIGXFSZ, SIG_IGN);
    rlimit limited = before;
    limited.rlim_cur = fs::file_size(last_segment()) + 100;
    ::setrlimit(RLIMIT_FSIZE, &limited);
    const auto written = log->write(entries(6, 60));
    ::setrlimit(RLIMIT_FSIZE, &before);
    std::signal(SIGXFSZ, ignored);
    ASSERT_FALSE(core::is_ok(written));
    EXPECT_EQ(core::failure(written).code_, core::errc::storage);
    log.reset();
    disk_contents reopened_contents;
    open(reopened_contents);
    EXPECT_GE(reopened_contents.entries_.size(), 5U);
}

/// Refuses accesses to the disk while it lives.
class refusing_disk
{
public:
    /// \param decide whether to refuse an access. Half of the bytes of a
    /// refused write reach the file.
    explicit refusing_disk(
        std::function<bool(disk_access access, std::string_view bytes)> decide)
    {
        set_disk_fault(
            [decide = std::move(decide)](
                disk_access access,
                const std::string& path,
                std::string_view bytes)
            {
                const bool refused = decide(access, bytes);
                if (refused && access == disk_access::write)
                {
                    std::ofstream(path, std::ios::binary | std::ios::app)
                        << bytes.substr(0, bytes.size() / 2);
                }
                return refused;
            });
    }

    ~refusing_disk()
    {
        set_disk_fault({});
    }
};

// Guards against a log that a single refused access leaves unreadable or
// without an acknowledged entry: each access of an append, a roll of the
// segment, a snapshot and an installed snapshot is refused in turn.
TEST_F(disk_log_test, any_refused_access_loses_nothing_acknowledged)
{
    constexpr std::size_t bytes_of_a_segment = 9 * 1024 * 1024;
    using operation = std::function<core::result<core::done>(disk_log&)>;
    const auto write = [](control::raft_actions actions) -> operation
    {
        return [actions = std::move(actions)](disk_log& log)
        {
            return log.write(actions);
        };
    };
    control::raft_actions large = entries(6, 6);
    large.append_[0].payload_.assign(bytes_of_a_segment, 'x');
    control::raft_actions installed;
    installed.install_snapshot_ =
        control::snapshot{20, 3, {{{"a", "s", true}}}, "leader's"};
    const std::vector<operation> operations{
        write(entries(1, 5)),
        write(large),
        write(entries(7, 9)),
        [](disk_log& log)
        {
            return log.write_snapshot({8, 3, {{{"a", "s", true}}}, "state"});
        },
        write(entries(10, 12)),
        write(installed),
        write(entries(21, 22))};
    constexpr std::array<control::log_index, 8> last{0, 5, 6, 9, 9, 12, 20, 22};
    int refused = 0;
    for (bool was_refused = true; was_refused; ++refused)
    {
        SCOPED_TRACE("access " + std::to_string(refused));
        fs::remove_all(folder_);
        int count = 0;
        bool is_full = false;
        bool has_finished = false;
        was_refused = false;
        const refusing_disk disk(
            [&](disk_access, std::string_view)
            {
                is_full = !has_finished && (is_full || count++ == refused);
                was_refused = was_refused || is_full;
                return is_full;
            });
        std::size_t next = 0;
        while (next < operations.size())
        {
            disk_contents contents;
            auto opened = disk_log::open(folder_.string(), contents);
            if (core::is_ok(opened))
            {
                const control::log_index read =
                    contents.snapshot_.index_ + contents.entries_.size();
                ASSERT_GE(read, last[next]);
                while (next < operations.size() &&
                       core::is_ok(operations[next](*core::value(opened))))
                {
                    ++next;
                }
            }
            if (next < operations.size())
            {
                ASSERT_TRUE(is_full);
                disk_contents unused;
                disk_log::open(folder_.string(), unused);
                disk_log::open(folder_.string(), unused);
                is_full = false;
                count = refused + 1;
            }
        }
        has_finished = true;
        disk_contents contents;
        open(contents);
        EXPECT_EQ(contents.snapshot_.index_, 20U);
        EXPECT_EQ(contents.entries_.size(), 2U);
        EXPECT_EQ(contents.hard_state_.term_, 3U);
    }
    EXPECT_GT(refused, 20);
}

// Guards against an entry that a member reads from the page cache after a
// failed sync and acknowledges, and that a loss of power then takes away.
TEST_F(disk_log_test, entries_read_after_a_failed_sync_are_written_again)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 5))));
    {
        const refusing_disk disk(
            [](disk_access access, std::string_view)
            {
                return access == disk_access::sync;
            });
        ASSERT_FALSE(core::is_ok(log->write(entries(6, 6))));
    }
    log.reset();
    std::string unsynced;
    std::string synced;
    const refusing_disk disk(
        [&](disk_access access, std::string_view bytes)
        {
            unsynced += bytes;
            if (access == disk_access::sync)
            {
                synced += std::exchange(unsynced, "");
            }
            return false;
        });
    disk_contents reopened_contents;
    open(reopened_contents);
    const bool is_read = reopened_contents.entries_.size() == 6;
    const bool is_written = synced.find("payload 6") != std::string::npos;
    EXPECT_EQ(is_read, is_written);
}

// Guards against one more file for each attempt to open a full disk.
TEST_F(disk_log_test, attempts_to_open_a_full_disk_leave_no_files)
{
    disk_contents contents;
    auto log = open(contents);
    ASSERT_TRUE(core::is_ok(log->write(entries(1, 5))));
    log.reset();
    const auto files = [this]()
    {
        return std::distance(fs::directory_iterator(folder_), {});
    };
    const auto before = files();
    const refusing_disk disk(
        [](disk_access access, std::string_view)
        {
            return access == disk_access::write;
        });
    for (int attempt = 0; attempt < 10; ++attempt)
    {
        disk_contents unused;
        disk_log::open(folder_.string(), unused);
    }
    EXPECT_LE(files(), before + 1);
}

} // namespace poplarroute::drivers
