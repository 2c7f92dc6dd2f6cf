#include "control/state_machine.hpp"

#include <algorithm>
#include <utility>

#include "control/commands_json.hpp"
#include "core/result.hpp"

namespace poplarroute::control
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    history_entry, version_, operator_, wall_ms_, text_)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(latest_order, fence_, over_ms_)

static void to_json(nlohmann::json& out, const directory_change& change)
{
    out = {change.version_, core::binary(change.command_)};
}

static void from_json(const nlohmann::json& in, directory_change& change)
{
    in.at(0).get_to(change.version_);
    change.command_ = core::text_of(in.at(1));
}

namespace
{

/// Time after which an order that was sent can no longer take effect. It
/// includes the difference between the routers' clocks.
constexpr core::duration max_order_in_flight{6'000};

constexpr std::size_t max_replies = 4'096;
constexpr std::size_t max_history_entries = 50;
constexpr std::size_t max_changes = 512;

/// Appends an item and drops the oldest ones beyond a maximum size.
template <class Item>
void push_bounded(std::deque<Item>& items, Item item, std::size_t max_size)
{
    items.push_back(std::move(item));
    while (items.size() > max_size)
    {
        items.pop_front();
    }
}

} // namespace

command_reply state_machine::apply(std::string_view bytes)
{
    const std::optional<command> request = decode_command(bytes);
    if (!request)
    {
        return {verdict::invalid, "the command cannot be read"};
    }
    const command_origin* origin = origin_of(*request);
    if (origin == nullptr)
    {
        return apply(*request, bytes);
    }
    const auto existing = replies_.find(origin->id_);
    if (existing != replies_.end())
    {
        return existing->second;
    }
    const command_reply reply = apply(*request, bytes);
    store_reply(origin->id_, reply);
    return reply;
}

command_reply state_machine::apply(
    const command& request, std::string_view bytes)
{
    const auto apply_to_claims = [&](const auto& item)
    {
        command_reply reply = claims_.apply(item);
        claims_.expire(directory_.settings().claim_retention_);
        return reply;
    };
    const auto apply_to_directory = [&](const auto& item)
    {
        command_reply reply = directory_.apply(item);
        if (reply.verdict_ == verdict::accepted)
        {
            push_bounded(
                changes_,
                {directory_.version(), std::string(bytes)},
                max_changes);
        }
        return reply;
    };
    return std::visit(
        core::overloaded{
            [&](const claim_call& item)
            {
                return apply_to_claims(item);
            },
            [&](const record_outcome& item)
            {
                return apply_to_claims(item);
            },
            [&](const abandon_claim& item)
            {
                return apply_to_claims(item);
            },
            [&](const acquire_fencing_number& item)
            {
                return apply_fencing_number(item);
            },
            [&](const submit_configuration& item)
            {
                command_reply reply = apply_to_directory(item);
                if (reply.verdict_ == verdict::accepted)
                {
                    push_bounded(
                        history_,
                        {reply.version_,
                         item.origin_.operator_,
                         item.origin_.wall_ms_,
                         item.text_},
                        max_history_entries);
                }
                return reply;
            },
            [&](const auto& item)
            {
                return apply_to_directory(item);
            }},
        request);
}

command_reply state_machine::apply_fencing_number(
    const acquire_fencing_number& request)
{
    if (directory_.settings().endpoints_.count(request.endpoint_) == 0)
    {
        return {verdict::invalid, "there is no such endpoint"};
    }
    const bool checks_fence =
        directory_.settings().endpoints_.at(request.endpoint_).checks_fence_;
    latest_order& latest = latest_orders_[request.endpoint_];
    const std::int64_t now_ms = request.origin_.wall_ms_;
    const std::int64_t starts_at_ms =
        checks_fence ? now_ms : std::max(now_ms, latest.over_ms_);
    latest.over_ms_ =
        starts_at_ms + order_lifetime.ms_ + max_order_in_flight.ms_;
    command_reply reply;
    reply.verdict_ = verdict::accepted;
    reply.version_ = ++latest.fence_;
    reply.wait_ms_ = starts_at_ms - now_ms;
    return reply;
}

void state_machine::store_reply(
    const std::string& id, const command_reply& reply)
{
    replies_[id] = reply;
    reply_order_.push_back(id);
    while (reply_order_.size() > max_replies)
    {
        replies_.erase(reply_order_.front());
        reply_order_.pop_front();
    }
}

std::string state_machine::encode() const
{
    nlohmann::json replies = nlohmann::json::array();
    for (const std::string& id : reply_order_)
    {
        replies.push_back({id, replies_.at(id)});
    }
    return core::encode_cbor(nlohmann::json{
        core::binary(directory_.encode()),
        core::binary(claims_.encode()),
        latest_orders_,
        std::move(replies),
        history_,
        changes_});
}

std::optional<state_machine> state_machine::decode(std::string_view bytes)
{
    const auto document = core::decode_cbor<nlohmann::json>(bytes);
    if (!document)
    {
        return std::nullopt;
    }
    try
    {
        state_machine out;
        auto fleet = directory::decode(core::text_of(document->at(0)));
        auto claims = claim_table::decode(core::text_of(document->at(1)));
        if (!fleet || !claims)
        {
            return std::nullopt;
        }
        out.directory_ = std::move(*fleet);
        out.claims_ = std::move(*claims);
        document->at(2).get_to(out.latest_orders_);
        for (const nlohmann::json& row : document->at(3))
        {
            const auto id = row.at(0).get<std::string>();
            out.replies_[id] = row.at(1).get<command_reply>();
            out.reply_order_.push_back(id);
        }
        document->at(4).get_to(out.history_);
        document->at(5).get_to(out.changes_);
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::control
