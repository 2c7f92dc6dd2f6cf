#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace poplarroute::drivers
{

/// Limit on the bytes that the requests and responses of a process hold in
/// memory together. It counts what has arrived, not what a header announces.
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit) : limit_(limit) {}

    std::size_t limit() const
    {
        return limit_;
    }

    std::size_t used() const
    {
        return used_;
    }

    /// Sets what tries to free bytes when the budget does not suffice.
    /// \param reclaim gets the number of bytes that are needed.
    void set_reclaimer(std::function<void(std::size_t)> reclaim)
    {
        reclaim_ = std::move(reclaim);
    }

private:
    friend class byte_hold;

    std::size_t limit_;
    std::function<void(std::size_t)> reclaim_;
    std::size_t used_ = 0;
};

using byte_budget_ptr = std::shared_ptr<byte_budget>;

/// Bytes of a budget that one request or response holds, until it is destroyed.
class byte_hold
{
public:
    explicit byte_hold(byte_budget_ptr budget) : budget_(std::move(budget)) {}

    ~byte_hold()
    {
        budget_->used_ -= bytes_;
    }

    byte_hold(const byte_hold&) = delete;
    byte_hold& operator=(const byte_hold&) = delete;

    /// Sets the number of bytes that are held.
    /// \return false, without any change, if the budget does not suffice.
    bool resize(std::size_t bytes)
    {
        if (!suffices(bytes) && budget_->reclaim_)
        {
            budget_->reclaim_(bytes - bytes_);
        }
        if (!suffices(bytes))
        {
            return false;
        }
        budget_->used_ = budget_->used_ - bytes_ + bytes;
        bytes_ = bytes;
        return true;
    }

private:
    bool suffices(std::size_t bytes) const
    {
        return bytes <= bytes_ ||
               budget_->used_ - bytes_ + bytes <= budget_->limit_;
    }

    byte_budget_ptr budget_;
    std::size_t bytes_ = 0;
};

} // namespace poplarroute::drivers
