#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Finds the prompt parts that crash every engine which begins to answer on
/// them, and quarantines them.
///
/// A crash implicates all parts of the requests that had just begun on the
/// engine, most of them unrelated to it. A part is quarantined once several
/// crashes have implicated it, no request with it has answered since the first
/// of them, and requests of its service without it have. So a part that most
/// requests share is never quarantined when engines crash for other reasons. Of
/// parts that were in each of the same requests, the last one is quarantined,
/// since earlier parts are shared by more prompts. Parts that answered shortly
/// before need more crashes. After a quarantine one crash is enough for the
/// next, which lasts twice as long.
class prompt_part_quarantine
{
public:
    /// Records that an engine crashed under a request that had just begun.
    /// \param parts the parts of its prompt that other prompts may share, in
    /// their order.
    void crashed(
        const core::service_id& service,
        std::span<const std::string> parts,
        core::time_point now);

    /// Records that a request has answered for a while, or completely, which
    /// clears its parts.
    /// \return whether suspects() or quarantined() have changed.
    bool answered(
        const core::service_id& service,
        std::span<const std::string> parts,
        core::time_point now);

    /// Takes over a quarantine that a previous leader has imposed.
    /// \param key as quarantined() returns it.
    /// \return whether it was not known.
    bool adopt(const std::string& key, core::time_point now);

    /// Removes the records that have expired.
    /// \return whether a quarantine has ended.
    bool expire(core::time_point now);

    /// \return the keys of the implicated parts that have not been quarantined.
    std::vector<std::string> suspects() const;

    /// \return the keys of the quarantined parts.
    std::vector<std::string> quarantined() const;

    /// \return the key of a service's part.
    static std::string key_of(
        const core::service_id& service, const std::string& part);

    /// \return whether a text is such a key, and not the digest of a request.
    static bool is_key(std::string_view text);

private:
    /// Crashes that implicate a part. Those within a short time count as one,
    /// since one cause may end several engines.
    struct record
    {
        int crash_count_ = 0;

        /// Later parts that were in each of the requests, which explain the
        /// crashes as well.
        std::set<std::string> always_followed_by_;
        core::time_point last_counted_at_;
        std::int64_t answered_without_ = 0; ///< Requests without the part.
        bool quarantined_ = false;
        int quarantines_ = 0; ///< Those that have begun.
        core::time_point expires_at_;
    };

    bool has_answered(const std::string& key) const;
    bool is_quarantined(const std::string& key) const;
    void count_crash(
        std::span<const std::string> keys,
        std::size_t position,
        core::time_point now);
    bool quarantine_if_proven(
        const std::string& key, record& entry, core::time_point now) const;
    static void begin_quarantine(record& entry, core::time_point now);
    void forget_old_answers(core::time_point now);

    std::map<std::string, record> records_;

    /// Parts of requests that answered, with the time.
    std::unordered_map<std::string, core::time_point> answered_at_;
    core::time_point answers_checked_at_;
};

} // namespace poplarroute::policy
