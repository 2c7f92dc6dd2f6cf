#include "control/raft.hpp"

#include <algorithm>
#include <utility>

#include "core/invariant.hpp"

namespace poplarroute::control
{

namespace
{

constexpr std::size_t entries_per_message = 512;
constexpr std::size_t bytes_per_message = 1024 * 1024;
constexpr log_index learner_lag = 16;

bool is_same_but(
    const member_group& small, const member_group& large, const member& extra)
{
    member_group without;
    for (const member& item : large.members_)
    {
        if (!(item == extra))
        {
            without.members_.push_back(item);
        }
    }
    return without == small;
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

bool raft_actions::touches_disk() const
{
    return hard_state_ || install_ || truncate_from_ || !append_.empty();
}

raft::raft(raft_start start, core::time_point now)
    : host_(std::move(start.host_)),
      store_(std::move(start.store_)),
      state_(std::move(start.hard_state_)),
      log_(std::move(start.snapshot_), std::move(start.entries_)),
      times_(start.times_),
      random_(start.seed_),
      commit_(log_.latest_snapshot().index_)
{
    reset_election_timer(now);
}

raft_actions raft::take()
{
    raft_actions out = std::move(actions_);
    actions_ = {};
    return out;
}

void raft::set_term(term_number term, const core::host_id& voted_for)
{
    core::check_invariant(term >= state_.term_, "a term never goes back");
    core::check_invariant(
        term > state_.term_ || state_.voted_for_.empty() ||
            state_.voted_for_ == voted_for,
        "a member votes once in a term");
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
    const core::duration least = leader_ever_heard_
                                     ? times_.election_least_
                                     : times_.first_election_least_;
    const core::duration most =
        leader_ever_heard_ ? times_.election_spread_
                           : std::min(times_.election_spread_, least * 2);
    std::uniform_int_distribution<std::int64_t> spread(0, most.ms_);
    election_due_ = now + least + core::duration{spread(random_)};
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
    votes_.clear();
    progress_.clear();
}

void raft::start_election(bool trial, core::time_point now)
{
    reset_election_timer(now);
    leader_.clear();
    if (!log_.group().is_voter(host_, store_))
    {
        return;
    }
    role_ = trial ? raft_role::trial_candidate : raft_role::candidate;
    votes_ = {host_};
    if (!trial)
    {
        set_term(state_.term_ + 1, host_);
    }
    if (log_.group().majority() <= votes_.size())
    {
        if (trial)
        {
            start_election(false, now);
        }
        else
        {
            become_leader(now);
        }
        return;
    }
    const term_number asked = state_.term_ + (trial ? 1 : 0);
    for (const member& item : log_.group().members_)
    {
        if (item.host_ != host_ && item.voter_)
        {
            send(
                item.host_,
                vote_request{
                    asked, log_.last_index(), log_.last_term(), trial});
        }
    }
}

void raft::become_leader(core::time_point now)
{
    core::check_invariant(
        state_.voted_for_ == host_, "a leader voted for itself in its term");
    role_ = raft_role::leader;
    leader_ = host_;
    leader_ever_heard_ = true;
    leader_since_ = now;
    progress_.clear();
    for (const member& item : log_.group().members_)
    {
        progress_[item.host_].next_ = log_.last_index() + 1;
    }
    append_own(entry_kind::noop, "");
    term_start_ = log_.last_index();
    broadcast(now);
    advance_commit();
}

raft_actions raft::tick(core::time_point now)
{
    if (role_ == raft_role::leader)
    {
        check_quorum(now);
    }
    if (role_ == raft_role::leader && now >= heartbeat_due_)
    {
        broadcast(now);
    }
    if (role_ != raft_role::leader && now >= election_due_)
    {
        start_election(true, now);
    }
    return take();
}

void raft::check_quorum(core::time_point now)
{
    const core::duration limit = times_.election_least_;
    if (now - leader_since_ > limit && !heard_from_majority(now - limit))
    {
        become_follower(state_.term_, "");
        reset_election_timer(now);
    }
}

bool raft::heard_from_majority(core::time_point since) const
{
    std::size_t count = 0;
    for (const member& item : log_.group().members_)
    {
        const auto found = progress_.find(item.host_);
        const bool heard =
            item.host_ == host_ ||
            (found != progress_.end() && found->second.heard_ >= since);
        count += item.voter_ && heard ? 1 : 0;
    }
    return count >= log_.group().majority();
}

core::time_point raft::last_contact(core::time_point now) const
{
    if (role_ == raft_role::leader)
    {
        return majority_heard_at(now);
    }
    return leader_heard_;
}

core::time_point raft::majority_heard_at(core::time_point now) const
{
    std::vector<core::time_point> heard;
    for (const member& item : log_.group().members_)
    {
        if (!item.voter_)
        {
            continue;
        }
        const auto found = progress_.find(item.host_);
        const bool known = found != progress_.end();
        heard.push_back(
            item.host_ == host_ ? now
            : known             ? found->second.heard_
                                : core::time_point{});
    }
    if (heard.empty())
    {
        return {};
    }
    std::sort(heard.rbegin(), heard.rend());
    return heard[log_.group().majority() - 1];
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
    heartbeat_due_ = now + times_.heartbeat_;
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
    progress& about = progress_[to];
    if (about.next_ <= log_.base_index())
    {
        // A snapshot on its way is not sent again before it had time to
        // arrive.
        if (now >= about.snapshot_due_)
        {
            about.snapshot_due_ = now + times_.election_least_;
            send(
                to,
                snapshot_request{state_.term_, log_.latest_snapshot(), round_});
        }
        return;
    }
    const log_index previous = about.next_ - 1;
    append_request request;
    request.term_ = state_.term_;
    request.previous_index_ = previous;
    request.previous_term_ = log_.term_at(previous).value_or(0);
    request.entries_ =
        log_.from(about.next_, entries_per_message, bytes_per_message);
    request.commit_ = commit_;
    request.round_ = round_;
    if (!request.entries_.empty())
    {
        about.next_ = request.entries_.back().index_ + 1;
    }
    send(to, std::move(request));
}

void raft::append_own(entry_kind kind, std::string payload)
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
        append_own(entry_kind::command, payload);
    }
    for (const member& item : log_.group().members_)
    {
        if (item.host_ != host_)
        {
            send_append(item.host_, now);
        }
    }
    advance_commit();
    return take();
}

core::result<core::done> raft::check_change(const member_group& next) const
{
    const member_group& now = log_.group();
    if (log_.group_index() > commit_ || commit_ < term_start_)
    {
        return core::error{
            core::errc::conflict, "an earlier change is not yet committed"};
    }
    const std::vector<member> gone = difference(now, next);
    const std::vector<member> added = difference(next, now);
    if (gone.size() == 1 && added.empty())
    {
        return core::done();
    }
    if (gone.empty() && added.size() == 1 && !added[0].voter_ &&
        now.find(added[0].host_) == nullptr && is_same_but(now, next, added[0]))
    {
        return core::done();
    }
    const bool promotes = gone.size() == 1 && added.size() == 1 &&
                          gone[0].host_ == added[0].host_ &&
                          gone[0].store_ == added[0].store_ &&
                          !gone[0].voter_ && added[0].voter_;
    if (promotes && !caught_up(added[0].host_))
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

std::optional<core::time_point> raft::heard_from(
    const core::host_id& host) const
{
    const auto found = progress_.find(host);
    if (found == progress_.end() || found->second.heard_.ms_ == 0)
    {
        return std::nullopt;
    }
    return found->second.heard_;
}

bool raft::caught_up(const core::host_id& host) const
{
    const auto found = progress_.find(host);
    // One that has not acknowledged anything yet may be down or blank,
    // however short the log.
    return found != progress_.end() && found->second.match_ > 0 &&
           found->second.match_ + learner_lag >= log_.last_index();
}

core::result<raft_actions> raft::propose_group(
    const member_group& next, core::time_point now, log_index& out)
{
    if (role_ != raft_role::leader)
    {
        return core::error{core::errc::not_leader, leader_};
    }
    const core::result<core::done> allowed = check_change(next);
    if (!core::is_ok(allowed))
    {
        return core::failure(allowed);
    }
    append_own(entry_kind::membership, encode(next));
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
    return take();
}

raft_actions raft::read(std::uint64_t id, core::time_point now)
{
    if (role_ != raft_role::leader)
    {
        actions_.refused_.push_back(id);
        return take();
    }
    reads_.push_back({id, round_ + 1});
    broadcast(now);
    return take();
}

void raft::answer_reads()
{
    if (commit_ < term_start_)
    {
        return;
    }
    std::vector<std::uint64_t> confirmed;
    for (const member& item : log_.group().members_)
    {
        if (item.voter_)
        {
            const bool own = item.host_ == host_;
            confirmed.push_back(own ? round_ : progress_[item.host_].round_);
        }
    }
    if (confirmed.empty())
    {
        return;
    }
    std::sort(confirmed.rbegin(), confirmed.rend());
    const std::uint64_t agreed = confirmed[log_.group().majority() - 1];
    std::erase_if(
        reads_,
        [&](const waiting_read& item)
        {
            if (item.round_ > agreed)
            {
                return false;
            }
            actions_.readable_.push_back(item.id_);
            return true;
        });
}

void raft::refuse_reads()
{
    for (const waiting_read& item : reads_)
    {
        actions_.refused_.push_back(item.id_);
    }
    reads_.clear();
}

void raft::compact(log_index index, std::string state, std::size_t keep)
{
    core::check_invariant(
        index <= commit_, "a snapshot holds committed entries only");
    log_.compact(index, std::move(state), keep);
}

void raft::advance_commit()
{
    std::vector<log_index> held;
    for (const member& item : log_.group().members_)
    {
        if (item.voter_)
        {
            const bool own = item.host_ == host_;
            held.push_back(
                own ? log_.last_index() : progress_[item.host_].match_);
        }
    }
    if (held.empty())
    {
        return;
    }
    std::sort(held.rbegin(), held.rend());
    const log_index agreed = held[log_.group().majority() - 1];
    // An entry of an earlier term is committed only through one of this term.
    if (agreed > commit_ && log_.term_at(agreed) == state_.term_)
    {
        commit_to(agreed);
        answer_reads();
    }
    const bool removed = log_.group().find(host_) == nullptr;
    if (removed && log_.group_index() <= commit_)
    {
        become_follower(state_.term_, "");
    }
}

void raft::commit_to(log_index index)
{
    core::check_invariant(index >= commit_, "the commit index never goes back");
    core::check_invariant(
        index <= log_.last_index(), "what is committed is in the log");
    for (log_index next = commit_ + 1; next <= index; ++next)
    {
        actions_.committed_.push_back(log_.at(next));
    }
    commit_ = index;
}

bool raft::is_for_this_store(const raft_message& message) const
{
    // A message for the member that had this host's earlier disk is not ours.
    return message.to_ == host_ && message.to_store_ == store_;
}

raft_actions raft::receive(const raft_message& message, core::time_point now)
{
    if (!is_for_this_store(message))
    {
        return take();
    }
    std::visit(
        [&](const auto& body)
        {
            on(message, body, now);
        },
        message.body_);
    return take();
}

bool raft::log_is_current(const vote_request& request) const
{
    if (request.last_term_ != log_.last_term())
    {
        return request.last_term_ > log_.last_term();
    }
    return request.last_index_ >= log_.last_index();
}

void raft::on(
    const raft_message& from, const vote_request& body, core::time_point now)
{
    // A member that hears a leader lets nobody disturb it, which also keeps
    // a member that was removed or cut off from forcing an election.
    const bool led = role_ == raft_role::leader ||
                     (leader_ever_heard_ && !leader_.empty() &&
                      now - leader_heard_ < times_.election_least_);
    // The candidate need not be a voter in this member's group, which may be
    // older than the candidate's. A blank member knows no group and no vote.
    const bool blank = log_.group().members_.empty();
    if (led || blank || body.term_ < state_.term_)
    {
        reply(from, vote_reply{state_.term_, false, body.trial_});
        return;
    }
    const bool current = log_is_current(body);
    if (body.trial_)
    {
        const bool granted = current && body.term_ > state_.term_;
        const term_number told = granted ? body.term_ : state_.term_;
        reply(from, vote_reply{told, granted, true});
        return;
    }
    if (body.term_ > state_.term_)
    {
        become_follower(body.term_, "");
    }
    const bool free =
        state_.voted_for_.empty() || state_.voted_for_ == from.from_;
    const bool granted = current && free;
    if (granted)
    {
        set_term(body.term_, from.from_);
        reset_election_timer(now);
    }
    reply(from, vote_reply{state_.term_, granted, false});
}

void raft::on(
    const raft_message& from, const vote_reply& body, core::time_point now)
{
    if (body.term_ > state_.term_ && !body.granted_)
    {
        become_follower(body.term_, "");
        return;
    }
    const bool counts = body.trial_ ? role_ == raft_role::trial_candidate &&
                                          body.term_ == state_.term_ + 1
                                    : role_ == raft_role::candidate &&
                                          body.term_ == state_.term_;
    if (!counts || !body.granted_ ||
        !log_.group().is_voter(from.from_, from.from_store_))
    {
        return;
    }
    votes_.insert(from.from_);
    if (votes_.size() < log_.group().majority())
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

void raft::on(
    const raft_message& from, const append_request& body, core::time_point now)
{
    if (body.term_ < state_.term_)
    {
        reply(from, append_reply{state_.term_, false, 0, body.round_});
        return;
    }
    core::check_invariant(
        role_ != raft_role::leader || body.term_ > state_.term_,
        "a term has one leader");
    become_follower(body.term_, from.from_);
    leader_heard_ = now;
    leader_ever_heard_ = true;
    reset_election_timer(now);
    const auto term = log_.term_at(body.previous_index_);
    const bool fits =
        body.previous_index_ < log_.base_index() || term == body.previous_term_;
    if (!fits)
    {
        // Skip what this log lacks in one go; else back by one entry.
        const log_index hint =
            std::min(log_.last_index(), body.previous_index_ - 1);
        reply(
            from,
            append_reply{
                state_.term_, false, std::max(hint, commit_), body.round_});
        return;
    }
    store_entries(body);
    const log_index held = body.entries_.empty() ? body.previous_index_
                                                 : body.entries_.back().index_;
    const log_index match = std::max(held, commit_);
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
                entry.index_ > commit_, "a committed entry is never dropped");
            core::check_invariant(
                actions_.append_.empty(), "a message truncates once, first");
            log_.truncate_from(entry.index_);
            actions_.truncate_from_ = entry.index_;
        }
        actions_.append_.push_back(entry);
        log_.append(entry);
    }
}

void raft::on(
    const raft_message& from, const append_reply& body, core::time_point now)
{
    if (body.term_ > state_.term_)
    {
        become_follower(body.term_, "");
        return;
    }
    const member* sender = log_.group().find(from.from_);
    const bool counts = sender != nullptr && sender->store_ == from.from_store_;
    if (role_ != raft_role::leader || body.term_ < state_.term_ || !counts)
    {
        return;
    }
    progress& about = progress_[from.from_];
    about.heard_ = now;
    about.snapshot_due_ = now;
    about.round_ = std::max(about.round_, body.round_);
    if (!body.accepted_)
    {
        about.next_ = std::max(about.match_, body.match_) + 1;
        send_append(from.from_, now);
        return;
    }
    about.match_ = std::max(about.match_, body.match_);
    about.next_ = std::max(about.next_, about.match_ + 1);
    advance_commit();
    answer_reads();
    const bool behind =
        role_ == raft_role::leader && about.next_ <= log_.last_index();
    if (behind)
    {
        send_append(from.from_, now);
    }
}

void raft::on(
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
    leader_heard_ = now;
    leader_ever_heard_ = true;
    reset_election_timer(now);
    const log_index last = body.snapshot_.index_;
    if (last > commit_ && log_.term_at(last) == body.snapshot_.term_)
    {
        // The log holds all of it, and perhaps more that was acknowledged.
        commit_to(last);
    }
    if (last > commit_)
    {
        actions_.install_ = body.snapshot_;
        log_.install(body.snapshot_);
        commit_ = body.snapshot_.index_;
    }
    reply(from, append_reply{state_.term_, true, commit_, body.round_});
}

} // namespace poplarroute::control
