//! Leader election: terms, pre-votes and votes (Raft §5.2, §5.4.1; thesis §9.6).
//!
//! A replica votes for at most one candidate in a term, and responds only once the vote is synced; a candidate needs a
//! majority. So a term has at most one leader (Election Safety, Raft §5.2). A vote is granted only if the candidate's log is
//! at least as up-to-date as the voter's, so a leader has every committed entry (Leader Completeness, Raft §5.4.3).

use crate::{
    AppendOutcome, HardState, LogIndex, LogPosition, MemberId, Message, MessageBody, Payload, Term,
    leader_state::LeaderState, replica::Replica, role::Role, timing,
};
use std::collections::BTreeSet;

impl Replica {
    /// Begins an election if no leader was heard from during the election time-out.
    pub(crate) fn tick_election(&mut self) {
        if !self.election_timer.has_expired(self.now) {
            return;
        }
        self.election_timer.reset(self.now);
        self.leader_id = None;
        if self.log.membership().is_voter(self.options.identity) {
            self.begin_pre_vote();
        }
    }

    /// Requests pre-votes: asks whether an election would succeed before beginning a new term, so that a replica that was
    /// partitioned does not depose the leader when it returns (thesis §9.6).
    fn begin_pre_vote(&mut self) {
        let votes = BTreeSet::from([self.options.identity]);
        self.role = Role::PreCandidate { votes, since: self.now };
        let last_log = self.log.last_position();
        let body =
            MessageBody::RequestPreVote { last_log_index: last_log.index, last_log_term: last_log.term };
        let (from, term) = (self.options.identity, self.hard_state.term.next());
        for to in self.other_voters() {
            self.pending.messages.push(Message { from, to, term, body: body.clone() });
        }
        self.count_pre_votes();
    }

    /// Begins an election in a new term. Vote requests are sent once this replica's own vote is synced.
    fn begin_election(&mut self, is_leadership_transfer: bool) {
        let voted_for = Some(self.options.identity);
        let own_vote_write = self.set_hard_state(HardState { term: self.hard_state.term.next(), voted_for });
        self.role = Role::Candidate { votes: BTreeSet::new(), own_vote_write };
        self.leader_id = None;
        self.election_timer.reset(self.now);
        let LogPosition { index: last_log_index, term: last_log_term } = self.log.last_position();
        for to in self.other_voters() {
            let body = MessageBody::RequestVote { last_log_index, last_log_term, is_leadership_transfer };
            self.send_after_sync(to, body);
        }
    }

    fn other_voters(&self) -> Vec<MemberId> {
        self.log.membership().voters().filter(|voter| *voter != self.options.identity).collect()
    }

    /// Becomes a follower in `term`, which may be the current term.
    pub(crate) fn become_follower(&mut self, term: Term, leader_id: Option<MemberId>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, voted_for: None });
        }
        self.fail_pending_reads();
        self.role = Role::Follower;
        self.leader_id = leader_id;
        self.election_timer.reset(self.now);
    }

    /// Adopts the newer term of a message (Raft §5.1). Pre-vote requests and granted pre-votes leave the term unchanged, and
    /// a vote request is ignored while a leader is active, unless it results from a leadership transfer. Returns whether the
    /// message is to be handled.
    pub(crate) fn adopt_term(&mut self, message: &Message) -> bool {
        match &message.body {
            MessageBody::RequestPreVote { .. } | MessageBody::RequestPreVoteResponse { is_granted: true } => {
                return true;
            }
            MessageBody::RequestVote { is_leadership_transfer: false, .. } if self.has_active_leader() => {
                return false;
            }
            _ => {}
        }
        let is_from_leader =
            matches!(&message.body, MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. });
        self.become_follower(message.term, is_from_leader.then_some(message.from));
        true
    }

    /// Rejects a request of an old term, so that its sender learns the current term (Raft §5.1).
    pub(crate) fn reject_stale_term(&mut self, message: &Message) {
        let rejected = |round: u64, previous_log_index: LogIndex| {
            let outcome = AppendOutcome::Rejected { previous_log_index, hint_index: self.commit_index };
            MessageBody::AppendEntriesResponse { round, outcome }
        };
        let body = match &message.body {
            MessageBody::RequestPreVote { .. } => MessageBody::RequestPreVoteResponse { is_granted: false },
            MessageBody::RequestVote { .. } => MessageBody::RequestVoteResponse { is_granted: false },
            MessageBody::AppendEntries { previous_log_index, round, .. } => {
                rejected(*round, *previous_log_index)
            }
            MessageBody::InstallSnapshot { metadata, round, .. } => {
                rejected(*round, metadata.last_included_index)
            }
            _ => return,
        };
        self.send(message.from, body);
    }

    /// Returns whether there is an active leader, in which case vote requests are disregarded (thesis §4.2.3).
    fn has_active_leader(&self) -> bool {
        let limit_ms =
            if self.is_leader() { timing::MAX_ELECTION_TIMEOUT_MS } else { timing::MIN_ELECTION_TIMEOUT_MS };
        self.has_recent_contact(self.now, limit_ms)
    }

    /// Returns whether this replica has recently requested pre-votes itself and has priority over a pre-candidate with the
    /// same log. The member with the higher identity has priority. Without priorities, each would receive the other's
    /// pre-vote, become a candidate in the same term, and split the vote; this is more likely the more voters are needed.
    fn has_priority_over(&self, other: MemberId, last_log: LogPosition) -> bool {
        let Role::PreCandidate { since, .. } = &self.role else {
            return false;
        };
        let has_just_asked = self.now.saturating_sub(*since) < timing::PRE_VOTE_PRIORITY_MS;
        let is_same_log = last_log == self.log.last_position();
        has_just_asked && is_same_log && self.options.identity > other
    }

    pub(crate) fn on_request_pre_vote(&mut self, from: MemberId, term: Term, last_log: LogPosition) {
        let is_granted = term > self.hard_state.term
            && !self.has_active_leader()
            && !self.has_priority_over(from, last_log)
            && self.log.is_up_to_date(last_log);
        let term = if is_granted { term } else { self.hard_state.term };
        let body = MessageBody::RequestPreVoteResponse { is_granted };
        self.pending.messages.push(Message { from: self.options.identity, to: from, term, body });
    }

    pub(crate) fn on_request_pre_vote_response(&mut self, from: MemberId, term: Term, is_granted: bool) {
        let asked_term = self.hard_state.term.next();
        if let Role::PreCandidate { votes, .. } = &mut self.role
            && is_granted
            && term == asked_term
        {
            votes.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if let Role::PreCandidate { votes, .. } = &self.role
            && self.log.membership().is_majority(votes)
        {
            self.begin_election(false);
        }
    }

    pub(crate) fn on_request_vote(&mut self, from: MemberId, last_log: LogPosition) {
        let may_vote = self.hard_state.voted_for.is_none_or(|voted_for| voted_for == from);
        let is_granted = may_vote
            && matches!(self.role, Role::Follower | Role::PreCandidate { .. })
            && self.log.is_up_to_date(last_log);
        if is_granted {
            self.election_timer.reset(self.now);
            if self.hard_state.voted_for.is_none() {
                self.set_hard_state(HardState { term: self.hard_state.term, voted_for: Some(from) });
            }
        }
        self.send_after_sync(from, MessageBody::RequestVoteResponse { is_granted });
    }

    pub(crate) fn on_request_vote_response(&mut self, from: MemberId, is_granted: bool) {
        if let Role::Candidate { votes, .. } = &mut self.role
            && is_granted
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts this replica's own vote once it is synced.
    pub(crate) fn count_own_vote(&mut self) {
        let own_identity = self.options.identity;
        if let Role::Candidate { votes, own_vote_write } = &mut self.role
            && self.write_queue.is_persisted(*own_vote_write)
            && votes.insert(own_identity)
        {
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        if let Role::Candidate { votes, .. } = &self.role
            && self.log.membership().is_majority(votes)
        {
            self.become_leader();
        }
    }

    /// Becomes the leader, and appends an empty entry, whose commit tells the leader which entries are committed (Raft §8).
    fn become_leader(&mut self) {
        let term_start_index = self.log.last_index() + 1;
        let leader = LeaderState::new(term_start_index, self.now);
        self.role = Role::Leader(Box::new(leader));
        self.leader_id = Some(self.options.identity);
        self.incoming_snapshot = None;
        self.track_members();
        self.append_as_leader(Payload::Empty);
    }

    /// Handles the leader's request to take over the leadership: begins an election without a pre-vote.
    pub(crate) fn on_timeout_now(&mut self) {
        let is_voter = self.log.membership().is_voter(self.options.identity);
        if is_voter && matches!(self.role, Role::Follower | Role::PreCandidate { .. }) {
            self.begin_election(true);
        }
    }
}
