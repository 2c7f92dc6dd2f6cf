#pragma once

#include <string>

#include "drivers/http_client.hpp"

namespace poplarroute::node
{

/// Header of the product's own interface that names the attempt of a call. An
/// endpoint that repeats it in its answers keeps its connections; one that does
/// not gets a new connection for each call, since a late second copy of an
/// answer could not be told from the next answer.
inline constexpr const char* attempt_header = "X-Attempt-Id";

/// Names the attempt in a call, and has the answer checked against it.
inline void name_attempt(drivers::http_call& call, std::string attempt)
{
    call.headers_.emplace_back(attempt_header, attempt);
    call.echo_header_ = attempt_header;
    call.echo_value_ = std::move(attempt);
}

} // namespace poplarroute::node
