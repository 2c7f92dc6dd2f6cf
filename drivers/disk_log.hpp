#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "control/raft.hpp"
#include "core/result.hpp"

namespace poplarroute::drivers
{

/// Access to a disk that may be refused.
enum class disk_access
{
    open, ///< Opens a file for writing, which may create it.
    write,
    sync, ///< Of a file or a folder.
    rename,
};

/// Decides whether an access to a path fails as on a full disk. It is called
/// before the access, with the bytes to write if there are any.
using disk_fault = std::function<bool(
    disk_access access, const std::string& path, std::string_view bytes)>;

/// Sets the fault that all logs of this process meet; empty for none. For
/// tests, which must set it while no log is in use.
void set_disk_fault(disk_fault fault);

/// State that a data folder had when it was opened.
struct disk_contents
{
    control::store_id store_;

    /// Whether the log is empty: no term, no entries and no snapshot.
    bool blank_ = false;

    control::hard_state hard_state_;
    control::snapshot snapshot_;
    std::vector<control::log_entry> entries_;

    /// Size of the partly written record that was cut off the last segment.
    std::uint64_t torn_bytes_ = 0;
};

/// Persistent storage of one Raft member: a log in segment files, and a
/// snapshot.
///
/// Each record of the log is a length, a CRC-32 and the bytes. Everything
/// written is synced before write() returns. A partly written record at the end
/// of the last segment, as a crash leaves it, is cut off; any other record that
/// does not match its CRC is an error, since an acknowledged entry may be lost.
/// After a failed write or sync the log takes nothing more: the caller opens it
/// again, which reads the state on the disk and writes once more what may not
/// have been synced.
class disk_log
{
public:
    /// Opens a data folder and creates it if it does not exist.
    /// \param folder the data folder.
    /// \param contents receives the state that the folder has.
    /// \return the log; an error of kind storage if the folder cannot be read;
    /// an error of kind not_ready if it was read but the disk refuses writes.
    /// Entries that were read then may be lost with the power, so they must not
    /// be acknowledged.
    static core::result<std::unique_ptr<disk_log>> open(
        const std::string& folder, disk_contents& contents);

    virtual ~disk_log() = default;

    /// Writes and syncs those actions of a Raft step that change the disk.
    virtual core::result<core::done> write(
        const control::raft_actions& actions) = 0;

    /// Writes and syncs a snapshot, and deletes the segments that it replaces.
    virtual core::result<core::done> write_snapshot(
        const control::snapshot& snapshot) = 0;
};

} // namespace poplarroute::drivers
