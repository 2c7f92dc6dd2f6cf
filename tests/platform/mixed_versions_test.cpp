// Streams that go on while engines of several software versions serve.

#include "tests/platform/ingress_fixture.hpp"
#include "tests/platform/process.hpp"
#include "tests/platform/raw_engine.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;

constexpr int prefill_port = 19550;
constexpr int second_prefill_port = 19559;
constexpr const char* leader_address = "127.0.0.1:19558";
constexpr int first_decode_port = 19551;
constexpr int status_unavailable = 503;

/// A leader of an older program: it places streams without regard to versions.
struct older_leader : listening_process
{
    older_leader(asio::io_context& io, const char* address)
        : listening_process(io, address, address)
    {
        calls_.add_typed<node::placement_request, node::placement_reply>(
            node::method::streams_place,
            node::allowed_callers::host,
            [this](drivers::peer_identity, node::placement_request request)
                -> asio::awaitable<core::result<node::placement_reply>>
            {
                co_return place(request);
            });
        port_.start();
    }

    /// \return the first of some engines that the host does not leave out.
    static std::string first_of(
        const std::vector<std::string>& engines,
        const node::placement_request& request)
    {
        for (const std::string& name : engines)
        {
            if (std::find(request.avoid_.begin(), request.avoid_.end(), name) ==
                request.avoid_.end())
            {
                return name;
            }
        }
        return {};
    }

    node::placement_reply place(const node::placement_request& request) const
    {
        node::placement_reply out;
        out.decoder_ = first_of(decoders_, request);
        if (!request.prompt_is_read_ && !request.decode_reads_prompt_)
        {
            out.reader_ = first_of(readers_, request);
        }
        const bool has_reader = !out.reader_.empty() ||
                                request.prompt_is_read_ ||
                                request.decode_reads_prompt_;
        out.placed_ = !out.decoder_.empty() && has_reader;
        out.reason_ = policy::name_of(policy::stream_refusal_reason::no_engine);
        return out;
    }

    std::vector<std::string> readers_;
    std::vector<std::string> decoders_;
};

class mixed_versions : public ingress_fixture
{
protected:
    mixed_versions()
    {
        add_endpoint("i-read", prefill_port, "llm", true, prefill_answer);
    }

    /// Adds a decode engine that breaks each stream after two events, and
    /// completes those that go on after them.
    /// \param listed_born its start time in the list; 0: not stated.
    /// \param born the start time that it states itself.
    raw_engine& add_engine(
        const std::string& name,
        const std::string& version,
        std::int64_t listed_born = 0,
        std::optional<std::int64_t> born = std::nullopt)
    {
        const int port = first_decode_port + static_cast<int>(engines_.size());
        engines_.push_back(std::make_unique<raw_engine>(
            io_, port, broken_stream(), rest_of_stream()));
        node::listed_endpoint entry;
        entry.name_ = name;
        entry.address_ = "127.0.0.1:" + std::to_string(port);
        entry.service_ = "llm";
        entry.slots_ = 8;
        entry.version_ = version;
        entry.started_at_ms_ = listed_born;
        engines_.back()->born_ = born;
        list_.push_back(std::move(entry));
        put_list();
        return *engines_.back();
    }

    void remove_engine(const std::string& name)
    {
        std::erase_if(
            list_,
            [&](const node::listed_endpoint& item)
            {
                return item.name_ == name;
            });
        put_list();
    }

    /// Lets the host read the list once more.
    void read_list_after(core::duration delay)
    {
        drivers::spawn(
            io_,
            [](mixed_versions& test,
               core::duration delay) -> drivers::asio::awaitable<void>
            {
                co_await drivers::sleep_for(delay);
                test.put_list();
            }(*this, delay));
    }

    /// Takes a stream up after its second event.
    drivers::http_response take_up(const std::string& attempt)
    {
        return call(
            "/llm/x",
            core::duration{3'000},
            {{"Last-Event-Id", "2"}, {"Resumes", attempt}});
    }

    std::vector<std::unique_ptr<raw_engine>> engines_;
};

TEST_F(mixed_versions, a_broken_stream_does_not_go_on_at_another_version)
{
    const raw_engine& old_engine = add_engine("i-old", "v1");
    const raw_engine& new_engine = add_engine("i-new", "v2");
    EXPECT_EQ(call("/llm/x").status_, 0);
    EXPECT_EQ(old_engine.requests_.size() + new_engine.requests_.size(), 1U);
}

TEST_F(mixed_versions, a_broken_stream_goes_on_at_its_version)
{
    add_engine("i-1", "v1");
    add_engine("i-2", "v1");
    add_engine("i-3", "v2");
    add_engine("i-4", "v2");
    const drivers::http_response response = call("/llm/x");
    EXPECT_EQ(response.status_, 200);
    const bool by_old =
        engines_[0]->requests_.size() + engines_[1]->requests_.size() == 2;
    const bool by_new =
        engines_[2]->requests_.size() + engines_[3]->requests_.size() == 2;
    EXPECT_TRUE(by_old || by_new);
}

TEST_F(mixed_versions, a_taken_up_stream_does_not_go_on_at_another_version)
{
    add_engine("i-old", "v1");
    EXPECT_EQ(call("/llm/x").status_, 0);
    remove_engine("i-old");
    raw_engine& other = add_engine("i-new", "v2");
    EXPECT_EQ(take_up("a1").status_, status_unavailable);
    EXPECT_TRUE(other.requests_.empty());
}

TEST_F(mixed_versions, a_taken_up_stream_goes_on_at_its_version)
{
    add_engine("i-old", "v1");
    EXPECT_EQ(call("/llm/x").status_, 0);
    remove_engine("i-old");
    raw_engine& first = add_engine("i-new1", "v2");
    raw_engine& second = add_engine("i-new2", "v2");
    raw_engine& same = add_engine("i-old2", "v1");
    const drivers::http_response response = take_up("a1");
    EXPECT_EQ(response.status_, 200);
    EXPECT_EQ(response.body_, stream_event_text(3) + stream_event_text(4));
    EXPECT_EQ(same.requests_.size(), 1U);
    EXPECT_TRUE(first.requests_.empty() && second.requests_.empty());
}

TEST_F(mixed_versions, a_stream_of_unknown_version_is_refused)
{
    add_engine("i-old", "v1");
    add_engine("i-new", "v2");
    EXPECT_EQ(take_up("unheard-of").status_, status_unavailable);
    EXPECT_TRUE(engines_[0]->requests_.empty());
    EXPECT_TRUE(engines_[1]->requests_.empty());
}

// Guards against an engine that came back under its name with other software
// while the list shows the former process.
TEST_F(mixed_versions, a_stream_does_not_go_on_at_an_unlisted_process)
{
    add_engine("i-1", "v1", 1'000, 1'000);
    EXPECT_EQ(call("/llm/x").status_, 0);
    remove_engine("i-1");
    const raw_engine& restarted = add_engine("i-2", "v1", 1'000, 2'000);
    const raw_engine& silent = add_engine("i-3", "v1", 1'000);
    EXPECT_EQ(take_up("a1").status_, status_unavailable);
    EXPECT_TRUE(restarted.requests_.empty() && silent.requests_.empty());
    add_engine("i-4", "v1", 1'000, 1'000);
    EXPECT_EQ(take_up("a1").status_, 200);
}

TEST_F(
    mixed_versions, a_stream_of_an_unlisted_process_goes_on_when_it_is_listed)
{
    add_engine("i-1", "v1", 1'000, 2'000);
    EXPECT_EQ(call("/llm/x").status_, 0);
    add_engine("i-2", "v1", 1'000, 1'000);
    EXPECT_EQ(take_up("a1").status_, status_unavailable);
    remove_engine("i-2");
    list_.back().version_ = "v2";
    list_.back().started_at_ms_ = 2'000;
    const raw_engine& same = add_engine("i-3", "v2", 1'000, 1'000);
    const raw_engine& other = add_engine("i-4", "v1", 1'000, 1'000);
    wait(core::duration{300});
    EXPECT_EQ(take_up("a1").status_, 200);
    EXPECT_EQ(same.requests_.size() + engines_[0]->requests_.size(), 2U);
    EXPECT_TRUE(other.requests_.empty());
}

TEST_F(mixed_versions, an_engine_states_its_process_once_on_a_connection)
{
    stub_endpoint& engine = add_endpoint(
        "i-1",
        first_decode_port,
        "llm",
        false,
        [](const drivers::http_request& request)
        {
            return request.method_ == "GET"
                       ? stub_answer{200, {}, R"({"stage":"decode",
                           "busy":false,"sequence":0,"born":1000})"}
                       : decode_answer(request);
        });
    list_.back().started_at_ms_ = 1'000;
    put_list();
    for (int count = 0; count < 5; ++count)
    {
        EXPECT_EQ(call("/llm/x").status_, 200);
    }
    EXPECT_EQ(engine.requests(), 5U);
    EXPECT_EQ(engine.received_.size(), 6U);
}

// Guards against refusals while nothing is known of an attempt, but there has
// been only one version all the time.
TEST_F(mixed_versions, a_stream_of_unknown_attempt_goes_on_at_the_only_version)
{
    list_.front().version_ = "v1";
    add_engine("i-1", "v1");
    wait(core::duration{300});
    read_list_after(core::duration{200});
    EXPECT_EQ(take_up("unheard-of").status_, 200);
}

// Guards against a host that was cut off or paused while engines of a new
// version joined, and lets a stream of theirs go on at the version that it
// knows.
TEST_F(mixed_versions, a_host_that_may_have_missed_a_version_concludes_none)
{
    list_.front().version_ = "v1";
    const raw_engine& known = add_engine("i-1", "v1");
    wait(core::duration{300});
    EXPECT_EQ(take_up("begun-elsewhere").status_, status_unavailable);
    add_engine("i-2", "v2");
    EXPECT_EQ(take_up("begun-elsewhere").status_, status_unavailable);
    EXPECT_TRUE(known.requests_.empty());
}

// Guards against prompts that are prefilled in vain while the leader runs an
// older program, which joins engines of two versions.
TEST_F(mixed_versions, an_older_leader_wastes_no_prefill)
{
    older_leader leader(io_, leader_address);
    leader.readers_ = {"i-read", "i-read-new"};
    leader.decoders_ = {"i-new", "i-old"};
    stubs_.front()->received_.clear();
    list_.front().version_ = "v1";
    stub_endpoint& matching = add_endpoint(
        "i-read-new", second_prefill_port, "llm", true, prefill_answer);
    list_.back().version_ = "v2";
    const raw_engine& placed = add_engine("i-new", "v2");
    add_engine("i-old", "v1");
    host_.board_.section<node::group_section>().leader_ = leader_address;
    call("/llm/x");
    EXPECT_EQ(stubs_.front()->requests(), 0U);
    EXPECT_EQ(matching.requests(), 1U);
    EXPECT_EQ(placed.requests_.size(), 1U);
}

// Guards against refusals while a version has no prefill engine.
TEST_F(mixed_versions, an_older_leader_finds_no_matching_prefill_engine)
{
    older_leader leader(io_, leader_address);
    leader.readers_ = {"i-read"};
    leader.decoders_ = {"i-new"};
    list_.front().version_ = "v1";
    const raw_engine& placed = add_engine("i-new", "v2");
    host_.board_.section<node::group_section>().leader_ = leader_address;
    call("/llm/x");
    EXPECT_EQ(stubs_.front()->requests(), 0U);
    EXPECT_EQ(placed.requests_.size(), 1U);
}

} // namespace
} // namespace poplarroute::platform
