#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "node/context.hpp"

namespace poplarroute::node
{

/// Measures how late the event loop runs, and counts the calls of other hosts.
///
/// A process that lacks processor time is late with everything; the log and the
/// metrics then say which calls it has answered in that time.
class load_monitor
{
public:
    explicit load_monitor(context& with);

    /// Starts to measure.
    void start();

    /// Sets the metrics. The largest lateness begins anew with each call.
    void set_metrics();

private:
    drivers::asio::awaitable<void> run();
    void report_late(core::duration late, core::time_point now);

    context& with_;
    core::duration largest_lateness_;
    core::time_point reported_at_;
    /// Calls by name when the last line was written.
    std::map<std::string, std::uint64_t> reported_calls_;
};

} // namespace poplarroute::node
