#include "control/group_changes.hpp"

#include <limits>

namespace poplarroute::control
{

namespace
{

/// A member counts as reachable if it replied within this time.
constexpr core::duration reachable_within{1'500};

/// A member that is silent for longer may have left.
constexpr core::duration max_silence{2'500};

constexpr core::duration longest_silence{
    std::numeric_limits<std::int64_t>::max()};

const member_contact* find_contact(
    const std::map<core::host_id, member_contact>& contacts,
    const core::host_id& host)
{
    const auto found = contacts.find(host);
    return found == contacts.end() ? nullptr : &found->second;
}

} // namespace

std::optional<group_change> decide_group_change(
    const member_group& group,
    const std::map<core::host_id, member_contact>& contacts)
{
    std::int64_t reachable_voters = 0;
    const member* leaver = nullptr;
    core::duration longest = max_silence;
    for (const member& item : group.members_)
    {
        const member_contact* contact = find_contact(contacts, item.host_);
        if (contact != nullptr && !item.voter_ && contact->caught_up_)
        {
            return group_change{group_change::kind::promote, item.host_};
        }
        const bool stays =
            contact == nullptr ||
            (!contact->leaves_ && contact->silence_ <= reachable_within);
        reachable_voters += stays && item.voter_ ? 1 : 0;
        if (contact == nullptr || stays)
        {
            continue;
        }
        // A member that says that it stops goes before any that is silent.
        const core::duration silence =
            contact->leaves_ ? longest_silence : contact->silence_;
        if (silence > longest)
        {
            leaver = &item;
            longest = silence;
        }
    }
    const auto intended =
        static_cast<std::int64_t>(group.members_.size()) - group.surplus_;
    const bool is_replaced = group.surplus_ > 0 && reachable_voters >= intended;
    if (leaver == nullptr || !is_replaced)
    {
        return std::nullopt;
    }
    return group_change{group_change::kind::remove, leaver->host_};
}

} // namespace poplarroute::control
