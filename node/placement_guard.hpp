#pragma once

#include <functional>
#include <string>

#include "node/context.hpp"
#include "node/engine.hpp"
#include "node/pool_client.hpp"

namespace poplarroute::node
{

/// Holds a placement during its lifetime. Registers the attempt so that the
/// placement is renewed, and on destruction releases it at the engines and at
/// the pool's owner, also when the caller has disconnected and the coroutine is
/// destroyed.
class placement_guard
{
public:
    placement_guard(
        context& with,
        pool_client& pools,
        core::service_id service,
        placement_result placement,
        std::int64_t pieces,
        std::string key_id);
    ~placement_guard();
    placement_guard(const placement_guard&) = delete;
    placement_guard& operator=(const placement_guard&) = delete;

    const placement_result& placement() const
    {
        return placement_;
    }

    /// \return the report that the pool's owner gets at the end.
    end_request& end_report()
    {
        return end_report_;
    }

    /// Records that the promised decode memory is available.
    /// \param chosen the owner's reply. It names a decode endpoint if the owner
    /// chose one only after the prefill.
    void confirm_decode(const reserve_reply& chosen);

    /// Records that the engines hold no memory of the attempt any more.
    void set_engines_released()
    {
        engines_released_ = true;
    }

private:
    context& with_;
    pool_client& pools_;
    placement_result placement_;
    end_request end_report_;
    bool engines_released_ = false;
};

} // namespace poplarroute::node
