#include "control/catalog_state_machine.hpp"

#include <algorithm>
#include <utility>

#include "core/codec.hpp"
#include "core/result.hpp"

namespace poplarroute::control
{

namespace
{

enum class command_kind
{
    submit = 0,
    zone = 1,
    start_rollout = 2,
    reserve_exposure = 3,
    advance_rollout = 4,
};

/// Largest time and duration that a command may give; sums and differences of
/// such values do not overflow.
constexpr std::int64_t max_command_ms = 1'000'000'000'000'000;

bool is_valid_time(std::int64_t ms)
{
    return ms >= 0 && ms <= max_command_ms;
}

bool is_valid(const start_rollout& order)
{
    return !order.service_.empty() && !order.target_.empty() &&
           is_valid_time(order.ordered_at_ms_) && order.deadline_ms_ > 0 &&
           is_valid_time(order.deadline_ms_) &&
           is_valid_time(order.repeat_window_ms_);
}

} // namespace

std::string encode(const catalog_command& command)
{
    const nlohmann::json out = std::visit(
        core::overloaded{
            [](const submit_catalog& item) -> nlohmann::json
            {
                nlohmann::json out = nlohmann::json::array(
                    {command_kind::submit,
                     item.version_,
                     core::binary(item.text_)});
                if (item.services_)
                {
                    out.push_back(*item.services_);
                    out.push_back(item.at_ms_);
                }
                return out;
            },
            [](const set_zone_out_of_service& item) -> nlohmann::json
            {
                nlohmann::json out = nlohmann::json::array(
                    {command_kind::zone, item.zone_, item.out_});
                if (item.base_)
                {
                    out.push_back(*item.base_);
                }
                return out;
            },
            [](const start_rollout& item)
            {
                return nlohmann::json::array(
                    {command_kind::start_rollout, item});
            },
            [](const reserve_exposure& item)
            {
                return nlohmann::json::array(
                    {command_kind::reserve_exposure, item});
            },
            [](const advance_rollout& item)
            {
                return nlohmann::json::array(
                    {command_kind::advance_rollout, item});
            }},
        command);
    return core::encode_cbor(out);
}

catalog_state_machine::reply catalog_state_machine::apply(
    std::string_view bytes)
{
    const auto command = core::parse_cbor(bytes);
    // Any host can submit a command, so its fields are checked at each member.
    try
    {
        return command ? apply_decoded(*command)
                       : reply{false, false, version_};
    }
    catch (const nlohmann::json::exception&)
    {
        return {false, false, version_};
    }
}

/// \throws nlohmann::json::exception when the document is no command; the state
/// is then unchanged.
catalog_state_machine::reply catalog_state_machine::apply_decoded(
    const nlohmann::json& command)
{
    reply out;
    bool is_told_to_hosts = true;
    switch (command.at(0).get<command_kind>())
    {
    case command_kind::submit:
    {
        submit_catalog request;
        request.version_ = command.at(1).get<std::uint64_t>();
        request.text_ = core::text_of(command.at(2));
        if (command.size() > 3)
        {
            request.services_ =
                command.at(3).get<std::vector<core::service_id>>();
            request.at_ms_ = command.at(4).get<std::int64_t>();
        }
        out = apply_catalog(request);
        break;
    }
    case command_kind::zone:
    {
        set_zone_out_of_service request;
        request.zone_ = command.at(1).get<core::zone_id>();
        request.out_ = command.at(2).get<bool>();
        if (command.size() > 3)
        {
            request.base_ = command.at(3).get<std::uint64_t>();
        }
        out = apply_zone(request);
        break;
    }
    case command_kind::start_rollout:
        out = apply_start(command.at(1).get<start_rollout>());
        break;
    case command_kind::reserve_exposure:
        out = apply_reservation(command.at(1).get<reserve_exposure>());
        is_told_to_hosts = false;
        break;
    case command_kind::advance_rollout:
        out = apply_advance(command.at(1).get<advance_rollout>());
        break;
    }
    revision_ += out.changed_ && is_told_to_hosts ? 1 : 0;
    return out;
}

catalog_state_machine::reply catalog_state_machine::apply_catalog(
    const submit_catalog& request)
{
    if (request.version_ <= version_)
    {
        return {false, false, version_};
    }
    text_ = request.text_;
    version_ = request.version_;
    if (request.services_)
    {
        end_rollouts_of_others(
            *request.services_,
            std::clamp<std::int64_t>(request.at_ms_, 0, max_command_ms));
    }
    return {true, false, version_};
}

/// Rolls back the roll-outs of services that the catalog does not have, and
/// forgets those that ended long ago.
void catalog_state_machine::end_rollouts_of_others(
    const std::vector<core::service_id>& services, std::int64_t at_ms)
{
    for (auto next = rollouts_.begin(); next != rollouts_.end();)
    {
        const auto current = next++;
        rollout& item = current->second;
        const bool is_in_catalog =
            std::find(services.begin(), services.end(), current->first) !=
            services.end();
        if (is_in_catalog)
        {
            continue;
        }
        if (item.is_running())
        {
            control::apply(
                advance_rollout{
                    item.service_,
                    item.id_,
                    rollout_phase::rolled_back,
                    at_ms,
                    "configuration " + std::to_string(version_) +
                        " removed the service",
                    {}},
                item);
        }
        else if (
            at_ms - item.steps_.back().at_ms_ > orphaned_rollout_retention.ms_)
        {
            earlier_rollouts_.erase(current->first);
            rollouts_.erase(current);
        }
    }
}

catalog_state_machine::reply catalog_state_machine::apply_start(
    const start_rollout& order)
{
    reply out{false, true, version_};
    if (!is_valid(order))
    {
        return out;
    }
    const rollout* latest = find_rollout(order.service_);
    if (latest != nullptr && is_repeat(order, *latest))
    {
        out.conflicts_ = false;
        return out;
    }
    const bool is_outdated =
        latest != nullptr &&
        (latest->is_running() || order.ordered_at_ms_ < latest->ordered_at_ms_);
    if (is_outdated)
    {
        return out;
    }
    rollout next = make_rollout(order, revision_ + 1, latest);
    if (latest != nullptr)
    {
        std::vector<rollout>& earlier = earlier_rollouts_[order.service_];
        earlier.push_back(*latest);
        if (earlier.size() > max_earlier_rollouts)
        {
            earlier.erase(earlier.begin());
        }
    }
    rollouts_[order.service_] = std::move(next);
    return {true, false, version_};
}

catalog_state_machine::reply catalog_state_machine::apply_reservation(
    const reserve_exposure& request)
{
    const auto found = rollouts_.find(request.service_);
    if (found == rollouts_.end())
    {
        return {false, true, version_};
    }
    const rollout_change change = control::apply(request, found->second);
    return {change.changed_, change.conflicts_, version_};
}

catalog_state_machine::reply catalog_state_machine::apply_advance(
    const advance_rollout& request)
{
    const auto found = rollouts_.find(request.service_);
    if (found == rollouts_.end() || !is_valid_time(request.at_ms_))
    {
        return {false, true, version_};
    }
    const rollout_change change = control::apply(request, found->second);
    return {change.changed_, change.conflicts_, version_};
}

const rollout* catalog_state_machine::find_rollout(
    const core::service_id& service) const
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
}

std::vector<rollout> catalog_state_machine::earlier_rollouts(
    const core::service_id& service) const
{
    const auto found = earlier_rollouts_.find(service);
    return found == earlier_rollouts_.end() ? std::vector<rollout>()
                                            : found->second;
}

catalog_state_machine::reply catalog_state_machine::apply_zone(
    const set_zone_out_of_service& request)
{
    const bool changes = (zones_out_.count(request.zone_) != 0) != request.out_;
    const bool is_outdated =
        request.base_ && *request.base_ != zone_revision(request.zone_);
    if (!changes || is_outdated)
    {
        return {false, changes, version_};
    }
    if (request.out_)
    {
        zones_out_.insert(request.zone_);
    }
    else
    {
        zones_out_.erase(request.zone_);
    }
    zone_revisions_[request.zone_] = revision_ + 1;
    return {true, false, version_};
}

std::uint64_t catalog_state_machine::zone_revision(
    const core::zone_id& zone) const
{
    const auto found = zone_revisions_.find(zone);
    return found == zone_revisions_.end() ? 0 : found->second;
}

std::string catalog_state_machine::encode() const
{
    return core::encode_cbor(nlohmann::json::array(
        {revision_,
         version_,
         core::binary(text_),
         zones_out_,
         zone_revisions_,
         rollouts_,
         earlier_rollouts_}));
}

std::optional<catalog_state_machine> catalog_state_machine::decode(
    std::string_view bytes)
{
    const auto document = core::parse_cbor(bytes);
    if (!document)
    {
        return std::nullopt;
    }
    // This program wrote the snapshot, so a field of another type means that
    // the bytes are damaged.
    try
    {
        catalog_state_machine out;
        out.revision_ = document->at(0).get<std::uint64_t>();
        out.version_ = document->at(1).get<std::uint64_t>();
        out.text_ = core::text_of(document->at(2));
        out.zones_out_ = document->at(3).get<std::set<core::zone_id>>();
        if (document->size() > 4)
        {
            document->at(4).get_to(out.zone_revisions_);
        }
        if (document->size() > 5)
        {
            document->at(5).get_to(out.rollouts_);
            document->at(6).get_to(out.earlier_rollouts_);
        }
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::control
