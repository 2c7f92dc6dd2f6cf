#include "node/limit_controller.hpp"

#include <utility>
#include <vector>

#include "node/fleet_sections.hpp"
#include "node/limit_messages.hpp"

namespace poplarroute::node
{

namespace
{

/// Longest usual time that a host's message takes.
constexpr core::duration max_transit{100};

} // namespace

limit_controller::limit_controller(
    context& with, std::function<void()> on_change)
    : with_(with), on_change_(std::move(on_change))
{
}

policy::endpoint_allowance& limit_controller::limits() const
{
    return with_.board_.section<endpoint_section>().limits_;
}

void limit_controller::begin_leading()
{
    ledger_.clear();
}

void limit_controller::record(std::span<const endpoint_limit_message> told)
{
    endpoint_section& list = with_.board_.section<endpoint_section>();
    // A host may still know the limit of an endpoint that has left.
    std::vector<endpoint_limit_message> listed(told.begin(), told.end());
    std::erase_if(
        listed,
        [&list](const endpoint_limit_message& item)
        {
            return list.endpoints_.count(item.endpoint_) == 0;
        });
    const core::time_point now = core::steady_now();
    if (!record_limits(limits(), listed, now - max_transit, now))
    {
        return;
    }
    forget_unlisted_limits(list);
    ++revision_;
    on_change_();
}

limit_reply limit_controller::take(const limit_request& request)
{
    record(request.limits_);
    const core::time_point now = core::steady_now();
    const std::optional<double> limit =
        limits().statements().limit_of(request.endpoint_);
    limit_reply out;
    out.granted_ = true;
    if (limit)
    {
        const policy::limit_grant grant =
            ledger_.take(request.endpoint_, *limit, now);
        out.granted_ = grant.granted_;
        out.wait_ms_ = grant.wait_.ms_;
    }
    out.limits_ = to_limit_messages(limits().statements(), now);
    return out;
}

bool limit_controller::has_news(const watch_request& request) const
{
    return request.limit_revision_ != revision_;
}

void limit_controller::add_to(watch_reply& reply) const
{
    reply.limit_revision_ = revision_;
    reply.limits_ =
        to_limit_messages(limits().statements(), core::steady_now());
}

} // namespace poplarroute::node
