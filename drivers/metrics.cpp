#include "drivers/metrics.hpp"

#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace poplarroute::drivers
{

namespace
{

/// Help texts of the metrics, by name.
const std::map<std::string, std::string>& help_texts()
{
    static const std::map<std::string, std::string> texts{
        {"poplarroute_requests_total", "Requests by route and end."},
        {"poplarroute_refusals_total", "Refusals by code and account."},
        {"poplarroute_attempts_total", "Attempts at endpoints by end."},
        {"poplarroute_wasted_prefills_total", "Prefills nobody decoded."},
        {"poplarroute_first_token_ms", "Time to the first token."},
        {"poplarroute_between_tokens_ms", "Mean time between tokens."},
        {"poplarroute_request_ms", "Time of a whole request."},
        {"poplarroute_directory_version", "Version in force at this host."},
        {"poplarroute_frames_dropped_total", "Frames of another attempt."},
        {"poplarroute_orphans_total", "Engine memory freed without owner."},
        {"poplarroute_pool_running", "Requests given a place, by pool."},
        {"poplarroute_pool_waiting", "Requests waiting, by pool."},
        {"poplarroute_peer_bytes_total", "Bytes of peer traffic."},
        {"poplarroute_watch_failures_total", "Watches without a reply."},
        {"poplarroute_part_failures_total", "Failed parts of documents."},
        {"poplarroute_list_updates_total", "Endpoint lists taken, by kind."},
        {"poplarroute_list_pages_decoded_total", "List pages that changed."},
        {"poplarroute_relayed_parts_total", "Parts of lists from a relay."},
        {"poplarroute_relay_refusals_total", "Parts that a relay refused."},
        {"poplarroute_settlements_total", "Settlements that a host sent."},
        {"poplarroute_level_refreshes_total", "Levels asked for, by end."},
        {"poplarroute_leader_calls_dropped_total", "Calls of hosts dropped."},
        {"poplarroute_hosts_behind", "Entry hosts with an older catalog."},
        {"poplarroute_control_role", "1 at the control group's leader."},
        {"poplarroute_endpoint_call_ms", "Usual time of a call, by endpoint."},
        {"poplarroute_endpoint_pace", "Expected pace, 1: usual, by endpoint."},
        {"poplarroute_engine_time_factor", "Time of work, 1: as all engines."},
        {"poplarroute_streams_waiting", "Streams in the queue, by account."},
        {"poplarroute_stream_refusals_total", "Refused streams by reason."},
        {"poplarroute_tokens_moved_total", "Tokens moved between hosts."},
    };
    return texts;
}

std::string help_text(const std::string& name)
{
    const auto found = help_texts().find(name);
    return found == help_texts().end() ? std::string() : found->second;
}

const prometheus::Histogram::BucketBoundaries& millisecond_buckets()
{
    static const prometheus::Histogram::BucketBoundaries bounds{
        1,
        2,
        5,
        10,
        20,
        35,
        50,
        69,
        100,
        150,
        250,
        350,
        450,
        700,
        1'000,
        2'000,
        5'000,
        10'000,
        30'000};
    return bounds;
}

} // namespace

struct metrics::state
{
    prometheus::Registry registry_;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
    struct gauge_family
    {
        prometheus::Family<prometheus::Gauge>* family_ = nullptr;
        std::set<prometheus::Gauge*> gauges_;
    };

    std::map<std::string, gauge_family> gauges_;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*>
        histograms_;
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::count(
    const std::string& name, const metric_labels& labels, double increment)
{
    auto& family = state_->counters_[name];
    if (family == nullptr)
    {
        family = &prometheus::BuildCounter()
                      .Name(name)
                      .Help(help_text(name))
                      .Register(state_->registry_);
    }
    family->Add(labels).Increment(increment);
}

void metrics::set(
    const std::string& name, const metric_labels& labels, double value)
{
    state::gauge_family& item = state_->gauges_[name];
    if (item.family_ == nullptr)
    {
        item.family_ = &prometheus::BuildGauge()
                            .Name(name)
                            .Help(help_text(name))
                            .Register(state_->registry_);
    }
    prometheus::Gauge& gauge = item.family_->Add(labels);
    gauge.Set(value);
    item.gauges_.insert(&gauge);
}

void metrics::clear(const std::string& name)
{
    state::gauge_family& item = state_->gauges_[name];
    for (prometheus::Gauge* gauge : item.gauges_)
    {
        item.family_->Remove(gauge);
    }
    item.gauges_.clear();
}

void metrics::observe_ms(
    const std::string& name, const metric_labels& labels, double ms)
{
    auto& family = state_->histograms_[name];
    if (family == nullptr)
    {
        family = &prometheus::BuildHistogram()
                      .Name(name)
                      .Help(help_text(name))
                      .Register(state_->registry_);
    }
    family->Add(labels, millisecond_buckets()).Observe(ms);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(state_->registry_.Collect());
}

} // namespace poplarroute::drivers
