#include "node/replica.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <boost/asio/redirect_error.hpp>

#include "core/digest.hpp"
#include "core/invariant.hpp"
#include "drivers/log.hpp"
#include "node/replica_messages.hpp"

namespace poplarroute::node
{

namespace asio = drivers::asio;
using core::errc;
using core::error;
using drivers::log_event;
using drivers::log_level;

namespace
{

constexpr core::duration tick_every{20};
constexpr core::duration send_deadline{1'000};
constexpr core::duration commit_deadline{4'000};
constexpr control::log_index snapshot_every = 2'000;
constexpr std::size_t entries_kept = 500;
constexpr std::size_t most_proposals = 4'096;
constexpr std::size_t most_messages = 4'096;
constexpr int storage_exit_status = 3;

/// Between two tries to use a disk again that refused a write.
constexpr core::duration reopen_every{250};

template <class Machine>
control::snapshot first_snapshot(const control::member_group& group)
{
    return {1, 1, group, Machine().encode()};
}

/// What the member was told or holds cannot be read by this program.
[[noreturn]] void stop_for_storage(const std::string& why)
{
    log_event(log_level::error, "storage_failed", {{"why", why}});
    drivers::flush_log();
    std::_Exit(storage_exit_status);
}

awaitable<void> send_one(
    drivers::peer_client& peers, std::string to, std::string body)
{
    co_await peers.call(
        std::move(to), method::raft, std::move(body), send_deadline);
}

} // namespace

template <class Machine>
log_member<Machine>::log_member(context& with, control::raft_timing times)
    : with_(with), times_(times), wake_(with.io_)
{
}

template <class Machine>
core::result<core::done> log_member<Machine>::open()
{
    return load();
}

template <class Machine>
core::result<core::done> log_member<Machine>::load()
{
    disk_.reset();
    contents_ = {};
    machine_ = Machine();
    applied_ = 0;
    auto opened = drivers::disk_log::open(
        with_.identity().settings_.data_folder_, contents_);
    if (!core::is_ok(opened))
    {
        return core::failure(opened);
    }
    disk_ = std::move(core::value(opened));
    if (contents_.torn_bytes_ > 0)
    {
        log_event(
            log_level::warning,
            "torn_tail_cut",
            {{"bytes", contents_.torn_bytes_}});
    }
    if (contents_.snapshot_.index_ > 0)
    {
        auto state = Machine::decode(contents_.snapshot_.state_);
        if (!state)
        {
            return error{errc::storage, "the snapshot's state is damaged"};
        }
        machine_ = std::move(*state);
        applied_ = contents_.snapshot_.index_;
    }
    make_raft();
    return core::done();
}

template <class Machine>
void log_member<Machine>::make_raft()
{
    control::raft_initial_state start;
    start.host_ = with_.identity().host_;
    start.store_ = contents_.store_;
    start.hard_state_ = contents_.hard_state_;
    start.snapshot_ = contents_.snapshot_;
    start.entries_ = contents_.entries_;
    start.times_ = times_;
    start.seed_ = core::stable_hash(
        start.host_ + std::to_string(with_.identity().incarnation_));
    raft_ =
        std::make_unique<control::raft>(std::move(start), core::steady_now());
}

template <class Machine>
void log_member<Machine>::start()
{
    register_calls();
    drivers::spawn(with_.io_, run());
}

template <class Machine>
void log_member<Machine>::on_change(std::function<void()> call)
{
    on_change_.push_back(std::move(call));
}

template <class Machine>
bool log_member<Machine>::leads() const
{
    return !suspended_ && raft_->role() == control::raft_role::leader;
}

template <class Machine>
core::host_id log_member<Machine>::leader() const
{
    return raft_->leader();
}

template <class Machine>
std::optional<core::time_point> log_member<Machine>::current_at() const
{
    const core::time_point now = core::steady_now();
    const core::time_point heard = raft_->last_contact(now);
    if (suspended_ || heard.ms_ == 0 || raft_->commit_index() != applied_ ||
        raft_->leader().empty())
    {
        return std::nullopt;
    }
    return heard;
}

template <class Machine>
void log_member<Machine>::wake()
{
    wake_.cancel();
}

template <class Machine>
awaitable<core::result<typename log_member<Machine>::command_reply>>
log_member<Machine>::submit(std::string bytes)
{
    if (!leads())
    {
        co_return error{errc::not_leader, raft_->leader()};
    }
    if (proposals_.size() >= most_proposals)
    {
        co_return error{errc::overloaded, "too many commands wait"};
    }
    auto reply =
        std::make_shared<awaited<core::result<command_reply>>>(with_.io_);
    proposals_.push_back({std::move(bytes), reply});
    wake();
    const auto got = co_await reply->wait(commit_deadline);
    if (!got)
    {
        co_return error{errc::timeout, "not committed in time"};
    }
    co_return *got;
}

template <class Machine>
awaitable<core::result<core::done>> log_member<Machine>::read_barrier()
{
    if (!leads())
    {
        co_return error{errc::not_leader, raft_->leader()};
    }
    auto reply = std::make_shared<awaited<core::result<core::done>>>(with_.io_);
    new_reads_.push_back(reply);
    wake();
    const auto got = co_await reply->wait(commit_deadline);
    if (!got)
    {
        co_return error{errc::timeout, "no majority answered in time"};
    }
    co_return *got;
}

template <class Machine>
awaitable<void> log_member<Machine>::run()
{
    for (;;)
    {
        const bool idle = inbox_.empty() && proposals_.empty() &&
                          new_reads_.empty() && group_changes_.empty();
        if (idle)
        {
            wake_.expires_after(tick_every.chrono());
            drivers::error_code woken;
            co_await wake_.async_wait(
                asio::redirect_error(asio::use_awaitable, woken));
        }
        co_await step_all();
    }
}

template <class Machine>
awaitable<void> log_member<Machine>::step_all()
{
    co_await perform(raft_->tick(core::steady_now()));
    std::deque<control::raft_message> messages = std::move(inbox_);
    inbox_.clear();
    for (const control::raft_message& message : messages)
    {
        co_await perform(raft_->receive(message, core::steady_now()));
    }
    co_await step_proposals();
    co_await step_group_changes();
    const std::vector<read_reply> reads = std::move(new_reads_);
    new_reads_.clear();
    for (const read_reply& reply : reads)
    {
        const std::uint64_t id = next_read_++;
        reads_[id] = reply;
        co_await perform(raft_->read(id, core::steady_now()));
    }
    if (!leads() || raft_->term() != waiting_term_)
    {
        fail_waiting();
    }
    co_await snapshot_if_due();
}

template <class Machine>
awaitable<void> log_member<Machine>::step_proposals()
{
    std::vector<proposal> batch = std::move(proposals_);
    proposals_.clear();
    if (batch.empty())
    {
        co_return;
    }
    std::vector<std::string> payloads;
    payloads.reserve(batch.size());
    for (const proposal& item : batch)
    {
        payloads.push_back(item.bytes_);
    }
    control::log_index first = 0;
    auto actions = raft_->propose(payloads, core::steady_now(), first);
    if (!core::is_ok(actions))
    {
        for (const proposal& item : batch)
        {
            item.reply_->set(core::failure(actions));
        }
        co_return;
    }
    if (waiting_term_ != raft_->term())
    {
        fail_waiting();
        waiting_term_ = raft_->term();
    }
    for (proposal& item : batch)
    {
        waiting_[first++] = std::move(item);
    }
    co_await perform(std::move(core::value(actions)));
}

template <class Machine>
awaitable<void> log_member<Machine>::step_group_changes()
{
    std::vector<group_change> changes = std::move(group_changes_);
    group_changes_.clear();
    for (group_change& change : changes)
    {
        control::log_index index = 0;
        auto actions = raft_->propose_group_change(
            change.next_, core::steady_now(), index);
        if (!core::is_ok(actions))
        {
            change.reply_->set(core::failure(actions));
            continue;
        }
        if (waiting_term_ != raft_->term())
        {
            fail_waiting();
            waiting_term_ = raft_->term();
        }
        waiting_changes_[index] = std::move(change);
        co_await perform(std::move(core::value(actions)));
    }
}

template <class Machine>
awaitable<void> log_member<Machine>::perform(control::raft_actions actions)
{
    if (actions.needs_disk_write())
    {
        const bool written = co_await write(actions);
        if (!written)
        {
            co_return;
        }
    }
    if (actions.install_snapshot_)
    {
        auto state = Machine::decode(actions.install_snapshot_->state_);
        if (!state)
        {
            stop_for_storage("the leader's snapshot cannot be read");
        }
        machine_ = std::move(*state);
        applied_ = actions.install_snapshot_->index_;
        notify();
    }
    send(actions.send_);
    apply(actions.committed_);
    answer_reads(actions);
}

template <class Machine>
awaitable<bool> log_member<Machine>::write(const control::raft_actions& actions)
{
    const auto work = [&]() -> awaitable<core::result<core::done>>
    {
        co_return disk_->write(actions);
    };
    const core::result<core::done> written =
        co_await asio::co_spawn(disk_thread_, work, asio::use_awaitable);
    if (core::is_ok(written))
    {
        co_return true;
    }
    std::string why = core::failure(written).message_;
    co_await reopen(std::move(why));
    co_return false;
}

/// Starts again from what the disk holds, once it takes writes. Nothing of
/// the failed step was sent, so this is the same as a restart.
template <class Machine>
awaitable<void> log_member<Machine>::reopen(std::string why)
{
    suspended_ = true;
    log_event(log_level::error, "disk_lost", {{"why", why}});
    fail_waiting();
    for (;;)
    {
        co_await drivers::sleep_for(reopen_every);
        const core::result<core::done> loaded = load();
        if (core::is_ok(loaded))
        {
            break;
        }
    }
    suspended_ = false;
    inbox_.clear();
    log_event(
        log_level::info,
        "disk_regained",
        {{"index", raft_->log().last_index()}});
    notify();
}

template <class Machine>
void log_member<Machine>::send(
    const std::vector<control::raft_message>& messages)
{
    for (const control::raft_message& message : messages)
    {
        const auto address = with_.address_of(message.to_);
        if (!address)
        {
            continue;
        }
        drivers::spawn(
            with_.io_, send_one(with_.peers_, *address, encode(message)));
    }
}

template <class Machine>
void log_member<Machine>::apply(const std::vector<control::log_entry>& entries)
{
    bool changed = false;
    for (const control::log_entry& entry : entries)
    {
        core::check_invariant(
            entry.index_ == applied_ + 1,
            "committed entries are applied once, in order");
        applied_ = entry.index_;
        const bool own = waiting_term_ == entry.term_;
        if (entry.kind_ == control::entry_kind::membership)
        {
            const auto found = waiting_changes_.find(entry.index_);
            if (found != waiting_changes_.end() && own)
            {
                found->second.reply_->set(core::done());
                waiting_changes_.erase(found);
            }
        }
        if (entry.kind_ != control::entry_kind::command)
        {
            continue;
        }
        const std::uint64_t before = machine_.revision();
        const command_reply reply = machine_.apply(entry.payload_);
        changed = changed || machine_.revision() != before;
        const auto found = waiting_.find(entry.index_);
        if (found != waiting_.end() && own)
        {
            found->second.reply_->set(reply);
            waiting_.erase(found);
        }
    }
    if (changed)
    {
        notify();
    }
}

template <class Machine>
void log_member<Machine>::notify()
{
    for (const auto& call : on_change_)
    {
        call();
    }
}

template <class Machine>
void log_member<Machine>::answer_reads(const control::raft_actions& actions)
{
    const auto answer = [&](std::uint64_t id, core::result<core::done> reply)
    {
        const auto found = reads_.find(id);
        if (found != reads_.end())
        {
            found->second->set(std::move(reply));
            reads_.erase(found);
        }
    };
    for (const std::uint64_t id : actions.ready_reads_)
    {
        answer(id, core::done());
    }
    for (const std::uint64_t id : actions.refused_)
    {
        answer(id, error{errc::not_leader, raft_->leader()});
    }
}

template <class Machine>
void log_member<Machine>::fail_waiting()
{
    const error lost{errc::not_leader, raft_->leader()};
    for (auto& [index, item] : waiting_)
    {
        item.reply_->set(lost);
    }
    waiting_.clear();
    for (auto& [index, item] : waiting_changes_)
    {
        item.reply_->set(lost);
    }
    waiting_changes_.clear();
}

template <class Machine>
awaitable<void> log_member<Machine>::snapshot_if_due()
{
    const control::log_index last = raft_->log().latest_snapshot().index_;
    if (applied_ < last + snapshot_every)
    {
        co_return;
    }
    raft_->compact(applied_, machine_.encode(), entries_kept);
    const control::snapshot& taken = raft_->log().latest_snapshot();
    const auto work = [&]() -> awaitable<core::result<core::done>>
    {
        co_return disk_->write_snapshot(taken);
    };
    const core::result<core::done> written =
        co_await asio::co_spawn(disk_thread_, work, asio::use_awaitable);
    if (!core::is_ok(written))
    {
        std::string why = core::failure(written).message_;
        co_await reopen(std::move(why));
        co_return;
    }
    log_event(log_level::info, "snapshot_taken", {{"index", taken.index_}});
}

template <class Machine>
core::result<core::done> log_member<Machine>::bootstrap(
    const control::member_group& group)
{
    const control::member* self = group.find(with_.identity().host_);
    if (self == nullptr || self->store_ != contents_.store_)
    {
        return error{errc::invalid, "the group does not name this store"};
    }
    if (raft_->log().group() == group)
    {
        return core::done();
    }
    if (!raft_->log().group().members_.empty())
    {
        return error{errc::conflict, "this member has a group already"};
    }
    const control::snapshot first = first_snapshot<Machine>(group);
    const core::result<core::done> written = disk_->write_snapshot(first);
    if (!core::is_ok(written))
    {
        return core::failure(written);
    }
    contents_.snapshot_ = first;
    machine_ = Machine();
    applied_ = first.index_;
    make_raft();
    log_event(log_level::info, "bootstrapped", {{"store", contents_.store_}});
    return core::done();
}

template <class Machine>
awaitable<core::result<core::done>> log_member<Machine>::change_group(
    std::string action, core::host_id host, std::string store)
{
    if (!leads())
    {
        co_return error{errc::not_leader, raft_->leader()};
    }
    control::member_group next = raft_->log().group();
    auto& members = next.members_;
    if (action == "add")
    {
        members.push_back({host, store, false});
        std::sort(
            members.begin(),
            members.end(),
            [](const control::member& left, const control::member& right)
            {
                return left.host_ < right.host_;
            });
    }
    else if (action == "promote")
    {
        for (control::member& item : members)
        {
            item.voter_ = item.voter_ || item.host_ == host;
        }
    }
    else
    {
        std::erase_if(
            members,
            [&](const control::member& item)
            {
                return item.host_ == host;
            });
    }
    auto reply = std::make_shared<awaited<core::result<core::done>>>(with_.io_);
    group_changes_.push_back({std::move(next), reply});
    wake();
    const auto got = co_await reply->wait(commit_deadline);
    if (!got)
    {
        co_return error{errc::timeout, "not committed in time"};
    }
    log_event(
        log_level::info, "group_changed", {{"action", action}, {"host", host}});
    co_return *got;
}

template <class Machine>
void log_member<Machine>::register_calls()
{
    with_.calls_.add(
        method::raft,
        caller_kind::host,
        [this](drivers::peer_identity, std::string body)
            -> awaitable<core::result<std::string>>
        {
            auto message = control::decode_message(body);
            if (!message)
            {
                co_return error{errc::invalid, "no message of the group"};
            }
            if (inbox_.size() < most_messages)
            {
                inbox_.push_back(std::move(*message));
                wake();
            }
            co_return std::string();
        });
    with_.calls_.add_typed<identify_request, identify_reply>(
        method::identify,
        caller_kind::operator_or_host,
        [this](drivers::peer_identity, identify_request)
            -> awaitable<core::result<identify_reply>>
        {
            identify_reply reply;
            reply.store_ = contents_.store_;
            for (const control::member& item : raft_->log().group().members_)
            {
                reply.members_.push_back(
                    {item.host_, item.store_, item.voter_});
            }
            co_return reply;
        });
    with_.calls_.add_typed<bootstrap_request, empty_reply>(
        method::bootstrap,
        caller_kind::operator_or_host,
        [this](drivers::peer_identity, bootstrap_request request)
            -> awaitable<core::result<empty_reply>>
        {
            control::member_group group;
            for (const member_facts& item : request.members_)
            {
                group.members_.push_back(
                    {item.host_, item.store_, item.voter_});
            }
            const auto outcome = bootstrap(group);
            if (!core::is_ok(outcome))
            {
                co_return core::failure(outcome);
            }
            co_return empty_reply();
        });
    with_.calls_.add_typed<group_request, empty_reply>(
        method::change_group,
        caller_kind::operator_or_host,
        [this](drivers::peer_identity, group_request request)
            -> awaitable<core::result<empty_reply>>
        {
            const auto outcome = co_await change_group(
                request.action_, request.host_, request.store_);
            if (!core::is_ok(outcome))
            {
                co_return core::failure(outcome);
            }
            co_return empty_reply();
        });
}

template class log_member<control::state_machine>;
template class log_member<control::catalog_state_machine>;

} // namespace poplarroute::node
