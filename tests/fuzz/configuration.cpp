// Guards against configurations that end the process, in the platform's JSON
// and in the product's own format.

#include "control/configuration.hpp"
#include "platform/catalog_json.hpp"
#include "tests/fuzz/fuzz.hpp"

using namespace poplarroute;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text = fuzz::to_text(data, size);
    core::finding_list findings;
    const auto decoded = platform::decode_catalog_json(text, findings);
    fuzz::require(decoded.has_value() == findings.empty());
    core::finding_list other;
    control::parse_configuration("fuzz", text, other);
    return 0;
}
