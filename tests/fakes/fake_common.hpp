#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "drivers/asio.hpp"
#include "drivers/http_server.hpp"

namespace poplarroute::tests::fakes
{

/// \return the attempt that a request names; empty if it names none.
std::string attempt_of(const drivers::http_exchange& exchange);

/// Sends a response with a JSON body, which names the request's attempt.
drivers::asio::awaitable<void> send_json(
    drivers::http_exchange& exchange, int status, nlohmann::json body);

/// Models a back end that tolerates few concurrent requests after its start,
/// and more with every second.
class cold_start
{
public:
    /// \param warm_up_time time from the start until the back end is warm.
    explicit cold_start(core::duration warm_up_time);

    /// Makes the back end cold again, as a restart does.
    void restart();

    /// Ends the process when more requests run than it tolerates while cold.
    void crash_if_overloaded(std::size_t running_requests);

    bool is_cold() const;

private:
    core::duration warm_up_time_;
    core::time_point started_at_;
};

/// \return whether a request carries anything that looks like an API key.
bool contains_api_key(const drivers::http_request& request);

} // namespace poplarroute::tests::fakes
