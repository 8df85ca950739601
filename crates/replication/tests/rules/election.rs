//! Elections: votes, pre-votes and terms (Raft §5.2, §5.4.1).

use crate::support::{append, from, replica, restored, synced};
use opalrun_replication::{
    LogIndex, MemberId, Message, MessageBody, Options, Replica, RestoredState, Term, timing,
};

#[test]
fn a_vote_is_granted_once_per_term_and_only_after_the_sync() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    let ask = MessageBody::RequestVote {
        last_log_index: LogIndex(1),
        last_log_term: Term(1),
        is_leadership_transfer: false,
    };
    replica.step(10, from(2, Term(2), ask.clone()));
    let ready = replica.ready();
    assert!(ready.messages.is_empty());
    replica.on_persisted(ready.writes.last().unwrap().sequence);
    let answers = replica.ready().messages;
    assert_eq!(answers[0].body, MessageBody::RequestVoteResponse { is_granted: true });
    replica.step(11, from(3, Term(2), ask));
    assert_eq!(synced(&mut replica).messages[0].body, MessageBody::RequestVoteResponse { is_granted: false });
    let behind = MessageBody::RequestVote {
        last_log_index: LogIndex(0),
        last_log_term: Term(0),
        is_leadership_transfer: false,
    };
    replica.step(12, from(3, Term(3), behind));
    assert_eq!(synced(&mut replica).messages[0].body, MessageBody::RequestVoteResponse { is_granted: false });
}

#[test]
fn votes_are_denied_while_a_leader_is_active() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    replica.step(10, from(2, Term(1), append((1, 1), &[], 0)));
    synced(&mut replica);
    let ask = |transfer| MessageBody::RequestVote {
        last_log_index: LogIndex(9),
        last_log_term: Term(1),
        is_leadership_transfer: transfer,
    };
    replica.step(20, from(3, Term(5), ask(false)));
    assert_eq!(replica.term(), Term(1), "a replica that was partitioned does not change the term");
    replica.step(
        20,
        from(3, Term(2), MessageBody::RequestPreVote { last_log_index: LogIndex(9), last_log_term: Term(1) }),
    );
    assert_eq!(
        synced(&mut replica).messages[0].body,
        MessageBody::RequestPreVoteResponse { is_granted: false }
    );
    replica.step(20, from(3, Term(5), ask(true)));
    assert_eq!(synced(&mut replica).messages[0].body, MessageBody::RequestVoteResponse { is_granted: true });
}

#[test]
fn a_replica_that_is_not_a_member_never_begins_an_election() {
    let mut replica = replica(1, RestoredState::default());
    for now in 0..100 {
        replica.tick(now * 100);
        let ready = replica.ready();
        assert!(ready.messages.is_empty() && ready.writes.is_empty());
    }
    assert_eq!(replica.term(), Term(0));
}

#[test]
fn an_isolated_member_keeps_its_term() {
    let mut replica = replica(1, restored(&[1, 2, 3], 4, &[1]));
    for now in 0..100 {
        replica.tick(now * 100);
        synced(&mut replica);
    }
    assert_eq!(replica.term(), Term(4));
}

/// Returns whether a replica that requested pre-votes itself `waited` milliseconds ago grants its pre-vote to another
/// replica with the same log.
fn pre_vote_of_a_pre_candidate(own: u64, other: u64, waited: u64) -> bool {
    let options = Options { identity: MemberId(own), hosts_lost: 1, seed: 7 };
    let mut replica = Replica::new(options, restored(&[1, 2, 3], 1, &[1]), 0);
    let asked_at = timing::MAX_ELECTION_TIMEOUT_MS;
    replica.tick(asked_at);
    assert!(!synced(&mut replica).messages.is_empty(), "the replica requests pre-votes");
    let ask = MessageBody::RequestPreVote { last_log_index: LogIndex(1), last_log_term: Term(1) };
    replica.step(
        asked_at + waited,
        Message { from: MemberId(other), to: MemberId(own), term: Term(2), body: ask },
    );
    let answers = synced(&mut replica).messages;
    answers.iter().any(|message| message.body == MessageBody::RequestPreVoteResponse { is_granted: true })
}

#[test]
fn of_two_simultaneous_pre_candidates_only_one_receives_the_others_pre_vote() {
    assert!(pre_vote_of_a_pre_candidate(1, 2, 0));
    assert!(!pre_vote_of_a_pre_candidate(2, 1, 0));
    // After PRE_VOTE_PRIORITY_MS, a pre-candidate of higher priority no longer denies its pre-vote.
    assert!(pre_vote_of_a_pre_candidate(2, 1, timing::PRE_VOTE_PRIORITY_MS));
}
