#pragma once

#include "drivers/http_server.hpp"
#include "node/ingress_call.hpp"

namespace poplarroute::node
{

/// The exchange of a request that another host has handed on. Its answer tells
/// that host how the request ended.
class relayed_exchange final : public drivers::http_exchange
{
public:
    /// \param inner the exchange with the other host.
    /// \param result of the request at this host.
    relayed_exchange(
        drivers::http_exchange& inner, const ingress_result& result);

    awaitable<void> send(
        int status, drivers::header_list headers, std::string body) override;
    awaitable<void> start_stream(
        int status, drivers::header_list headers) override;
    awaitable<bool> write(std::string_view piece) override;
    awaitable<void> finish() override;
    void abort_response() override;
    awaitable<void> gone() override;
    bool is_abandoned() override;

    /// Fills in what the other host states of the request.
    void read_headers(ingress_call& call) const;

private:
    void add_result(drivers::header_list& headers) const;

    drivers::http_exchange& inner_;
    const ingress_result& result_;
    core::duration waited_; ///< At the other host.
    bool charged_ = false;
};

} // namespace poplarroute::node
