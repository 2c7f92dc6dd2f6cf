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
            [](const submit_catalog& item)
            {
                return nlohmann::json::array(
                    {command_kind::submit,
                     item.version_,
                     core::binary(item.text_)});
            },
            [](const set_zone_out_of_service& item)
            {
                return nlohmann::json::array(
                    {command_kind::zone, item.zone_, item.out_});
            }},
        command);
    return core::encode_cbor(out);
}

catalog_state_machine::reply catalog_state_machine::apply(
    std::string_view bytes)
{
    const auto command = core::parse_cbor(bytes);
    if (!command || !command->is_array() || command->empty())
    {
        return {false, version_};
    }
    reply out;
    switch (command->at(0).get<command_kind>())
    {
    case command_kind::submit:
    {
        const auto version = command->at(1).get<std::uint64_t>();
        if (version > version_)
        {
            version_ = version;
            text_ = core::text_of(command->at(2));
            out.changed_ = true;
        }
        out.number_ = version_;
        break;
    }
    case command_kind::zone:
    {
        const auto zone = command->at(1).get<core::zone_id>();
        out.changed_ = command->at(2).get<bool>()
                           ? zones_out_.insert(zone).second
                           : zones_out_.erase(zone) > 0;
        out.number_ = version_;
        break;
    }
    }
    revision_ += out.changed_ ? 1 : 0;
    return out;
}

std::string catalog_state_machine::encode() const
{
    return core::encode_cbor(nlohmann::json::array(
        {revision_, version_, core::binary(text_), zones_out_}));
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
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::control
