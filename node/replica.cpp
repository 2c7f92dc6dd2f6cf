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

constexpr core::duration tick_interval{20};
constexpr core::duration send_timeout{1'000};
constexpr core::duration commit_timeout{4'000};
constexpr control::log_index snapshot_interval_entries = 2'000;

/// Log entries can be large, and a disk may have as little as 128 MB.
constexpr std::size_t snapshot_interval_bytes = 16 * 1024 * 1024;
constexpr control::log_retention retained_entries{500, 4 * 1024 * 1024};
constexpr std::size_t max_queued_proposals = 4'096;
constexpr std::size_t max_queued_messages = 4'096;
constexpr int storage_exit_status = 3;

/// Interval between attempts to reopen a disk that refused a write.
constexpr core::duration reopen_interval{250};

template <class Machine>
control::snapshot first_snapshot(const control::member_group& group)
{
    return {1, 1, group, Machine().encode()};
}

/// Ends the process: data that the member received or stored cannot be read by
/// this program.
[[noreturn]] void exit_for_storage(const std::string& why)
{
    log_event(log_level::error, "storage_failed", {{"why", why}});
    drivers::flush_log();
    std::_Exit(storage_exit_status);
}

awaitable<void> send_message(
    drivers::peer_client& peers, std::string to, std::string body)
{
    const core::duration timeout =
        send_timeout + control::transfer_time(body.size());
    co_await peers.call(std::move(to), method::raft, std::move(body), timeout);
}

} // namespace

template <class Machine>
raft_replica<Machine>::raft_replica(context& with, control::raft_timing times)
    : with_(with), times_(times), wake_(with.io_)
{
}

template <class Machine>
core::result<core::done> raft_replica<Machine>::open()
{
    drivers::disk_contents contents;
    auto opened = drivers::disk_log::open(
        with_.identity().settings_.data_folder_, contents);
    if (core::is_ok(opened))
    {
        disk_ = std::move(core::value(opened));
    }
    else if (core::failure(opened).code_ == errc::not_ready)
    {
        suspend(core::failure(opened).message_);
    }
    else
    {
        return core::failure(opened);
    }
    return load(std::move(contents));
}

/// Continues from the contents of the disk.
template <class Machine>
core::result<core::done> raft_replica<Machine>::load(
    drivers::disk_contents contents)
{
    disk_contents_ = std::move(contents);
    if (disk_contents_.torn_bytes_ > 0)
    {
        log_event(
            log_level::warning,
            "torn_tail_cut",
            {{"bytes", disk_contents_.torn_bytes_}});
    }
    const control::log_index last = disk_contents_.entries_.empty()
                                        ? disk_contents_.snapshot_.index_
                                        : disk_contents_.entries_.back().index_;
    if (last < applied_)
    {
        // The folder was replaced, so this is another member.
        machine_ = Machine();
        applied_ = 0;
    }
    if (disk_contents_.snapshot_.index_ > applied_)
    {
        auto state = Machine::decode(disk_contents_.snapshot_.state_);
        if (!state)
        {
            return error{errc::storage, "the snapshot's state is damaged"};
        }
        machine_ = std::move(*state);
        applied_ = disk_contents_.snapshot_.index_;
    }
    make_raft();
    return core::done();
}

template <class Machine>
void raft_replica<Machine>::make_raft()
{
    control::raft_initial_state start;
    start.host_ = with_.identity().host_;
    start.store_ = disk_contents_.store_;
    start.hard_state_ = disk_contents_.hard_state_;
    start.snapshot_ = disk_contents_.snapshot_;
    start.entries_ = disk_contents_.entries_;
    start.commit_ = applied_;
    start.times_ = times_;
    start.seed_ = core::stable_hash(
        start.host_ + std::to_string(with_.identity().incarnation_));
    raft_ =
        std::make_unique<control::raft>(std::move(start), core::steady_now());
}

template <class Machine>
void raft_replica<Machine>::start()
{
    register_calls();
    drivers::spawn(with_.io_, run());
}

template <class Machine>
void raft_replica<Machine>::on_change(std::function<void()> callback)
{
    on_change_.push_back(std::move(callback));
}

template <class Machine>
bool raft_replica<Machine>::leads() const
{
    return !suspended_ && raft_->is_followed(core::steady_now());
}

template <class Machine>
core::host_id raft_replica<Machine>::leader() const
{
    return suspended_ ? leader_while_suspended_ : raft_->leader();
}

template <class Machine>
std::optional<core::time_point> raft_replica<Machine>::current_as_of() const
{
    const core::time_point now = core::steady_now();
    const core::time_point last_contact_at = raft_->last_contact(now);
    if (suspended_ || last_contact_at.ms_ == 0 ||
        raft_->commit_index() != applied_ || raft_->leader().empty())
    {
        return std::nullopt;
    }
    return last_contact_at;
}

template <class Machine>
void raft_replica<Machine>::wake()
{
    wake_.cancel();
}

template <class Machine>
awaitable<core::result<typename raft_replica<Machine>::command_reply>>
raft_replica<Machine>::submit(std::string bytes)
{
    if (!leads())
    {
        co_return error{errc::not_leader, leader()};
    }
    if (queued_proposals_.size() >= max_queued_proposals)
    {
        co_return error{errc::overloaded, "too many commands wait"};
    }
    auto reply =
        std::make_shared<pending_value<core::result<command_reply>>>(with_.io_);
    queued_proposals_.push_back({std::move(bytes), reply});
    wake();
    const auto outcome = co_await reply->wait(commit_timeout);
    if (!outcome)
    {
        co_return error{errc::timeout, "not committed in time"};
    }
    co_return *outcome;
}

template <class Machine>
awaitable<core::result<core::done>> raft_replica<Machine>::read_barrier()
{
    if (!leads())
    {
        co_return error{errc::not_leader, leader()};
    }
    auto reply =
        std::make_shared<pending_value<core::result<core::done>>>(with_.io_);
    queued_reads_.push_back(reply);
    wake();
    const auto outcome = co_await reply->wait(commit_timeout);
    if (!outcome)
    {
        co_return error{errc::timeout, "no majority answered in time"};
    }
    co_return *outcome;
}

template <class Machine>
awaitable<void> raft_replica<Machine>::run()
{
    for (;;)
    {
        if (suspended_)
        {
            co_await resume();
        }
        const bool idle = inbox_.empty() && queued_proposals_.empty() &&
                          queued_reads_.empty() &&
                          queued_group_changes_.empty();
        if (idle)
        {
            wake_.expires_after(tick_interval.chrono());
            drivers::error_code woken;
            co_await wake_.async_wait(
                asio::redirect_error(asio::use_awaitable, woken));
        }
        co_await run_step();
    }
}

template <class Machine>
awaitable<void> raft_replica<Machine>::run_step()
{
    co_await perform(raft_->tick(core::steady_now()));
    std::deque<control::raft_message> messages = std::move(inbox_);
    inbox_.clear();
    for (const control::raft_message& message : messages)
    {
        if (!refuse_message(message))
        {
            co_await perform(raft_->receive(message, core::steady_now()));
        }
    }
    co_await propose_queued_commands();
    co_await propose_queued_group_changes();
    const std::vector<read_reply> reads = std::move(queued_reads_);
    queued_reads_.clear();
    for (const read_reply& reply : reads)
    {
        const std::uint64_t id = next_read_id_++;
        pending_reads_[id] = reply;
        co_await perform(raft_->read(id, core::steady_now()));
    }
    if (!leads() || raft_->term() != pending_term_)
    {
        fail_pending();
    }
    co_await snapshot_if_due();
}

template <class Machine>
awaitable<void> raft_replica<Machine>::propose_queued_commands()
{
    std::vector<proposal> batch = std::move(queued_proposals_);
    queued_proposals_.clear();
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
    if (pending_term_ != raft_->term())
    {
        fail_pending();
        pending_term_ = raft_->term();
    }
    for (proposal& item : batch)
    {
        pending_proposals_[first++] = std::move(item);
    }
    co_await perform(std::move(core::value(actions)));
}

template <class Machine>
awaitable<void> raft_replica<Machine>::propose_queued_group_changes()
{
    std::vector<group_change> changes = std::move(queued_group_changes_);
    queued_group_changes_.clear();
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
        if (pending_term_ != raft_->term())
        {
            fail_pending();
            pending_term_ = raft_->term();
        }
        pending_group_changes_[index] = std::move(change);
        co_await perform(std::move(core::value(actions)));
    }
}

template <class Machine>
awaitable<void> raft_replica<Machine>::perform(control::raft_actions actions)
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
            exit_for_storage("the leader's snapshot cannot be read");
        }
        machine_ = std::move(*state);
        applied_ = actions.install_snapshot_->index_;
        notify();
    }
    send(actions.send_);
    apply(actions.committed_);
    answer_reads(actions);
}

/// Refuses a message that would break an invariant or cannot be stored. Another
/// program that reaches the port can send anything.
/// \return whether it is refused.
template <class Machine>
bool raft_replica<Machine>::refuse_message(const control::raft_message& message)
{
    std::string_view objection = raft_->find_objection(message);
    const auto* sent = std::get_if<control::snapshot_request>(&message.body_);
    if (objection.empty() && sent != nullptr &&
        !Machine::decode(sent->snapshot_.state_))
    {
        objection = "the snapshot cannot be read";
    }
    if (objection.empty())
    {
        return false;
    }
    with_.metrics_.count("poplarroute_group_messages_refused_total");
    log_event(
        log_level::error,
        "group_message_refused",
        {{"from", message.from_}, {"why", std::string(objection)}});
    return true;
}

template <class Machine>
awaitable<bool> raft_replica<Machine>::write(
    const control::raft_actions& actions)
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
    suspend(core::failure(written).message_);
    co_await resume();
    co_return false;
}

template <class Machine>
void raft_replica<Machine>::suspend(const std::string& why)
{
    log_event(log_level::error, "disk_lost", {{"why", why}});
    suspended_ = true;
    const bool led = raft_ && raft_->leader() == with_.identity().host_;
    leader_while_suspended_ = raft_ && !led ? raft_->leader() : core::host_id();
    fail_pending();
    fail_queued();
}

/// Reloads the state from the disk, once it accepts writes again. Nothing of
/// the failed step was sent, so this is equivalent to a restart.
template <class Machine>
awaitable<void> raft_replica<Machine>::resume()
{
    disk_.reset();
    std::string last_problem;
    const std::string folder = with_.identity().settings_.data_folder_;
    while (!disk_)
    {
        co_await drivers::sleep_for(reopen_interval);
        drivers::disk_contents contents;
        const auto work =
            [&]() -> awaitable<core::result<std::unique_ptr<drivers::disk_log>>>
        {
            co_return drivers::disk_log::open(folder, contents);
        };
        auto opened =
            co_await asio::co_spawn(disk_thread_, work, asio::use_awaitable);
        const core::result<core::done> loaded = core::is_ok(opened)
                                                    ? load(std::move(contents))
                                                    : core::failure(opened);
        if (core::is_ok(loaded))
        {
            disk_ = std::move(core::value(opened));
        }
        else if (core::failure(loaded).message_ != last_problem)
        {
            last_problem = core::failure(loaded).message_;
            log_event(
                log_level::warning,
                "disk_not_regained",
                {{"why", last_problem}});
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
void raft_replica<Machine>::send(
    const std::vector<control::raft_message>& messages)
{
    for (const control::raft_message& message : messages)
    {
        const auto address = with_.address_of(message.to_);
        if (!address)
        {
            continue;
        }
        drivers::spawn_task(
            with_.io_,
            "send_message",
            send_message(with_.peers_, *address, encode(message)));
    }
}

template <class Machine>
void raft_replica<Machine>::apply(
    const std::vector<control::log_entry>& entries)
{
    bool changed = false;
    for (const control::log_entry& entry : entries)
    {
        core::check_invariant(
            entry.index_ == applied_ + 1,
            "committed entries are applied once, in order");
        applied_ = entry.index_;
        const bool proposed_here = pending_term_ == entry.term_;
        if (entry.kind_ == control::entry_kind::membership)
        {
            const auto found = pending_group_changes_.find(entry.index_);
            if (found != pending_group_changes_.end() && proposed_here)
            {
                found->second.reply_->set(core::done());
                pending_group_changes_.erase(found);
            }
        }
        if (entry.kind_ != control::entry_kind::command)
        {
            continue;
        }
        const std::uint64_t before = machine_.revision();
        const command_reply reply = machine_.apply(entry.payload_);
        changed = changed || machine_.revision() != before;
        const auto found = pending_proposals_.find(entry.index_);
        if (found != pending_proposals_.end() && proposed_here)
        {
            found->second.reply_->set(reply);
            pending_proposals_.erase(found);
        }
    }
    if (changed)
    {
        notify();
    }
}

template <class Machine>
void raft_replica<Machine>::notify()
{
    for (const auto& callback : on_change_)
    {
        callback();
    }
}

template <class Machine>
void raft_replica<Machine>::answer_reads(const control::raft_actions& actions)
{
    const auto answer = [&](std::uint64_t id, core::result<core::done> reply)
    {
        const auto found = pending_reads_.find(id);
        if (found != pending_reads_.end())
        {
            found->second->set(std::move(reply));
            pending_reads_.erase(found);
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
void raft_replica<Machine>::fail_pending()
{
    const error lost{errc::not_leader, leader()};
    for (auto& [index, item] : pending_proposals_)
    {
        item.reply_->set(lost);
    }
    pending_proposals_.clear();
    for (auto& [index, item] : pending_group_changes_)
    {
        item.reply_->set(lost);
    }
    pending_group_changes_.clear();
}

/// Fails what waits for the next step, and reads that the group would answer.
template <class Machine>
void raft_replica<Machine>::fail_queued()
{
    const error lost{errc::not_leader, leader()};
    for (const proposal& item : queued_proposals_)
    {
        item.reply_->set(lost);
    }
    queued_proposals_.clear();
    for (const group_change& item : queued_group_changes_)
    {
        item.reply_->set(lost);
    }
    queued_group_changes_.clear();
    for (const read_reply& reply : queued_reads_)
    {
        reply->set(lost);
    }
    queued_reads_.clear();
    for (const auto& [id, reply] : pending_reads_)
    {
        reply->set(lost);
    }
    pending_reads_.clear();
}

/// Records the leader, so that callers of a suspended member are sent there.
template <class Machine>
void raft_replica<Machine>::follow_while_suspended(
    const control::raft_message& message)
{
    if (std::holds_alternative<control::append_request>(message.body_))
    {
        leader_while_suspended_ = message.from_;
    }
}

template <class Machine>
awaitable<void> raft_replica<Machine>::snapshot_if_due()
{
    const control::log_index last = raft_->log().latest_snapshot().index_;
    const bool is_due =
        applied_ >= last + snapshot_interval_entries ||
        (applied_ > last &&
         raft_->log().bytes_after_snapshot() >= snapshot_interval_bytes);
    if (!is_due)
    {
        co_return;
    }
    raft_->compact(applied_, machine_.encode(), retained_entries);
    const control::snapshot& taken = raft_->log().latest_snapshot();
    const auto work = [&]() -> awaitable<core::result<core::done>>
    {
        co_return disk_->write_snapshot(taken);
    };
    const core::result<core::done> written =
        co_await asio::co_spawn(disk_thread_, work, asio::use_awaitable);
    if (!core::is_ok(written))
    {
        suspend(core::failure(written).message_);
        co_await resume();
        co_return;
    }
    log_event(log_level::info, "snapshot_taken", {{"index", taken.index_}});
}

template <class Machine>
core::result<core::done> raft_replica<Machine>::bootstrap(
    const control::member_group& group)
{
    if (suspended_)
    {
        return error{errc::not_ready, "the disk refuses writes"};
    }
    const control::member* self = group.find(with_.identity().host_);
    if (self == nullptr || self->store_ != disk_contents_.store_)
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
        suspend(core::failure(written).message_);
        return core::failure(written);
    }
    disk_contents_.snapshot_ = first;
    machine_ = Machine();
    applied_ = first.index_;
    make_raft();
    log_event(
        log_level::info, "bootstrapped", {{"store", disk_contents_.store_}});
    return core::done();
}

template <class Machine>
awaitable<core::result<core::done>> raft_replica<Machine>::change_group(
    std::string action, core::host_id host, std::string store)
{
    if (!leads())
    {
        co_return error{errc::not_leader, leader()};
    }
    control::member_group next = raft_->log().group();
    auto& members = next.members_;
    if (action == "add" || action == "found")
    {
        next.surplus_ += action == "add" ? 1 : 0;
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
        next.surplus_ -= static_cast<std::int64_t>(std::erase_if(
            members,
            [&](const control::member& item)
            {
                return item.host_ == host;
            }));
    }
    auto reply =
        std::make_shared<pending_value<core::result<core::done>>>(with_.io_);
    queued_group_changes_.push_back({std::move(next), reply});
    wake();
    const auto outcome = co_await reply->wait(commit_timeout);
    if (!outcome)
    {
        co_return error{errc::timeout, "not committed in time"};
    }
    const bool has_changed = core::is_ok(*outcome);
    log_event(
        has_changed ? log_level::info : log_level::warning,
        has_changed ? "group_changed" : "group_change_refused",
        {{"action", action},
         {"host", host},
         {"problem", has_changed ? "" : core::failure(*outcome).message_}});
    co_return *outcome;
}

template <class Machine>
void raft_replica<Machine>::register_calls()
{
    with_.calls_.add(
        method::raft,
        allowed_callers::host,
        [this](drivers::peer_identity, std::string body)
            -> awaitable<core::result<std::string>>
        {
            auto message = control::decode_message(body);
            if (!message)
            {
                co_return error{errc::invalid, "no message of the group"};
            }
            if (suspended_)
            {
                follow_while_suspended(*message);
            }
            else if (inbox_.size() < max_queued_messages)
            {
                inbox_.push_back(std::move(*message));
                wake();
            }
            co_return std::string();
        });
    with_.calls_.add_typed<identify_request, identify_reply>(
        method::identify,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, identify_request)
            -> awaitable<core::result<identify_reply>>
        {
            if (disk_contents_.store_.empty())
            {
                co_return error{errc::not_ready, "the disk refuses writes"};
            }
            identify_reply reply;
            reply.store_ = disk_contents_.store_;
            for (const control::member& item : raft_->log().group().members_)
            {
                reply.members_.push_back(
                    {item.host_, item.store_, item.voter_});
            }
            co_return reply;
        });
    with_.calls_.add_typed<bootstrap_request, empty_reply>(
        method::bootstrap,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, bootstrap_request request)
            -> awaitable<core::result<empty_reply>>
        {
            control::member_group group;
            for (const member_info& item : request.members_)
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
    with_.calls_.add_typed<group_change_request, empty_reply>(
        method::change_group,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, group_change_request request)
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

template class raft_replica<control::state_machine>;
template class raft_replica<control::catalog_state_machine>;

} // namespace poplarroute::node
