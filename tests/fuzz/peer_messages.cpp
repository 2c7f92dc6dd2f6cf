// Guards against messages of peers, and state that members send, that end the
// process.

#include "control/catalog_state_machine.hpp"
#include "control/commands.hpp"
#include "control/raft_types.hpp"
#include "control/state_machine.hpp"
#include "core/codec.hpp"
#include "node/catalog_messages.hpp"
#include "node/messages.hpp"
#include "tests/fuzz/fuzz.hpp"

using namespace poplarroute;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes = fuzz::to_text(data, size);
    if (!core::parse_cbor(bytes))
    {
        return 0;
    }
    control::decode_message(bytes);
    control::decode_group(bytes);
    control::decode_snapshot(bytes);
    control::decode_hard_state(bytes);
    control::decode_entry(bytes);
    control::decode_reply(bytes);
    const auto command = control::decode_command(bytes);
    if (command)
    {
        fuzz::require(
            control::decode_command(control::encode(*command)).has_value());
    }
    control::state_machine::decode(bytes);
    control::catalog_state_machine::decode(bytes);
    core::decode_cbor<node::watch_request>(bytes);
    core::decode_cbor<node::watch_reply>(bytes);
    core::decode_cbor<node::settle_request>(bytes);
    core::decode_cbor<node::crash_message>(bytes);
    return 0;
}
