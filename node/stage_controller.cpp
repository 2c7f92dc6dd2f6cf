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

/// Between two looks at the stages; a change takes seconds.
constexpr core::duration look_every{500};

constexpr core::duration report_deadline{400};

/// An order leaves right after leadership was confirmed, and is given up long
/// before a successor may order.
constexpr core::duration order_deadline{700};

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int no_answer = 0;

std::vector<policy::staged_engine> staged(
    const std::vector<policy::engine_facts>& engines)
{
    std::vector<policy::staged_engine> out;
    out.reserve(engines.size());
    for (const policy::engine_facts& item : engines)
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
    const wire_dialect& dialect,
    stream_desk& desk)
    : with_(with), group_(group), dialect_(dialect), desk_(desk)
{
}

void stage_controller::start()
{
    drivers::spawn(with_.io_, run());
}

/// Forgets what a former leadership has ordered.
void stage_controller::begin_leading()
{
    const core::duration lease =
        with_.board_.section<settings_section>().settings_.bounds_.order_lease_;
    for (auto& [service, planner] : planners_)
    {
        planner.begin_leading(core::steady_now(), lease);
        desk_.set_changing(service, {});
    }
}

policy::stage_planner& stage_controller::planner_of(
    const core::service_id& service)
{
    const auto [found, fresh] = planners_.try_emplace(service);
    if (fresh)
    {
        found->second.begin_leading(
            core::steady_now(),
            with_.board_.section<settings_section>()
                .settings_.bounds_.order_lease_);
    }
    return found->second;
}

awaitable<void> stage_controller::run()
{
    for (;;)
    {
        co_await drivers::sleep_for(look_every);
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
                co_await tend(name);
            }
        }
    }
}

awaitable<void> stage_controller::tend(core::service_id service)
{
    const core::time_point now = core::steady_now();
    const catalog_section& catalog = with_.board_.section<catalog_section>();
    const control::catalog_service* known =
        catalog.view_->find_service(service);
    const std::optional<policy::stage_rates> rates = desk_.rates(service, now);
    if (known == nullptr || !known->engine_ || !rates)
    {
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
        planner.plan(staged(engines->second), *rates, now);
    for (const policy::stage_change& change : changes)
    {
        co_await order(service, change, *rates);
    }
    desk_.set_changing(service, planner_of(service).changing());
}

awaitable<std::optional<engine_report>> stage_controller::ask_report(
    const known_endpoint& engine)
{
    drivers::http_call call =
        dialect_.report_call(engine.listed_.address_, engine.listed_.name_);
    call.timeout_ = report_deadline;
    const core::result<drivers::http_response> reply =
        co_await with_.http_.request(std::move(call));
    if (!core::is_ok(reply) || core::value(reply).status_ != status_ok)
    {
        co_return std::nullopt;
    }
    co_return dialect_.decode_report(core::value(reply).body_);
}

/// \return the engine's status; 0 when none came, and the order may yet be
/// carried out.
awaitable<int> stage_controller::send(
    const known_endpoint& engine,
    policy::stage_change change,
    std::int64_t sequence)
{
    stage_order order;
    order.reads_prompts_ = change.reads_prompts_;
    order.holder_ = with_.identity().host_;
    order.fence_ = static_cast<std::int64_t>(term_);
    order.after_orders_ = sequence;
    drivers::http_call call = dialect_.stage_call(
        engine.listed_.address_, engine.listed_.name_, order);
    call.timeout_ = order_deadline;
    const core::result<drivers::http_response> reply =
        co_await with_.http_.request(std::move(call));
    co_return core::is_ok(reply) ? core::value(reply).status_ : no_answer;
}

awaitable<void> stage_controller::order(
    core::service_id service,
    policy::stage_change change,
    policy::stage_rates rates)
{
    const auto& list = with_.board_.section<endpoint_section>().endpoints_;
    const auto found = list.find(change.engine_);
    if (found == list.end())
    {
        co_return;
    }
    const known_endpoint engine = found->second;
    const std::optional<engine_report> report = co_await ask_report(engine);
    const bool ready = report && !report->changing_ &&
                       report->reads_prompts_ != change.reads_prompts_;
    // Only a leader that a majority still follows may order.
    const core::result<core::done> leading = co_await group_.read_barrier();
    int status = no_answer;
    const bool may_order = ready && core::is_ok(leading) && group_.leads() &&
                           group_.member()->term() == term_;
    if (may_order)
    {
        status = co_await send(engine, change, report->orders_taken_);
    }
    const core::time_point now = core::steady_now();
    const bool taken =
        status == status_ok || status == status_accepted || status == no_answer;
    policy::stage_planner& planner = planner_of(service);
    if (may_order && taken)
    {
        planner.ordered(change, now);
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
         {"per_reader", static_cast<std::int64_t>(rates.per_reader_)},
         {"per_decoder_x10",
          static_cast<std::int64_t>(10 * rates.per_decoder_)}});
}

} // namespace poplarroute::node
