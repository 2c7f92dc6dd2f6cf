#pragma once

#include <cstddef>
#include <memory>

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

private:
    friend class byte_hold;

    std::size_t limit_;
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
        const std::size_t others = budget_->used_ - bytes_;
        if (bytes > bytes_ && others + bytes > budget_->limit_)
        {
            return false;
        }
        budget_->used_ = others + bytes;
        bytes_ = bytes;
        return true;
    }

private:
    byte_budget_ptr budget_;
    std::size_t bytes_ = 0;
};

} // namespace poplarroute::drivers
