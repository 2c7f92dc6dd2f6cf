#pragma once

#include "control/commands.hpp"
#include "core/codec.hpp"
#include "core/compress.hpp"

namespace poplarroute::control
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    command_origin, id_, operator_, wall_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    issue_key, origin_, key_, account_, salt_, digest_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(withdraw_key, origin_, key_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    set_out_of_service, origin_, zone_, name_, out_, base_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    retire_host, origin_, host_, evidence_, base_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    readmit_host, origin_, host_, base_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    settle_shares, origin_, version_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    claim_call, account_, key_, digest_, attempt_, wall_ms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    abandon_claim, account_, key_, attempt_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    acquire_fencing_number, origin_, endpoint_)

/// Compresses the text, because configurations are repetitive and each one is
/// sent to every host.
inline void to_json(nlohmann::json& out, const submit_configuration& request)
{
    out = {
        {"origin_", request.origin_},
        {"base_", request.base_},
        {"text_", core::binary(core::compress(request.text_))}};
}

inline void from_json(const nlohmann::json& in, submit_configuration& request)
{
    in.at("origin_").get_to(request.origin_);
    in.at("base_").get_to(request.base_);
    const auto text = core::decompress(core::text_of(in.at("text_")));
    if (!text)
    {
        throw nlohmann::json::other_error::create(
            501, "the configuration text cannot be decompressed", &in);
    }
    request.text_ = *text;
}

inline void to_json(nlohmann::json& out, const record_outcome& request)
{
    out = {
        {"account_", request.account_},
        {"key_", request.key_},
        {"attempt_", request.attempt_},
        {"status_", request.status_},
        {"content_type_", request.content_type_},
        {"body_", core::binary(request.body_)}};
}

inline void from_json(const nlohmann::json& in, record_outcome& request)
{
    in.at("account_").get_to(request.account_);
    in.at("key_").get_to(request.key_);
    in.at("attempt_").get_to(request.attempt_);
    in.at("status_").get_to(request.status_);
    in.at("content_type_").get_to(request.content_type_);
    request.body_ = core::text_of(in.at("body_"));
}

inline void to_json(nlohmann::json& out, const command_reply& reply)
{
    out = {
        {"verdict_", static_cast<int>(reply.verdict_)},
        {"message_", reply.message_},
        {"version_", reply.version_},
        {"attempt_", reply.attempt_},
        {"status_", reply.status_},
        {"content_type_", reply.content_type_},
        {"body_", core::binary(reply.body_)},
        {"wait_ms_", reply.wait_ms_}};
}

inline void from_json(const nlohmann::json& in, command_reply& reply)
{
    reply.verdict_ = static_cast<verdict>(in.at("verdict_").get<int>());
    in.at("message_").get_to(reply.message_);
    in.at("version_").get_to(reply.version_);
    in.at("attempt_").get_to(reply.attempt_);
    in.at("status_").get_to(reply.status_);
    in.at("content_type_").get_to(reply.content_type_);
    reply.body_ = core::text_of(in.at("body_"));
    reply.wait_ms_ = in.value("wait_ms_", std::int64_t(0));
}

} // namespace poplarroute::control
