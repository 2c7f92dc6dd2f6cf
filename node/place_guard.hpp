#pragma once

#include <functional>
#include <string>

#include "node/context.hpp"
#include "node/engine.hpp"
#include "node/pool_gateway.hpp"

namespace poplarroute::node
{

/// Holds a place for as long as it lives: registers the attempt so that it is
/// renewed, and at the end frees it at the engines and at the owner, also
/// when the caller has gone and the coroutine is ended from outside.
class place_guard
{
public:
    place_guard(
        context& with,
        pool_gateway& pools,
        core::service_id service,
        placed place,
        std::int64_t pieces,
        std::string key_id);
    ~place_guard();
    place_guard(const place_guard&) = delete;
    place_guard& operator=(const place_guard&) = delete;

    const placed& place() const
    {
        return place_;
    }

    /// What is told to the owner at the end.
    end_request& ending()
    {
        return ending_;
    }

    /// Notes that promised memory is there, perhaps on an endpoint that was
    /// chosen only now.
    void confirm_decode(const reserve_reply& chosen);

    /// Notes that the engines hold nothing of the attempt any more.
    void set_finished()
    {
        finished_ = true;
    }

private:
    context& with_;
    pool_gateway& pools_;
    placed place_;
    end_request ending_;
    bool finished_ = false;
};

} // namespace poplarroute::node
