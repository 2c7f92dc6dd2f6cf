#include "control/catalog_state_machine.hpp"

#include <utility>

#include "core/codec.hpp"
#include "core/result.hpp"

namespace poplarroute::control
{

namespace
{

enum class command_kind
{
    submit = 0,
    zone = 1,
};

} // namespace

std::string encode(const catalog_command& command)
{
    const nlohmann::json out = std::visit(
        core::overloaded{
            [](const submit_catalog& item) -> nlohmann::json
            {
                return nlohmann::json::array(
                    {command_kind::submit,
                     item.version_,
                     core::binary(item.text_)});
            },
            [](const set_zone_out_of_service& item) -> nlohmann::json
            {
                nlohmann::json out = nlohmann::json::array(
                    {command_kind::zone, item.zone_, item.out_});
                if (item.base_)
                {
                    out.push_back(*item.base_);
                }
                return out;
            }},
        command);
    return core::encode_cbor(out);
}

catalog_state_machine::reply catalog_state_machine::apply(
    std::string_view bytes)
{
    const auto command = core::parse_cbor(bytes);
    // Any host can submit a command, so its fields are checked at each member.
    try
    {
        return command ? apply_decoded(*command)
                       : reply{false, false, version_};
    }
    catch (const nlohmann::json::exception&)
    {
        return {false, false, version_};
    }
}

/// \throws nlohmann::json::exception when the document is no command; the state
/// is then unchanged.
catalog_state_machine::reply catalog_state_machine::apply_decoded(
    const nlohmann::json& command)
{
    reply out;
    switch (command.at(0).get<command_kind>())
    {
    case command_kind::submit:
    {
        const auto version = command.at(1).get<std::uint64_t>();
        if (version > version_)
        {
            text_ = core::text_of(command.at(2));
            version_ = version;
            out.changed_ = true;
        }
        out.number_ = version_;
        break;
    }
    case command_kind::zone:
    {
        set_zone_out_of_service request;
        request.zone_ = command.at(1).get<core::zone_id>();
        request.out_ = command.at(2).get<bool>();
        if (command.size() > 3)
        {
            request.base_ = command.at(3).get<std::uint64_t>();
        }
        out = apply_zone(request);
        break;
    }
    }
    revision_ += out.changed_ ? 1 : 0;
    return out;
}

catalog_state_machine::reply catalog_state_machine::apply_zone(
    const set_zone_out_of_service& request)
{
    const bool changes = (zones_out_.count(request.zone_) != 0) != request.out_;
    const bool is_outdated =
        request.base_ && *request.base_ != zone_revision(request.zone_);
    if (!changes || is_outdated)
    {
        return {false, changes, version_};
    }
    if (request.out_)
    {
        zones_out_.insert(request.zone_);
    }
    else
    {
        zones_out_.erase(request.zone_);
    }
    zone_revisions_[request.zone_] = revision_ + 1;
    return {true, false, version_};
}

std::uint64_t catalog_state_machine::zone_revision(
    const core::zone_id& zone) const
{
    const auto found = zone_revisions_.find(zone);
    return found == zone_revisions_.end() ? 0 : found->second;
}

std::string catalog_state_machine::encode() const
{
    return core::encode_cbor(nlohmann::json::array(
        {revision_,
         version_,
         core::binary(text_),
         zones_out_,
         zone_revisions_}));
}

std::optional<catalog_state_machine> catalog_state_machine::decode(
    std::string_view bytes)
{
    const auto document = core::parse_cbor(bytes);
    if (!document)
    {
        return std::nullopt;
    }
    // This program wrote the snapshot, so a field of another type means that
    // the bytes are damaged.
    try
    {
        catalog_state_machine out;
        out.revision_ = document->at(0).get<std::uint64_t>();
        out.version_ = document->at(1).get<std::uint64_t>();
        out.text_ = core::text_of(document->at(2));
        out.zones_out_ = document->at(3).get<std::set<core::zone_id>>();
        if (document->size() > 4)
        {
            document->at(4).get_to(out.zone_revisions_);
        }
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::control
