#include "control/rollouts.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace poplarroute::control
{

namespace
{

constexpr std::array<std::pair<rollout_phase, std::string_view>, 4> phase_names{
    {{rollout_phase::trial, "trial"},
     {rollout_phase::switching, "switching"},
     {rollout_phase::completed, "completed"},
     {rollout_phase::rolled_back, "rolled_back"}}};

bool contains(const std::vector<std::string>& list, std::string_view item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

void add_versions(
    std::vector<std::string>& to,
    const std::vector<std::string>& versions,
    std::string_view target)
{
    for (const std::string& version : versions)
    {
        if (version != target && !contains(to, version))
        {
            to.push_back(version);
        }
    }
}

bool follows(rollout_phase phase, rollout_phase next)
{
    switch (phase)
    {
    case rollout_phase::trial:
        return next == rollout_phase::switching ||
               next == rollout_phase::rolled_back;
    case rollout_phase::switching:
        return next == rollout_phase::completed ||
               next == rollout_phase::rolled_back;
    case rollout_phase::completed:
    case rollout_phase::rolled_back:
        break;
    }
    return false;
}

} // namespace

bool is_barred(const rollout& item, std::string_view version)
{
    if (contains(item.barred_, version))
    {
        return true;
    }
    switch (item.phase_)
    {
    case rollout_phase::completed:
        return contains(item.from_, version);
    case rollout_phase::rolled_back:
        return version == item.target_;
    case rollout_phase::trial:
    case rollout_phase::switching:
        break;
    }
    return false;
}

rollout_role role_of(const rollout& item, std::string_view version)
{
    return version == item.target_ ? rollout_role::target
                                   : rollout_role::baseline;
}

std::string_view to_string(rollout_phase phase)
{
    for (const auto& [item, name] : phase_names)
    {
        if (item == phase)
        {
            return name;
        }
    }
    return "unknown";
}

std::optional<rollout_phase> parse_rollout_phase(std::string_view name)
{
    for (const auto& [item, text] : phase_names)
    {
        if (text == name)
        {
            return item;
        }
    }
    return std::nullopt;
}

bool is_repeat(const start_rollout& order, const rollout& item)
{
    return item.target_ == order.target_ &&
           item.deadline_ms_ == order.deadline_ms_ &&
           (item.is_running() || order.ordered_at_ms_ - item.ordered_at_ms_ <
                                     order.repeat_window_ms_);
}

rollout make_rollout(
    const start_rollout& order, std::uint64_t id, const rollout* earlier)
{
    rollout out;
    out.id_ = id;
    out.service_ = order.service_;
    out.target_ = order.target_;
    add_versions(out.from_, order.from_, order.target_);
    out.ordered_at_ms_ = order.ordered_at_ms_;
    out.deadline_ms_ = order.deadline_ms_;
    if (earlier != nullptr)
    {
        add_versions(out.barred_, earlier->barred_, order.target_);
        if (earlier->phase_ == rollout_phase::completed)
        {
            add_versions(out.barred_, earlier->from_, order.target_);
        }
        else
        {
            add_versions(out.barred_, {earlier->target_}, order.target_);
        }
    }
    if (out.barred_.size() > max_barred_versions)
    {
        out.barred_.erase(
            out.barred_.begin(),
            out.barred_.end() -
                static_cast<std::ptrdiff_t>(max_barred_versions));
    }
    out.steps_.push_back(
        {rollout_phase::trial, order.ordered_at_ms_, "ordered"});
    return out;
}

rollout_change apply(const reserve_exposure& command, rollout& item)
{
    if (command.id_ != item.id_ || !item.is_running())
    {
        return {false, true};
    }
    const bool rises = command.reserved_ > item.reserved_;
    item.reserved_ = std::max(item.reserved_, command.reserved_);
    return {rises, false};
}

rollout_change apply(const advance_rollout& command, rollout& item)
{
    if (command.id_ == item.id_ && command.phase_ == item.phase_)
    {
        return {false, false};
    }
    if (command.id_ != item.id_ || !follows(item.phase_, command.phase_))
    {
        return {false, true};
    }
    item.phase_ = command.phase_;
    add_versions(item.from_, command.from_, item.target_);
    item.steps_.push_back(
        {command.phase_,
         command.at_ms_,
         command.reason_.substr(0, max_rollout_reason_bytes)});
    return {true, false};
}

void to_json(nlohmann::json& out, rollout_phase phase)
{
    out = std::string(to_string(phase));
}

void from_json(const nlohmann::json& document, rollout_phase& phase)
{
    static const nlohmann::json phases = []()
    {
        nlohmann::json out = nlohmann::json::object();
        for (const auto& [item, name] : phase_names)
        {
            out[std::string(name)] = static_cast<int>(item);
        }
        return out;
    }();
    // A name that is not there throws, as a field of another type does.
    phase = static_cast<rollout_phase>(
        phases.at(document.get<std::string>()).get<int>());
}

} // namespace poplarroute::control
