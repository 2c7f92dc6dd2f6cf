#include "node/plain_edge.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::node
{

using policy::send_verdict;

namespace
{

/// An endpoint that does not take a connection in this time is not there;
/// the way between zones and back takes some milliseconds.
constexpr core::duration connect_patience{150};

/// When to come back after a refusal for want of an endpoint or its room.
constexpr core::duration retry_after{150};

constexpr int first_error_status = 500;

} // namespace

plain_edge::plain_edge(edge_tools& tools, edge_call& call, edge_end& end)
    : tools_(tools),
      call_(call),
      end_(end),
      balancer_(tools.balancers_
                    .try_emplace(
                        call.service_,
                        static_cast<std::uint64_t>(core::steady_now().ms_))
                    .first->second),
      course_(
          {call.route_.kind_ == control::call_kind::idempotent,
           static_cast<int>(call.route_.most_endpoints_)})
{
}

plain_edge::~plain_edge()
{
    // Reached with a try under way only when the caller has left.
    close_try(policy::call_outcome::shed);
}

void plain_edge::close_try(policy::call_outcome outcome)
{
    if (!endpoint_.empty())
    {
        balancer_.end(endpoint_, outcome, began_, core::steady_now());
        endpoint_.clear();
    }
}

bool plain_edge::choose()
{
    const core::time_point now = core::steady_now();
    const context& with = tools_.with_;
    const std::vector<policy::plain_endpoint> known = plain_endpoints_of(
        with.board_.section<catalog_section>(),
        with.board_.section<endpoint_section>(),
        call_.service_,
        with.board_.section<group_section>().hosts_,
        now);
    balancer_.set_endpoints(known);
    const auto chosen = balancer_.begin(
        with.board_.section<settings_section>().settings_.zone_, avoid_, now);
    if (!chosen)
    {
        return false;
    }
    endpoint_ = *chosen;
    end_.endpoint_ = endpoint_;
    began_ = now;
    return true;
}

awaitable<send_verdict> plain_edge::send()
{
    const known_endpoint* to = tools_.find(endpoint_);
    if (to == nullptr)
    {
        close_try(policy::call_outcome::unreachable);
        co_return send_verdict::nothing_sent;
    }
    const send_plan plan = plan_to(*to, call_);
    drivers::http_call out = tools_.dialect_.encode_call(call_.request_, plan);
    out.timeout_ = course_.patience(plan.deadline_);
    out.connect_timeout_ = std::min(connect_patience, out.timeout_);
    ++end_.sends_;
    const core::result<drivers::http_response> reply =
        co_await tools_.with_.http_.request(std::move(out));
    co_return judge(reply);
}

send_verdict plain_edge::judge(
    const core::result<drivers::http_response>& reply)
{
    using policy::call_outcome;
    if (!core::is_ok(reply))
    {
        const core::error& why = core::failure(reply);
        end_.detail_ = why.message_;
        if (why.code_ == core::errc::unreachable)
        {
            --end_.sends_;
            close_try(call_outcome::unreachable);
            return send_verdict::nothing_sent;
        }
        if (why.code_ == core::errc::broken)
        {
            tools_.suspect(call_, endpoint_, policy::evidence::starter);
        }
        close_try(call_outcome::broken);
        return send_verdict::may_have_run;
    }
    const drivers::http_response& got = core::value(reply);
    const answer_facts facts =
        tools_.dialect_.facts_of(call_.request_, got.status_, got.headers_);
    if (facts.running_)
    {
        balancer_.told_load(
            endpoint_, *facts.running_, facts.waiting_, core::steady_now());
    }
    if (facts.misdirected_ || facts.not_run_)
    {
        end_.detail_ =
            facts.misdirected_ ? "misdirected" : "rejected by the endpoint";
        close_try(
            facts.misdirected_ ? call_outcome::unreachable
                               : call_outcome::shed);
        return send_verdict::not_run;
    }
    if (!facts.signed_ || !facts.echoes_attempt_)
    {
        end_.detail_ = "the answer is not this request's";
        close_try(call_outcome::broken);
        return send_verdict::may_have_run;
    }
    const bool error = got.status_ >= first_error_status;
    close_try(error ? call_outcome::errored : call_outcome::answered);
    reply_ = got;
    return send_verdict::answered;
}

bool plain_edge::may_go_on()
{
    if (!course_.may_send_again(time_left(call_)))
    {
        return false;
    }
    return !course_.needs_allowance() || tools_.may_resend(call_.service_);
}

awaitable<void> plain_edge::run(drivers::http_exchange& exchange)
{
    send_verdict last = send_verdict::nothing_sent;
    bool more = true;
    while (more)
    {
        const bool chosen = choose();
        if (!chosen)
        {
            break;
        }
        const core::endpoint_id tried = endpoint_;
        last = co_await send();
        course_.note(last);
        avoid_.insert(tried);
        more = may_go_on();
    }
    if (last != send_verdict::answered)
    {
        co_await answer_failure(exchange);
        co_return;
    }
    end_.status_ = reply_.status_;
    end_.outcome_ = "answered";
    drivers::header_list headers =
        tools_.dialect_.answer_headers(reply_.headers_);
    co_await exchange.send(
        reply_.status_, std::move(headers), std::move(reply_.body_));
}

awaitable<void> plain_edge::answer_failure(drivers::http_exchange& exchange)
{
    std::optional<core::duration> retry;
    switch (course_.ending(time_left(call_)))
    {
    case policy::call_ending::not_run:
        end_.status_ = status_unavailable;
        end_.outcome_ = "refused_no_endpoint";
        retry = retry_after;
        break;
    case policy::call_ending::lost:
        end_.status_ = status_bad_gateway;
        end_.outcome_ = "endpoint_lost";
        break;
    case policy::call_ending::timed_out:
        end_.status_ = status_timeout;
        end_.outcome_ = "timed_out";
        break;
    }
    co_await answer_own(
        exchange, tools_.dialect_, call_.request_, end_.status_, retry);
}

} // namespace poplarroute::node
