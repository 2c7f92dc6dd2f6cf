#include "drivers/disk_log.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <map>
#include <optional>
#include <utility>

#include <boost/crc.hpp>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/digest.hpp"
#include "drivers/host_settings.hpp"

namespace poplarroute::drivers
{

namespace
{

namespace fs = std::filesystem;
using core::done;
using core::errc;
using core::error;
using core::result;

constexpr std::size_t frame_bytes = 8;
constexpr std::size_t segment_bytes = 8 * 1024 * 1024;
constexpr std::size_t store_id_bytes = 12;
constexpr mode_t file_mode = 0600;
constexpr const char* store_name = "store-id";
constexpr const char* snapshot_name = "snapshot";
constexpr std::string_view segment_prefix = "segment-";
constexpr int number_width = 20;

enum class record_kind : char
{
    hard_state = 'h',
    entry = 'e',
    truncate = 't',
};

error failed(const std::string& what, const fs::path& path)
{
    return {errc::storage, what + " " + path.string() + ": " + strerror(errno)};
}

std::uint32_t crc_of(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

void put_u32(std::string& out, std::uint32_t number)
{
    std::array<char, sizeof(number)> bytes{};
    std::memcpy(bytes.data(), &number, sizeof(number));
    out.append(bytes.data(), bytes.size());
}

std::uint32_t get_u32(std::string_view bytes)
{
    std::uint32_t number = 0;
    std::memcpy(&number, bytes.data(), sizeof(number));
    return number;
}

void frame(std::string& out, std::string_view payload)
{
    put_u32(out, static_cast<std::uint32_t>(payload.size()));
    put_u32(out, crc_of(payload));
    out += payload;
}

/// A file handle that closes itself.
class file_handle
{
public:
    file_handle() = default;

    explicit file_handle(int number) : number_(number) {}

    file_handle(file_handle&& other) noexcept
        : number_(std::exchange(other.number_, -1))
    {
    }

    file_handle& operator=(file_handle&& other) noexcept
    {
        std::swap(number_, other.number_);
        return *this;
    }

    ~file_handle()
    {
        if (number_ >= 0)
        {
            ::close(number_);
        }
    }

    int number() const
    {
        return number_;
    }

private:
    int number_ = -1;
};

result<done> write_all(int file, std::string_view bytes, const fs::path& path)
{
    while (!bytes.empty())
    {
        const ssize_t size = ::write(file, bytes.data(), bytes.size());
        if (size < 0 && errno == EINTR)
        {
            continue;
        }
        if (size <= 0)
        {
            return failed("cannot write", path);
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return done();
}

result<done> sync_folder(const fs::path& folder)
{
    const file_handle handle(::open(folder.c_str(), O_RDONLY | O_DIRECTORY));
    if (handle.number() < 0 || ::fsync(handle.number()) != 0)
    {
        return failed("cannot sync", folder);
    }
    return done();
}

/// Writes a file so that it is there whole or not at all.
result<done> replace_file(const fs::path& path, std::string_view bytes)
{
    const fs::path fresh = path.string() + ".new";
    {
        const file_handle handle(::open(
            fresh.c_str(),
            O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
            file_mode));
        if (handle.number() < 0)
        {
            return failed("cannot open", fresh);
        }
        const result<done> written = write_all(handle.number(), bytes, fresh);
        if (!core::is_ok(written))
        {
            return written;
        }
        if (::fsync(handle.number()) != 0)
        {
            return failed("cannot sync", fresh);
        }
    }
    if (::rename(fresh.c_str(), path.c_str()) != 0)
    {
        return failed("cannot rename", fresh);
    }
    return sync_folder(path.parent_path());
}

std::string segment_name(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, number_width - digits.size(), '0');
    return std::string(segment_prefix) + digits;
}

std::vector<fs::path> segments_in(const fs::path& folder)
{
    std::vector<fs::path> out;
    for (const auto& item : fs::directory_iterator(folder))
    {
        if (item.path().filename().string().starts_with(segment_prefix))
        {
            out.push_back(item.path());
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::uint64_t number_of(const fs::path& segment)
{
    return std::stoull(
        segment.filename().string().substr(segment_prefix.size()));
}

/// Replays records into the contents of a folder.
class replayer
{
public:
    explicit replayer(disk_contents& into) : into_(into) {}

    /// \return whether the record made sense.
    bool take(std::string_view payload)
    {
        const auto kind = static_cast<record_kind>(payload.front());
        const std::string_view bytes = payload.substr(1);
        switch (kind)
        {
        case record_kind::hard_state:
            return take_hard_state(bytes);
        case record_kind::entry:
            return take_entry(bytes);
        case record_kind::truncate:
            return take_truncate(bytes);
        }
        return false;
    }

    /// Moves the entries after the snapshot into the contents.
    /// \return whether they follow it without a gap.
    bool finish()
    {
        drop_conflicting();
        control::log_index next = into_.snapshot_.index_ + 1;
        for (auto& [index, entry] : entries_)
        {
            if (index < next)
            {
                continue;
            }
            if (index != next)
            {
                return false;
            }
            into_.entries_.push_back(std::move(entry));
            ++next;
        }
        return true;
    }

private:
    /// A crash between a leader's snapshot and the end of the log that it
    /// replaced leaves entries that do not follow the snapshot.
    void drop_conflicting()
    {
        const auto last = entries_.find(into_.snapshot_.index_);
        if (last != entries_.end() &&
            last->second.term_ != into_.snapshot_.term_)
        {
            entries_.erase(last, entries_.end());
        }
    }

    bool take_hard_state(std::string_view bytes)
    {
        const auto state = control::decode_hard_state(bytes);
        if (state)
        {
            into_.hard_state_ = *state;
        }
        return state.has_value();
    }

    bool take_entry(std::string_view bytes)
    {
        auto entry = control::decode_entry(bytes);
        if (entry)
        {
            entries_[entry->index_] = std::move(*entry);
        }
        return entry.has_value();
    }

    bool take_truncate(std::string_view bytes)
    {
        const std::string digits(bytes);
        if (digits.empty() ||
            digits.find_first_not_of("0123456789") != std::string::npos)
        {
            return false;
        }
        entries_.erase(
            entries_.lower_bound(std::stoull(digits)), entries_.end());
        return true;
    }

    disk_contents& into_;
    std::map<control::log_index, control::log_entry> entries_;
};

/// Reads one segment.
/// \param last whether a torn end may be cut off.
/// \return how many bytes of it are good.
result<std::size_t> replay_segment(
    const fs::path& path, bool last, replayer& into)
{
    const std::optional<std::string> text = read_file(path.string());
    if (!text)
    {
        return failed("cannot read", path);
    }
    std::size_t at = 0;
    while (at < text->size())
    {
        const std::string_view rest = std::string_view(*text).substr(at);
        const std::size_t size = rest.size() >= frame_bytes ? get_u32(rest) : 0;
        const bool whole = size > 0 && rest.size() - frame_bytes >= size;
        const std::string_view payload =
            whole ? rest.substr(frame_bytes, size) : std::string_view();
        if (whole && crc_of(payload) == get_u32(rest.substr(4)) &&
            into.take(payload))
        {
            at += frame_bytes + size;
            continue;
        }
        const bool zeros =
            rest.find_first_not_of('\0') == std::string_view::npos;
        const bool reaches_end = !whole || rest.size() == frame_bytes + size;
        if (last && (zeros || reaches_end))
        {
            return at;
        }
        return error{
            errc::storage,
            path.string() + " is damaged at byte " + std::to_string(at) +
                ": move the folder away and replace this member"};
    }
    return at;
}

class file_log final : public disk_log
{
public:
    explicit file_log(fs::path folder) : folder_(std::move(folder)) {}

    result<done> load(disk_contents& contents)
    {
        const result<done> named = load_store_id(contents);
        if (!core::is_ok(named))
        {
            return named;
        }
        const result<done> taken = load_snapshot(contents);
        if (!core::is_ok(taken))
        {
            return taken;
        }
        const result<done> replayed = load_segments(contents);
        if (!core::is_ok(replayed))
        {
            return replayed;
        }
        contents.blank_ = contents.snapshot_.index_ == 0 &&
                          contents.entries_.empty() &&
                          contents.hard_state_.term_ == 0;
        hard_state_ = contents.hard_state_;
        return open_segment(next_segment_);
    }

    result<done> write(const control::raft_actions& actions) override
    {
        std::string records;
        if (actions.hard_state_)
        {
            hard_state_ = *actions.hard_state_;
            add(records, record_kind::hard_state, encode(hard_state_));
        }
        if (actions.install_snapshot_)
        {
            const result<done> written =
                install(*actions.install_snapshot_, records);
            if (!core::is_ok(written))
            {
                return written;
            }
        }
        if (actions.truncate_from_)
        {
            add(records,
                record_kind::truncate,
                std::to_string(*actions.truncate_from_));
        }
        for (const control::log_entry& entry : actions.append_)
        {
            add(records, record_kind::entry, encode(entry));
        }
        return append(records);
    }

    result<done> write_snapshot(const control::snapshot& taken) override
    {
        std::string bytes;
        frame(bytes, encode(taken));
        const result<done> written =
            replace_file(folder_ / snapshot_name, bytes);
        if (!core::is_ok(written))
        {
            return written;
        }
        return drop_segments();
    }

private:
    static void add(std::string& out, record_kind kind, const std::string& text)
    {
        frame(out, static_cast<char>(kind) + text);
    }

    result<done> load_store_id(disk_contents& contents)
    {
        const fs::path path = folder_ / store_name;
        if (fs::exists(path))
        {
            contents.store_ = read_file(path.string()).value_or("");
        }
        if (!contents.store_.empty())
        {
            return done();
        }
        if (!segments_in(folder_).empty() ||
            fs::exists(folder_ / snapshot_name))
        {
            return error{
                errc::storage,
                path.string() + " is missing beside a log: move the folder "
                                "away and replace this member"};
        }
        contents.store_ = core::random_hex(store_id_bytes);
        return replace_file(path, contents.store_);
    }

    result<done> load_snapshot(disk_contents& contents)
    {
        const fs::path path = folder_ / snapshot_name;
        if (!fs::exists(path))
        {
            return done();
        }
        const std::string text = read_file(path.string()).value_or("");
        const std::string_view view(text);
        const bool framed =
            view.size() > frame_bytes &&
            get_u32(view) == view.size() - frame_bytes &&
            get_u32(view.substr(4)) == crc_of(view.substr(frame_bytes));
        auto taken = framed ? control::decode_snapshot(view.substr(frame_bytes))
                            : std::nullopt;
        if (!taken)
        {
            return error{
                errc::storage,
                path.string() + " is damaged: move the folder away and "
                                "replace this member"};
        }
        contents.snapshot_ = std::move(*taken);
        return done();
    }

    result<done> load_segments(disk_contents& contents)
    {
        replayer into(contents);
        const std::vector<fs::path> segments = segments_in(folder_);
        for (const fs::path& path : segments)
        {
            const bool last = path == segments.back();
            const result<std::size_t> good = replay_segment(path, last, into);
            if (!core::is_ok(good))
            {
                return core::failure(good);
            }
            const std::uint64_t size = fs::file_size(path);
            if (core::value(good) < size)
            {
                contents.torn_bytes_ = size - core::value(good);
                if (::truncate(
                        path.c_str(), static_cast<off_t>(core::value(good))) !=
                    0)
                {
                    return failed("cannot cut", path);
                }
            }
            next_segment_ = number_of(path) + 1;
        }
        if (!into.finish())
        {
            return error{
                errc::storage,
                folder_.string() + " lacks entries: move the folder away and "
                                   "replace this member"};
        }
        return done();
    }

    result<done> open_segment(std::uint64_t number)
    {
        path_ = folder_ / segment_name(number);
        current_ = file_handle(::open(
            path_.c_str(),
            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
            file_mode));
        if (current_.number() < 0)
        {
            return failed("cannot open", path_);
        }
        current_number_ = number;
        current_bytes_ = 0;
        std::string records;
        add(records, record_kind::hard_state, encode(hard_state_));
        const result<done> written = append(records);
        if (!core::is_ok(written))
        {
            return written;
        }
        return sync_folder(folder_);
    }

    result<done> install(const control::snapshot& taken, std::string& records)
    {
        const result<done> written = write_snapshot(taken);
        if (!core::is_ok(written))
        {
            return written;
        }
        add(records, record_kind::truncate, "0");
        return done();
    }

    result<done> append(const std::string& records)
    {
        if (records.empty())
        {
            return done();
        }
        const result<done> written =
            write_all(current_.number(), records, path_);
        if (!core::is_ok(written))
        {
            return written;
        }
        if (::fdatasync(current_.number()) != 0)
        {
            return failed("cannot sync", path_);
        }
        current_bytes_ += records.size();
        if (current_bytes_ > segment_bytes)
        {
            return open_segment(current_number_ + 1);
        }
        return done();
    }

    /// Opens a new segment and drops the older ones, once the entries after
    /// the snapshot are in the new one.
    result<done> drop_segments()
    {
        const std::vector<fs::path> before = segments_in(folder_);
        const result<done> opened = open_segment(current_number_ + 1);
        if (!core::is_ok(opened))
        {
            return opened;
        }
        return carry_over(before);
    }

    /// Copies the entries after the snapshot into the new segment, then drops
    /// the old segments.
    result<done> carry_over(const std::vector<fs::path>& before)
    {
        disk_contents contents;
        const result<done> loaded = load_snapshot(contents);
        if (!core::is_ok(loaded))
        {
            return loaded;
        }
        replayer into(contents);
        for (const fs::path& path : before)
        {
            const result<std::size_t> good = replay_segment(path, false, into);
            if (!core::is_ok(good))
            {
                return core::failure(good);
            }
        }
        if (!into.finish())
        {
            return error{errc::storage, folder_.string() + " lacks entries"};
        }
        std::string records;
        for (const control::log_entry& entry : contents.entries_)
        {
            add(records, record_kind::entry, encode(entry));
        }
        const result<done> written = append(records);
        if (!core::is_ok(written))
        {
            return written;
        }
        for (const fs::path& path : before)
        {
            if (::unlink(path.c_str()) != 0)
            {
                return failed("cannot drop", path);
            }
        }
        return sync_folder(folder_);
    }

    fs::path folder_;
    fs::path path_;
    file_handle current_;
    std::uint64_t current_number_ = 0;
    std::uint64_t next_segment_ = 1;
    std::size_t current_bytes_ = 0;
    control::hard_state hard_state_;
};

} // namespace

core::result<std::unique_ptr<disk_log>> disk_log::open(
    const std::string& folder, disk_contents& contents)
{
    std::error_code failed_to_make;
    fs::create_directories(folder, failed_to_make);
    if (failed_to_make)
    {
        return error{
            errc::storage,
            "cannot make " + folder + ": " + failed_to_make.message()};
    }
    auto made = std::make_unique<file_log>(folder);
    const result<done> loaded = made->load(contents);
    if (!core::is_ok(loaded))
    {
        return core::failure(loaded);
    }
    return std::unique_ptr<disk_log>(std::move(made));
}

} // namespace poplarroute::drivers
