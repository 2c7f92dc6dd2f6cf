// Guards against log segments that end a member which starts. The first byte
// says whether the rest is a segment as it is, or records whose lengths and
// checksums are made valid here.

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <boost/crc.hpp>
#include <unistd.h>

#include "drivers/disk_log.hpp"
#include "tests/fuzz/fuzz.hpp"

using namespace poplarroute;

namespace
{

void append_number(std::string& out, std::size_t number)
{
    const auto value = static_cast<std::uint32_t>(number);
    out.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

/// Records of the input: each begins with a byte that is its length.
std::string to_segment(std::string_view bytes)
{
    std::string out;
    while (!bytes.empty())
    {
        const std::size_t wanted = static_cast<unsigned char>(bytes.front());
        const std::string_view record = bytes.substr(1, wanted);
        bytes.remove_prefix(1 + record.size());
        boost::crc_32_type crc;
        crc.process_bytes(record.data(), record.size());
        append_number(out, record.size());
        append_number(out, crc.checksum());
        out += record;
    }
    return out;
}

/// A data folder of this process, which is removed at its end.
struct data_folder
{
    data_folder()
        : path_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-fuzz-" + std::to_string(getpid())))
    {
        drivers::disk_contents contents;
        drivers::disk_log::open(path_.string(), contents);
    }

    ~data_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }

    std::filesystem::path path_;
};

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
    {
        return 0;
    }
    static const data_folder folder;
    for (const auto& item : std::filesystem::directory_iterator(folder.path_))
    {
        if (item.path().filename().string().starts_with("segment-"))
        {
            std::filesystem::remove(item.path());
        }
    }
    const std::string_view bytes = fuzz::to_text(data, size);
    const std::string segment = bytes.front() == 'r'
                                    ? std::string(bytes.substr(1))
                                    : to_segment(bytes.substr(1));
    std::ofstream(
        folder.path_ / ("segment-" + std::string(19, '0') + "1"),
        std::ios::binary)
        << segment;
    drivers::disk_contents contents;
    drivers::disk_log::open(folder.path_.string(), contents);
    return 0;
}
