#include "node/catalog_messages.hpp"

#include <string_view>
#include <utility>

namespace poplarroute::node
{

namespace
{

/// Beginning of the names of documents that hold an endpoint list.
constexpr std::string_view endpoint_list_prefix = "endpoints/";

} // namespace

endpoint_message to_message(const listed_endpoint& item)
{
    return {
        item.name_,
        item.service_,
        item.address_,
        item.zone_,
        item.slots_,
        item.leaving_,
        item.cold_time_left_.ms_,
        item.reads_prompts_,
        item.started_at_ms_,
        item.version_};
}

listed_endpoint from_message(const endpoint_message& item)
{
    return {
        item.name_,
        item.service_,
        item.address_,
        item.zone_,
        item.slots_,
        item.leaving_,
        item.started_at_ms_,
        core::duration{item.cold_ms_},
        item.reads_prompts_,
        item.version_};
}

policy::stream_request from_message(
    const placement_request& item, core::time_point now)
{
    policy::stream_request out;
    out.id_ = item.id_;
    out.digest_ = item.digest_;
    out.host_ = item.host_;
    out.zone_ = item.zone_;
    out.prompt_tokens_ = item.prompt_tokens_;
    out.most_output_ = item.most_output_;
    out.output_hint_ = item.output_hint_;
    out.priority_ = item.priority_;
    out.account_ =
        item.sharing_account_.empty() ? item.account_ : item.sharing_account_;
    out.first_event_deadline_ = now + core::duration{item.on_time_ms_};
    out.queue_deadline_ = now + core::duration{item.give_up_ms_};
    out.prompt_is_read_ = item.prompt_is_read_;
    out.decode_reads_prompt_ = item.decode_reads_prompt_;
    out.avoid_.insert(item.avoid_.begin(), item.avoid_.end());
    return out;
}

policy::stream_result from_message(const stream_end_message& item)
{
    policy::stream_result out;
    out.id_ = item.id_;
    out.complete_ = item.complete_;
    out.prompt_tokens_ = item.prompt_tokens_;
    out.read_ = {item.read_ms_};
    out.output_tokens_ = item.output_tokens_;
    out.decode_ = {item.decode_ms_};
    return out;
}

placement_reply to_message(const policy::stream_decision& item)
{
    return std::visit(
        core::overloaded{
            [](const policy::stream_placement& place)
            {
                placement_reply out;
                out.placed_ = true;
                out.reader_ = place.reader_;
                out.decoder_ = place.decoder_;
                out.waited_ms_ = place.waited_.ms_;
                return out;
            },
            [](const policy::stream_refusal& refusal)
            {
                placement_reply out;
                out.reason_ = policy::name_of(refusal.reason_);
                out.retry_ms_ = refusal.retry_after_.ms_;
                out.waiting_ = refusal.waiting_;
                return out;
            }},
        item);
}

document_id catalog_document(std::uint64_t version)
{
    return {"catalog", version};
}

document_id endpoint_list_document(
    std::string_view epoch, std::uint64_t revision)
{
    return {std::string(endpoint_list_prefix) + std::string(epoch), revision};
}

bool is_endpoint_list(const document_id& id)
{
    return id.name_.starts_with(endpoint_list_prefix);
}

placement_reply make_over_rate_reply(std::string inputs, core::duration wait)
{
    placement_reply out;
    out.over_rate_ = true;
    out.reason_ = std::move(inputs);
    out.retry_ms_ = wait.ms_;
    return out;
}

} // namespace poplarroute::node
