#pragma once

#include "node/event_sequence.hpp"
#include "node/event_stream_parser.hpp"
#include "node/ingress_call.hpp"
#include "node/placement_client.hpp"
#include "node/stream_origin_guard.hpp"

namespace poplarroute::node
{

/// Forwards one stream: waits for its placement, has the prompt prefilled,
/// relays the decode engine's complete events in order, and resumes the stream
/// at another engine where the route allows it.
class stream_forwarder
{
public:
    stream_forwarder(
        ingress_context& ingress,
        placement_client& placements,
        ingress_call& call,
        ingress_result& result);
    ~stream_forwarder();
    stream_forwarder(const stream_forwarder&) = delete;
    stream_forwarder& operator=(const stream_forwarder&) = delete;

    awaitable<void> run(drivers::http_exchange& exchange);

private:
    /// Result of one step of the stream.
    enum class step_result
    {
        done,
        retry,   ///< Another placement may succeed.
        refused, ///< Nothing has run; the caller may retry.
        failed,  ///< It may have run.
    };

    std::set<core::endpoint_id> engines_to_avoid() const;
    placement_request make_placement_request() const;
    awaitable<step_result> acquire_placement();
    std::optional<std::string> misplaced_version() const;
    void avoid_other_versions(const std::string& version);
    awaitable<step_result> prefill_prompt();
    awaitable<step_result> open_decode_stream();
    step_result check_decode_response();
    awaitable<step_result> relay_events(drivers::http_exchange& exchange);
    awaitable<step_result> forward_event(
        drivers::http_exchange& exchange, stream_event event);
    awaitable<step_result> run_once(drivers::http_exchange& exchange);
    bool may_place_again();
    bool refuse_if_quarantined();
    void check_for_crash();
    void record_stream_failure();
    void record_times();
    bool has_just_begun() const;
    void report_answered_parts();
    bool may_resume() const;
    bool continues_response() const;
    void release_placement(bool complete);
    void release_kv_handle();
    void report_failure(const core::endpoint_id& engine);
    void add_pace(
        engine_event_message& event,
        const core::endpoint_id& engine,
        const drivers::header_list& headers,
        int status) const;
    void report_replaced(const core::endpoint_id& engine);
    bool may_hand_on(step_result last) const;
    awaitable<bool> hand_on(drivers::http_exchange& exchange);
    awaitable<void> answer_failure(
        drivers::http_exchange& exchange, step_result last);

    ingress_context& ingress_;
    placement_client& placements_;
    ingress_call& call_;
    ingress_result& result_;
    placement_reply placement_;
    bool has_placement_ = false;
    placement_permission permission_;          ///< Of the placement.
    std::optional<rollout_send> counted_send_; ///< The call that runs now.
    std::string placement_id_;
    int placement_attempts_ = 0;
    std::set<core::endpoint_id> avoid_;
    bool avoids_versions_ = false; ///< See avoid_other_versions().
    bool decode_reads_prompt_ = false;
    std::optional<kv_handle> kv_handle_;
    std::string kv_handle_address_;
    std::string kv_version_; ///< Of the engine that keeps the KV handle.

    stream_origin_guard origin_;
    core::time_point prefilled_at_;
    core::duration prefill_time_;
    std::unique_ptr<drivers::http_stream> stream_;
    event_stream_parser parser_;
    event_sequence sequence_;
    std::string content_type_; ///< Of the response that has begun.
    core::time_point first_event_at_;
    core::time_point last_event_at_;

    /// Events from the engine that answers now, and the time of the first.
    std::int64_t events_from_engine_ = 0;
    core::time_point engine_began_at_;
    core::time_point sent_at_; ///< To the decode engine.
    core::duration retry_after_;
    int prefills_sent_ = 0;
    bool may_have_run_ = false; ///< An engine that failed may have run it.
    bool has_reported_parts_ = false;
};

} // namespace poplarroute::node
