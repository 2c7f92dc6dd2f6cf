#include "node/document_parts.hpp"

#include <algorithm>
#include <utility>

#include "core/compress.hpp"
#include "core/digest.hpp"

namespace poplarroute::node
{

namespace
{

/// One part takes 26 ms over a link of 10 Mbit/s, which delays other replies on
/// the same connection only a little.
constexpr std::size_t part_bytes = 32 * 1024;
constexpr std::size_t max_documents = 8;

} // namespace

void document_parts::put(
    const document_id& id, std::string_view content, core::time_point as_of)
{
    put_compressed(
        id, core::compress(content, core::compression::speed), as_of);
}

void document_parts::put_compressed(
    const document_id& id, std::string bytes, core::time_point as_of)
{
    document added;
    added.as_of_ = as_of;
    added.id_ = id;
    added.bytes_ = std::move(bytes);
    added.checksum_ = core::stable_hash(added.bytes_);
    documents_.push_front(std::move(added));
    if (documents_.size() > max_documents)
    {
        documents_.pop_back();
    }
}

bool document_parts::contains(const document_id& id) const
{
    return std::any_of(
        documents_.begin(),
        documents_.end(),
        [&](const document& item)
        {
            return item.id_ == id;
        });
}

std::uint64_t document_parts::newest_revision(std::string_view name) const
{
    std::uint64_t out = 0;
    for (const document& item : documents_)
    {
        if (item.id_.name_ == name)
        {
            out = std::max(out, item.id_.revision_);
        }
    }
    return out;
}

std::optional<document_part_reply> document_parts::part(
    const document_part_request& request, core::time_point now)
{
    const auto found = std::find_if(
        documents_.begin(),
        documents_.end(),
        [&](const document& item)
        {
            return item.id_ == request.id_;
        });
    if (found == documents_.end() || request.offset_ >= found->bytes_.size())
    {
        return std::nullopt;
    }
    documents_.splice(documents_.begin(), documents_, found);
    document_part_reply out;
    out.id_ = found->id_;
    out.size_ = found->bytes_.size();
    out.checksum_ = found->checksum_;
    out.offset_ = request.offset_;
    out.age_ms_ = (now - found->as_of_).ms_;
    out.bytes_ =
        core::binary(found->bytes_.substr(request.offset_, part_bytes));
    return out;
}

} // namespace poplarroute::node
