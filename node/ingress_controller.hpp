#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "node/catalog_watcher.hpp"
#include "node/ingress_call.hpp"
#include "node/stream_forwarder.hpp"

namespace poplarroute::node
{

/// Answers callers at an entry host: finds the route, checks the key, charges
/// the account and hands the call to its kind of service.
class edge_controller
{
public:
    edge_controller(context& with, const wire_dialect& dialect);

    void start();

    awaitable<void> answer(drivers::http_exchange& exchange);

    /// \return requests being answered.
    std::size_t active() const
    {
        return active_;
    }

private:
    /// A refusal before anything was sent.
    struct refusal
    {
        int status_ = 0;
        std::string outcome_;
        std::optional<core::duration> retry_after_;
        std::string inputs_; ///< What decided it.
    };

    bool has_started() const;
    awaitable<void> until_started() const;
    std::optional<refusal> prepare(edge_call& call);
    std::optional<refusal> find_account(edge_call& call);
    std::optional<refusal> charge(edge_call& call);
    void choose_target(edge_call& call) const;
    awaitable<void> carry(
        drivers::http_exchange& exchange, edge_call& call, edge_end& end);
    void note_end(const edge_call& call, const edge_end& end);
    void refresh_allowances();

    context& with_;
    edge_tools tools_;
    stream_desk own_desk_;
    placement_link places_;
    std::size_t active_ = 0;
};

} // namespace poplarroute::node
