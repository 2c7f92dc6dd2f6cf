#pragma once

#include <map>
#include <memory>
#include <string>

namespace poplarroute::drivers
{

using metric_labels = std::map<std::string, std::string>;

/// Metrics of this process, in the data model of Prometheus.
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
        double increment = 1);

    /// Sets a gauge.
    void set(
        const std::string& name, const metric_labels& labels, double value);

    /// Removes a gauge with all its labels, so that what is no longer known
    /// does not stay.
    void clear(const std::string& name);

    /// Adds a duration to a histogram.
    /// \param ms the duration in milliseconds.
    void observe_ms(
        const std::string& name, const metric_labels& labels, double ms);

    /// \return all metrics in Prometheus's text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace poplarroute::drivers
