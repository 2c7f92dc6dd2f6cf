// Guards against event streams of endpoints that lose or invent bytes, or make
// the parser hold more than has arrived.

#include "node/event_stream_parser.hpp"
#include "tests/fuzz/fuzz.hpp"

using namespace poplarroute;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string_view rest = fuzz::to_text(data, size);
    const std::string_view all = rest;
    node::event_stream_parser parser;
    std::size_t given = 0;
    while (!rest.empty())
    {
        const std::size_t wanted =
            1 + static_cast<unsigned char>(rest.front()) % 32;
        const std::string_view piece = rest.substr(0, wanted);
        rest.remove_prefix(piece.size());
        parser.add(piece);
        for (auto event = parser.next(); event; event = parser.next())
        {
            fuzz::require(!event->bytes_.empty());
            fuzz::require(
                all.substr(given, event->bytes_.size()) == event->bytes_);
            given += event->bytes_.size();
        }
    }
    fuzz::require(given + parser.pending_bytes() == size);
    return 0;
}
