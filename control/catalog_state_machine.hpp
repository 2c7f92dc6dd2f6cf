#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "control/rollouts.hpp"
#include "core/ids.hpp"

namespace poplarroute::control
{

/// Command that puts a catalog in force.
struct submit_catalog
{
    std::uint64_t version_ = 0;
    std::string text_; ///< As submitted; checked before it is proposed.

    /// The catalog's services. A running roll-out of another service is rolled
    /// back. Absent in commands of older programs, which change no roll-out.
    std::optional<std::vector<core::service_id>> services_ = std::nullopt;
    std::int64_t at_ms_ = 0; ///< Unix time, for the roll-outs' history.
};

/// Command that takes the endpoints of an availability zone out of service or
/// back into service.
struct set_zone_out_of_service
{
    core::zone_id zone_;
    bool out_ = false; ///< Whether the zone is taken out of service.

    /// Revision of the zone's last change when the command was decided. The
    /// command is refused if the zone has changed since. Absent in commands of
    /// older programs, which always apply.
    std::optional<std::uint64_t> base_ = std::nullopt;
};

using catalog_command = std::variant<
    submit_catalog,
    set_zone_out_of_service,
    start_rollout,
    reserve_exposure,
    advance_rollout>;

/// Result of a command.
struct catalog_reply
{
    bool changed_ = false;     ///< Whether the command changed the state.
    bool conflicts_ = false;   ///< A newer change came first; it is refused.
    std::uint64_t number_ = 0; ///< Version of the catalog in force.
};

/// \return the command as bytes for the replicated log.
std::string encode(const catalog_command& command);

/// Replicated state machine that holds the catalog in force, the zones that are
/// out of service and the latest roll-out of each service.
///
/// The submitted catalog with the highest version is in force. A command that
/// changes nothing is accepted, too, so that a repeated request gets the same
/// answer.
class catalog_state_machine
{
public:
    using reply = catalog_reply;

    /// Applies one committed command.
    /// \param bytes an encoded catalog_command.
    reply apply(std::string_view bytes);

    /// \return a number that increases with each change of the state that hosts
    /// are told. It stays when only reserved exposure rises.
    std::uint64_t revision() const
    {
        return revision_;
    }

    /// \return the version of the catalog in force; 0 when there is none.
    std::uint64_t version() const
    {
        return version_;
    }

    /// \return the catalog in force as it was submitted.
    const std::string& text() const
    {
        return text_;
    }

    const std::set<core::zone_id>& out_of_service_zones() const
    {
        return zones_out_;
    }

    /// \return the revision at which a zone was last taken out of service or
    /// put back; 0 if never.
    std::uint64_t zone_revision(const core::zone_id& zone) const;

    /// \return the latest roll-out of each service that has had one.
    const std::map<core::service_id, rollout>& rollouts() const
    {
        return rollouts_;
    }

    /// \return the latest roll-out of a service, or nullptr.
    const rollout* find_rollout(const core::service_id& service) const;

    /// \return the service's roll-outs before the latest one, oldest first; at
    /// most max_earlier_rollouts.
    std::vector<rollout> earlier_rollouts(
        const core::service_id& service) const;

    /// \return the state as bytes for a snapshot.
    std::string encode() const;

    /// \return the state that encode() wrote, or nothing when the bytes are
    /// damaged.
    static std::optional<catalog_state_machine> decode(std::string_view bytes);

private:
    reply apply_decoded(const nlohmann::json& command);
    reply apply_catalog(const submit_catalog& request);
    reply apply_zone(const set_zone_out_of_service& request);
    reply apply_start(const start_rollout& order);
    reply apply_reservation(const reserve_exposure& request);
    reply apply_advance(const advance_rollout& request);
    void end_rollouts_of_others(
        const std::vector<core::service_id>& services, std::int64_t at_ms);

    std::uint64_t revision_ = 0;
    std::uint64_t version_ = 0;
    std::string text_;
    std::set<core::zone_id> zones_out_;

    /// Revision of each zone's last change. A set zone may lack one, if an
    /// older program wrote the snapshot.
    std::map<core::zone_id, std::uint64_t> zone_revisions_;

    std::map<core::service_id, rollout> rollouts_; ///< The latest of each.
    std::map<core::service_id, std::vector<rollout>> earlier_rollouts_;
};

} // namespace poplarroute::control
