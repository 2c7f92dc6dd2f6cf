#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "control/rollouts.hpp"
#include "core/codec.hpp"
#include "node/context.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Result of an operator's call.
struct operator_call_result
{
    bool accepted_ = false;
    bool invalid_ = false; ///< It cannot be accepted, even if retried.
    std::string problem_;  ///< Error message for the operator.
    /// It is in progress, or contradicts what is in force.
    bool conflicts_ = false;
};

namespace method
{

/// Calls of operators, which each member takes.
inline constexpr const char* rollouts_order = "rollouts.order";
inline constexpr const char* rollouts_show = "rollouts.show";

/// Calls of members to the leader, which it does not forward.
inline constexpr const char* rollouts_decide = "rollouts.decide";
inline constexpr const char* rollouts_read = "rollouts.read";

} // namespace method

/// An operator's order that starts or withdraws a roll-out.
struct rollout_order
{
    core::service_id service_;
    std::string target_;
    std::int64_t deadline_ms_ = 0;   ///< Duration since ordered_at_ms_.
    std::int64_t ordered_at_ms_ = 0; ///< Unix time of the member that took it.
    bool withdraws_ = false; ///< Whether it withdraws the running roll-out.
};

/// The leader's decision on an order.
struct rollout_order_reply
{
    bool accepted_ = false;
    bool invalid_ = false;
    bool conflicts_ = false;
    std::string problem_;
};

/// Asks for a service's roll-outs.
struct rollout_query
{
    core::service_id service_;
};

/// A service's roll-outs, oldest first; the last one is the latest.
struct rollout_history
{
    std::vector<control::rollout> rollouts_;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout_order, service_, target_, deadline_ms_, ordered_at_ms_, withdraws_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout_order_reply, accepted_, invalid_, conflicts_, problem_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(rollout_query, service_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(rollout_history, rollouts_)

/// Shortest deadline of a roll-out: a decision needs answers of the target, the
/// switch has to end, and both have to be committed.
inline constexpr core::duration min_rollout_deadline{3'000};

/// Longest deadline of a roll-out.
inline constexpr core::duration max_rollout_deadline{86'400'000};

/// Takes operators' orders of roll-outs at a member of the group, has the
/// leader decide them, and reads the roll-outs.
///
/// The leader checks an order against the newest state, since a member that
/// lags may not know the service yet, and an order that is refused as invalid
/// is not sent again. An order is accepted once a majority has recorded it.
class rollout_orders
{
public:
    rollout_orders(context& with, catalog_replica& group);

    /// Registers the calls of peers.
    void start();

    /// Starts a roll-out. A copy of an order that this member is still deciding
    /// conflicts; the member then tries for the time of an operator's repeats
    /// until the order is decided.
    awaitable<operator_call_result> order(
        core::service_id service, std::string target, core::duration deadline);

    /// Withdraws the running roll-out of a service, which is rolled back. It is
    /// accepted again while the service's latest roll-out is rolled back.
    awaitable<operator_call_result> cancel(core::service_id service);

    /// Reads a service's roll-outs (linearizable read).
    /// \return not_ready or unreachable where this member cannot be sure;
    /// nothing in it when the service has had none.
    awaitable<core::result<rollout_history>> read(core::service_id service);

private:
    void register_calls();
    void log_new_steps();

    /// Has the leader decide an order, and logs the outcome.
    awaitable<operator_call_result> decide(rollout_order order);
    awaitable<core::result<rollout_order_reply>> ask_leader(
        rollout_order order);

    /// At the leader.
    awaitable<core::result<rollout_order_reply>> decide_here(
        rollout_order order);
    awaitable<core::result<rollout_order_reply>> decide_start(
        rollout_order order);
    awaitable<core::result<rollout_order_reply>> decide_withdrawal(
        rollout_order order);
    awaitable<core::result<rollout_history>> read_here(
        core::service_id service);

    /// \return why an order can never be accepted; empty if nothing is wrong
    /// with it.
    std::string find_problem(const rollout_order& order) const;
    control::start_rollout make_command(const rollout_order& order) const;
    void log_started(const rollout_order& order, bool is_new) const;
    std::vector<std::string> listed_versions(
        const core::service_id& service) const;

    context& with_;
    catalog_replica& group_;

    /// Service, target and deadline of an order.
    using order_key = std::tuple<core::service_id, std::string, std::int64_t>;

    /// Orders that are being decided, and whether a copy was told so.
    std::shared_ptr<std::map<order_key, bool>> deciding_ =
        std::make_shared<std::map<order_key, bool>>();

    /// Id of each service's latest roll-out, and how many of its steps are in
    /// the log.
    std::map<core::service_id, std::pair<std::uint64_t, std::size_t>>
        logged_steps_;
};

} // namespace poplarroute::node
