#include "node/document_publisher.hpp"

#include <utility>

#include "core/codec.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;

namespace
{

/// Number of revisions for which encoded changes are kept. Hosts have one of
/// the last few.
constexpr std::size_t max_encoded_changes = 64;

/// \return the list, with times relative to when it was read.
std::vector<endpoint_message> make_list_messages(const endpoint_section& list)
{
    std::vector<endpoint_message> out;
    out.reserve(list.endpoints_.size());
    for (const auto& [name, item] : list.endpoints_)
    {
        out.push_back(to_message(item, list.read_at_));
    }
    return out;
}

} // namespace

document_publisher::document_publisher(
    context& with, const catalog_replica& group)
    : with_(with), group_(group)
{
}

void document_publisher::begin_leading(core::time_point now)
{
    leading_since_ = now;
}

void document_publisher::record_list()
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    changes_.update(list.revision_, list.endpoints_);
}

/// \return whether this member has read the endpoint list since it leads. One
/// from an earlier time may show endpoints that have left since.
bool document_publisher::has_current_list() const
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    return group_.leads() && list.read_at_.ms_ > 0 &&
           list.read_at_ >= leading_since_;
}

/// \return whether the newest endpoint list is in force at a host.
bool document_publisher::has_newest_list(const watch_request& request) const
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    return request.list_epoch_ == list.epoch_ &&
           request.list_revision_ == list.revision_;
}

bool document_publisher::has_list_news(const watch_request& request)
{
    if (!has_current_list() || has_newest_list(request))
    {
        return false;
    }
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    const bool was_told = request.fetches_parts_ &&
                          request.known_list_epoch_ == list.epoch_ &&
                          request.known_list_revision_ == list.revision_;
    return !was_told || encoded_changes(request) != nullptr;
}

/// \return the changes that bring a host's list up to date; nullptr if it has
/// to fetch the whole.
const std::string* document_publisher::encoded_changes(
    const watch_request& request)
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    if (!request.takes_changes_ || request.list_epoch_ != list.epoch_ ||
        changes_.revision() != list.revision_)
    {
        return nullptr;
    }
    if (encoded_revision_ != list.revision_ ||
        encoded_read_at_ != list.read_at_ ||
        encoded_changes_.size() > max_encoded_changes)
    {
        encoded_changes_.clear();
        encoded_revision_ = list.revision_;
        encoded_read_at_ = list.read_at_;
    }
    const auto [found, is_new] =
        encoded_changes_.try_emplace(request.list_revision_);
    if (is_new)
    {
        const auto changes =
            changes_.since(request.list_revision_, list.read_at_);
        if (changes)
        {
            found->second = core::encode_cbor(*changes);
        }
    }
    return found->second.empty() ? nullptr : &found->second;
}

const std::vector<core::endpoint_id>& document_publisher::leaving_endpoints()
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    if (leaving_revision_ != list.revision_)
    {
        leaving_revision_ = list.revision_;
        leaving_.clear();
        for (const auto& [name, item] : list.endpoints_)
        {
            if (item.listed_.leaving_)
            {
                leaving_.push_back(name);
            }
        }
    }
    return leaving_;
}

void document_publisher::add_list(
    const watch_request& request, watch_reply& reply)
{
    if (!has_current_list())
    {
        return;
    }
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    reply.list_epoch_ = list.epoch_;
    reply.list_revision_ = list.revision_;
    reply.list_age_ms_ = (core::steady_now() - list.read_at_).ms_;
    const bool is_current = has_newest_list(request);
    const std::string* changes =
        is_current ? nullptr : encoded_changes(request);
    if (changes != nullptr)
    {
        reply.list_changes_ = core::binary(*changes);
        return;
    }
    if (is_current && request.takes_changes_)
    {
        return;
    }
    reply.leaving_ = leaving_endpoints();
    if (request.list_epoch_ == list.epoch_)
    {
        reply.withdrawn_ = changes_.removed_since(request.list_revision_);
    }
    reply.list_sent_ = !is_current && !request.fetches_parts_;
    if (reply.list_sent_)
    {
        reply.list_ = make_list_messages(list);
    }
}

core::result<document_part_reply> document_publisher::answer_part(
    const document_part_request& request)
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    const control::catalog_state_machine& state = group_.state();
    const core::time_point now = core::steady_now();
    document_id newest = catalog_document(state.version());
    const bool is_catalog = request.id_.name_ == newest.name_;
    if (!is_catalog)
    {
        newest = endpoint_list_document(list.epoch_, list.revision_);
    }
    const bool is_available =
        is_catalog ? state.version() > 0 : has_current_list();
    if (!is_available || request.id_.name_ != newest.name_ ||
        request.id_.revision_ > newest.revision_)
    {
        return error{errc::not_ready, "this member has no such document"};
    }
    document_part_request served = request;
    if (!documents_.contains(request.id_))
    {
        const std::uint64_t kept =
            is_catalog ? 0 : documents_.newest_revision(newest.name_);
        const bool suffices = request.least_revision_ > 0 &&
                              kept >= request.least_revision_ &&
                              changes_.since(kept, list.read_at_).has_value();
        served = {suffices ? document_id{newest.name_, kept} : newest, 0, 0};
    }
    if (!documents_.contains(served.id_))
    {
        if (is_catalog)
        {
            documents_.put(served.id_, state.text(), now);
        }
        else
        {
            const std::string content =
                core::encode_cbor(make_list_messages(list));
            documents_.put(served.id_, content, list.read_at_);
        }
    }
    const auto part = documents_.part(served, now);
    if (!part)
    {
        return error{errc::invalid, "the offset is outside the document"};
    }
    return *part;
}

} // namespace poplarroute::node
