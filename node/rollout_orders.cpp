#include "node/rollout_orders.hpp"

#include <algorithm>
#include <cctype>
#include <memory>
#include <utility>

#include "control/catalog.hpp"
#include "drivers/log.hpp"
#include "node/fleet_sections.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Time for one order or read. It is shorter than the second for which an
/// operator's client waits for a member's reply.
constexpr core::duration order_timeout{900};

/// Time between attempts to find a leader that decides.
constexpr core::duration leader_search_interval{150};

/// Longest version that an order may name, in bytes.
constexpr std::size_t max_target_bytes = 128;

/// \return whether a version that no endpoint has yet may be a target.
bool is_well_formed_version(std::string_view version)
{
    return !version.empty() && version.size() <= max_target_bytes &&
           std::all_of(
               version.begin(),
               version.end(),
               [](unsigned char character)
               {
                   return std::isgraph(character) != 0;
               });
}

rollout_order_reply accepted()
{
    return {true, false, false, ""};
}

rollout_order_reply invalid(std::string problem)
{
    return {false, true, false, std::move(problem)};
}

rollout_order_reply conflicting(std::string problem)
{
    return {false, false, true, std::move(problem)};
}

bool is_undecided(const operator_call_result& result)
{
    return !result.accepted_ && !result.invalid_ && !result.conflicts_;
}

std::string describe(const control::rollout& item)
{
    return "roll-out " + std::to_string(item.id_) + " of " + item.service_ +
           " to " + item.target_ + " (" +
           std::string(control::to_string(item.phase_)) + ")";
}

} // namespace

rollout_orders::rollout_orders(context& with, catalog_replica& group)
    : with_(with), group_(group)
{
}

void rollout_orders::start()
{
    register_calls();
    group_.on_change(
        [this]()
        {
            log_new_steps();
        });
}

/// Logs steps that the group has recorded, whoever decided them.
void rollout_orders::log_new_steps()
{
    for (const auto& [service, item] : group_.state().rollouts())
    {
        auto& [id, steps] = logged_steps_[service];
        if (id != item.id_)
        {
            id = item.id_;
            steps = 0;
        }
        for (; steps < item.steps_.size(); ++steps)
        {
            const control::rollout_step& step = item.steps_[steps];
            log_event(
                log_level::info,
                "rollout_step_recorded",
                {{"service", service},
                 {"target", item.target_},
                 {"id", item.id_},
                 {"phase", std::string(control::to_string(step.phase_))},
                 {"at_ms", step.at_ms_},
                 {"reserved", item.reserved_},
                 {"reason", step.reason_}});
        }
    }
}

void rollout_orders::register_calls()
{
    const auto start_or_cancel =
        [this](drivers::peer_identity, rollout_order request)
        -> awaitable<core::result<rollout_order_reply>>
    {
        operator_call_result result;
        if (request.withdraws_)
        {
            result = co_await cancel(std::move(request.service_));
        }
        else
        {
            result = co_await order(
                std::move(request.service_),
                std::move(request.target_),
                core::duration{request.deadline_ms_});
        }
        if (is_undecided(result))
        {
            co_return error{errc::not_ready, std::move(result.problem_)};
        }
        co_return rollout_order_reply{
            result.accepted_,
            result.invalid_,
            result.conflicts_,
            std::move(result.problem_)};
    };
    with_.calls_.add_typed<rollout_order, rollout_order_reply>(
        method::rollouts_order,
        allowed_callers::operator_or_host,
        start_or_cancel);
    with_.calls_.add_typed<rollout_query, rollout_history>(
        method::rollouts_show,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, rollout_query request)
            -> awaitable<core::result<rollout_history>>
        {
            return read(std::move(request.service_));
        });
    with_.calls_.add_typed<rollout_order, rollout_order_reply>(
        method::rollouts_decide,
        allowed_callers::host,
        [this](drivers::peer_identity, rollout_order request)
            -> awaitable<core::result<rollout_order_reply>>
        {
            return decide_here(std::move(request));
        });
    with_.calls_.add_typed<rollout_query, rollout_history>(
        method::rollouts_read,
        allowed_callers::host,
        [this](drivers::peer_identity, rollout_query request)
            -> awaitable<core::result<rollout_history>>
        {
            return read_here(std::move(request.service_));
        });
}

awaitable<operator_call_result> rollout_orders::order(
    core::service_id service, std::string target, core::duration deadline)
{
    rollout_order order;
    order.service_ = std::move(service);
    order.target_ = std::move(target);
    order.deadline_ms_ = deadline.ms_;
    order.ordered_at_ms_ = core::wall_ms();
    const order_key key{order.service_, order.target_, order.deadline_ms_};
    const auto [known, is_first] = deciding_->try_emplace(key, false);
    if (!is_first)
    {
        known->second = true;
        log_event(
            log_level::info,
            "rollout_order_in_progress",
            {{"service", order.service_}, {"target", order.target_}});
        operator_call_result in_progress;
        in_progress.conflicts_ = true;
        in_progress.problem_ = "this order is in progress";
        co_return in_progress;
    }
    // The entry also has to go when an exception ends the coroutine. At the end
    // of the process, the coroutine may be destroyed after this object.
    const std::shared_ptr<void> at_end(
        nullptr,
        [deciding = deciding_, key](void*)
        {
            deciding->erase(key);
        });
    const core::duration ack_time = with_.board_.section<settings_section>()
                                        .settings_.bounds_.operator_ack_time_;
    const core::time_point until = core::steady_now() + ack_time;
    operator_call_result out = co_await decide(order);
    // An operator that was told that the order is in progress does not send it
    // again, so this member does.
    while (is_undecided(out) && deciding_->at(key) &&
           core::steady_now() < until)
    {
        co_await drivers::sleep_for(leader_search_interval);
        out = co_await decide(order);
    }
    co_return out;
}

awaitable<operator_call_result> rollout_orders::cancel(core::service_id service)
{
    rollout_order order;
    order.service_ = std::move(service);
    order.ordered_at_ms_ = core::wall_ms();
    order.withdraws_ = true;
    operator_call_result out = co_await decide(std::move(order));
    co_return out;
}

awaitable<operator_call_result> rollout_orders::decide(rollout_order order)
{
    const core::result<rollout_order_reply> decision =
        co_await ask_leader(order);
    const bool decided = core::is_ok(decision);
    operator_call_result out;
    if (decided)
    {
        const rollout_order_reply& reply = core::value(decision);
        out.accepted_ = reply.accepted_;
        out.invalid_ = reply.invalid_;
        out.conflicts_ = reply.conflicts_;
        out.problem_ = reply.problem_;
    }
    else
    {
        out.problem_ = core::failure(decision).message_;
    }
    const char* outcome = "undecided";
    if (out.accepted_)
    {
        outcome = "accepted";
    }
    else if (out.invalid_)
    {
        outcome = "invalid";
    }
    else if (out.conflicts_)
    {
        outcome = "conflict";
    }
    log_event(
        out.accepted_ ? log_level::info : log_level::warning,
        order.withdraws_ ? "rollout_withdrawal" : "rollout_order",
        {{"outcome", outcome},
         {"service", order.service_},
         {"target", order.target_},
         {"deadline_ms", order.deadline_ms_},
         {"ordered_at_ms", order.ordered_at_ms_},
         {"problem", out.problem_}});
    with_.metrics_.count(
        "poplarroute_rollout_orders_total", {{"outcome", outcome}});
    co_return out;
}

awaitable<core::result<rollout_order_reply>> rollout_orders::ask_leader(
    rollout_order order)
{
    const core::time_point until = core::steady_now() + order_timeout;
    error last{errc::not_ready, "no leader is known"};
    while (core::steady_now() < until)
    {
        core::result<rollout_order_reply> reply = last;
        const core::host_id leader = group_.leader();
        if (group_.leads())
        {
            reply = co_await decide_here(order);
        }
        else if (!leader.empty())
        {
            reply = co_await ask<rollout_order_reply>(
                with_.peers_,
                leader,
                method::rollouts_decide,
                order,
                until - core::steady_now());
        }
        if (core::is_ok(reply))
        {
            co_return reply;
        }
        last = core::failure(reply);
        const bool may_be_sent_again = last.code_ == errc::not_leader ||
                                       last.code_ == errc::not_ready ||
                                       last.code_ == errc::unreachable;
        if (!may_be_sent_again)
        {
            break;
        }
        co_await drivers::sleep_for(leader_search_interval);
    }
    co_return last;
}

awaitable<core::result<rollout_order_reply>> rollout_orders::decide_here(
    rollout_order order)
{
    const core::result<core::done> current = co_await group_.read_barrier();
    if (!core::is_ok(current))
    {
        co_return core::failure(current);
    }
    if (order.withdraws_)
    {
        core::result<rollout_order_reply> withdrawn =
            co_await decide_withdrawal(std::move(order));
        co_return withdrawn;
    }
    core::result<rollout_order_reply> started =
        co_await decide_start(std::move(order));
    co_return started;
}

std::string rollout_orders::find_problem(const rollout_order& order) const
{
    const fleet_bounds& bounds =
        with_.board_.section<settings_section>().settings_.bounds_;
    if (!bounds.rollout_share_)
    {
        return "roll-outs are not served: the settings have no bound on their "
               "exposure";
    }
    if (order.deadline_ms_ < min_rollout_deadline.ms_ ||
        order.deadline_ms_ > max_rollout_deadline.ms_)
    {
        return "the deadline is not between " +
               std::to_string(min_rollout_deadline.ms_) + " ms and " +
               std::to_string(max_rollout_deadline.ms_) + " ms";
    }
    const std::vector<std::string> listed = listed_versions(order.service_);
    const bool is_listed =
        std::find(listed.begin(), listed.end(), order.target_) != listed.end();
    if (order.target_.empty() ||
        (!is_listed && !is_well_formed_version(order.target_)))
    {
        return "the target is no version: it has to have 1 to " +
               std::to_string(max_target_bytes) +
               " printable characters without blanks";
    }
    return {};
}

std::vector<std::string> rollout_orders::listed_versions(
    const core::service_id& service) const
{
    std::set<std::string> out;
    for (const auto& [name, item] :
         with_.board_.section<endpoint_section>().endpoints_)
    {
        if (item.listed_.service_ == service)
        {
            out.insert(item.listed_.version_);
        }
    }
    return {out.begin(), out.end()};
}

control::start_rollout rollout_orders::make_command(
    const rollout_order& order) const
{
    const fleet_bounds& bounds =
        with_.board_.section<settings_section>().settings_.bounds_;
    return {
        order.service_,
        order.target_,
        listed_versions(order.service_),
        order.ordered_at_ms_,
        order.deadline_ms_,
        bounds.operator_ack_time_.ms_ * 2};
}

awaitable<core::result<rollout_order_reply>> rollout_orders::decide_start(
    rollout_order order)
{
    control::start_rollout command = make_command(order);
    const control::rollout* known = group_.state().find_rollout(order.service_);
    if (known != nullptr && control::is_repeat(command, *known))
    {
        // What was accepted is not refused later, whatever has changed since.
        log_started(order, false);
        co_return accepted();
    }
    std::string problem = find_problem(order);
    if (!problem.empty())
    {
        co_return invalid(std::move(problem));
    }
    // The barrier has applied all that was committed, but the catalog that it
    // brought may not be readable.
    const catalog_section& section = with_.board_.section<catalog_section>();
    const bool is_current = section.view_ && section.view_->whole().version_ ==
                                                 group_.state().version();
    if (!is_current)
    {
        co_return error{errc::not_ready, "no configuration is in force"};
    }
    if (section.view_->find_service(order.service_) == nullptr)
    {
        co_return invalid("there is no service " + order.service_);
    }
    std::string bytes =
        control::encode(control::catalog_command(std::move(command)));
    const core::result<control::catalog_reply> reply =
        co_await group_.submit(std::move(bytes));
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    if (!core::value(reply).conflicts_)
    {
        log_started(order, core::value(reply).changed_);
        co_return accepted();
    }
    const control::rollout* latest =
        group_.state().find_rollout(order.service_);
    std::string conflict = "the order contradicts a newer one";
    if (latest != nullptr && latest->is_running())
    {
        conflict = describe(*latest) + " is running";
    }
    else if (latest != nullptr)
    {
        conflict = describe(*latest) + " was ordered later";
    }
    co_return conflicting(std::move(conflict));
}

void rollout_orders::log_started(const rollout_order& order, bool is_new) const
{
    const control::rollout* latest =
        group_.state().find_rollout(order.service_);
    log_event(
        log_level::info,
        is_new ? "rollout_started" : "rollout_order_repeated",
        {{"service", order.service_},
         {"target", order.target_},
         {"id", latest == nullptr ? 0 : latest->id_},
         {"deadline_ms", order.deadline_ms_}});
}

awaitable<core::result<rollout_order_reply>> rollout_orders::decide_withdrawal(
    rollout_order order)
{
    const control::rollout* latest =
        group_.state().find_rollout(order.service_);
    if (latest == nullptr)
    {
        co_return invalid("there is no roll-out of " + order.service_);
    }
    if (latest->phase_ == control::rollout_phase::rolled_back)
    {
        co_return accepted();
    }
    if (!latest->is_running())
    {
        co_return conflicting(describe(*latest) + " has ended");
    }
    control::advance_rollout command;
    command.service_ = order.service_;
    command.id_ = latest->id_;
    command.phase_ = control::rollout_phase::rolled_back;
    command.at_ms_ = order.ordered_at_ms_;
    command.reason_ = "withdrawn by an operator";
    std::string bytes =
        control::encode(control::catalog_command(std::move(command)));
    const core::result<control::catalog_reply> reply =
        co_await group_.submit(std::move(bytes));
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    if (core::value(reply).conflicts_)
    {
        co_return conflicting("the roll-out has ended meanwhile");
    }
    co_return accepted();
}

awaitable<core::result<rollout_history>> rollout_orders::read(
    core::service_id service)
{
    if (group_.leads())
    {
        core::result<rollout_history> out =
            co_await read_here(std::move(service));
        co_return out;
    }
    core::host_id leader = group_.leader();
    if (leader.empty())
    {
        co_return error{errc::not_ready, "no leader is known"};
    }
    rollout_query query{std::move(service)};
    core::result<rollout_history> out = co_await ask<rollout_history>(
        with_.peers_,
        std::move(leader),
        method::rollouts_read,
        std::move(query),
        order_timeout);
    co_return out;
}

awaitable<core::result<rollout_history>> rollout_orders::read_here(
    core::service_id service)
{
    const core::result<core::done> current = co_await group_.read_barrier();
    if (!core::is_ok(current))
    {
        co_return core::failure(current);
    }
    rollout_history out;
    out.rollouts_ = group_.state().earlier_rollouts(service);
    const control::rollout* latest = group_.state().find_rollout(service);
    if (latest != nullptr)
    {
        out.rollouts_.push_back(*latest);
    }
    co_return out;
}

} // namespace poplarroute::node
