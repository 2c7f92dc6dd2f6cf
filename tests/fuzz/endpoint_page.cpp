// Guards against pages of the endpoint list, and other answers of the platform
// and of endpoints, that end the process.

#include "platform/platform_codec.hpp"
#include "tests/fuzz/fuzz.hpp"

using namespace poplarroute;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text = fuzz::to_text(data, size);
    const platform::platform_codec codec;
    const auto page = codec.decode_endpoint_page(text);
    if (page)
    {
        for (const std::size_t offset : page->unreadable_)
        {
            fuzz::require(offset < size);
        }
    }
    codec.decode_engine_report(text);
    codec.decode_kv_handle(text);
    return 0;
}
