#pragma once

#include "node/edge_call.hpp"
#include "policy/call_course.hpp"

namespace poplarroute::node
{

/// Carries one call to a plain service: chooses endpoints, sends it, sends it
/// again where that is allowed, and answers the caller.
class plain_edge
{
public:
    plain_edge(edge_tools& tools, edge_call& call, edge_end& end);
    ~plain_edge();
    plain_edge(const plain_edge&) = delete;
    plain_edge& operator=(const plain_edge&) = delete;

    awaitable<void> run(drivers::http_exchange& exchange);

private:
    bool choose();
    awaitable<policy::send_verdict> send();
    policy::send_verdict judge(
        const core::result<drivers::http_response>& reply);
    bool may_go_on();
    awaitable<void> answer_failure(drivers::http_exchange& exchange);
    void close_try(policy::call_outcome outcome);

    edge_tools& tools_;
    edge_call& call_;
    edge_end& end_;
    policy::plain_balancer& balancer_;
    policy::call_course course_;
    std::set<core::endpoint_id> avoid_;
    core::endpoint_id endpoint_; ///< Of the try under way; empty: none.
    core::time_point began_;
    drivers::http_response reply_;
};

} // namespace poplarroute::node
