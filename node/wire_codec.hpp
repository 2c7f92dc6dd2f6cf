#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/catalog.hpp"
#include "core/finding.hpp"
#include "drivers/http_client.hpp"
#include "drivers/http_server.hpp"

namespace poplarroute::node
{

/// A caller's request, decoded once at the edge.
struct edge_request
{
    std::string attempt_;      ///< The caller's id of this try.
    std::string virtual_host_; ///< Without a port.
    std::string method_;
    std::string target_; ///< Path and query, as they go on.
    std::string path_;
    std::string key_;                        ///< Empty: none was shown.
    std::optional<core::duration> deadline_; ///< From its arrival.
    bool counts_tokens_ = false;             ///< The next two are stated.
    std::int64_t prompt_tokens_ = 0;
    std::int64_t most_output_ = 0;
    std::int64_t output_hint_ = 0;
    std::optional<std::int64_t> resume_after_; ///< Last event the caller has.
    drivers::header_list forwarded_; ///< Headers that go on as they are.
    std::string body_;
};

/// Which part of the work an endpoint is asked for.
enum class send_stage
{
    whole,       ///< A plain call, or a stream with its own prompt.
    read_prompt, ///< Only the prompt is read, for another engine.
};

/// How a request goes to an endpoint.
struct send_plan
{
    std::string address_;
    core::endpoint_id endpoint_;
    core::account_id account_; ///< Empty: none.
    core::duration deadline_;  ///< What is left, as the endpoint is told.
    send_stage stage_ = send_stage::whole;
    std::string prompt_source_; ///< Where a read prompt is to be had; or "".
    std::optional<std::int64_t> resume_after_;
    int urgency_ = -1; ///< 0 is first; -1: not stated.
};

/// What an answer of an endpoint says besides its status and body.
struct answer_facts
{
    bool not_run_ = false;     ///< The endpoint says that it did not run it.
    bool misdirected_ = false; ///< Another endpoint has the address now.
    bool signed_ = false;      ///< It bears an endpoint's signature.
    bool echoes_attempt_ = false;
    std::optional<std::int64_t> running_; ///< Load, where it is told.
    std::int64_t waiting_ = 0;
};

/// A prompt that an engine has read and keeps for another.
struct prompt_handle
{
    std::string id_;
    std::int64_t tokens_ = 0;
};

/// An endpoint as the platform's list names it.
struct listed_endpoint
{
    core::endpoint_id name_;
    core::service_id service_;
    std::string address_;
    core::zone_id zone_;
    std::int64_t slots_ = 1;
    bool leaving_ = false;
    core::duration cold_for_;
    bool reads_prompts_ = false;
};

struct endpoint_page
{
    std::vector<listed_endpoint> endpoints_;
    std::size_t unreadable_ = 0; ///< Entries that name no endpoint to use.
    std::string next_;           ///< Empty: this was the last page.
};

/// What an engine says of itself.
struct engine_report
{
    bool reads_prompts_ = false;
    bool changing_ = false; ///< An order is being carried out.
    std::int64_t orders_taken_ = 0;
};

/// An order to an engine to read prompts, or to decode.
struct stage_order
{
    bool reads_prompts_ = false;
    std::string holder_;            ///< The host that orders.
    std::int64_t fence_ = 0;        ///< Rises with each holder.
    std::int64_t after_orders_ = 0; ///< Void unless it has taken just so many.
};

/// How one platform spells requests, answers, lists and configurations.
///
/// Virtual, since the layer that knows a platform's names lies above this
/// one. An implementation translates and decides nothing.
class wire_dialect
{
public:
    virtual ~wire_dialect() = default;

    virtual edge_request decode_request(
        const drivers::http_request& request) const = 0;

    virtual drivers::http_call encode_call(
        const edge_request& request, const send_plan& plan) const = 0;

    virtual answer_facts facts_of(
        const edge_request& request,
        int status,
        const drivers::header_list& headers) const = 0;

    /// \return the headers of an endpoint's answer that its caller gets.
    virtual drivers::header_list answer_headers(
        const drivers::header_list& headers) const = 0;

    /// \return the headers of an answer of this host's own.
    virtual drivers::header_list own_headers(
        const edge_request& request,
        std::optional<core::duration> retry_after) const = 0;

    virtual std::optional<prompt_handle> decode_handle(
        std::string_view body) const = 0;

    virtual std::string prompt_source(
        std::string_view address, const prompt_handle& handle) const = 0;

    virtual drivers::http_call free_handle_call(
        std::string_view address, const prompt_handle& handle) const = 0;

    /// \param findings receives what is wrong with the text.
    /// \return nothing when there are findings.
    virtual std::optional<control::catalog> decode_catalog(
        std::string_view text, core::finding_list& findings) const = 0;

    virtual drivers::http_call list_call(
        std::string_view address, std::string_view page) const = 0;

    virtual drivers::http_call report_call(
        std::string_view address, const core::endpoint_id& engine) const = 0;

    virtual std::optional<engine_report> decode_report(
        std::string_view body) const = 0;

    virtual drivers::http_call stage_call(
        std::string_view address,
        const core::endpoint_id& engine,
        const stage_order& order) const = 0;

    /// \return nothing when the page cannot be read at all.
    virtual std::optional<endpoint_page> decode_list(
        std::string_view body) const = 0;
};

} // namespace poplarroute::node
