#include "node/placement_controller.hpp"

#include <utility>

namespace poplarroute::node
{

namespace
{

/// Between two looks at what waits; short beside a prompt's reading.
constexpr core::duration decide_every{20};
constexpr core::duration idle_every{200};
constexpr core::duration refresh_every{500};

/// Beyond what a stream may wait, for the decision's own way.
constexpr core::duration answer_slack{200};

} // namespace

stream_desk::stream_desk(context& with, reach reach)
    : with_(with), reach_(reach)
{
}

void stream_desk::start()
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
    drivers::spawn(with_.io_, run());
}

void stream_desk::refresh()
{
    auto engines = engines_of(
        with_.board_.section<catalog_section>(),
        with_.board_.section<endpoint_section>(),
        sharers(),
        core::steady_now());
    for (auto& [service, facts] : engines)
    {
        for (policy::engine_facts& item : facts)
        {
            const bool changing = changing_[service].count(item.name_) != 0;
            item.usable_ = item.usable_ && !changing;
        }
        const auto seed = static_cast<std::uint64_t>(core::steady_now().ms_);
        policy::stream_broker& broker =
            brokers_.try_emplace(service, seed).first->second;
        broker.set_engines(facts);
        broker.set_sharers(sharers());
    }
    for (auto& [service, broker] : brokers_)
    {
        if (engines.count(service) == 0)
        {
            broker.set_engines({});
        }
    }
}

void stream_desk::set_changing(
    const core::service_id& service, std::set<core::endpoint_id> engines)
{
    if (changing_[service] != engines)
    {
        changing_[service] = std::move(engines);
        refresh();
    }
}

std::optional<policy::stage_rates> stream_desk::rates(
    const core::service_id& service, core::time_point now)
{
    policy::stream_broker* broker = find(service);
    return broker == nullptr ? std::nullopt : broker->rates(now);
}

void stream_desk::reset()
{
    brokers_.clear();
    refresh();
}

std::int64_t stream_desk::sharers() const
{
    return reach_ == reach::fleet
               ? 1
               : with_.board_.section<group_section>().hosts_;
}

void stream_desk::see_own_places()
{
    // Most of them were placed by a leader.
    reconcile(
        with_.identity().host_,
        running_places(
            with_.board_.section<stream_section>(), core::steady_now()));
}

policy::stream_broker* stream_desk::find(const core::service_id& service)
{
    const auto found = brokers_.find(service);
    return found == brokers_.end() ? nullptr : &found->second;
}

awaitable<place_reply> stream_desk::place(want_message want)
{
    const core::time_point now = core::steady_now();
    policy::stream_broker* broker = find(want.service_);
    if (broker == nullptr)
    {
        place_reply none;
        none.reason_ =
            policy::name_of(policy::stream_refusal_reason::no_engine);
        co_return none;
    }
    if (reach_ == reach::own_host)
    {
        see_own_places();
    }
    const std::string id = want.id_;
    const core::service_id service = want.service_;
    const answer reply = std::make_shared<awaited<place_reply>>(with_.io_);
    waiting_[id] = reply;
    broker->ask(from_message(want, now), now);
    decide_all();
    const core::duration most = core::duration{want.give_up_ms_} + answer_slack;
    std::optional<place_reply> got = co_await reply->wait(most);
    const auto found = waiting_.find(id);
    if (found != waiting_.end() && found->second == reply)
    {
        waiting_.erase(found);
    }
    if (!got)
    {
        end_message gone;
        gone.service_ = service;
        gone.id_ = id;
        end(gone);
        got = place_reply();
        got->reason_ =
            policy::name_of(policy::stream_refusal_reason::waited_out);
    }
    co_return *got;
}

void stream_desk::end(const end_message& ending)
{
    policy::stream_broker* broker = find(ending.service_);
    if (broker != nullptr)
    {
        broker->finished(from_message(ending), core::steady_now());
        decide_all();
    }
}

void stream_desk::note(const note_message& what)
{
    policy::stream_broker* broker = find(what.service_);
    if (broker == nullptr)
    {
        return;
    }
    const core::time_point now = core::steady_now();
    if (!what.read_.empty())
    {
        broker->prompt_read(what.read_);
    }
    if (!what.failed_.empty())
    {
        broker->failed(what.failed_, what.host_, now);
    }
    if (!what.lapsed_.empty())
    {
        broker->lapsed(what.lapsed_, now);
    }
    if (!what.replaced_.empty())
    {
        broker->replaced(what.replaced_, now);
    }
    for (const core::endpoint_id& name : what.worked_)
    {
        broker->worked(name, what.host_, now);
    }
    decide_all();
}

void stream_desk::reconcile(
    const core::host_id& host, const std::vector<place_message>& places)
{
    std::map<core::service_id, std::vector<policy::held_place>> held;
    for (const place_message& item : places)
    {
        held[item.service_].push_back(
            {item.id_,
             item.decoder_,
             item.prompt_tokens_,
             item.expected_output_,
             core::duration{item.age_ms_}});
    }
    const core::time_point now = core::steady_now();
    for (auto& [service, broker] : brokers_)
    {
        broker.reconcile(host, held[service], now);
        broker.expire(now);
    }
}

void stream_desk::decide_all()
{
    const core::time_point now = core::steady_now();
    for (auto& [service, broker] : brokers_)
    {
        if (broker.waiting() == 0)
        {
            continue;
        }
        for (const policy::stream_decision& item : broker.decide(now))
        {
            const std::string& id = std::visit(
                [](const auto& decided) -> const std::string&
                {
                    return decided.id_;
                },
                item);
            const auto found = waiting_.find(id);
            if (found != waiting_.end())
            {
                found->second->set(to_message(item));
                waiting_.erase(found);
            }
        }
    }
}

awaitable<void> stream_desk::run()
{
    core::time_point refreshed_at = core::steady_now();
    for (;;)
    {
        const bool busy = !waiting_.empty();
        co_await drivers::sleep_for(busy ? decide_every : idle_every);
        const core::time_point now = core::steady_now();
        if (now - refreshed_at >= refresh_every)
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
