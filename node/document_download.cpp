#include "node/document_download.hpp"

#include <utility>

#include "core/compress.hpp"
#include "core/digest.hpp"

namespace poplarroute::node
{

namespace
{

constexpr std::uint64_t max_compressed_bytes = 64ULL * 1024 * 1024;

} // namespace

void document_download::want(
    const document_id& id, std::uint64_t least_revision)
{
    least_revision_ = least_revision;
    if (received_.empty() || id.name_ != id_.name_)
    {
        received_.clear();
        id_ = id;
    }
}

document_part_request document_download::next_request() const
{
    return {id_, received_.size(), least_revision_};
}

void document_download::restart(const document_part_reply& part)
{
    id_ = part.id_;
    size_ = part.size_;
    checksum_ = part.checksum_;
    received_.clear();
}

document_download::progress document_download::discard()
{
    received_.clear();
    return progress::damaged;
}

document_download::progress document_download::add(
    const document_part_reply& part)
{
    if (!part.bytes_.is_binary() || part.size_ > max_compressed_bytes)
    {
        return discard();
    }
    const bool continues = !received_.empty() && part.id_ == id_ &&
                           part.checksum_ == checksum_ && part.size_ == size_;
    if (!continues)
    {
        restart(part);
    }
    if (part.offset_ != received_.size())
    {
        return progress::incomplete;
    }
    const std::string bytes = core::text_of(part.bytes_);
    if (bytes.empty() || received_.size() + bytes.size() > size_)
    {
        return discard();
    }
    received_ += bytes;
    age_ = core::duration{part.age_ms_};
    if (received_.size() < size_)
    {
        return progress::incomplete;
    }
    std::optional<std::string> content;
    if (core::stable_hash(received_) == checksum_)
    {
        content = core::decompress(received_);
    }
    if (!content)
    {
        return discard();
    }
    content_ = std::move(*content);
    return progress::complete;
}

std::string document_download::take_content()
{
    received_.clear();
    return std::exchange(content_, std::string());
}

} // namespace poplarroute::node
