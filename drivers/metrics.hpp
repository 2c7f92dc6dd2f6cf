#pragma once

#include <map>
#include <memory>
#include <string>

namespace poplarroute::drivers
{

using metric_labels = std::map<std::string, std::string>;

/// This process's metrics, for the monitoring system to collect.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to a counter.
    void count(
        const std::string& name,
        const metric_labels& labels = {},
        double by = 1);

    /// Sets a gauge.
    void set(const std::string& name, const metric_labels& labels, double to);

    /// Adds a time to a histogram.
    /// \param ms milliseconds.
    void observe_ms(
        const std::string& name, const metric_labels& labels, double ms);

    /// \return all of them in Prometheus's text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace poplarroute::drivers
