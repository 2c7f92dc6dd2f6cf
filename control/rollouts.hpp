#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::control
{

/// Phase of a roll-out. It only moves forward: from trial to switching to
/// completed, or from trial or switching to rolled_back.
enum class rollout_phase
{
    trial,       ///< A bounded share of the requests goes to the target.
    switching,   ///< New requests go to the target only.
    completed,   ///< Nothing goes to the replaced versions any more.
    rolled_back, ///< Nothing goes to the target any more.
};

/// Which side of a roll-out a version is on.
enum class rollout_role
{
    target,
    baseline, ///< Every version but the target.
};

/// Start of a phase, for the operator's history.
struct rollout_step
{
    rollout_phase phase_ = rollout_phase::trial;
    std::int64_t at_ms_ = 0; ///< Unix time.
    std::string reason_;     ///< With the figures that decided it.

    bool operator==(const rollout_step&) const = default;
};

/// The latest roll-out of a service, running or ended.
struct rollout
{
    /// Revision of the group's state at the start. It increases with each
    /// roll-out of the fleet and is never 0.
    std::uint64_t id_ = 0;
    core::service_id service_;
    std::string target_;
    /// Versions that it replaces: those listed at the start and those that
    /// advance_rollout added. It never contains the target. An endpoint without
    /// a version has the version "".
    std::vector<std::string> from_;
    /// Versions that earlier roll-outs of the service have barred and none has
    /// targeted since, oldest first; at most max_barred_versions.
    std::vector<std::string> barred_;
    std::int64_t ordered_at_ms_ = 0; ///< Unix time.
    std::int64_t deadline_ms_ = 0;   ///< Duration since ordered_at_ms_.
    rollout_phase phase_ = rollout_phase::trial;
    /// Requests that leaders may have granted to the target so far, over all
    /// leaders.
    std::int64_t reserved_ = 0;
    std::vector<rollout_step> steps_; ///< The first is its start.

    bool operator==(const rollout&) const = default;

    /// \return whether it is on trial or switching.
    bool is_running() const
    {
        return phase_ == rollout_phase::trial ||
               phase_ == rollout_phase::switching;
    }
};

/// Command that starts a roll-out of a service.
///
/// While a roll-out of the service runs, an order with the same target and
/// deadline is accepted and changes nothing; another one conflicts. After its
/// end, an order with the same target and deadline is a repeat of it, accepted
/// without a change, if it was ordered less than repeat_window_ms_ after it. An
/// order of another target or deadline that was given before the recorded one
/// conflicts: it was delayed, and a newer one came first.
struct start_rollout
{
    core::service_id service_;
    std::string target_;
    std::vector<std::string> from_;  ///< Versions that are listed now.
    std::int64_t ordered_at_ms_ = 0; ///< Unix time.
    std::int64_t deadline_ms_ = 0;   ///< Duration since ordered_at_ms_.

    /// Time after an order in which an equal one is a repeat of it: twice the
    /// time for which an operator repeats an order. It is part of the command
    /// so that all members apply the same.
    std::int64_t repeat_window_ms_ = 10'000;
};

/// Command that raises the exposure that leaders may grant. A lower value than
/// recorded is accepted and changes nothing. It conflicts when the roll-out
/// with the id does not run. It does not change the machine's revision, since
/// hosts need not know.
struct reserve_exposure
{
    core::service_id service_;
    std::uint64_t id_ = 0;
    std::int64_t reserved_ = 0;
};

/// Command that moves a roll-out to a later phase. The phase that it is in
/// already is accepted and changes nothing; an earlier one, a skipped one or
/// another id conflicts.
struct advance_rollout
{
    core::service_id service_;
    std::uint64_t id_ = 0;
    rollout_phase phase_ = rollout_phase::trial;
    std::int64_t at_ms_ = 0; ///< Unix time.
    std::string reason_;     ///< Cut to max_rollout_reason_bytes.
    /// Versions besides the target that are listed now; added to the record's.
    std::vector<std::string> from_;
};

/// Limit on the reason of a step in the record.
inline constexpr std::size_t max_rollout_reason_bytes = 512;

/// Limit on the versions that a record bars because of earlier roll-outs.
inline constexpr std::size_t max_barred_versions = 64;

/// Limit on the ended roll-outs that are kept of each service as history.
inline constexpr std::size_t max_earlier_rollouts = 8;

/// Time after its end for which the record of a roll-out is kept when the
/// configuration has no such service any more.
inline constexpr core::duration orphaned_rollout_retention{86'400'000};

/// \return whether no request may go to a version of the service. After
/// completed, the versions in from_ are barred, after rolled_back the target;
/// in each phase those that earlier roll-outs barred. A service without a
/// roll-out bars no version.
bool is_barred(const rollout& item, std::string_view version);

rollout_role role_of(const rollout& item, std::string_view version);

/// \return the name of a phase, as in messages, logs and metrics.
std::string_view to_string(rollout_phase phase);

/// \return the phase with a name, or nothing.
std::optional<rollout_phase> parse_rollout_phase(std::string_view name);

/// \return whether an order is a repeat of the one that started a roll-out.
/// \pre the times of both are at most 10^15 ms.
bool is_repeat(const start_rollout& order, const rollout& item);

/// \return a new roll-out in the phase trial.
/// \param id of the new roll-out.
/// \param earlier the service's latest roll-out, which has ended, or nullptr.
rollout make_rollout(
    const start_rollout& order, std::uint64_t id, const rollout* earlier);

/// Result of a command that concerns one roll-out.
struct rollout_change
{
    bool changed_ = false;
    bool conflicts_ = false;
};

/// Applies a command to the record.
rollout_change apply(const reserve_exposure& command, rollout& item);
rollout_change apply(const advance_rollout& command, rollout& item);

/// A phase is written by its name.
void to_json(nlohmann::json& out, rollout_phase phase);

/// \throws nlohmann::json::exception when the document names no phase.
void from_json(const nlohmann::json& document, rollout_phase& phase);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout_step, phase_, at_ms_, reason_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout,
    id_,
    service_,
    target_,
    from_,
    barred_,
    ordered_at_ms_,
    deadline_ms_,
    phase_,
    reserved_,
    steps_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    start_rollout,
    service_,
    target_,
    from_,
    ordered_at_ms_,
    deadline_ms_,
    repeat_window_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    reserve_exposure, service_, id_, reserved_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    advance_rollout, service_, id_, phase_, at_ms_, reason_, from_)

} // namespace poplarroute::control
