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

command_reply claim_table::apply(const claim_call& request)
{
    latest_wall_ms_ = std::max(latest_wall_ms_, request.wall_ms_);
    const claim_key key{request.account_, request.key_};
    const auto found = claims_.find(key);
    if (found == claims_.end())
    {
        claims_[key] = {
            request.digest_, request.attempt_, request.wall_ms_, std::nullopt};
        claims_by_time_.emplace(request.wall_ms_, key);
        command_reply granted;
        granted.verdict_ = verdict::granted;
        granted.attempt_ = request.attempt_;
        return granted;
    }
    const claim& held = found->second;
    command_reply reply = reply_for(held);
    if (held.digest_ != request.digest_)
    {
        reply = {};
        reply.verdict_ = verdict::mismatch;
        reply.attempt_ = held.attempt_;
    }
    else if (held.attempt_ == request.attempt_ && !held.outcome_)
    {
        reply.verdict_ = verdict::granted;
    }
    core::check_invariant(
        reply.verdict_ != verdict::granted ||
            reply.attempt_ == request.attempt_,
        "a claim must not be granted to two attempts");
    return reply;
}

command_reply claim_table::apply(const record_outcome& request)
{
    const auto found = claims_.find({request.account_, request.key_});
    command_reply reply;
    if (found == claims_.end() || found->second.attempt_ != request.attempt_)
    {
        reply.message_ = "this attempt does not hold the claim";
        return reply;
    }
    if (!found->second.outcome_)
    {
        found->second.outcome_ = recorded_response{
            request.status_, request.content_type_, request.body_};
    }
    reply.verdict_ = verdict::accepted;
    return reply;
}

command_reply claim_table::apply(const abandon_claim& request)
{
    const auto found = claims_.find({request.account_, request.key_});
    command_reply reply;
    const bool holds = found != claims_.end() &&
                       found->second.attempt_ == request.attempt_ &&
                       !found->second.outcome_;
    if (!holds)
    {
        reply.message_ = "this attempt does not hold the claim";
        return reply;
    }
    const auto [first, last] =
        claims_by_time_.equal_range(found->second.wall_ms_);
    const auto entry = std::find_if(
        first,
        last,
        [&](const auto& item)
        {
            return item.second == found->first;
        });
    claims_by_time_.erase(entry);
    claims_.erase(found);
    reply.verdict_ = verdict::accepted;
    return reply;
}

void claim_table::expire(core::duration retention)
{
    while (!claims_by_time_.empty() &&
           claims_by_time_.begin()->first + retention.ms_ < latest_wall_ms_)
    {
        claims_.erase(claims_by_time_.begin()->second);
        claims_by_time_.erase(claims_by_time_.begin());
    }
}

std::string claim_table::encode() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [key, held] : claims_)
    {
        nlohmann::json row{
            key.first, key.second, held.digest_, held.attempt_, held.wall_ms_};
        if (held.outcome_)
        {
            row.push_back(held.outcome_->status_);
            row.push_back(held.outcome_->content_type_);
            row.push_back(core::binary(held.outcome_->body_));
        }
        rows.push_back(std::move(row));
    }
    return core::encode_cbor(nlohmann::json{latest_wall_ms_, std::move(rows)});
}

std::optional<claim_table> claim_table::decode(std::string_view bytes)
{
    constexpr std::size_t fields_with_outcome = 8;
    const auto document = core::decode_cbor<nlohmann::json>(bytes);
    if (!document)
    {
        return std::nullopt;
    }
    try
    {
        claim_table out;
        document->at(0).get_to(out.latest_wall_ms_);
        for (const nlohmann::json& row : document->at(1))
        {
            claim_key key{
                row.at(0).get<std::string>(), row.at(1).get<std::string>()};
            claim held{
                row.at(2).get<std::string>(),
                row.at(3).get<std::string>(),
                row.at(4).get<std::int64_t>(),
                std::nullopt};
            if (row.size() == fields_with_outcome)
            {
                held.outcome_ = recorded_response{
                    row.at(5).get<int>(),
                    row.at(6).get<std::string>(),
                    core::text_of(row.at(7))};
            }
            out.claims_by_time_.emplace(held.wall_ms_, key);
            out.claims_[std::move(key)] = std::move(held);
        }
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::control
