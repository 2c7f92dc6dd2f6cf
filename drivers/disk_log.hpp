#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control/raft.hpp"
#include "core/result.hpp"

namespace poplarroute::drivers
{

/// What a data folder held when it was opened.
struct disk_contents
{
    control::store_id store_;
    bool blank_ = false; ///< No log yet: the store id is new.
    control::hard_state hard_state_;
    control::snapshot snapshot_;
    std::vector<control::log_entry> entries_;
    std::uint64_t torn_bytes_ = 0; ///< Cut off the end of the last segment.
};

/// The control role's files: framed records in segments, and a snapshot.
///
/// Each record is a length, a CRC-32 and the bytes. Everything written is
/// synced before write() returns. A record torn by a crash at the very end is
/// cut off; anything else that does not match its CRC is refused, since an
/// acknowledged entry may be gone. After a failed write or sync the log must
/// not be used any more: the caller opens it anew, which reads what the disk
/// holds.
class disk_log
{
public:
    /// Opens a folder, which is made if need be.
    /// \param folder the data folder.
    /// \param contents receives what was there.
    /// \return the log, or an error of kind storage that says what is wrong.
    static core::result<std::unique_ptr<disk_log>> open(
        const std::string& folder, disk_contents& contents);

    virtual ~disk_log() = default;

    /// Writes and syncs the disk parts of a step's actions.
    virtual core::result<core::done> write(
        const control::raft_actions& actions) = 0;

    /// Writes and syncs a snapshot, and drops segments it makes needless.
    virtual core::result<core::done> write_snapshot(
        const control::snapshot& taken) = 0;
};

} // namespace poplarroute::drivers
