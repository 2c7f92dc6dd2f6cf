#include "drivers/disk_log.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
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

constexpr std::size_t frame_header_bytes = 8;
constexpr std::size_t max_segment_bytes = 8 * 1024 * 1024;
constexpr std::size_t store_id_bytes = 12;
constexpr mode_t file_mode = 0600;
constexpr const char* store_id_name = "store-id";
constexpr const char* snapshot_name = "snapshot";
constexpr std::string_view segment_prefix = "segment-";
constexpr const char* temporary_suffix = ".new";
constexpr int segment_number_digits = 20;

enum class record_kind : char
{
    hard_state = 'h',
    entry = 'e',
    truncate = 't',
};

error storage_error(const std::string& what, const fs::path& path)
{
    return {errc::storage, what + " " + path.string() + ": " + strerror(errno)};
}

disk_fault& injected_fault()
{
    static disk_fault fault;
    return fault;
}

/// \return whether a test refuses the access; errno is set then.
bool is_refused(
    disk_access access, const fs::path& path, std::string_view bytes = {})
{
    const disk_fault& fault = injected_fault();
    if (!fault || !fault(access, path.string(), bytes))
    {
        return false;
    }
    errno = ENOSPC;
    return true;
}

int open_for_writing(const fs::path& path, int flags)
{
    return is_refused(disk_access::open, path)
               ? -1
               : ::open(
                     path.c_str(),
                     O_WRONLY | O_CREAT | O_CLOEXEC | flags,
                     file_mode);
}

bool sync(int file, const fs::path& path)
{
    return !is_refused(disk_access::sync, path) && ::fsync(file) == 0;
}

std::uint32_t crc32_of(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

void append_u32(std::string& out, std::uint32_t number)
{
    std::array<char, sizeof(number)> bytes{};
    std::memcpy(bytes.data(), &number, sizeof(number));
    out.append(bytes.data(), bytes.size());
}

std::uint32_t read_u32(std::string_view bytes)
{
    std::uint32_t number = 0;
    std::memcpy(&number, bytes.data(), sizeof(number));
    return number;
}

void append_frame(std::string& out, std::string_view payload)
{
    append_u32(out, static_cast<std::uint32_t>(payload.size()));
    append_u32(out, crc32_of(payload));
    out += payload;
}

/// File descriptor that is closed on destruction.
class file_descriptor
{
public:
    file_descriptor() = default;

    explicit file_descriptor(int number) : number_(number) {}

    file_descriptor(file_descriptor&& other) noexcept
        : number_(std::exchange(other.number_, -1))
    {
    }

    file_descriptor& operator=(file_descriptor&& other) noexcept
    {
        std::swap(number_, other.number_);
        return *this;
    }

    ~file_descriptor()
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
    if (is_refused(disk_access::write, path, bytes))
    {
        return storage_error("cannot write", path);
    }
    while (!bytes.empty())
    {
        const ssize_t size = ::write(file, bytes.data(), bytes.size());
        if (size < 0 && errno == EINTR)
        {
            continue;
        }
        if (size <= 0)
        {
            return storage_error("cannot write", path);
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return done();
}

result<done> sync_directory(const fs::path& folder)
{
    const file_descriptor descriptor(
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY));
    if (descriptor.number() < 0 || !sync(descriptor.number(), folder))
    {
        return storage_error("cannot sync", folder);
    }
    return done();
}

/// Replaces a file atomically: after a crash it has either the old or the new
/// contents.
result<done> replace_file(const fs::path& path, std::string_view bytes)
{
    const fs::path temporary_path = path.string() + temporary_suffix;
    {
        const file_descriptor descriptor(
            open_for_writing(temporary_path, O_TRUNC));
        if (descriptor.number() < 0)
        {
            return storage_error("cannot open", temporary_path);
        }
        const result<done> written =
            write_all(descriptor.number(), bytes, temporary_path);
        if (!core::is_ok(written))
        {
            return written;
        }
        if (!sync(descriptor.number(), temporary_path))
        {
            return storage_error("cannot sync", temporary_path);
        }
    }
    if (is_refused(disk_access::rename, temporary_path) ||
        ::rename(temporary_path.c_str(), path.c_str()) != 0)
    {
        return storage_error("cannot rename", temporary_path);
    }
    return sync_directory(path.parent_path());
}

std::string segment_name(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, segment_number_digits - digits.size(), '0');
    return std::string(segment_prefix) + digits;
}

std::vector<fs::path> segments_in(const fs::path& folder)
{
    std::vector<fs::path> out;
    for (const auto& item : fs::directory_iterator(folder))
    {
        if (item.path().filename().string().starts_with(segment_prefix) &&
            item.path().extension() != temporary_suffix)
        {
            out.push_back(item.path());
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::uint64_t segment_number(const fs::path& segment)
{
    return std::stoull(
        segment.filename().string().substr(segment_prefix.size()));
}

/// Applies the records of the segments, in their order, to the contents of a
/// folder.
class replayer
{
public:
    explicit replayer(disk_contents& contents) : contents_(contents) {}

    /// \return whether the record is well formed.
    bool apply(std::string_view payload)
    {
        const auto kind = static_cast<record_kind>(payload.front());
        const std::string_view bytes = payload.substr(1);
        switch (kind)
        {
        case record_kind::hard_state:
            return apply_hard_state(bytes);
        case record_kind::entry:
            return apply_entry(bytes);
        case record_kind::truncate:
            return apply_truncate(bytes);
        }
        return false;
    }

    /// Moves the entries after the snapshot into the contents.
    /// \return whether they follow the snapshot without a gap.
    bool finish()
    {
        drop_conflicting_entries();
        control::log_index next = contents_.snapshot_.index_ + 1;
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
            contents_.entries_.push_back(std::move(entry));
            ++next;
        }
        return true;
    }

private:
    /// Drops entries that do not follow the snapshot. They are left by a crash
    /// after a leader's snapshot was written and before the log that it
    /// replaces was truncated.
    void drop_conflicting_entries()
    {
        const auto last = entries_.find(contents_.snapshot_.index_);
        if (last != entries_.end() &&
            last->second.term_ != contents_.snapshot_.term_)
        {
            entries_.erase(last, entries_.end());
        }
    }

    bool apply_hard_state(std::string_view bytes)
    {
        const auto state = control::decode_hard_state(bytes);
        if (state)
        {
            contents_.hard_state_ = *state;
        }
        return state.has_value();
    }

    bool apply_entry(std::string_view bytes)
    {
        auto entry = control::decode_entry(bytes);
        if (entry)
        {
            entries_[entry->index_] = std::move(*entry);
        }
        return entry.has_value();
    }

    bool apply_truncate(std::string_view bytes)
    {
        control::log_index first = 0;
        const char* const end = bytes.data() + bytes.size();
        const auto read = std::from_chars(bytes.data(), end, first);
        if (read.ec != std::errc() || read.ptr != end)
        {
            return false;
        }
        entries_.erase(entries_.lower_bound(first), entries_.end());
        return true;
    }

    disk_contents& contents_;
    std::map<control::log_index, control::log_entry> entries_;
};

/// Reads one segment.
/// \param last whether this is the last segment, which may end with a partly
/// written record.
/// \return the number of bytes up to the partly written record or the end; an
/// error when the segment is damaged elsewhere.
result<std::size_t> replay_segment(
    const fs::path& path, bool last, replayer& replay)
{
    const std::optional<std::string> text = read_file(path.string());
    if (!text)
    {
        return storage_error("cannot read", path);
    }
    std::size_t offset = 0;
    while (offset < text->size())
    {
        const std::string_view rest = std::string_view(*text).substr(offset);
        const std::size_t size =
            rest.size() >= frame_header_bytes ? read_u32(rest) : 0;
        const bool is_complete =
            size > 0 && rest.size() - frame_header_bytes >= size;
        const std::string_view payload =
            is_complete ? rest.substr(frame_header_bytes, size)
                        : std::string_view();
        if (is_complete && crc32_of(payload) == read_u32(rest.substr(4)) &&
            replay.apply(payload))
        {
            offset += frame_header_bytes + size;
            continue;
        }
        const bool only_zeros =
            rest.find_first_not_of('\0') == std::string_view::npos;
        const bool reaches_end =
            !is_complete || rest.size() == frame_header_bytes + size;
        if (last && (only_zeros || reaches_end))
        {
            return offset;
        }
        return error{
            errc::storage,
            path.string() + " is damaged at byte " + std::to_string(offset) +
                ": move the folder away and replace this member"};
    }
    return offset;
}

class file_log final : public disk_log
{
public:
    explicit file_log(fs::path folder) : folder_(std::move(folder)) {}

    /// Reads the folder and changes nothing.
    result<done> load(disk_contents& contents)
    {
        const result<done> id_loaded = load_store_id(contents);
        if (!core::is_ok(id_loaded))
        {
            return id_loaded;
        }
        const result<done> snapshot_loaded = load_snapshot(contents);
        if (!core::is_ok(snapshot_loaded))
        {
            return snapshot_loaded;
        }
        const result<done> segments_loaded = load_segments(contents);
        if (!core::is_ok(segments_loaded))
        {
            return segments_loaded;
        }
        contents.blank_ = contents.snapshot_.index_ == 0 &&
                          contents.entries_.empty() &&
                          contents.hard_state_.term_ == 0;
        hard_state_ = contents.hard_state_;
        return done();
    }

    /// Makes durable what load() has read, and opens a segment for writing.
    result<done> prepare(disk_contents& contents)
    {
        remove_temporary_files();
        if (contents.store_.empty())
        {
            const std::string id = core::random_hex(store_id_bytes);
            const result<done> written =
                replace_file(folder_ / store_id_name, id);
            if (!core::is_ok(written))
            {
                return written;
            }
            contents.store_ = id;
        }
        // A sync that succeeds after one that failed does not show that the
        // bytes before it are on the disk, so they are written again.
        if (!last_segment_bytes_.empty())
        {
            const result<done> written = replace_file(
                folder_ / segment_name(next_segment_ - 1), last_segment_bytes_);
            if (!core::is_ok(written))
            {
                return written;
            }
            last_segment_bytes_ = std::string();
        }
        return open_segment(next_segment_);
    }

    result<done> write(const control::raft_actions& actions) override
    {
        return fail_for_good(
            [&]()
            {
                return write_actions(actions);
            });
    }

    result<done> write_snapshot(const control::snapshot& snapshot) override
    {
        return fail_for_good(
            [&]()
            {
                return replace_snapshot(snapshot);
            });
    }

private:
    /// Writes, and refuses to once a write has failed: a record after a partly
    /// written one would make the segment unreadable.
    template <class Write>
    result<done> fail_for_good(const Write& write)
    {
        if (has_failed_)
        {
            return error{errc::storage, "an earlier write has failed"};
        }
        const result<done> written = write();
        has_failed_ = !core::is_ok(written);
        return written;
    }

    result<done> write_actions(const control::raft_actions& actions)
    {
        std::string records;
        if (actions.hard_state_)
        {
            hard_state_ = *actions.hard_state_;
            append_record(
                records, record_kind::hard_state, encode(hard_state_));
        }
        if (actions.install_snapshot_)
        {
            const result<done> written =
                install_snapshot(*actions.install_snapshot_, records);
            if (!core::is_ok(written))
            {
                return written;
            }
        }
        if (actions.truncate_from_)
        {
            append_record(
                records,
                record_kind::truncate,
                std::to_string(*actions.truncate_from_));
        }
        for (const control::log_entry& entry : actions.append_)
        {
            append_record(records, record_kind::entry, encode(entry));
        }
        return append(records);
    }

    result<done> replace_snapshot(const control::snapshot& snapshot)
    {
        std::string bytes;
        append_frame(bytes, encode(snapshot));
        const result<done> written =
            replace_file(folder_ / snapshot_name, bytes);
        if (!core::is_ok(written))
        {
            return written;
        }
        return compact();
    }

    void remove_temporary_files()
    {
        for (const auto& item : fs::directory_iterator(folder_))
        {
            if (item.path().extension() == temporary_suffix)
            {
                std::error_code ignored;
                fs::remove(item.path(), ignored);
            }
        }
    }

    static void append_record(
        std::string& out, record_kind kind, const std::string& text)
    {
        append_frame(out, static_cast<char>(kind) + text);
    }

    result<done> load_store_id(disk_contents& contents)
    {
        const fs::path path = folder_ / store_id_name;
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
        return done();
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
        const bool is_valid =
            view.size() > frame_header_bytes &&
            read_u32(view) == view.size() - frame_header_bytes &&
            read_u32(view.substr(4)) ==
                crc32_of(view.substr(frame_header_bytes));
        auto snapshot =
            is_valid ? control::decode_snapshot(view.substr(frame_header_bytes))
                     : std::nullopt;
        if (!snapshot)
        {
            return error{
                errc::storage,
                path.string() + " is damaged: move the folder away and "
                                "replace this member"};
        }
        contents.snapshot_ = std::move(*snapshot);
        return done();
    }

    result<done> load_segments(disk_contents& contents)
    {
        replayer replay(contents);
        const std::vector<fs::path> segments = segments_in(folder_);
        for (const fs::path& path : segments)
        {
            const bool last = path == segments.back();
            const result<std::size_t> valid_bytes =
                replay_segment(path, last, replay);
            if (!core::is_ok(valid_bytes))
            {
                return core::failure(valid_bytes);
            }
            const std::uint64_t size = core::value(valid_bytes);
            contents.torn_bytes_ = fs::file_size(path) - size;
            next_segment_ = segment_number(path) + (size > 0 ? 1 : 0);
            if (last && size > 0)
            {
                last_segment_bytes_ =
                    read_file(path.string()).value_or("").substr(0, size);
            }
        }
        if (!replay.finish())
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
        current_path_ = folder_ / segment_name(number);
        current_ = file_descriptor(
            open_for_writing(current_path_, O_APPEND | O_TRUNC));
        if (current_.number() < 0)
        {
            return storage_error("cannot open", current_path_);
        }
        current_number_ = number;
        current_bytes_ = 0;
        std::string records;
        append_record(records, record_kind::hard_state, encode(hard_state_));
        const result<done> written = append(records);
        if (!core::is_ok(written))
        {
            return written;
        }
        return sync_directory(folder_);
    }

    result<done> install_snapshot(
        const control::snapshot& snapshot, std::string& records)
    {
        const result<done> written = replace_snapshot(snapshot);
        if (!core::is_ok(written))
        {
            return written;
        }
        append_record(records, record_kind::truncate, "0");
        return done();
    }

    result<done> append(const std::string& records)
    {
        if (records.empty())
        {
            return done();
        }
        const result<done> written =
            write_all(current_.number(), records, current_path_);
        if (!core::is_ok(written))
        {
            return written;
        }
        if (is_refused(disk_access::sync, current_path_) ||
            ::fdatasync(current_.number()) != 0)
        {
            return storage_error("cannot sync", current_path_);
        }
        current_bytes_ += records.size();
        if (current_bytes_ > max_segment_bytes)
        {
            return open_segment(current_number_ + 1);
        }
        return done();
    }

    /// Opens a new segment, copies the entries after the snapshot into it and
    /// then deletes the older segments.
    result<done> compact()
    {
        const std::vector<fs::path> old_segments = segments_in(folder_);
        const result<done> opened = open_segment(current_number_ + 1);
        if (!core::is_ok(opened))
        {
            return opened;
        }
        return copy_remaining_entries(old_segments);
    }

    /// Copies the entries after the snapshot from the old segments into the
    /// current one, then deletes the old segments.
    result<done> copy_remaining_entries(
        const std::vector<fs::path>& old_segments)
    {
        disk_contents contents;
        const result<done> loaded = load_snapshot(contents);
        if (!core::is_ok(loaded))
        {
            return loaded;
        }
        replayer replay(contents);
        for (const fs::path& path : old_segments)
        {
            const result<std::size_t> valid_bytes =
                replay_segment(path, false, replay);
            if (!core::is_ok(valid_bytes))
            {
                return core::failure(valid_bytes);
            }
        }
        if (!replay.finish())
        {
            return error{errc::storage, folder_.string() + " lacks entries"};
        }
        std::string records;
        for (const control::log_entry& entry : contents.entries_)
        {
            append_record(records, record_kind::entry, encode(entry));
        }
        const result<done> written = append(records);
        if (!core::is_ok(written))
        {
            return written;
        }
        for (const fs::path& path : old_segments)
        {
            if (::unlink(path.c_str()) != 0)
            {
                return storage_error("cannot delete", path);
            }
        }
        return sync_directory(folder_);
    }

    fs::path folder_;
    fs::path current_path_;
    file_descriptor current_;
    std::uint64_t current_number_ = 0;
    std::uint64_t next_segment_ = 1;
    std::size_t current_bytes_ = 0;
    std::string last_segment_bytes_; ///< Without a partly written record.
    control::hard_state hard_state_;
    bool has_failed_ = false;
};

} // namespace

void set_disk_fault(disk_fault fault)
{
    injected_fault() = std::move(fault);
}

core::result<std::unique_ptr<disk_log>> disk_log::open(
    const std::string& folder, disk_contents& contents)
{
    std::error_code failed;
    fs::create_directories(folder, failed);
    if (failed)
    {
        const bool is_full = failed == std::errc::no_space_on_device;
        return error{
            is_full ? errc::not_ready : errc::storage,
            "cannot create " + folder + ": " + failed.message()};
    }
    auto log = std::make_unique<file_log>(folder);
    const result<done> loaded = log->load(contents);
    if (!core::is_ok(loaded))
    {
        return core::failure(loaded);
    }
    const result<done> prepared = log->prepare(contents);
    if (!core::is_ok(prepared))
    {
        return error{errc::not_ready, core::failure(prepared).message_};
    }
    return std::unique_ptr<disk_log>(std::move(log));
}

} // namespace poplarroute::drivers
