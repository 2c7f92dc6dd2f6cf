#include "node/placement_controller.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::node
{

namespace
{

/// Time between decisions on queued requests; short compared to a prefill.
constexpr core::duration decision_interval{20};
constexpr core::duration idle_interval{200};
constexpr core::duration refresh_interval{500};

/// Added to a stream's longest queue time, for the decision itself.
constexpr core::duration reply_margin{200};

} // namespace

placement_controller::placement_controller(context& with, scope scope)
    : with_(with), scope_(scope)
{
}

void placement_controller::start()
{
    with_.board_.section<catalog_section>().on_change_.emplace_back(
        [this]()
        {
            refresh();
        });
    with_.board_.section<endpoint_section>().on_change_.emplace_back(
        [this]()
        {
            refresh();
        });
    drivers::spawn_loop(
        with_.io_,
        "placement_controller",
        [this]()
        {
            return run();
        });
}

void placement_controller::refresh()
{
    auto engines = engines_of(
        with_.board_.section<catalog_section>(),
        with_.board_.section<endpoint_section>(),
        scheduling_hosts(),
        core::steady_now());
    for (auto& [service, service_engines] : engines)
    {
        for (policy::engine_info& item : service_engines)
        {
            const bool changing =
                changing_engines_[service].count(item.name_) != 0;
            item.usable_ = item.usable_ && !changing;
        }
        const auto seed = static_cast<std::uint64_t>(core::steady_now().ms_);
        policy::stream_scheduler& scheduler =
            schedulers_.try_emplace(service, seed).first->second;
        scheduler.set_engines(service_engines);
        scheduler.set_scheduling_hosts(scheduling_hosts().value_or(1));
    }
    for (auto& [service, scheduler] : schedulers_)
    {
        if (engines.count(service) == 0)
        {
            scheduler.set_engines({});
        }
    }
}

void placement_controller::set_changing_engines(
    const core::service_id& service, std::set<core::endpoint_id> engines)
{
    if (changing_engines_[service] != engines)
    {
        changing_engines_[service] = std::move(engines);
        refresh();
    }
}

std::optional<policy::stage_rates> placement_controller::rates(
    const core::service_id& service, core::time_point now)
{
    policy::stream_scheduler* scheduler = find(service);
    return scheduler == nullptr ? std::nullopt : scheduler->rates(now);
}

void placement_controller::set_metrics() const
{
    static constexpr const char* factor_gauge =
        "poplarroute_engine_time_factor";
    static constexpr const char* waiting_gauge = "poplarroute_streams_waiting";
    with_.metrics_.clear(factor_gauge);
    with_.metrics_.clear(waiting_gauge);
    for (const auto& [service, scheduler] : schedulers_)
    {
        auto speeds = scheduler.speeds(core::steady_now());
        speeds.resize(std::min(speeds.size(), max_speed_gauges));
        for (const policy::engine_speed_view& item : speeds)
        {
            with_.metrics_.set(
                factor_gauge,
                {{"service", service},
                 {"endpoint", item.name_},
                 {"stage", item.reads_prompts_ ? "prefill" : "decode"}},
                item.factor_);
        }
        for (const auto& [account, count] : scheduler.waiting_by_account())
        {
            with_.metrics_.set(
                waiting_gauge,
                {{"service", service}, {"account", account}},
                static_cast<double>(count));
        }
    }
}

void placement_controller::reset()
{
    schedulers_.clear();
    refresh();
}

/// \return the number of hosts that place streams independently; nothing when
/// unknown.
std::optional<std::int64_t> placement_controller::scheduling_hosts() const
{
    return scope_ == scope::fleet
               ? 1
               : with_.board_.section<group_section>().hosts_;
}

void placement_controller::reconcile_local_placements()
{
    // The leader placed most of them, so the local schedulers do not know them.
    reconcile(
        with_.identity().host_,
        running_placements(
            with_.board_.section<stream_section>(), core::steady_now()));
}

policy::stream_scheduler* placement_controller::find(
    const core::service_id& service)
{
    const auto found = schedulers_.find(service);
    return found == schedulers_.end() ? nullptr : &found->second;
}

/// \return the price of a stream in seconds of its account's rate; 0: unknown.
double placement_controller::share_cost(const placement_request& request) const
{
    const auto& view = with_.board_.section<catalog_section>().view_;
    const bool is_shared = !request.sharing_account_.empty();
    const control::catalog_account* account =
        view == nullptr
            ? nullptr
            : view->find_account(
                  is_shared ? request.sharing_account_ : request.account_);
    const std::int64_t price =
        is_shared ? request.sharing_price_ : request.price_;
    return account == nullptr || account->rate_ <= 0 || price <= 0
               ? 0
               : static_cast<double>(price) /
                     static_cast<double>(account->rate_);
}

awaitable<placement_reply> placement_controller::place(
    placement_request request)
{
    const core::time_point now = core::steady_now();
    policy::stream_scheduler* scheduler = find(request.service_);
    if (scheduler == nullptr)
    {
        placement_reply refusal;
        refusal.reason_ =
            policy::name_of(policy::stream_refusal_reason::no_engine);
        co_return refusal;
    }
    if (scope_ == scope::own_host)
    {
        reconcile_local_placements();
    }
    const std::string id = request.id_;
    const core::service_id service = request.service_;
    const pending_reply reply =
        std::make_shared<pending_value<placement_reply>>(with_.io_);
    waiting_[id] = reply;
    policy::stream_request asked = from_message(request, now);
    asked.share_cost_ = share_cost(request);
    scheduler->ask(std::move(asked), now);
    decide_all();
    const core::duration max_wait =
        core::duration{request.give_up_ms_} + reply_margin;
    std::optional<placement_reply> result = co_await reply->wait(max_wait);
    const auto found = waiting_.find(id);
    if (found != waiting_.end() && found->second == reply)
    {
        waiting_.erase(found);
    }
    if (!result)
    {
        stream_end_message ending;
        ending.service_ = service;
        ending.id_ = id;
        end_stream(ending);
        result = placement_reply();
        result->reason_ =
            policy::name_of(policy::stream_refusal_reason::waited_out);
    }
    co_return *result;
}

void placement_controller::end_stream(const stream_end_message& ending)
{
    policy::stream_scheduler* scheduler = find(ending.service_);
    if (scheduler != nullptr)
    {
        scheduler->finished(from_message(ending), core::steady_now());
        decide_all();
    }
}

void placement_controller::record_engine_event(
    const engine_event_message& event)
{
    policy::stream_scheduler* scheduler = find(event.service_);
    if (scheduler == nullptr)
    {
        return;
    }
    const core::time_point now = core::steady_now();
    if (!event.read_.empty())
    {
        scheduler->prefill_finished(event.read_);
    }
    if (!event.failed_.empty())
    {
        scheduler->failed(event.failed_, event.host_, now);
    }
    if (!event.lapsed_.empty())
    {
        scheduler->record_handle_expiry(event.lapsed_, now);
    }
    if (!event.replaced_.empty())
    {
        scheduler->replaced(event.replaced_, now);
    }
    for (const engine_pace_message& item : event.paces_)
    {
        scheduler->record_pace(item.engine_, item.percent_, now);
    }
    for (const core::endpoint_id& name : event.worked_)
    {
        scheduler->record_success(name, event.host_, now);
    }
    decide_all();
}

void placement_controller::reconcile(
    const core::host_id& host, const std::vector<placement_message>& placements)
{
    std::map<core::service_id, std::vector<policy::reported_placement>>
        reported;
    for (const placement_message& item : placements)
    {
        reported[item.service_].push_back(
            {item.id_,
             item.decoder_,
             item.prompt_tokens_,
             item.expected_output_,
             core::duration{item.age_ms_}});
    }
    const core::time_point now = core::steady_now();
    for (auto& [service, scheduler] : schedulers_)
    {
        scheduler.reconcile(host, reported[service], now);
        scheduler.expire(now);
    }
}

void placement_controller::decide_all()
{
    const core::time_point now = core::steady_now();
    for (auto& [service, scheduler] : schedulers_)
    {
        if (scheduler.waiting() == 0)
        {
            continue;
        }
        for (const policy::stream_decision& item : scheduler.decide(now))
        {
            const std::string& id = std::visit(
                [](const auto& decision) -> const std::string&
                {
                    return decision.id_;
                },
                item);
            const auto* refusal = std::get_if<policy::stream_refusal>(&item);
            if (refusal != nullptr)
            {
                with_.metrics_.count(
                    "poplarroute_stream_refusals_total",
                    {{"service", service},
                     {"account", refusal->account_},
                     {"reason", policy::name_of(refusal->reason_)}});
            }
            const auto found = waiting_.find(id);
            if (found != waiting_.end())
            {
                found->second->set(to_message(item));
                waiting_.erase(found);
            }
        }
    }
}

awaitable<void> placement_controller::run()
{
    core::time_point refreshed_at = core::steady_now();
    for (;;)
    {
        const bool busy = !waiting_.empty();
        co_await drivers::sleep_for(busy ? decision_interval : idle_interval);
        const core::time_point now = core::steady_now();
        if (now - refreshed_at >= refresh_interval)
        {
            refreshed_at = now;
            refresh();
        }
        if (busy)
        {
            decide_all();
        }
    }
}

} // namespace poplarroute::node
