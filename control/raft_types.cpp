#include "control/raft_types.hpp"

#include <algorithm>

#include "core/codec.hpp"

namespace poplarroute::control
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member, host_, store_, voter_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hard_state, term_, voted_for_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    vote_request, term_, last_index_, last_term_, trial_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vote_reply, term_, granted_, trial_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    append_reply, term_, accepted_, match_, round_)

static void to_json(nlohmann::json& out, const member_group& group)
{
    out = {{"members_", group.members_}, {"surplus_", group.surplus_}};
}

static void from_json(const nlohmann::json& in, member_group& group)
{
    in.at("members_").get_to(group.members_);
    // Logs and messages of earlier programs do not have it.
    group.surplus_ = in.value("surplus_", std::int64_t{0});
}

static void to_json(nlohmann::json& out, const log_entry& entry)
{
    out = {
        entry.index_,
        entry.term_,
        static_cast<int>(entry.kind_),
        core::binary(entry.payload_)};
}

static void from_json(const nlohmann::json& in, log_entry& entry)
{
    in.at(0).get_to(entry.index_);
    in.at(1).get_to(entry.term_);
    const int kind = in.at(2).get<int>();
    entry.kind_ = static_cast<entry_kind>(kind);
    entry.payload_ = core::text_of(in.at(3));
}

static void to_json(nlohmann::json& out, const snapshot& value)
{
    out = {value.index_, value.term_, value.group_, core::binary(value.state_)};
}

static void from_json(const nlohmann::json& in, snapshot& value)
{
    in.at(0).get_to(value.index_);
    in.at(1).get_to(value.term_);
    in.at(2).get_to(value.group_);
    value.state_ = core::text_of(in.at(3));
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    append_request,
    term_,
    previous_index_,
    previous_term_,
    entries_,
    commit_,
    round_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(snapshot_request, term_, snapshot_, round_)

static void to_json(nlohmann::json& out, const raft_message& message)
{
    nlohmann::json body;
    std::visit(
        [&](const auto& item)
        {
            body = item;
        },
        message.body_);
    out = {
        message.from_,
        message.from_store_,
        message.to_,
        message.to_store_,
        message.body_.index(),
        std::move(body)};
}

template <std::size_t Kind = 0>
static raft_body read_body(std::size_t kind, const nlohmann::json& in)
{
    if constexpr (Kind < std::variant_size_v<raft_body>)
    {
        if (kind == Kind)
        {
            return in.get<std::variant_alternative_t<Kind, raft_body>>();
        }
        return read_body<Kind + 1>(kind, in);
    }
    throw nlohmann::json::other_error::create(
        501, "unknown kind of message", &in);
}

static void from_json(const nlohmann::json& in, raft_message& message)
{
    in.at(0).get_to(message.from_);
    in.at(1).get_to(message.from_store_);
    in.at(2).get_to(message.to_);
    in.at(3).get_to(message.to_store_);
    message.body_ = read_body(in.at(4).get<std::size_t>(), in.at(5));
}

const member* member_group::find(const core::host_id& host) const
{
    const auto found = std::find_if(
        members_.begin(),
        members_.end(),
        [&](const member& item)
        {
            return item.host_ == host;
        });
    return found == members_.end() ? nullptr : &*found;
}

bool member_group::is_voter(
    const core::host_id& host, const store_id& store) const
{
    const member* found = find(host);
    return found != nullptr && found->voter_ && found->store_ == store;
}

std::size_t member_group::voter_count() const
{
    return static_cast<std::size_t>(std::count_if(
        members_.begin(),
        members_.end(),
        [](const member& item)
        {
            return item.voter_;
        }));
}

std::size_t member_group::majority() const
{
    return voter_count() / 2 + 1;
}

std::string encode(const raft_message& message)
{
    return core::encode_cbor(message);
}

std::string encode(const member_group& group)
{
    return core::encode_cbor(group);
}

std::string encode(const snapshot& value)
{
    return core::encode_cbor(value);
}

std::string encode(const hard_state& state)
{
    return core::encode_cbor(state);
}

std::string encode(const log_entry& entry)
{
    return core::encode_cbor(entry);
}

std::optional<raft_message> decode_message(std::string_view bytes)
{
    return core::decode_cbor<raft_message>(bytes);
}

std::optional<member_group> decode_group(std::string_view bytes)
{
    return core::decode_cbor<member_group>(bytes);
}

std::optional<snapshot> decode_snapshot(std::string_view bytes)
{
    return core::decode_cbor<snapshot>(bytes);
}

std::optional<hard_state> decode_hard_state(std::string_view bytes)
{
    return core::decode_cbor<hard_state>(bytes);
}

std::optional<log_entry> decode_entry(std::string_view bytes)
{
    return core::decode_cbor<log_entry>(bytes);
}

} // namespace poplarroute::control
