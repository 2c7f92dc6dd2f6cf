#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "core/ids.hpp"

namespace poplarroute::control
{

/// Command that puts a catalog in force.
struct submit_catalog
{
    std::uint64_t version_ = 0;
    std::string text_; ///< As submitted; checked before it is proposed.
};

/// Command that takes the endpoints of an availability zone out of service or
/// back into service.
struct set_zone_out_of_service
{
    core::zone_id zone_;
    bool out_ = false; ///< Whether the zone is taken out of service.
};

using catalog_command = std::variant<submit_catalog, set_zone_out_of_service>;

/// Result of a command.
struct catalog_reply
{
    bool changed_ = false;     ///< Whether the command changed the state.
    std::uint64_t number_ = 0; ///< Version of the catalog in force.
};

/// \return the command as bytes for the replicated log.
std::string encode(const catalog_command& command);

/// Replicated state machine that holds the catalog in force and the zones that
/// are out of service.
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

    /// \return a number that increases with each change of the state.
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

    /// \return the state as bytes for a snapshot.
    std::string encode() const;

    /// \return the state that encode() wrote, or nothing when the bytes are
    /// damaged.
    static std::optional<catalog_state_machine> decode(std::string_view bytes);

private:
    std::uint64_t revision_ = 0;
    std::uint64_t version_ = 0;
    std::string text_;
    std::set<core::zone_id> zones_out_;
};

} // namespace poplarroute::control
