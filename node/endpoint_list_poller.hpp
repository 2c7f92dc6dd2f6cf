#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string_view>
#include <vector>

#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/wire_codec.hpp"

namespace poplarroute::node
{

/// Polls the platform's list of endpoints and writes it to the blackboard.
class endpoint_list_poller
{
public:
    /// \param should_poll returns whether this process should read the list
    /// now.
    /// \param shares_calls whether all hosts may read the list at the same
    /// time, so that each keeps to its part of the calls.
    endpoint_list_poller(
        context& with,
        const wire_codec& codec,
        std::function<bool()> should_poll,
        bool shares_calls = false);

    void start();

private:
    awaitable<void> run();
    core::duration interval() const;
    awaitable<bool> read_list();
    awaitable<bool> read_pages();
    bool differs_from_known(const std::vector<listed_endpoint>& list) const;
    std::string newly_leaving(const std::vector<listed_endpoint>& list) const;
    const endpoint_page* decode(std::size_t index, std::string_view text);
    void record_unreadable();

    context& with_;
    const wire_codec& codec_;
    std::function<bool()> should_poll_;
    bool shares_calls_;
    std::minstd_rand random_;
    bool was_polling_ = false;
    bool reachable_ = true;

    /// The pages that were read last, so that a page is decoded only when its
    /// text has changed.
    struct known_page
    {
        std::uint64_t digest_ = 0; ///< Of the page's text.
        std::size_t bytes_ = 0;
        endpoint_page content_;
    };
    std::vector<known_page> pages_;
    std::size_t unreadable_entries_ = 0; ///< In the list read last.
};

} // namespace poplarroute::node
