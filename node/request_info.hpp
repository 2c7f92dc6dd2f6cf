#pragma once

#include <optional>
#include <string>

#include "control/configuration.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "node/caller_api.hpp"
#include "node/slo_history.hpp"

namespace poplarroute::node
{

/// Properties of a request that are determined before it is sent to an
/// endpoint.
struct request_info
{
    std::string id_;
    control::route_settings route_;
    control::service_settings service_;
    core::account_id account_; ///< Empty on routes that need no key.
    std::int64_t weight_ = 1;
    std::string key_id_;
    core::time_point arrived_;
};

/// How a request ended, for the log, the metrics, the refund and the SLO
/// history.
struct request_outcome
{
    service_result result_ = service_result::failed;
    std::string code_ = "ok";
    std::int64_t used_tokens_ = 0;
    int attempts_ = 0;
    core::attempt_id last_attempt_;
    std::string endpoint_;

    /// Whether a byte of the request may have reached an endpoint. Also true
    /// while another attempt may hold the request's claim, since that attempt
    /// may have sent it.
    bool may_have_run_ = false;
};

} // namespace poplarroute::node
