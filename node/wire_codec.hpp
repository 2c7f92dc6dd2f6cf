#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/catalog.hpp"
#include "core/finding.hpp"
#include "drivers/http_client.hpp"
#include "drivers/http_server.hpp"
#include "policy/endpoint_notices.hpp"

namespace poplarroute::node
{

/// A caller's request as the entry host decodes it.
struct ingress_request
{
    std::string attempt_;      ///< The caller's id of this attempt.
    std::string virtual_host_; ///< Without a port.
    std::string method_;
    std::string target_; ///< Path and query, forwarded unchanged.
    std::string path_;
    std::string key_;                        ///< API key; empty: none was sent.
    std::optional<core::duration> deadline_; ///< Relative to its arrival.
    bool counts_tokens_ = false; ///< The next two token counts are given.
    std::int64_t prompt_tokens_ = 0;
    std::int64_t most_output_ = 0; ///< Maximum number of output tokens.
    std::int64_t output_hint_ = 0; ///< Estimate of output tokens; 0: none.
    std::optional<std::int64_t>
        resume_after_; ///< Id of the caller's last event.
    /// The caller's attempt that brought the first event of the stream that it
    /// takes up; empty: not stated.
    std::string resumes_;
    drivers::header_list forwarded_; ///< Headers that are forwarded unchanged.
    std::string body_;

    /// Ids of the prompt's parts that other prompts may share.
    std::vector<std::string> shared_parts_;
};

/// Part of a request that is sent to an endpoint.
enum class request_stage
{
    whole,          ///< A plain call, or the decode call of a stream.
    prefill_prompt, ///< Only the prefill, for a decode engine.
};

/// How a request is sent to an endpoint.
struct send_plan
{
    std::string address_;
    core::endpoint_id endpoint_;
    core::account_id account_; ///< Empty: none.
    core::duration deadline_;  ///< Time left, sent to the endpoint.
    request_stage stage_ = request_stage::whole;
    std::string kv_source_; ///< Location of the KV cache; empty: none.
    std::optional<std::int64_t> resume_after_;
    int urgency_ = -1; ///< 0 is the most urgent; -1: not sent.
};

/// What an endpoint's response says besides its status and body.
struct response_metadata
{
    bool not_run_ = false;        ///< The endpoint did not run the request.
    bool misdirected_ = false;    ///< Another endpoint now has the address.
    bool signed_ = false;         ///< It carries an endpoint's signature.
    bool echoes_attempt_ = false; ///< It repeats the request's attempt id.
    std::optional<std::int64_t> running_; ///< Running requests, if reported.
    std::int64_t waiting_ = 0;            ///< Queued requests, if reported.

    /// How long work takes on the endpoint's machine now, in percent of the
    /// usual; nothing: unknown.
    std::optional<std::int64_t> pace_percent_;
};

/// A prompt's KV cache that a prefill engine keeps for a decode engine.
struct kv_handle
{
    std::string id_;
    std::int64_t tokens_ = 0;
};

/// An endpoint as the platform's list describes it.
struct listed_endpoint
{
    core::endpoint_id name_;
    core::service_id service_;
    std::string address_;
    core::zone_id zone_;
    std::int64_t slots_ = 1;
    bool leaving_ = false;
    std::int64_t started_at_ms_ = 0; ///< Unix time of its start; 0: unknown.
    core::duration cold_time_left_;
    bool reads_prompts_ = false; ///< It prefills; other engines decode.
    std::string version_;        ///< Of its software; empty: not stated.

    bool operator==(const listed_endpoint&) const = default;
};

/// A page of the platform's endpoint list.
struct endpoint_page
{
    std::vector<listed_endpoint> endpoints_;
    /// Offsets in the page's text of the entries that were skipped as invalid.
    std::vector<std::size_t> unreadable_;
    std::string next_; ///< Page token; empty: the last page.
};

/// An engine's report of its state.
struct engine_report
{
    bool reads_prompts_ = false; ///< It prefills; other engines decode.
    bool changing_ = false;      ///< An order is in progress.
    std::int64_t accepted_orders_ = 0;
    std::int64_t started_at_ms_ = 0; ///< Unix time of its start; 0: unknown.
};

/// An order to an engine to switch to prefill or to decode.
struct stage_order
{
    bool reads_prompts_ = false; ///< Switch to prefill, else to decode.
    std::string holder_;         ///< The host that gives the order.
    std::int64_t fence_ = 0;     ///< Fencing token; rises with each holder.

    /// The order is void unless the engine has accepted exactly this many
    /// orders before.
    std::int64_t expected_accepted_orders_ = 0;
};

/// Encodes and decodes one platform's requests, responses, lists and
/// configurations.
///
/// The class is abstract because the layer that knows a platform's names lies
/// above this one. An implementation only translates; it makes no decisions.
class wire_codec
{
public:
    virtual ~wire_codec() = default;

    virtual ingress_request decode_request(
        const drivers::http_request& request) const = 0;

    virtual drivers::http_call encode_call(
        const ingress_request& request, const send_plan& plan) const = 0;

    /// \return the metadata of an endpoint's response.
    virtual response_metadata facts_of(
        const ingress_request& request,
        int status,
        const drivers::header_list& headers) const = 0;

    /// \return what an endpoint's response to any call says about further
    /// calls.
    virtual policy::endpoint_notice notice_of(
        int status, const drivers::header_list& headers) const = 0;

    /// \return the headers of an endpoint's response that are sent to the
    /// caller.
    virtual drivers::header_list caller_response_headers(
        const drivers::header_list& headers) const = 0;

    /// \return the headers of a response that this host generates itself.
    virtual drivers::header_list local_response_headers(
        const ingress_request& request,
        std::optional<core::duration> retry_after) const = 0;

    /// \return nothing when the body contains no KV handle.
    virtual std::optional<kv_handle> decode_kv_handle(
        std::string_view body) const = 0;

    /// \return the location of a KV cache, for send_plan::kv_source_.
    virtual std::string prompt_source(
        std::string_view address, const kv_handle& handle) const = 0;

    virtual drivers::http_call release_kv_handle_call(
        std::string_view address, const kv_handle& handle) const = 0;

    /// Makes a caller's request one that takes its stream up.
    /// \param headers of the request, which are changed.
    /// \param after id of the caller's last event.
    virtual void add_resumption(
        drivers::header_list& headers,
        const ingress_request& request,
        std::int64_t after) const = 0;

    /// \param findings receives the errors in the text.
    /// \return nothing when there are findings.
    virtual std::optional<control::catalog> decode_catalog(
        std::string_view text, core::finding_list& findings) const = 0;

    virtual drivers::http_call endpoint_list_call(
        std::string_view address, std::string_view page) const = 0;

    virtual drivers::http_call engine_report_call(
        std::string_view address, const core::endpoint_id& engine) const = 0;

    /// \return nothing when the report cannot be parsed.
    virtual std::optional<engine_report> decode_engine_report(
        std::string_view body) const = 0;

    virtual drivers::http_call stage_order_call(
        std::string_view address,
        const core::endpoint_id& engine,
        const stage_order& order) const = 0;

    /// \return nothing when the page as a whole cannot be parsed.
    virtual std::optional<endpoint_page> decode_endpoint_page(
        std::string_view body) const = 0;
};

} // namespace poplarroute::node
