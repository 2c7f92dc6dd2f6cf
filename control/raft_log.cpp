#include "control/raft_log.hpp"

#include <algorithm>
#include <utility>

#include "core/invariant.hpp"

namespace poplarroute::control
{

raft_log::raft_log(snapshot start, std::vector<log_entry> entries)
    : snapshot_(std::move(start)),
      base_group_(snapshot_.group_),
      base_index_(snapshot_.index_),
      base_term_(snapshot_.term_)
{
    for (log_entry& entry : entries)
    {
        core::check_invariant(
            entry.index_ == last_index() + 1,
            "the log has no gap and no entry twice");
        entries_.push_back(std::move(entry));
    }
    update_group();
}

log_index raft_log::last_index() const
{
    return base_index_ + entries_.size();
}

term_number raft_log::last_term() const
{
    return entries_.empty() ? base_term_ : entries_.back().term_;
}

std::optional<term_number> raft_log::term_at(log_index index) const
{
    if (index == base_index_)
    {
        return base_term_;
    }
    if (index < base_index_ || index > last_index())
    {
        return std::nullopt;
    }
    return at(index).term_;
}

const log_entry& raft_log::at(log_index index) const
{
    return entries_[index - base_index_ - 1];
}

std::vector<log_entry> raft_log::entries_from(
    log_index first, std::size_t max_entries, std::size_t max_bytes) const
{
    std::vector<log_entry> out;
    std::size_t bytes = 0;
    for (log_index index = first; index <= last_index(); ++index)
    {
        const log_entry& entry = at(index);
        bytes += entry.payload_.size();
        const bool full = out.size() >= max_entries || bytes > max_bytes;
        if (full && !out.empty())
        {
            break;
        }
        out.push_back(entry);
    }
    return out;
}

void raft_log::append(log_entry entry)
{
    core::check_invariant(
        entry.index_ == last_index() + 1,
        "the log has no gap and no entry twice");
    if (entry.kind_ == entry_kind::membership)
    {
        group_ = decode_group(entry.payload_).value_or(group_);
        group_index_ = entry.index_;
    }
    entries_.push_back(std::move(entry));
}

void raft_log::truncate_from(log_index first)
{
    while (last_index() >= first && !entries_.empty())
    {
        entries_.pop_back();
    }
    update_group();
}

std::size_t raft_log::bytes_after_snapshot() const
{
    std::size_t out = 0;
    for (log_index index = last_index();
         index > std::max(base_index_, snapshot_.index_);
         --index)
    {
        out += at(index).payload_.size();
    }
    return out;
}

/// \return the index before the first entry to keep, given a snapshot at an
/// index.
log_index raft_log::base_to_keep(log_index index, log_retention to_keep) const
{
    log_index base = index;
    std::size_t bytes = 0;
    while (base > base_index_ && index - base < to_keep.entries_)
    {
        bytes += at(base).payload_.size();
        if (bytes > to_keep.bytes_)
        {
            break;
        }
        --base;
    }
    return base;
}

void raft_log::compact(
    log_index index, std::string state, log_retention to_keep)
{
    const std::optional<term_number> term = term_at(index);
    if (!term || index <= snapshot_.index_)
    {
        return;
    }
    snapshot_ = {index, *term, group_up_to(index), std::move(state)};
    const log_index base = base_to_keep(index, to_keep);
    base_group_ = group_up_to(base);
    base_term_ = *term_at(base);
    entries_.erase(
        entries_.begin(),
        entries_.begin() + static_cast<std::ptrdiff_t>(base - base_index_));
    base_index_ = base;
    update_group();
}

void raft_log::install(snapshot leader_snapshot)
{
    snapshot_ = std::move(leader_snapshot);
    base_group_ = snapshot_.group_;
    base_index_ = snapshot_.index_;
    base_term_ = snapshot_.term_;
    entries_.clear();
    update_group();
}

member_group raft_log::group_up_to(log_index index) const
{
    for (log_index position = index; position > base_index_; --position)
    {
        const log_entry& entry = at(position);
        if (entry.kind_ == entry_kind::membership)
        {
            return decode_group(entry.payload_).value_or(base_group_);
        }
    }
    return base_group_;
}

void raft_log::update_group()
{
    group_ = base_group_;
    group_index_ = 0;
    for (log_index index = last_index(); index > base_index_; --index)
    {
        if (at(index).kind_ == entry_kind::membership)
        {
            group_ = decode_group(at(index).payload_).value_or(base_group_);
            group_index_ = index;
            return;
        }
    }
}

} // namespace poplarroute::control
