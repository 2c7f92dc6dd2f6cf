#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Largest number of attempts whose streams' origins are kept.
inline constexpr std::size_t max_stream_origins = 100'000;

/// Attempts with a longer id are not kept.
inline constexpr std::size_t max_attempt_id_bytes = 128;

/// Which software began a stream. Another version cannot go on with it.
struct stream_origin
{
    core::service_id service_;
    std::string version_;

    bool operator==(const stream_origin&) const = default;
};

/// An attempt and the origin of its stream.
struct known_origin
{
    std::string attempt_; ///< The caller's id of the attempt.
    stream_origin origin_;
    core::time_point expires_at_; ///< The caller has given up by then.
};

/// The origins of streams that callers may still take up, by the attempt that
/// brought the first event. It is bounded: when it is full, those that expire
/// first make room.
class stream_origins
{
public:
    /// \param capacity largest number of attempts.
    explicit stream_origins(std::size_t capacity = max_stream_origins)
        : capacity_(capacity)
    {
    }

    /// Adds an origin, or keeps a known one for longer. The first origin of an
    /// attempt holds: an id that a caller uses twice does not change it.
    /// \return whether anything changed.
    bool record(const known_origin& item, core::time_point now);

    /// \return nothing when it is unknown or has expired.
    std::optional<stream_origin> find(
        std::string_view attempt, core::time_point now) const;

    /// \param position of an earlier call, 0 at first; set to the newest.
    /// \return what has been recorded since then and has not expired, at most
    /// max_items of it, the oldest first.
    std::vector<known_origin> recorded_since(
        std::uint64_t& position,
        std::size_t max_items,
        core::time_point now) const;

    void expire(core::time_point now);

    std::size_t size() const
    {
        return by_attempt_.size();
    }

private:
    struct entry
    {
        stream_origin origin_;
        core::time_point expires_at_;
        std::uint64_t position_ = 0; ///< Of its last change.
    };

    using entry_map = std::map<std::string, entry, std::less<>>;

    void make_room();

    std::size_t capacity_;
    entry_map by_attempt_;
    std::map<std::uint64_t, entry_map::iterator> by_position_;
    std::multimap<core::time_point, entry_map::iterator> by_expiry_;
    std::uint64_t newest_position_ = 0;
};

} // namespace poplarroute::policy
