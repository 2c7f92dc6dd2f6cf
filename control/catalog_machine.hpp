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

/// Puts a whole catalog in force, as its operator wrote it.
struct submit_catalog
{
    std::uint64_t version_ = 0;
    std::string text_; ///< Checked before it is proposed.
};

/// Takes an availability zone's endpoints out of use, or back in.
struct set_zone_out
{
    core::zone_id zone_;
    bool out_ = false;
};

using catalog_command = std::variant<submit_catalog, set_zone_out>;

/// What became of a command.
struct catalog_reply
{
    bool changed_ = false;
    std::uint64_t number_ = 0; ///< Version in force.
};

std::string encode(const catalog_command& order);

/// The replicated state: the newest catalog and the zones that are out.
///
/// The highest version is in force. A command that changes nothing is
/// accepted all the same, so that a resent one gets the same answer.
class catalog_machine
{
public:
    using reply = catalog_reply;

    /// Applies one committed command.
    reply apply(std::string_view bytes);

    /// \return a number that grows with each change.
    std::uint64_t revision() const
    {
        return revision_;
    }

    std::uint64_t version() const
    {
        return version_;
    }

    const std::string& text() const
    {
        return text_;
    }

    const std::set<core::zone_id>& zones_out() const
    {
        return zones_out_;
    }

    std::string encode() const;
    static std::optional<catalog_machine> decode(std::string_view bytes);

private:
    std::uint64_t revision_ = 0;
    std::uint64_t version_ = 0;
    std::string text_;
    std::set<core::zone_id> zones_out_;
};

} // namespace poplarroute::control
