#pragma once

#include <functional>
#include <span>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "policy/endpoint_limits.hpp"

namespace poplarroute::node
{

/// Shares what limited endpoints take among all hosts, and tells all hosts
/// which endpoints are limited. It decides only at the group's leader.
class limit_controller
{
public:
    /// \param on_change called when an endpoint begins or ends to be limited.
    limit_controller(context& with, std::function<void()> on_change);

    void begin_leading();

    /// Takes the limits that a host knows.
    void record(std::span<const endpoint_limit_message> told);

    /// Answers a host that wants to send a request to a limited endpoint.
    limit_reply take(const limit_request& request);

    /// \return whether a watching host does not know the latest limits.
    bool has_news(const watch_request& request) const;

    void add_to(watch_reply& reply) const;

private:
    policy::endpoint_allowance& limits() const;

    context& with_;
    std::function<void()> on_change_;
    policy::limit_ledger ledger_;
    std::uint64_t revision_ = 0;
};

} // namespace poplarroute::node
