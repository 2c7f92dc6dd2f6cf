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
#include "policy/ejection_record.hpp"
#include "policy/stage_planner.hpp"

namespace poplarroute::policy
{

/// An engine as the configuration and the platform's list describe it.
struct engine_info
{
    core::endpoint_id name_;
    core::zone_id zone_;
    bool reads_prompts_ = false; ///< It prefills; others decode.
    bool usable_ = true;         ///< Not leaving, its zone not taken out.
    std::int64_t slots_ = 1;
    std::int64_t memory_tokens_ = 0;
    std::int64_t starts_per_second_ = 0; ///< While it is cold; 0: any.
};

/// A stream that wants a prompt reader and memory at a decode engine.
struct stream_request
{
    std::string id_;
    std::string digest_; ///< Equal for the same request sent again.
    core::host_id host_; ///< The entry host that will run it.
    core::zone_id zone_; ///< Of that host.
    std::int64_t prompt_tokens_ = 0;
    std::int64_t most_output_ = 0;
    std::int64_t output_hint_ = 0;          ///< The caller's estimate; 0: none.
    int priority_ = 0;                      ///< 0 is first.
    core::time_point first_event_deadline_; ///< Its first event is due by then.
    core::time_point queue_deadline_;
    bool prompt_is_read_ = false;      ///< Only the decode side is wanted.
    bool decode_reads_prompt_ = false; ///< The decode engine reads it itself.
    std::set<core::endpoint_id> avoid_;
};

/// Where a stream runs. No reader: the decode engine reads the prompt, or it
/// has been read.
struct stream_placement
{
    std::string id_;
    core::endpoint_id reader_;
    core::endpoint_id decoder_;
    core::duration waited_;
};

enum class stream_refusal_reason
{
    no_engine,    ///< None is there that could take it.
    too_large,    ///< It does not fit into any engine's memory.
    no_room_soon, ///< What waits before it takes longer than it can wait.
    overtaken,    ///< Its objective has passed, others can still meet theirs.
    waited_out,   ///< It has waited for as long as it could.
};

/// A stream that was not run.
struct stream_refusal
{
    std::string id_;
    stream_refusal_reason reason_ = stream_refusal_reason::no_engine;
    core::duration retry_after_;
    std::int64_t waiting_ = 0; ///< Streams that waited when it was decided.
};

using stream_decision = std::variant<stream_placement, stream_refusal>;

/// How a stream ended, as its entry host saw it.
struct stream_result
{
    std::string id_;
    bool complete_ = false;
    std::int64_t prompt_tokens_ = 0;
    core::duration read_; ///< Time the prompt took; 0 when it was not read.
    std::int64_t output_tokens_ = 0;
    core::duration decode_; ///< From the first to the last event.
};

/// A placement that an entry host reports.
struct reported_placement
{
    std::string id_;
    core::endpoint_id decoder_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_hint_ = 0;
    core::duration age_;
};

/// \return the reason's stable name, for logs.
const char* name_of(stream_refusal_reason reason);

/// Places the streams of one service on its prompt readers and decode engines.
///
/// Load: bursts of about twice the steady rate, in which decode memory is the
/// bottleneck. A stream is placed when its expected memory use over time fits
/// beside the others, so that prefills are not wasted; until then it queues,
/// streams that can still meet their objective first. Reserving the stated
/// maximum output would leave half of the memory unused. A caller that was
/// refused and returns keeps its first objective: under overload it does not
/// displace those who can still be served on time.
///
/// Pure: time comes in with each call.
class stream_scheduler
{
public:
    /// \param seed for ties between engines when it does not see all streams.
    explicit stream_scheduler(std::uint64_t seed = 1);

    /// Says that other hosts place streams on the same engines, unseen.
    ///
    /// Load: no leader for some seconds, while each host places its own
    /// streams. Each own stream then stands for a part of the others', and
    /// hosts draw among good engines lest all choose the same one.
    /// \param hosts that share the engines, this one included; 1: none else.
    void set_scheduling_hosts(std::int64_t hosts);

    /// Takes over the engines as they are now known.
    void set_engines(std::span<const engine_info> engines);

    /// Takes a stream in.
    void ask(stream_request want, core::time_point now);

    /// Drops a stream that waits, or frees its place.
    void finished(const stream_result& end, core::time_point now);

    /// The prompt of a stream has been read.
    void prefill_finished(const std::string& id);

    /// An engine failed a host's call or could not be reached by it.
    void failed(
        const core::endpoint_id& engine,
        const core::host_id& host,
        core::time_point now);

    /// Another process answers at an engine's address: the engine is gone,
    /// though it may be on the list for some seconds yet.
    void replaced(const core::endpoint_id& engine, core::time_point now);

    /// A prompt's KV cache had expired at its reader before it was fetched.
    /// Several such events in a row eject the reader.
    void record_handle_expiry(
        const core::endpoint_id& reader, core::time_point now);

    /// An engine answered a host's call, or its prompt was taken over.
    void record_success(
        const core::endpoint_id& engine,
        const core::host_id& host,
        core::time_point now);

    /// Replaces the placements known of a host by those it reports, except for
    /// very recent ones.
    void reconcile(
        const core::host_id& host,
        std::span<const reported_placement> held,
        core::time_point now);

    /// Releases the placements of hosts that have not reported for a while.
    void expire(core::time_point now);

    /// Decides what can be decided now.
    std::vector<stream_decision> decide(core::time_point now);

    std::size_t waiting() const
    {
        return waiting_.size();
    }

    std::size_t running() const
    {
        return runs_.size();
    }

    /// \return what engines carry and what is asked for; nothing until answers
    /// have been seen.
    std::optional<stage_rates> rates(core::time_point now);

    /// \return the part of the decode memory that is expected to be in use.
    double fill(core::time_point now) const;

private:
    struct engine
    {
        engine_info facts_;
        ejection_record ejections_;
        std::int64_t reading_tokens_ = 0;
        int lapses_ = 0; ///< In a row.
        std::deque<core::time_point> starts_;
        std::set<std::string> runs_; ///< Streams placed to decode here.
    };

    struct run
    {
        core::host_id host_;
        core::endpoint_id reader_; ///< Empty once the prompt is read.
        core::endpoint_id decoder_;
        std::string digest_;
        std::int64_t prompt_tokens_ = 0;
        std::int64_t expected_output_ = 0;
        core::time_point placed_at_;
    };

    struct waiting_stream
    {
        stream_request want_;
        core::time_point asked_at_;
    };

    struct first_try
    {
        core::time_point first_event_deadline_;
        core::time_point forget_at_;
    };

    struct load
    {
        std::int64_t now_tokens_ = 0;
        std::int64_t mean_tokens_ = 0;
        std::int64_t runs_ = 0;
    };

    load load_of(const engine& item, core::time_point now) const;
    void add_run(const std::string& id, run placed);
    std::int64_t expected_output(const stream_request& want) const;
    bool in_use(
        const engine& item,
        const core::host_id& host,
        core::time_point now) const;
    bool has_reader(const stream_request& want, core::time_point now) const;
    bool may_start(engine& item, core::time_point now) const;
    engine* pick_decoder(
        const stream_request& want, bool late, core::time_point now);
    engine* pick_reader(
        const stream_request& want,
        const core::zone_id& decoder_zone,
        core::time_point now);
    bool try_place(
        waiting_stream& item,
        core::time_point now,
        std::vector<stream_decision>& out);
    std::optional<stream_refusal_reason> hopeless(
        const waiting_stream& item, core::time_point now) const;
    void release(const std::string& id);
    void keep_first_objective(stream_request& want, core::time_point now);
    void free_reader(run& of);
    void sort_waiting(core::time_point now);
    void refuse_without_hope(
        core::time_point now, std::vector<stream_decision>& out);
    core::duration time_to_room() const;
    core::duration spread(core::duration time);
    double draw();

    std::map<core::endpoint_id, engine> engines_;
    std::map<std::string, run> runs_;
    std::vector<waiting_stream> waiting_;
    std::map<core::host_id, core::time_point> hosts_;
    std::map<std::string, first_try> first_tries_; ///< Unfinished, by digest.
    std::deque<core::time_point> asked_;           ///< Lately.
    std::minstd_rand random_;
    double stands_for_ = 1;  ///< Streams that one of this host's stands for.
    double prompt_mean_ = 0; ///< Tokens of a prompt, of those asked for.
    double output_mean_ = 0; ///< Tokens of an answer, of those seen.
    double read_rate_ = 0;   ///< Prompt tokens a ms.
    double token_ms_ = 0;    ///< Between two tokens of a stream.
};

} // namespace poplarroute::policy
