#include "control/state_machine.hpp"

#include <algorithm>
#include <utility>

#include "control/commands_json.hpp"
#include "core/result.hpp"

namespace poplarroute::control
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    history_entry, version_, operator_, wall_ms_, text_)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_turn, fence_, over_ms_)

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

/// An order that was sent may act this much later, and clocks may differ.
constexpr core::duration longest_in_flight{6'000};

constexpr std::size_t replies_kept = 4'096;
constexpr std::size_t history_kept = 50;
constexpr std::size_t changes_kept = 512;

template <class Item>
void push_bounded(std::deque<Item>& items, Item item, std::size_t most)
{
    items.push_back(std::move(item));
    while (items.size() > most)
    {
        items.pop_front();
    }
}

} // namespace

command_reply state_machine::apply(std::string_view bytes)
{
    const std::optional<command> order = decode_command(bytes);
    if (!order)
    {
        return {verdict::invalid, "the command cannot be read"};
    }
    const command_origin* origin = origin_of(*order);
    if (origin == nullptr)
    {
        return apply(*order, bytes);
    }
    const auto known = replies_.find(origin->id_);
    if (known != replies_.end())
    {
        return known->second;
    }
    const command_reply reply = apply(*order, bytes);
    remember(origin->id_, reply);
    return reply;
}

command_reply state_machine::apply(const command& order, std::string_view bytes)
{
    const auto claimed = [&](const auto& typed)
    {
        command_reply reply = claims_.apply(typed);
        claims_.expire(directory_.settings().claim_retention_);
        return reply;
    };
    const auto changed = [&](const auto& typed)
    {
        command_reply reply = directory_.apply(typed);
        if (reply.verdict_ == verdict::accepted)
        {
            push_bounded(
                changes_,
                {directory_.version(), std::string(bytes)},
                changes_kept);
        }
        return reply;
    };
    return std::visit(
        core::overloaded{
            [&](const claim_call& typed)
            {
                return claimed(typed);
            },
            [&](const record_outcome& typed)
            {
                return claimed(typed);
            },
            [&](const abandon_claim& typed)
            {
                return claimed(typed);
            },
            [&](const take_fence& typed)
            {
                return apply_fence(typed);
            },
            [&](const submit_configuration& typed)
            {
                command_reply reply = changed(typed);
                if (reply.verdict_ == verdict::accepted)
                {
                    push_bounded(
                        history_,
                        {reply.version_,
                         typed.origin_.operator_,
                         typed.origin_.wall_ms_,
                         typed.text_},
                        history_kept);
                }
                return reply;
            },
            [&](const auto& typed)
            {
                return changed(typed);
            }},
        order);
}

command_reply state_machine::apply_fence(const take_fence& order)
{
    if (directory_.settings().endpoints_.count(order.endpoint_) == 0)
    {
        return {verdict::invalid, "there is no such endpoint"};
    }
    const bool checks =
        directory_.settings().endpoints_.at(order.endpoint_).checks_fence_;
    order_turn& turn = fences_[order.endpoint_];
    const std::int64_t now = order.origin_.wall_ms_;
    const std::int64_t begins = checks ? now : std::max(now, turn.over_ms_);
    turn.over_ms_ = begins + order_lifetime.ms_ + longest_in_flight.ms_;
    command_reply reply;
    reply.verdict_ = verdict::accepted;
    reply.version_ = ++turn.fence_;
    reply.wait_ms_ = begins - now;
    return reply;
}

void state_machine::remember(const std::string& id, const command_reply& reply)
{
    replies_[id] = reply;
    reply_order_.push_back(id);
    while (reply_order_.size() > replies_kept)
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
        fences_,
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
        document->at(2).get_to(out.fences_);
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
