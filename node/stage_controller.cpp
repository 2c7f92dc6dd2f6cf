#include "node/stage_controller.hpp"

#include <utility>
#include <vector>

#include "drivers/log.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

/// Time between two planning rounds; a change takes seconds.
constexpr core::duration planning_interval{500};

constexpr core::duration report_timeout{400};

/// Time after the confirmation of the leadership was requested in which an
/// order may be sent. A paused process must not act on an older confirmation.
constexpr core::duration order_validity{700};

/// Timeout of an order. It is sent right after leadership was confirmed, and
/// abandoned long before a successor may give orders.
constexpr core::duration order_timeout{700};

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_no_response = 0;
constexpr int status_not_sent = -1;

std::vector<policy::staged_engine> to_staged_engines(
    const std::vector<policy::engine_info>& engines)
{
    std::vector<policy::staged_engine> out;
    out.reserve(engines.size());
    for (const policy::engine_info& item : engines)
    {
        out.push_back(
            {item.name_, item.zone_, item.reads_prompts_, item.usable_});
    }
    return out;
}

} // namespace

stage_controller::stage_controller(
    context& with,
    catalog_replica& group,
    const wire_codec& codec,
    placement_controller& placements)
    : with_(with),
      group_(group),
      codec_(codec),
      endpoints_(with, codec),
      placements_(placements)
{
}

void stage_controller::start()
{
    drivers::spawn_loop(
        with_.io_,
        "stage_controller",
        [this]()
        {
            return run();
        });
}

/// Discards the orders of an earlier term.
void stage_controller::begin_leading()
{
    const core::duration lease =
        with_.board_.section<settings_section>().settings_.bounds_.order_lease_;
    for (auto& [service, planner] : planners_)
    {
        planner.begin_leading(core::steady_now(), lease);
        placements_.set_changing_engines(service, {});
    }
}

policy::stage_planner& stage_controller::planner_of(
    const core::service_id& service)
{
    const auto [entry, is_new] = planners_.try_emplace(service);
    if (is_new)
    {
        entry->second.begin_leading(
            core::steady_now(),
            with_.board_.section<settings_section>()
                .settings_.bounds_.order_lease_);
    }
    return entry->second;
}

awaitable<void> stage_controller::run()
{
    for (;;)
    {
        co_await drivers::sleep_for(planning_interval);
        const catalog_section& catalog =
            with_.board_.section<catalog_section>();
        if (!group_.leads() || !catalog.view_)
        {
            continue;
        }
        if (group_.member()->term() != term_)
        {
            term_ = group_.member()->term();
            begin_leading();
        }
        const std::shared_ptr<const control::catalog_view> view = catalog.view_;
        for (const auto& [name, service] : view->whole().services_)
        {
            if (service.engine_)
            {
                co_await plan_service(name);
            }
        }
    }
}

awaitable<void> stage_controller::plan_service(core::service_id service)
{
    const core::time_point now = core::steady_now();
    const catalog_section& catalog = with_.board_.section<catalog_section>();
    const control::catalog_service* known =
        catalog.view_->find_service(service);
    const std::optional<policy::stage_rates> rates =
        placements_.rates(service, now);
    if (known == nullptr || !known->engine_ || !rates)
    {
        co_return;
    }
    const control::rollout* rollout = group_.state().find_rollout(service);
    if (rollout != nullptr && rollout->is_running())
    {
        // The engines of both versions serve, so the rates say nothing of the
        // stages that either of them needs.
        co_return;
    }
    const auto all =
        engines_of(catalog, with_.board_.section<endpoint_section>(), 1, now);
    const auto engines = all.find(service);
    if (engines == all.end())
    {
        co_return;
    }
    policy::stage_planner& planner = planner_of(service);
    planner.set_change_time(known->engine_->stage_change_time_);
    const std::vector<policy::stage_change> changes =
        planner.plan(to_staged_engines(engines->second), *rates, now);
    for (const policy::stage_change& change : changes)
    {
        co_await order_change(service, change, *rates);
    }
    placements_.set_changing_engines(service, planner_of(service).changing());
}

awaitable<std::optional<engine_report>> stage_controller::fetch_report(
    const known_endpoint& engine)
{
    drivers::http_call call = codec_.engine_report_call(
        engine.listed_.address_, engine.listed_.name_);
    call.timeout_ = report_timeout;
    const core::result<drivers::http_response> reply =
        co_await endpoints_.request(
            engine.listed_.name_,
            policy::call_purpose::housekeeping,
            std::move(call));
    if (!core::is_ok(reply) || core::value(reply).status_ != status_ok)
    {
        co_return std::nullopt;
    }
    co_return codec_.decode_engine_report(core::value(reply).body_);
}

/// \return the status of the engine's response; status_no_response when the
/// order may still be carried out, status_not_sent when it never will be.
awaitable<int> stage_controller::send_order(
    const known_endpoint& engine,
    policy::stage_change change,
    std::int64_t sequence,
    core::time_point send_before)
{
    stage_order order;
    order.reads_prompts_ = change.reads_prompts_;
    order.holder_ = with_.identity().host_;
    order.fence_ = static_cast<std::int64_t>(term_);
    order.expected_accepted_orders_ = sequence;
    drivers::http_call call = codec_.stage_order_call(
        engine.listed_.address_, engine.listed_.name_, order);
    call.timeout_ = order_timeout;
    call.send_before_ = send_before;
    const core::result<drivers::http_response> reply =
        co_await endpoints_.request(
            engine.listed_.name_,
            policy::call_purpose::housekeeping,
            std::move(call));
    if (core::is_ok(reply))
    {
        co_return core::value(reply).status_;
    }
    const core::errc code = core::failure(reply).code_;
    const bool is_unsent =
        code == core::errc::withheld || code == core::errc::unreachable;
    co_return is_unsent ? status_not_sent : status_no_response;
}

awaitable<void> stage_controller::order_change(
    core::service_id service,
    policy::stage_change change,
    policy::stage_rates rates)
{
    const auto& list = with_.board_.section<endpoint_section>().endpoints_;
    const auto entry = list.find(change.engine_);
    if (entry == list.end())
    {
        co_return;
    }
    const known_endpoint engine = entry->second;
    const std::optional<engine_report> report = co_await fetch_report(engine);
    const bool ready = report && !report->changing_ &&
                       report->reads_prompts_ != change.reads_prompts_;
    // Only a leader that a majority still follows may give orders.
    const core::time_point confirmed_from = core::steady_now();
    const core::result<core::done> leading = co_await group_.read_barrier();
    int status = status_no_response;
    const bool may_order = ready && core::is_ok(leading) && group_.leads() &&
                           group_.member()->term() == term_;
    if (may_order)
    {
        status = co_await send_order(
            engine,
            change,
            report->accepted_orders_,
            confirmed_from + order_validity);
    }
    const core::time_point now = core::steady_now();
    const bool taken = status == status_ok || status == status_accepted ||
                       status == status_no_response;
    policy::stage_planner& planner = planner_of(service);
    if (may_order && taken)
    {
        planner.record_order(change, now);
    }
    else
    {
        planner.refused(change.engine_, now);
    }
    log_event(
        log_level::info,
        "stage_ordered",
        {{"service", service},
         {"endpoint", change.engine_},
         {"reads_prompts", change.reads_prompts_ ? 1 : 0},
         {"sent", may_order ? 1 : 0},
         {"status", status},
         {"term", term_},
         {"offered", static_cast<std::int64_t>(rates.offered_)},
         {"per_reader", static_cast<std::int64_t>(rates.per_prefill_engine_)},
         {"per_decoder_x10",
          static_cast<std::int64_t>(10 * rates.per_decode_engine_)}});
}

} // namespace poplarroute::node
