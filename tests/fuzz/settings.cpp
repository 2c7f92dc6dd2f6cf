// Guards against settings files of either kind that end the process.

#include "platform/settings.hpp"
#include "drivers/host_settings.hpp"
#include "tests/fuzz/fuzz.hpp"

using namespace poplarroute;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text = fuzz::to_text(data, size);
    core::finding_list product;
    drivers::parse_host_settings("fuzz", text, product);
    core::finding_list platform;
    const auto read = platform::parse_settings("fuzz", text, platform);
    fuzz::require(read.clients_.memory_percent_ <= 60);
    fuzz::require(read.clients_.connections_ >= 1);
    return 0;
}
