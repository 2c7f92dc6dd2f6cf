#pragma once

#include "node/ingress_call.hpp"
#include "node/event_stream_parser.hpp"
#include "node/placement_client.hpp"

namespace poplarroute::node
{

/// Carries one stream: waits for its place, has the prompt read, relays the
/// decode engine's events whole and in order, and goes on at another engine
/// where the route allows it.
class stream_edge
{
public:
    stream_edge(
        edge_tools& tools,
        placement_link& places,
        edge_call& call,
        edge_end& end);
    ~stream_edge();
    stream_edge(const stream_edge&) = delete;
    stream_edge& operator=(const stream_edge&) = delete;

    awaitable<void> run(drivers::http_exchange& exchange);

private:
    /// What became of a part of the work.
    enum class step
    {
        done,
        again,   ///< Another place may do better.
        refused, ///< Nothing has run; the caller may come back.
        failed,  ///< It may have run.
    };

    want_message next_want() const;
    awaitable<step> take_place();
    awaitable<step> read_prompt();
    awaitable<step> open_decode();
    step judge_decode();
    awaitable<step> relay(drivers::http_exchange& exchange);
    awaitable<bool> pass_on(
        drivers::http_exchange& exchange, stream_event event);
    awaitable<step> one_run(drivers::http_exchange& exchange);
    bool may_try_again();
    bool may_resume() const;
    void leave_place(bool complete);
    void forget_handle();
    void blame(const core::endpoint_id& engine);
    void note_replaced(const core::endpoint_id& engine);
    awaitable<void> answer_failure(drivers::http_exchange& exchange, step last);

    edge_tools& tools_;
    placement_link& places_;
    edge_call& call_;
    edge_end& end_;
    place_reply place_;
    bool has_place_ = false;
    std::string place_id_;
    int places_taken_ = 0;
    std::set<core::endpoint_id> avoid_;
    bool decode_reads_prompt_ = false;
    std::optional<prompt_handle> handle_;
    std::string handle_address_;
    core::time_point handle_at_;
    core::duration read_;
    std::unique_ptr<drivers::http_stream> stream_;
    event_reader events_;
    std::optional<std::int64_t> last_event_;
    core::time_point first_event_at_;
    core::time_point last_event_at_;
    core::duration retry_after_;
    int prompt_reads_ = 0;
    bool may_have_run_ = false; ///< At an engine that has since failed it.
};

} // namespace poplarroute::node
