#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "drivers/asio.hpp"
#include "drivers/http_server.hpp"

namespace poplarroute::tests::fakes
{

/// Sends JSON with a status.
drivers::asio::awaitable<void> send_json(
    drivers::http_exchange& exchange, int status, nlohmann::json body);

/// What a back end in cold start can bear: a little, and more by and by.
class cold_start
{
public:
    /// \param span how long it takes to warm up.
    explicit cold_start(core::duration span);

    /// Begins again, as a restart would.
    void begin();

    /// Notes how many requests run now, and falls over when it is too many.
    void check(std::size_t running);

    bool cold() const;

private:
    core::duration span_;
    core::time_point began_;
};

/// \return whether a request carries anything like a caller's key.
bool shows_key(const drivers::http_request& request);

} // namespace poplarroute::tests::fakes
