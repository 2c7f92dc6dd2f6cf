#include "node/stream_origin_guard.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::node
{

namespace
{

/// How long a host tries to find out which version began a stream. Callers
/// leave after about two seconds without an answer.
constexpr core::duration find_timeout{1'500};

/// Longest time for which callers are assumed to take one stream up again and
/// again, if their deadlines are no longer.
constexpr core::duration longest_stream_time{60'000};

/// Identity of a process that is not the one that was asked; it takes no call.
constexpr const char* misdirected = "misdirected";

/// A caller's clock may run slower than this host's.
constexpr core::duration origin_margin{2'000};

} // namespace

stream_origin_guard::stream_origin_guard(
    ingress_context& ingress, const ingress_call& call, ingress_result& result)
    : ingress_(ingress),
      call_(call),
      result_(result),
      has_begun_(call.request_.resume_after_.has_value())
{
}

const std::string& stream_origin_guard::attempt() const
{
    return call_.request_.resume_after_ ? call_.request_.resumes_
                                        : call_.request_.attempt_;
}

awaitable<bool> stream_origin_guard::find()
{
    const core::duration longest =
        std::max(longest_stream_time, call_.route_.time_limit_ * 2);
    const std::optional<found_origin> found = co_await ingress_.origins_.find(
        call_.request_.resumes_,
        call_.service_,
        longest,
        std::min(find_timeout, time_left(call_)));
    if (!found)
    {
        result_.origin_ = "unknown";
        result_.detail_ = "it is unknown which version began the stream";
        count("unknown_version");
        co_return false;
    }
    result_.origin_ = found->known_by_;
    version_ = found->version_;
    result_.began_ = *version_;
    co_return true;
}

std::optional<drivers::peer_check> stream_origin_guard::make_peer_check(
    const listed_endpoint& engine) const
{
    if (engine.started_at_ms_ == 0)
    {
        return std::nullopt;
    }
    const drivers::http_call report =
        ingress_.codec_.engine_report_call(engine.address_, engine.name_);
    drivers::peer_check out;
    out.target_ = report.target_;
    out.headers_ = report.headers_;
    out.identify_ = [&codec = ingress_.codec_](
                        const drivers::http_response& statement) -> std::string
    {
        if (statement.status_ == status_misdirected)
        {
            return misdirected;
        }
        const auto read = codec.decode_engine_report(statement.body_);
        return std::to_string(read ? read->started_at_ms_ : 0);
    };
    out.accepts_ = [has_to_be_listed = has_begun_,
                    listed = std::to_string(engine.started_at_ms_)](
                       const std::string& identity)
    {
        return identity == listed ||
               (!has_to_be_listed && identity != misdirected);
    };
    return out;
}

void stream_origin_guard::note_process(
    const listed_endpoint& engine, const drivers::http_stream& stream)
{
    process_ = {engine.name_, engine.started_at_ms_};
    process_version_ = engine.version_;
    result_.version_ = engine.version_;
    const std::optional<std::string>& identity = stream.peer_identity();
    if (engine.started_at_ms_ == 0 || !identity)
    {
        return;
    }
    process_.started_at_ms_ = std::stoll(*identity);
    const bool is_listed = process_.started_at_ms_ == engine.started_at_ms_;
    if (!is_listed)
    {
        process_version_.reset();
        result_.version_.clear();
    }
    const char* unlisted =
        process_.started_at_ms_ != 0 ? "another" : "not_stated";
    ingress_.with_.metrics_.count(
        "poplarroute_engine_process_checks_total",
        {{"result", is_listed ? "listed" : unlisted}});
}

void stream_origin_guard::record_first_event()
{
    if (has_begun_)
    {
        count("went_on");
    }
    else
    {
        has_begun_ = true;
        version_ = process_version_;
        result_.began_ = version_.value_or("unknown");
    }
    const core::duration patience =
        call_.request_.deadline_.value_or(call_.route_.time_limit_);
    const core::time_point expires_at =
        call_.arrived_at_ + patience + origin_margin;
    if (version_)
    {
        ingress_.origins_.record(
            attempt(), call_.service_, *version_, expires_at);
    }
    else if (process_.started_at_ms_ != 0)
    {
        ingress_.origins_.record_unlisted(
            attempt(), call_.service_, process_, expires_at);
    }
}

void stream_origin_guard::count(const char* result) const
{
    ingress_.with_.metrics_.count(
        "poplarroute_streams_resumed_total",
        {{"service", call_.service_},
         {"by", call_.request_.resume_after_ ? "caller" : "host"},
         {"result", result}});
}

} // namespace poplarroute::node
