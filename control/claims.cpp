#include "control/claims.hpp"

#include <algorithm>

#include "control/commands_json.hpp"
#include "core/invariant.hpp"

namespace poplarroute::control
{

namespace
{

command_reply reply_for(const claim& held)
{
    command_reply reply;
    reply.attempt_ = held.attempt_;
    reply.verdict_ = verdict::in_progress;
    if (held.outcome_)
    {
        reply.verdict_ = verdict::recorded;
        reply.status_ = held.outcome_->status_;
        reply.content_type_ = held.outcome_->content_type_;
        reply.body_ = held.outcome_->body_;
    }
    return reply;
}

} // namespace

command_reply claim_table::apply(const claim_call& order)
{
    latest_ms_ = std::max(latest_ms_, order.wall_ms_);
    const claim_key name{order.account_, order.key_};
    const auto found = claims_.find(name);
    if (found == claims_.end())
    {
        claims_[name] = {
            order.digest_, order.attempt_, order.wall_ms_, std::nullopt};
        by_age_.emplace(order.wall_ms_, name);
        command_reply granted;
        granted.verdict_ = verdict::granted;
        granted.attempt_ = order.attempt_;
        return granted;
    }
    const claim& held = found->second;
    command_reply reply = reply_for(held);
    if (held.digest_ != order.digest_)
    {
        reply = {};
        reply.verdict_ = verdict::mismatch;
        reply.attempt_ = held.attempt_;
    }
    else if (held.attempt_ == order.attempt_ && !held.outcome_)
    {
        reply.verdict_ = verdict::granted;
    }
    core::check_invariant(
        reply.verdict_ != verdict::granted || reply.attempt_ == order.attempt_,
        "a claim is granted to one attempt");
    return reply;
}

command_reply claim_table::apply(const record_outcome& order)
{
    const auto found = claims_.find({order.account_, order.key_});
    command_reply reply;
    if (found == claims_.end() || found->second.attempt_ != order.attempt_)
    {
        reply.message_ = "this attempt does not hold the claim";
        return reply;
    }
    if (!found->second.outcome_)
    {
        found->second.outcome_ =
            outcome{order.status_, order.content_type_, order.body_};
    }
    reply.verdict_ = verdict::accepted;
    return reply;
}

command_reply claim_table::apply(const abandon_claim& order)
{
    const auto found = claims_.find({order.account_, order.key_});
    command_reply reply;
    const bool holds = found != claims_.end() &&
                       found->second.attempt_ == order.attempt_ &&
                       !found->second.outcome_;
    if (!holds)
    {
        reply.message_ = "this attempt does not hold the claim";
        return reply;
    }
    const auto [first, last] = by_age_.equal_range(found->second.wall_ms_);
    const auto aged = std::find_if(
        first,
        last,
        [&](const auto& item)
        {
            return item.second == found->first;
        });
    by_age_.erase(aged);
    claims_.erase(found);
    reply.verdict_ = verdict::accepted;
    return reply;
}

void claim_table::expire(core::duration retention)
{
    while (!by_age_.empty() &&
           by_age_.begin()->first + retention.ms_ < latest_ms_)
    {
        claims_.erase(by_age_.begin()->second);
        by_age_.erase(by_age_.begin());
    }
}

std::string claim_table::encode() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [name, held] : claims_)
    {
        nlohmann::json row{
            name.first,
            name.second,
            held.digest_,
            held.attempt_,
            held.wall_ms_};
        if (held.outcome_)
        {
            row.push_back(held.outcome_->status_);
            row.push_back(held.outcome_->content_type_);
            row.push_back(core::binary(held.outcome_->body_));
        }
        rows.push_back(std::move(row));
    }
    return core::encode_cbor(nlohmann::json{latest_ms_, std::move(rows)});
}

std::optional<claim_table> claim_table::decode(std::string_view bytes)
{
    constexpr std::size_t with_outcome = 8;
    const auto document = core::decode_cbor<nlohmann::json>(bytes);
    if (!document)
    {
        return std::nullopt;
    }
    try
    {
        claim_table out;
        document->at(0).get_to(out.latest_ms_);
        for (const nlohmann::json& row : document->at(1))
        {
            claim_key name{
                row.at(0).get<std::string>(), row.at(1).get<std::string>()};
            claim held{
                row.at(2).get<std::string>(),
                row.at(3).get<std::string>(),
                row.at(4).get<std::int64_t>(),
                std::nullopt};
            if (row.size() == with_outcome)
            {
                held.outcome_ = outcome{
                    row.at(5).get<int>(),
                    row.at(6).get<std::string>(),
                    core::text_of(row.at(7))};
            }
            out.by_age_.emplace(held.wall_ms_, name);
            out.claims_[std::move(name)] = std::move(held);
        }
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::control
