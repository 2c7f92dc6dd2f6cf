#include "control/raft.hpp"

#include <algorithm>
#include <utility>

#include "core/invariant.hpp"

namespace poplarroute::control
{

namespace
{

constexpr std::size_t max_entries_per_message = 512;

/// Largest index and term that a message may state. Greater ones would overflow
/// after some more steps.
constexpr log_index max_index = std::uint64_t{1} << 62U;
constexpr term_number max_term = std::uint64_t{1} << 62U;
constexpr std::size_t max_bytes_per_message = 1024 * 1024;

/// Least rate at which messages are taken to arrive at a member.
constexpr std::size_t min_bytes_per_ms = 1'000;

/// A learner that is at most this far behind may be promoted.
constexpr log_index max_learner_lag_entries = 16;

/// \return whether the large group without the extra member is the small one.
bool differs_only_by(
    const member_group& small, const member_group& large, const member& extra)
{
    std::vector<member> without;
    for (const member& item : large.members_)
    {
        if (!(item == extra))
        {
            without.push_back(item);
        }
    }
    return without == small.members_;
}

/// \return the members of the left group that the right one lacks.
std::vector<member> difference(
    const member_group& left, const member_group& right)
{
    std::vector<member> out;
    for (const member& item : left.members_)
    {
        const auto& others = right.members_;
        if (std::find(others.begin(), others.end(), item) == others.end())
        {
            out.push_back(item);
        }
    }
    return out;
}

} // namespace

core::duration transfer_time(std::size_t bytes)
{
    return core::duration{static_cast<std::int64_t>(bytes / min_bytes_per_ms)};
}

bool raft_actions::needs_disk_write() const
{
    return hard_state_ || install_snapshot_ || truncate_from_ ||
           !append_.empty();
}

raft::raft(raft_initial_state start, core::time_point now)
    : host_(std::move(start.host_)),
      store_(std::move(start.store_)),
      state_(std::move(start.hard_state_)),
      log_(std::move(start.snapshot_), std::move(start.entries_)),
      times_(start.times_),
      random_(start.seed_),
      commit_(std::max(log_.latest_snapshot().index_, start.commit_))
{
    core::check_invariant(
        commit_ <= log_.last_index(), "a committed entry must be in the log");
    reset_election_timer(now);
}

raft_actions raft::take_actions()
{
    raft_actions out = std::move(actions_);
    actions_ = {};
    return out;
}

void raft::set_term(term_number term, const core::host_id& voted_for)
{
    core::check_invariant(term >= state_.term_, "the term must not decrease");
    core::check_invariant(
        term > state_.term_ || state_.voted_for_.empty() ||
            state_.voted_for_ == voted_for,
        "a member must not vote twice in a term");
    const hard_state next{term, voted_for};
    if (next == state_)
    {
        return;
    }
    state_ = next;
    actions_.hard_state_ = state_;
}

void raft::reset_election_timer(core::time_point now)
{
    const core::duration min_timeout = has_seen_leader_
                                           ? times_.min_election_timeout_
                                           : times_.min_first_election_timeout_;
    const core::duration max_jitter =
        has_seen_leader_
            ? times_.election_timeout_jitter_
            : std::min(times_.election_timeout_jitter_, min_timeout * 2);
    std::uniform_int_distribution<std::int64_t> jitter(0, max_jitter.ms_);
    election_deadline_ = now + min_timeout + core::duration{jitter(random_)};
}

void raft::become_follower(term_number term, const core::host_id& leader)
{
    if (term > state_.term_)
    {
        set_term(term, "");
    }
    if (role_ == raft_role::leader)
    {
        refuse_reads();
    }
    role_ = raft_role::follower;
    leader_ = leader;
    received_votes_.clear();
    progress_.clear();
}

void raft::start_election(bool is_pre_vote, core::time_point now)
{
    reset_election_timer(now);
    leader_.clear();
    if (!log_.group().is_voter(host_, store_))
    {
        return;
    }
    role_ = is_pre_vote ? raft_role::pre_candidate : raft_role::candidate;
    received_votes_ = {host_};
    if (!is_pre_vote)
    {
        set_term(state_.term_ + 1, host_);
    }
    if (log_.group().majority() <= received_votes_.size())
    {
        if (is_pre_vote)
        {
            start_election(false, now);
        }
        else
        {
            become_leader(now);
        }
        return;
    }
    const term_number requested_term = state_.term_ + (is_pre_vote ? 1 : 0);
    for (const member& item : log_.group().members_)
    {
        if (item.host_ != host_ && item.voter_)
        {
            send(
                item.host_,
                vote_request{
                    requested_term,
                    log_.last_index(),
                    log_.last_term(),
                    is_pre_vote});
        }
    }
}

void raft::become_leader(core::time_point now)
{
    core::check_invariant(
        state_.voted_for_ == host_,
        "a leader must have voted for itself in its term");
    role_ = raft_role::leader;
    leader_ = host_;
    has_seen_leader_ = true;
    leadership_started_at_ = now;
    progress_.clear();
    for (const member& item : log_.group().members_)
    {
        progress_[item.host_].next_ = log_.last_index() + 1;
    }
    append_entry(entry_kind::noop, "");
    term_start_index_ = log_.last_index();
    broadcast(now);
    advance_commit();
}

/// Grants time after a pause between two ticks. Others that stood still, too,
/// have not elected a leader meanwhile; after a long pause they have.
void raft::note_pause(core::time_point now)
{
    const core::duration pause =
        last_tick_at_ ? now - *last_tick_at_ : core::duration{};
    last_tick_at_ = now;
    const core::duration grace = times_.heartbeat_interval_ * 2;
    const bool is_short = pause <= times_.min_election_timeout_ * 4;
    // A member that is late all the time gets no more than one grace at once.
    const bool was_granted = now - catch_up_until_ < grace;
    if (pause >= grace && is_short && !was_granted)
    {
        catch_up_until_ = now + grace;
    }
}

raft_actions raft::tick(core::time_point now)
{
    note_pause(now);
    const bool catches_up = now < catch_up_until_;
    if (role_ == raft_role::leader && !catches_up)
    {
        check_quorum(now);
    }
    if (role_ == raft_role::leader && now >= next_heartbeat_at_)
    {
        broadcast(now);
    }
    if (role_ != raft_role::leader && now >= election_deadline_ && !catches_up)
    {
        start_election(true, now);
    }
    return take_actions();
}

void raft::check_quorum(core::time_point now)
{
    if (!is_followed(now))
    {
        become_follower(state_.term_, "");
        reset_election_timer(now);
    }
}

bool raft::is_followed(core::time_point now) const
{
    const core::duration limit = times_.min_election_timeout_;
    return role_ == raft_role::leader &&
           (now - leadership_started_at_ <= limit ||
            has_reply_from_majority(now - limit));
}

bool raft::has_reply_from_majority(core::time_point since) const
{
    std::size_t count = 0;
    for (const member& item : log_.group().members_)
    {
        const auto found = progress_.find(item.host_);
        const bool has_replied =
            item.host_ == host_ ||
            (found != progress_.end() && found->second.last_reply_at_ >= since);
        count += item.voter_ && has_replied ? 1 : 0;
    }
    return count >= log_.group().majority();
}

core::time_point raft::last_contact(core::time_point now) const
{
    if (role_ == raft_role::leader)
    {
        return majority_contact_at(now);
    }
    return last_leader_contact_;
}

core::time_point raft::majority_contact_at(core::time_point now) const
{
    std::vector<core::time_point> reply_times;
    for (const member& item : log_.group().members_)
    {
        if (!item.voter_)
        {
            continue;
        }
        const auto found = progress_.find(item.host_);
        const bool known = found != progress_.end();
        reply_times.push_back(
            item.host_ == host_ ? now
            : known             ? found->second.last_reply_at_
                                : core::time_point{});
    }
    if (reply_times.empty())
    {
        return {};
    }
    std::sort(reply_times.rbegin(), reply_times.rend());
    return reply_times[log_.group().majority() - 1];
}

void raft::send(const core::host_id& to, raft_body body)
{
    const member* target = log_.group().find(to);
    actions_.send_.push_back(
        {host_,
         store_,
         to,
         target == nullptr ? store_id() : target->store_,
         std::move(body)});
}

void raft::reply(const raft_message& to, raft_body body)
{
    actions_.send_.push_back(
        {host_, store_, to.from_, to.from_store_, std::move(body)});
}

void raft::broadcast(core::time_point now)
{
    ++round_;
    next_heartbeat_at_ = now + times_.heartbeat_interval_;
    for (const member& item : log_.group().members_)
    {
        if (item.host_ != host_)
        {
            send_append(item.host_, now);
        }
    }
    answer_reads();
}

void raft::send_append(const core::host_id& to, core::time_point now)
{
    progress& follower = progress_[to];
    if (follower.next_ <= log_.base_index())
    {
        // Does not send a snapshot again before the last one has had time to
        // arrive.
        if (now >= follower.next_snapshot_at_)
        {
            follower.next_snapshot_at_ = now + times_.min_election_timeout_;
            send(
                to,
                snapshot_request{state_.term_, log_.latest_snapshot(), round_});
        }
        return;
    }
    const bool awaits_reply =
        now < follower.resend_at_ &&
        (follower.probes_ || follower.next_ > follower.match_ + 1);
    append_request request;
    log_index previous = follower.next_ - 1;
    if (!follower.probes_ || !awaits_reply)
    {
        request.entries_ = log_.entries_from(
            follower.next_, max_entries_per_message, max_bytes_per_message);
    }
    if (request.entries_.empty() && awaits_reply)
    {
        // A heartbeat that overtakes the entries must not be rejected.
        const bool is_kept = log_.term_at(follower.match_).has_value();
        previous = is_kept ? follower.match_ : 0;
    }
    request.term_ = state_.term_;
    request.previous_index_ = previous;
    request.previous_term_ = log_.term_at(previous).value_or(0);
    request.commit_ = commit_;
    request.round_ = round_;
    if (!request.entries_.empty())
    {
        const core::time_point due = now + resend_delay(request.entries_);
        follower.resend_at_ = std::max(follower.resend_at_, due);
        if (!follower.probes_)
        {
            follower.next_ = request.entries_.back().index_ + 1;
        }
    }
    send(to, std::move(request));
}

/// \return how long entries are left to arrive before they are sent again.
core::duration raft::resend_delay(std::span<const log_entry> entries) const
{
    std::size_t bytes = 0;
    for (const log_entry& entry : entries)
    {
        bytes += entry.payload_.size();
    }
    return times_.heartbeat_interval_ + transfer_time(bytes);
}

void raft::append_entry(entry_kind kind, std::string payload)
{
    log_entry entry{
        log_.last_index() + 1, state_.term_, kind, std::move(payload)};
    actions_.append_.push_back(entry);
    log_.append(std::move(entry));
}

core::result<raft_actions> raft::propose(
    std::span<const std::string> payloads, core::time_point now, log_index& out)
{
    if (role_ != raft_role::leader)
    {
        return core::error{core::errc::not_leader, leader_};
    }
    out = log_.last_index() + 1;
    for (const std::string& payload : payloads)
    {
        append_entry(entry_kind::command, payload);
    }
    for (const member& item : log_.group().members_)
    {
        if (item.host_ != host_)
        {
            send_append(item.host_, now);
        }
    }
    advance_commit();
    return take_actions();
}

core::result<core::done> raft::check_group_change(
    const member_group& next) const
{
    const member_group& now = log_.group();
    if (log_.membership_entry_index() > commit_ || commit_ < term_start_index_)
    {
        return core::error{
            core::errc::conflict, "an earlier change is not yet committed"};
    }
    const std::vector<member> removed_members = difference(now, next);
    const std::vector<member> added_members = difference(next, now);
    if (removed_members.size() == 1 && added_members.empty())
    {
        return core::done();
    }
    if (removed_members.empty() && added_members.size() == 1 &&
        !added_members[0].voter_ &&
        now.find(added_members[0].host_) == nullptr &&
        differs_only_by(now, next, added_members[0]))
    {
        return core::done();
    }
    const bool promotes =
        removed_members.size() == 1 && added_members.size() == 1 &&
        removed_members[0].host_ == added_members[0].host_ &&
        removed_members[0].store_ == added_members[0].store_ &&
        !removed_members[0].voter_ && added_members[0].voter_;
    if (promotes && !is_caught_up(added_members[0].host_))
    {
        return core::error{
            core::errc::not_ready, "the learner has not caught up"};
    }
    if (promotes)
    {
        return core::done();
    }
    return core::error{
        core::errc::invalid, "a change adds, promotes or removes one member"};
}

std::optional<core::time_point> raft::last_reply_from(
    const core::host_id& host) const
{
    const auto found = progress_.find(host);
    if (found == progress_.end() || found->second.last_reply_at_.ms_ == 0)
    {
        return std::nullopt;
    }
    return found->second.last_reply_at_;
}

bool raft::is_caught_up(const core::host_id& host) const
{
    const auto found = progress_.find(host);
    // A learner that has not acknowledged anything may be down or have an
    // empty disk, even if the log is so short that its lag looks small.
    return found != progress_.end() && found->second.match_ > 0 &&
           found->second.match_ + max_learner_lag_entries >= log_.last_index();
}

core::result<raft_actions> raft::propose_group_change(
    const member_group& next, core::time_point now, log_index& out)
{
    if (role_ != raft_role::leader)
    {
        return core::error{core::errc::not_leader, leader_};
    }
    const core::result<core::done> allowed = check_group_change(next);
    if (!core::is_ok(allowed))
    {
        return core::failure(allowed);
    }
    append_entry(entry_kind::membership, encode(next));
    out = log_.last_index();
    for (const member& item : next.members_)
    {
        if (progress_.find(item.host_) == progress_.end())
        {
            progress_[item.host_].next_ = log_.last_index() + 1;
        }
        if (item.host_ != host_)
        {
            send_append(item.host_, now);
        }
    }
    std::erase_if(
        progress_,
        [&](const auto& item)
        {
            return next.find(item.first) == nullptr;
        });
    advance_commit();
    return take_actions();
}

raft_actions raft::read(std::uint64_t id, core::time_point now)
{
    if (role_ != raft_role::leader)
    {
        actions_.refused_.push_back(id);
        return take_actions();
    }
    pending_reads_.push_back({id, round_ + 1});
    broadcast(now);
    return take_actions();
}

void raft::answer_reads()
{
    if (commit_ < term_start_index_)
    {
        return;
    }
    std::vector<std::uint64_t> confirmed_rounds;
    for (const member& item : log_.group().members_)
    {
        if (item.voter_)
        {
            const bool is_self = item.host_ == host_;
            confirmed_rounds.push_back(
                is_self ? round_ : progress_[item.host_].round_);
        }
    }
    if (confirmed_rounds.empty())
    {
        return;
    }
    std::sort(confirmed_rounds.rbegin(), confirmed_rounds.rend());
    const std::uint64_t majority_round =
        confirmed_rounds[log_.group().majority() - 1];
    std::erase_if(
        pending_reads_,
        [&](const pending_read& item)
        {
            if (item.round_ > majority_round)
            {
                return false;
            }
            actions_.ready_reads_.push_back(item.id_);
            return true;
        });
}

void raft::refuse_reads()
{
    for (const pending_read& item : pending_reads_)
    {
        actions_.refused_.push_back(item.id_);
    }
    pending_reads_.clear();
}

void raft::compact(log_index index, std::string state, log_retention to_keep)
{
    core::check_invariant(
        index <= commit_, "a snapshot must contain committed entries only");
    log_.compact(index, std::move(state), to_keep);
}

void raft::advance_commit()
{
    std::vector<log_index> replicated;
    for (const member& item : log_.group().members_)
    {
        if (item.voter_)
        {
            const bool is_self = item.host_ == host_;
            replicated.push_back(
                is_self ? log_.last_index() : progress_[item.host_].match_);
        }
    }
    if (replicated.empty())
    {
        return;
    }
    std::sort(replicated.rbegin(), replicated.rend());
    const log_index majority_index = replicated[log_.group().majority() - 1];
    // Only entries of the current term are committed by counting replicas;
    // they commit the entries of earlier terms before them.
    if (majority_index > commit_ &&
        log_.term_at(majority_index) == state_.term_)
    {
        commit_to(majority_index);
        answer_reads();
    }
    const bool removed = log_.group().find(host_) == nullptr;
    if (removed && log_.membership_entry_index() <= commit_)
    {
        become_follower(state_.term_, "");
    }
}

void raft::commit_to(log_index index)
{
    core::check_invariant(
        index >= commit_, "the commit index must not decrease");
    core::check_invariant(
        index <= log_.last_index(), "a committed entry must be in the log");
    for (log_index next = commit_ + 1; next <= index; ++next)
    {
        actions_.committed_.push_back(log_.at(next));
    }
    commit_ = index;
}

bool raft::is_addressed_to_this_member(const raft_message& message) const
{
    // A host whose disk was replaced is another member and ignores messages to
    // the earlier one.
    return message.to_ == host_ && message.to_store_ == store_;
}

std::string_view raft::find_objection(const append_request& body) const
{
    if (body.term_ == state_.term_ && role_ == raft_role::leader)
    {
        return "a term has one leader, which is this member";
    }
    if (body.previous_index_ > max_index || body.commit_ > max_index ||
        body.previous_term_ > body.term_)
    {
        return "an index or a term is out of range";
    }
    log_index next = body.previous_index_ + 1;
    term_number term = body.previous_term_;
    for (const log_entry& entry : body.entries_)
    {
        if (entry.index_ != next || entry.term_ < term ||
            entry.term_ > body.term_)
        {
            return "the entries are no part of a log";
        }
        const bool is_committed_here =
            entry.index_ > log_.base_index() && entry.index_ <= commit_;
        if (is_committed_here && log_.term_at(entry.index_) != entry.term_)
        {
            return "an entry differs from a committed one";
        }
        term = entry.term_;
        ++next;
    }
    return {};
}

std::string_view raft::find_objection(const snapshot_request& body) const
{
    if (body.term_ == state_.term_ && role_ == raft_role::leader)
    {
        return "a term has one leader, which is this member";
    }
    if (body.snapshot_.index_ > max_index || body.snapshot_.term_ > body.term_)
    {
        return "an index or a term is out of range";
    }
    return {};
}

std::string_view raft::find_objection(const raft_message& message) const
{
    return std::visit(
        [this](const auto& body) -> std::string_view
        {
            using body_type = std::decay_t<decltype(body)>;
            if (body.term_ > max_term)
            {
                return "an index or a term is out of range";
            }
            if constexpr (
                std::is_same_v<body_type, append_request> ||
                std::is_same_v<body_type, snapshot_request>)
            {
                // One of an earlier term is answered, not stored.
                return body.term_ < state_.term_ ? std::string_view()
                                                 : find_objection(body);
            }
            return {};
        },
        message.body_);
}

raft_actions raft::receive(const raft_message& message, core::time_point now)
{
    if (!is_addressed_to_this_member(message))
    {
        return take_actions();
    }
    std::visit(
        [&](const auto& body)
        {
            handle(message, body, now);
        },
        message.body_);
    return take_actions();
}

bool raft::is_log_up_to_date(const vote_request& request) const
{
    if (request.last_term_ != log_.last_term())
    {
        return request.last_term_ > log_.last_term();
    }
    return request.last_index_ >= log_.last_index();
}

void raft::handle(
    const raft_message& from, const vote_request& body, core::time_point now)
{
    // A member in contact with a leader grants no vote. This keeps members
    // that were removed or cut off from forcing an election.
    const bool has_leader =
        role_ == raft_role::leader ||
        (has_seen_leader_ && !leader_.empty() &&
         now - last_leader_contact_ < times_.min_election_timeout_);
    // The candidate need not be a voter in the group that this member knows,
    // because that may be older than the candidate's. A member with an empty
    // log knows no group and must not vote.
    const bool has_no_group = log_.group().members_.empty();
    if (has_leader || has_no_group || body.term_ < state_.term_)
    {
        reply(from, vote_reply{state_.term_, false, body.trial_});
        return;
    }
    const bool is_up_to_date = is_log_up_to_date(body);
    if (body.trial_)
    {
        const bool granted = is_up_to_date && body.term_ > state_.term_;
        const term_number reply_term = granted ? body.term_ : state_.term_;
        reply(from, vote_reply{reply_term, granted, true});
        return;
    }
    if (body.term_ > state_.term_)
    {
        become_follower(body.term_, "");
    }
    const bool may_vote =
        state_.voted_for_.empty() || state_.voted_for_ == from.from_;
    const bool granted = is_up_to_date && may_vote;
    if (granted)
    {
        set_term(body.term_, from.from_);
        reset_election_timer(now);
    }
    reply(from, vote_reply{state_.term_, granted, false});
}

void raft::handle(
    const raft_message& from, const vote_reply& body, core::time_point now)
{
    if (body.term_ > state_.term_ && !body.granted_)
    {
        become_follower(body.term_, "");
        return;
    }
    const bool is_expected = body.trial_ ? role_ == raft_role::pre_candidate &&
                                               body.term_ == state_.term_ + 1
                                         : role_ == raft_role::candidate &&
                                               body.term_ == state_.term_;
    if (!is_expected || !body.granted_ ||
        !log_.group().is_voter(from.from_, from.from_store_))
    {
        return;
    }
    received_votes_.insert(from.from_);
    if (received_votes_.size() < log_.group().majority())
    {
        return;
    }
    if (body.trial_)
    {
        start_election(false, now);
    }
    else
    {
        become_leader(now);
    }
}

void raft::handle(
    const raft_message& from, const append_request& body, core::time_point now)
{
    if (body.term_ < state_.term_)
    {
        reply(from, append_reply{state_.term_, false, 0, body.round_});
        return;
    }
    core::check_invariant(
        role_ != raft_role::leader || body.term_ > state_.term_,
        "a term must not have two leaders");
    become_follower(body.term_, from.from_);
    last_leader_contact_ = now;
    has_seen_leader_ = true;
    reset_election_timer(now);
    const auto term = log_.term_at(body.previous_index_);
    const bool is_consistent =
        body.previous_index_ < log_.base_index() || term == body.previous_term_;
    if (!is_consistent)
    {
        // If this log is too short, the leader goes back to its end at once,
        // else by one entry.
        const log_index retry_index =
            std::min(log_.last_index(), body.previous_index_ - 1);
        reply(
            from,
            append_reply{
                state_.term_,
                false,
                std::max(retry_index, commit_),
                body.round_});
        return;
    }
    store_entries(body);
    const log_index last_stored = body.entries_.empty()
                                      ? body.previous_index_
                                      : body.entries_.back().index_;
    const log_index match = std::max(last_stored, commit_);
    const log_index commit = std::min(body.commit_, match);
    if (commit > commit_)
    {
        commit_to(commit);
    }
    reply(from, append_reply{state_.term_, true, match, body.round_});
}

void raft::store_entries(const append_request& body)
{
    for (const log_entry& entry : body.entries_)
    {
        if (entry.index_ <= log_.base_index())
        {
            continue;
        }
        if (log_.term_at(entry.index_) == entry.term_)
        {
            continue;
        }
        if (entry.index_ <= log_.last_index())
        {
            core::check_invariant(
                entry.index_ > commit_,
                "a committed entry must not be dropped");
            core::check_invariant(
                actions_.append_.empty(),
                "a message must truncate the log before it appends");
            log_.truncate_from(entry.index_);
            actions_.truncate_from_ = entry.index_;
        }
        actions_.append_.push_back(entry);
        log_.append(entry);
    }
}

void raft::handle(
    const raft_message& from, const append_reply& body, core::time_point now)
{
    if (body.term_ > state_.term_)
    {
        become_follower(body.term_, "");
        return;
    }
    const member* sender = log_.group().find(from.from_);
    const bool is_expected =
        sender != nullptr && sender->store_ == from.from_store_;
    if (role_ != raft_role::leader || body.term_ < state_.term_ || !is_expected)
    {
        return;
    }
    progress& follower = progress_[from.from_];
    follower.last_reply_at_ = now;
    follower.round_ = std::max(follower.round_, body.round_);
    // What was sent before the last rejection is rejected as well, and says
    // nothing of the entries that went out since.
    if (!body.accepted_ && body.round_ < follower.first_valid_round_)
    {
        return;
    }
    follower.next_snapshot_at_ = now;
    if (!body.accepted_)
    {
        follower.first_valid_round_ = ++round_;
        follower.next_ = std::max(follower.match_, body.match_) + 1;
        follower.probes_ = true;
        follower.resend_at_ = {};
        send_append(from.from_, now);
        return;
    }
    follower.match_ = std::max(follower.match_, body.match_);
    // A heartbeat that is accepted before the entries are shows nothing new.
    const bool has_entries = follower.match_ >= follower.next_;
    const bool lacks_none = follower.match_ + 1 >= follower.next_ &&
                            follower.next_ > log_.last_index();
    if (has_entries || lacks_none)
    {
        follower.probes_ = false;
    }
    follower.next_ = std::max(follower.next_, follower.match_ + 1);
    advance_commit();
    answer_reads();
    const bool is_behind = role_ == raft_role::leader && !follower.probes_ &&
                           follower.next_ <= log_.last_index();
    if (is_behind)
    {
        send_append(from.from_, now);
    }
}

void raft::handle(
    const raft_message& from,
    const snapshot_request& body,
    core::time_point now)
{
    if (body.term_ < state_.term_)
    {
        reply(from, append_reply{state_.term_, false, 0, body.round_});
        return;
    }
    become_follower(body.term_, from.from_);
    last_leader_contact_ = now;
    has_seen_leader_ = true;
    reset_election_timer(now);
    const log_index last = body.snapshot_.index_;
    if (last > commit_ && log_.term_at(last) == body.snapshot_.term_)
    {
        // The log already contains the snapshot's entries, and perhaps later
        // ones that this member has acknowledged and must keep.
        commit_to(last);
    }
    if (last > commit_)
    {
        actions_.install_snapshot_ = body.snapshot_;
        log_.install(body.snapshot_);
        commit_ = body.snapshot_.index_;
    }
    reply(from, append_reply{state_.term_, true, commit_, body.round_});
}

} // namespace poplarroute::control
