#include "node/origin_registry.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::node
{

namespace
{

constexpr core::duration copy_interval{50};
constexpr core::duration copy_timeout{1'000};

/// Interval of the messages without origins, which carry the versions listed.
constexpr core::duration history_interval{1'000};

/// How long listed versions are remembered.
constexpr core::duration history_length{600'000};

/// Time after its election in which a leader hears from hosts which streams
/// they have begun.
constexpr core::duration adoption_period{1'200};

} // namespace

origin_registry::origin_registry(context& with, catalog_replica& group)
    : with_(with),
      group_(group),
      versions_(with.board_.section<settings_section>().settings_.first_start_)
{
}

void origin_registry::start()
{
    register_calls();
    drivers::spawn_loop(
        with_.io_,
        "copy_loop",
        [this]()
        {
            return copy_loop();
        });
}

void origin_registry::begin_leading(core::time_point now)
{
    leading_since_ = now;
    copies_.clear();
}

void origin_registry::set_metrics() const
{
    with_.metrics_.set(
        "poplarroute_stream_origins", {}, static_cast<double>(origins_.size()));
}

void origin_registry::register_calls()
{
    with_.calls_.add_typed<origins_message, origins_reply>(
        method::origins_record,
        allowed_callers::host,
        [this](drivers::peer_identity, origins_message item)
            -> awaitable<core::result<origins_reply>>
        {
            if (!group_.leads())
            {
                co_return core::error{core::errc::not_leader, group_.leader()};
            }
            record_origins(origins_, item.origins_, core::steady_now());
            co_return origins_reply{
                with_.board_.section<settings_section>().epoch_};
        });
    with_.calls_.add_typed<origins_message, origins_reply>(
        method::origins_replicate,
        allowed_callers::host,
        [this](drivers::peer_identity, origins_message item)
            -> awaitable<core::result<origins_reply>>
        {
            const core::time_point now = core::steady_now();
            record_origins(origins_, item.origins_, now);
            if (!group_.leads())
            {
                adopt_history(item, versions_, now);
            }
            co_return origins_reply{
                with_.board_.section<settings_section>().epoch_};
        });
    with_.calls_.add_typed<origin_request, origin_reply>(
        method::origins_find,
        allowed_callers::host,
        [this](drivers::peer_identity, origin_request request)
            -> awaitable<core::result<origin_reply>>
        {
            co_return look_up(request);
        });
}

awaitable<void> origin_registry::copy_loop()
{
    for (;;)
    {
        co_await drivers::sleep_for(copy_interval);
        const core::time_point now = core::steady_now();
        origins_.expire(now);
        if (!group_.leads())
        {
            continue;
        }
        const endpoint_section& list = with_.board_.section<endpoint_section>();
        if (list.read_at_ >= leading_since_)
        {
            observe_list(list, versions_);
            versions_.expire(now - history_length);
        }
        for (const control::member& item :
             group_.member()->log().group().members_)
        {
            if (item.host_ != with_.identity().host_ &&
                !copies_[item.host_].is_sending_)
            {
                drivers::spawn_task(
                    with_.io_, "send_copy", send_copy(item.host_));
            }
        }
    }
}

/// Sends a member what it lacks, if anything.
awaitable<void> origin_registry::send_copy(core::host_id to)
{
    const core::time_point now = core::steady_now();
    copy& state = copies_[to];
    std::uint64_t position = state.position_;
    origins_message out = make_origins_message(origins_, position, now);
    if (out.origins_.empty() && now - state.sent_at_ < history_interval)
    {
        co_return;
    }
    add_history(versions_, out, now);
    state.sent_at_ = now;
    state.is_sending_ = true;
    const core::result<origins_reply> reply = co_await ask<origins_reply>(
        with_.peers_, to, method::origins_replicate, out, copy_timeout);
    const auto found = copies_.find(to);
    if (found == copies_.end())
    {
        co_return;
    }
    found->second.is_sending_ = false;
    if (!core::is_ok(reply))
    {
        co_return;
    }
    const bool is_same_process =
        found->second.epoch_.empty() ||
        found->second.epoch_ == core::value(reply).epoch_;
    found->second.epoch_ = core::value(reply).epoch_;
    found->second.position_ = is_same_process ? position : 0;
}

origin_reply origin_registry::look_up(const origin_request& request) const
{
    const core::time_point now = core::steady_now();
    origin_reply out;
    const bool leads = group_.leads();
    out.is_final_ = leads && now - leading_since_ >= adoption_period;
    const auto origin = origins_.find(request.attempt_, now);
    if (origin)
    {
        out.known_ = origin->service_ == request.service_;
        out.version_ = origin->version_;
        return out;
    }
    // With an older list, hosts may have found endpoints that are not in it.
    const std::optional<std::string> version =
        leads ? versions_.only_version(
                    request.service_,
                    now - core::duration{request.longest_ms_},
                    std::max(leading_since_, now - max_list_age))
              : std::nullopt;
    if (version)
    {
        out.known_ = true;
        out.inferred_ = true;
        out.version_ = *version;
    }
    return out;
}

} // namespace poplarroute::node
