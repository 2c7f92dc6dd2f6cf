#pragma once

#include <map>
#include <string>

#include "node/context.hpp"
#include "node/origin_messages.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Keeps at each member of the group which software version began the streams
/// that callers may still take up.
///
/// Hosts report to the leader, which copies the reports to all members. So any
/// member can tell the origin of a stream when its host, the leader or the
/// engine's entry in the list are gone. Nothing is written to disk.
class origin_registry
{
public:
    origin_registry(context& with, catalog_replica& group);

    void start();

    /// Starts anew what is copied to the other members.
    void begin_leading(core::time_point now);

    void set_metrics() const;

private:
    /// How far another member has the origins of this one.
    struct copy
    {
        std::uint64_t position_ = 0;
        std::string epoch_;
        core::time_point sent_at_;
        bool is_sending_ = false;
    };

    void register_calls();
    awaitable<void> copy_loop();
    awaitable<void> send_copy(core::host_id to);
    origin_reply look_up(const origin_request& request) const;

    context& with_;
    catalog_replica& group_;
    policy::stream_origins origins_;
    policy::version_history versions_;
    std::map<core::host_id, copy> copies_;
    core::time_point leading_since_;
};

} // namespace poplarroute::node
