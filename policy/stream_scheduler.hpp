#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "policy/account_shares.hpp"
#include "policy/ejection_record.hpp"
#include "policy/endpoint_speed.hpp"
#include "policy/stage_planner.hpp"

namespace poplarroute::policy
{

/// An engine as the configuration and the platform's list describe it.
struct engine_info
{
    core::endpoint_id name_;
    core::zone_id zone_;
    /// Version of its software. A prompt is decoded by the version that has
    /// prefilled it.
    std::string version_;
    bool reads_prompts_ = false; ///< Whether it is a prefill engine.
    bool usable_ = true;     ///< Neither leaving nor in a zone out of service.
    std::int64_t slots_ = 1; ///< Maximum number of concurrent streams.
    std::int64_t memory_tokens_ = 0;     ///< KV-cache capacity.
    std::int64_t starts_per_second_ = 0; ///< Limit while cold; 0: unlimited.
};

/// A stream that asks for a prefill engine and for memory at a decode engine.
struct stream_request
{
    std::string id_;
    std::string digest_; ///< Equal for repeats of the same request.
    core::host_id host_; ///< Entry host that forwards the stream.
    core::zone_id zone_; ///< Availability zone of that host.
    std::int64_t prompt_tokens_ = 0;
    std::int64_t most_output_ = 0; ///< Maximum output tokens.
    std::int64_t output_hint_ = 0; ///< Caller's estimate, tokens; 0: none.
    int priority_ = 0;             ///< 0 is the highest.
    core::account_id account_;     ///< Empty: none.
    /// Price in seconds of the account's rate; 0: unknown, or without a rate.
    double share_cost_ = 0;
    core::time_point first_event_deadline_;
    core::time_point queue_deadline_;   ///< Refused if not placed by then.
    bool prompt_is_read_ = false;       ///< Needs a decode engine only.
    bool decode_reads_prompt_ = false;  ///< The decode engine prefills it.
    std::set<core::endpoint_id> avoid_; ///< Engines not to be chosen.
};

/// Engines that a stream is placed on.
struct stream_placement
{
    std::string id_;
    /// Prefill engine. Empty if the decode engine prefills the prompt, or if
    /// the prompt is already prefilled.
    core::endpoint_id reader_;
    core::endpoint_id decoder_; ///< Decode engine.
    core::duration waited_;     ///< Time in the queue.
};

enum class stream_refusal_reason
{
    no_engine,    ///< It has no usable decode engine, or avoids them all.
    too_large,    ///< It does not fit into any engine's memory.
    no_room_soon, ///< The expected queueing delay exceeds its queue deadline.
    overtaken,    ///< Its first-event deadline has passed, others' have not.
    waited_out,   ///< Its queue deadline has passed.
};

/// A stream that was refused a placement.
struct stream_refusal
{
    std::string id_;
    stream_refusal_reason reason_ = stream_refusal_reason::no_engine;
    core::duration retry_after_;
    std::int64_t waiting_ = 0; ///< Queue length at the time of the decision.
    core::account_id account_; ///< Of the stream.
};

using stream_decision = std::variant<stream_placement, stream_refusal>;

/// How a stream ended, as its entry host saw it.
struct stream_result
{
    std::string id_;
    bool complete_ = false; ///< Whether all of the output was received.
    std::int64_t prompt_tokens_ = 0;
    core::duration read_; ///< Prefill time; 0 when nothing was prefilled.
    std::int64_t output_tokens_ = 0;
    core::duration decode_; ///< From the first event to the last.
};

/// A running stream's placement as its entry host reports it.
struct reported_placement
{
    std::string id_;
    core::endpoint_id decoder_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_hint_ = 0; ///< Expected output tokens.
    core::duration age_;           ///< Time since it was placed.
};

/// What a scheduler knows of an engine's speed, for metrics. Factors are
/// multiples of the time that all engines take on average; 1: no known
/// difference.
struct engine_speed_view
{
    core::endpoint_id name_;
    bool reads_prompts_ = false;
    double factor_ = 1; ///< Of its stage, now.
    bool is_pace_fresh_ = false;
};

/// \return the reason's stable name, for logs.
const char* name_of(stream_refusal_reason reason);

/// Places the streams of one service on its prefill and decode engines.
///
/// Load: bursts of about twice the steady rate, in which decode memory is the
/// bottleneck. A stream is placed when its expected memory use over time fits
/// beside the others, so that prefills are not wasted; until then it waits in
/// a queue, in which streams that can still meet their first-event deadline
/// come first. Reserving the stated maximum output would leave half of the
/// memory unused. A caller that was refused and returns keeps its first
/// deadline: under overload it does not displace those that can still be
/// served on time.
///
/// Engines differ in speed, and each is slow at times. A stream's prompt goes
/// to the engine that is expected to have prefilled it first, and its decode
/// rather to a fast engine, which holds the stream's memory for a shorter time.
/// A stream on time waits for an engine on which its first event is in time
/// rather than taking an idle one on which it is not. Engines whose durations
/// show no significant difference count as equal.
///
/// When streams of several accounts wait, account_shares orders them, and those
/// that the forecast of the order shows to be too late are refused at once,
/// with times to return that follow each other as fast as capacity becomes
/// free.
///
/// Performs no I/O and reads no clock: each call passes the current time.
class stream_scheduler
{
public:
    /// \param seed seeds the random numbers, which vary retry times and break
    /// ties between engines while other hosts place streams on them, too.
    explicit stream_scheduler(std::uint64_t seed = 1);

    /// Sets how many hosts place streams on these engines independently.
    ///
    /// Load: no leader for some seconds, while each host places its own
    /// streams. Each of them then counts for several, since the other hosts'
    /// streams are unknown here, and scores get a random part, so that hosts
    /// do not all choose the same engine.
    /// \param hosts number of such hosts, this one included; 1: only this one.
    void set_scheduling_hosts(std::int64_t hosts);

    /// Replaces the list of engines.
    void set_engines(std::span<const engine_info> engines);

    /// Adds a stream to the queue.
    void ask(stream_request request, core::time_point now);

    /// Removes a stream from the queue, or releases its placement.
    void finished(const stream_result& result, core::time_point now);

    /// Records that the prompt of a stream has been prefilled.
    void prefill_finished(const std::string& id);

    /// Records that a host's call to an engine failed or could not reach it.
    void failed(
        const core::endpoint_id& engine,
        const core::host_id& host,
        core::time_point now);

    /// Records that another process answers at an engine's address. The engine
    /// is ejected, since the platform's list may still show it for seconds.
    void replaced(const core::endpoint_id& engine, core::time_point now);

    /// Records that a KV handle expired at its prefill engine before it was
    /// fetched. Several such events in a row eject the engine.
    void record_handle_expiry(
        const core::endpoint_id& engine, core::time_point now);

    /// Records that an engine answered a host's call, or that the KV cache of a
    /// prompt was fetched from it.
    void record_success(
        const core::endpoint_id& engine,
        const core::host_id& host,
        core::time_point now);

    /// Records how long work takes on an engine's machine now, in percent of
    /// the usual, as the engine reported it.
    void record_pace(
        const core::endpoint_id& engine,
        std::int64_t percent,
        core::time_point now);

    /// \return the engines' speeds, in the order of their names.
    std::vector<engine_speed_view> speeds(core::time_point now) const;

    /// Replaces the known placements of a host by those that it reports, except
    /// for very recent ones.
    void reconcile(
        const core::host_id& host,
        std::span<const reported_placement> reported,
        core::time_point now);

    /// Releases the placements of hosts that have not reported for a while.
    void expire(core::time_point now);

    /// Places or refuses the waiting streams for which this is possible now.
    std::vector<stream_decision> decide(core::time_point now);

    std::size_t waiting() const
    {
        return waiting_.size();
    }

    /// \return the number of waiting streams by account.
    std::map<core::account_id, std::int64_t> waiting_by_account() const;

    std::size_t running() const
    {
        return running_.size();
    }

    /// \return the engines' capacity and the offered load; nothing until
    /// streams have completed.
    std::optional<stage_rates> rates(core::time_point now);

    /// \return the fraction of the decode engines' memory that is expected to
    /// be in use, averaged over the streams' run time.
    double memory_utilization(core::time_point now) const;

private:
    /// Memory and slots that the streams of a decode engine use.
    struct engine_load
    {
        std::int64_t current_tokens_ = 0;
        std::int64_t mean_tokens_ = 0; ///< Expected mean over their run time.
        std::int64_t streams_ = 0;
    };

    struct engine
    {
        engine_info info_;
        ejection_record ejections_;
        std::int64_t prefilling_tokens_ = 0; ///< Of unfinished prefills.
        int consecutive_expirations_ = 0;    ///< Of KV handles.
        std::deque<core::time_point> recent_starts_; ///< In the last second.
        std::set<std::string> stream_ids_; ///< Streams placed to decode here.
        endpoint_speed prefill_speed_;     ///< Of a prompt token.
        endpoint_speed decode_speed_;      ///< Of an output token.
        double prefill_factor_ = 1; ///< Of the durations, as last updated.
        double decode_factor_ = 1;
        /// Load during one decide(); nothing after a change of the streams.
        std::optional<engine_load> load_;
    };

    struct running_stream
    {
        core::host_id host_;
        core::endpoint_id reader_; ///< Empty once the prompt is prefilled.
        core::endpoint_id prefilled_by_; ///< Prefill engine; empty: none.
        core::endpoint_id decoder_;
        std::string digest_;
        std::int64_t prompt_tokens_ = 0;
        std::int64_t expected_output_ = 0; ///< Tokens.
        core::time_point placed_at_;
    };

    struct waiting_stream
    {
        stream_request request_;
        core::time_point arrived_at_;
        core::time_point place_since_; ///< Decides the order in its account.
    };

    /// First request with a digest; a caller that returns keeps its deadline.
    struct first_arrival
    {
        core::time_point first_event_deadline_;
        core::time_point expires_at_;
        core::time_point arrived_at_;
        /// When the caller was told to return, if several accounts compete.
        std::optional<core::time_point> return_at_;
    };

    double common_prefill_ms_per_token() const;
    double common_decode_ms_per_token() const;
    double prefill_factor(const engine& item, core::time_point now) const;
    double decode_factor(const engine& item, core::time_point now) const;
    void update_factors(core::time_point now);
    void record_durations(
        const stream_result& result,
        const running_stream& stream,
        core::time_point now);
    bool is_in_time_there(
        const engine& item,
        const stream_request& request,
        core::time_point now) const;
    engine_load load_of(const engine& item, core::time_point now) const;
    const engine_load& known_load(engine& item, core::time_point now) const;
    void add_running(const std::string& id, running_stream placed);
    std::int64_t expected_output(const stream_request& request) const;
    bool is_available_to(
        const engine& item,
        const core::host_id& host,
        core::time_point now) const;
    bool has_prefill_engine(
        const stream_request& request,
        const std::string& version,
        core::time_point now) const;
    bool within_start_rate(engine& item, core::time_point now) const;
    engine* choose_decode_engine(
        const stream_request& request, bool is_late, core::time_point now);
    engine* choose_prefill_engine(
        const stream_request& request,
        const engine_info& decode_engine,
        core::time_point now);
    bool try_place(
        waiting_stream& item,
        core::time_point now,
        std::vector<stream_decision>& out);
    std::optional<stream_refusal_reason> find_refusal_reason(
        const waiting_stream& item, core::time_point now) const;
    void release(const std::string& id);
    core::time_point keep_first_deadline(
        stream_request& request, core::time_point now);
    bool shares_capacity(core::time_point now) const;
    share_entry to_entry(
        const waiting_stream& item, core::time_point now) const;
    std::vector<share_entry> waiting_entries(core::time_point now) const;
    std::set<int> waiting_priorities() const;
    void sort_by_shares(core::time_point now);
    bool waits_on_time(int priority, core::time_point now) const;
    double streams_per_ms(const stream_request& request, core::time_point now);
    void shed_by_forecast(
        core::time_point now, std::vector<stream_decision>& out);
    core::duration schedule_return(
        const waiting_stream& item,
        core::duration wait,
        double streams_per_ms,
        core::time_point now);
    void release_prefill_engine(running_stream& stream);
    void sort_waiting(core::time_point now);
    void shed_load(core::time_point now, std::vector<stream_decision>& out);
    core::duration estimate_queue_delay() const;
    core::duration add_jitter(core::duration time);
    double random_score_offset();

    std::map<core::endpoint_id, engine> engines_;
    std::map<std::string, running_stream> running_;
    std::vector<waiting_stream> waiting_;
    std::map<core::host_id, core::time_point> host_heard_at_; ///< Last contact.
    std::map<std::string, first_arrival> first_arrivals_;     ///< By digest.
    std::deque<core::time_point> recent_arrivals_; ///< Within the rate window.
    std::minstd_rand random_;
    /// Number of streams as which each stream placed here counts.
    double own_stream_weight_ = 1;
    account_shares shares_;
    std::map<core::account_id, core::time_point> accounts_seen_at_;
    std::map<int, core::time_point> next_return_at_; ///< By priority.
    double mean_share_cost_ = 0;       ///< Of streams with a known one.
    double mean_prompt_tokens_ = 0;    ///< Of requested prefills.
    double mean_output_tokens_ = 0;    ///< Of completed streams.
    double prefill_tokens_per_ms_ = 0; ///< Of one prefill engine.
    double ms_per_token_ = 0;          ///< Of one stream.
};

} // namespace poplarroute::policy
