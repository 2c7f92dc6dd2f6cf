#include "node/endpoint_list_follower.hpp"

#include <algorithm>

#include "drivers/log.hpp"
#include "node/endpoint_changes.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

endpoint_list_follower::endpoint_list_follower(context& with) : with_(with) {}

endpoint_section& endpoint_list_follower::list() const
{
    return with_.board_.section<endpoint_section>();
}

void endpoint_list_follower::add_to(watch_request& request) const
{
    request.list_epoch_ = list().epoch_;
    request.list_revision_ = is_altered_ ? 0 : list().revision_;
    request.known_list_epoch_ = known_epoch_;
    request.known_list_revision_ = known_revision_;
    request.takes_changes_ = list().epoch_ != uncovered_epoch_ ||
                             list().revision_ != uncovered_revision_;
}

/// \return whether the leader has another endpoint list.
bool endpoint_list_follower::is_outdated() const
{
    return is_altered_ || known_epoch_ != list().epoch_ ||
           known_revision_ != list().revision_;
}

/// \return whether the list in force was read by this host itself.
bool endpoint_list_follower::is_own_list() const
{
    return !list().epoch_.empty() &&
           list().epoch_ == with_.board_.section<settings_section>().epoch_;
}

bool endpoint_list_follower::needs_download() const
{
    if (is_own_list() && list().read_at_ >= known_read_at_)
    {
        // The leader's list as last announced is older: an endpoint that has
        // left since would be used again.
        return false;
    }
    // After a download of an earlier revision, the next watch may bring the
    // changes since.
    const bool may_get_changes = list().epoch_ == known_epoch_ &&
                                 !is_altered_ &&
                                 (list().epoch_ != uncovered_epoch_ ||
                                  list().revision_ != uncovered_revision_);
    return !with_.board_.section<group_section>().leader_.empty() &&
           !known_epoch_.empty() && is_outdated() && !may_get_changes;
}

/// \return the oldest revision of the leader's list that is newer than the one
/// in force.
std::uint64_t endpoint_list_follower::least_revision() const
{
    if (list().epoch_ != known_epoch_)
    {
        // An earlier revision may be older than a list that this host has read.
        return is_own_list() ? known_revision_ : 1;
    }
    return list().revision_ + (is_altered_ ? 0 : 1);
}

bool endpoint_list_follower::is_announced() const
{
    return !known_epoch_.empty() && list().epoch_ == known_epoch_ &&
           list().revision_ <= announced_revision_;
}

document_download& endpoint_list_follower::download()
{
    const document_id newest =
        endpoint_list_document(known_epoch_, known_revision_);
    download_.want(newest, least_revision());
    return download_;
}

bool endpoint_list_follower::finish_download()
{
    const std::string content = download_.take_content();
    const document_id id = download_.id();
    const bool is_current =
        id.name_ == endpoint_list_document(known_epoch_, 0).name_;
    const bool is_older = id.revision_ < least_revision();
    if (!is_current || is_older)
    {
        // Another leader's list has become known meanwhile, or changes have
        // arrived.
        return false;
    }
    const auto read = core::decode_cbor<std::vector<endpoint_message>>(content);
    if (!read)
    {
        log_event(
            log_level::error,
            "list_unreadable",
            {{"list", id.name_}, {"revision", id.revision_}});
        known_epoch_.clear();
        return false;
    }
    replace(*read, id.revision_, core::steady_now() - download_.age());
    list().read_at_ = std::max(list().read_at_, known_read_at_);
    known_revision_ = std::max(known_revision_, id.revision_);
    with_.metrics_.count("poplarroute_list_updates_total", {{"kind", "whole"}});
    return true;
}

void endpoint_list_follower::replace(
    std::span<const endpoint_message> items,
    std::uint64_t revision,
    core::time_point read_at)
{
    std::vector<listed_endpoint> all;
    all.reserve(items.size());
    for (const endpoint_message& item : items)
    {
        all.push_back(from_message(item));
    }
    list().epoch_ = known_epoch_;
    update_notices(list(), all, core::steady_now());
    replace_endpoints(list(), all, read_at);
    list().revision_ = revision;
    is_altered_ = false;
}

void endpoint_list_follower::apply(
    const watch_request& request, const watch_reply& reply)
{
    if (reply.list_epoch_.empty())
    {
        return;
    }
    const core::time_point read_at =
        core::steady_now() - core::duration{reply.list_age_ms_};
    known_epoch_ = reply.list_epoch_;
    known_revision_ = reply.list_revision_;
    announced_revision_ = reply.list_revision_;
    known_read_at_ = read_at;
    leave_out(reply.leaving_);
    leave_out(reply.withdrawn_);
    if (reply.list_sent_)
    {
        replace(reply.list_, reply.list_revision_, read_at);
        return;
    }
    if (reply.list_changes_.is_binary())
    {
        apply_changes(reply, read_at);
    }
    else if (is_outdated())
    {
        uncovered_epoch_ = request.list_epoch_;
        uncovered_revision_ = request.list_revision_;
    }
    if (!is_outdated())
    {
        list().read_at_ = std::max(list().read_at_, read_at);
    }
}

void endpoint_list_follower::apply_changes(
    const watch_reply& reply, core::time_point read_at)
{
    const auto changes =
        core::decode_cbor<list_changes>(core::text_of(reply.list_changes_));
    if (!changes || is_altered_ || list().epoch_ != known_epoch_)
    {
        uncovered_epoch_ = list().epoch_;
        uncovered_revision_ = list().revision_;
        return;
    }
    endpoint_section& section = list();
    if (!apply_list_changes(
            *changes, read_at, section.revision_, section.endpoints_))
    {
        return;
    }
    section.read_at_ = std::max(section.read_at_, read_at);
    compare_notices(section, core::steady_now());
    with_.metrics_.count(
        "poplarroute_list_updates_total", {{"kind", "changes"}});
    for (const auto& call : section.on_change_)
    {
        call();
    }
}

/// Leaves out endpoints that the leader's list shows as leaving or no longer
/// shows, before the list itself has arrived.
void endpoint_list_follower::leave_out(std::span<const core::endpoint_id> names)
{
    bool changed = false;
    for (const core::endpoint_id& name : names)
    {
        const auto found = list().endpoints_.find(name);
        if (found != list().endpoints_.end() && !found->second.listed_.leaving_)
        {
            found->second.listed_.leaving_ = true;
            changed = true;
        }
    }
    if (changed)
    {
        is_altered_ = is_altered_ || list().epoch_ != known_epoch_;
        for (const auto& call : list().on_change_)
        {
            call();
        }
    }
}

} // namespace poplarroute::node
