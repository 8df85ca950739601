//! Golden tests: the files of a control process and the frames between control processes have the same encoding as in
//! earlier builds.

#[path = "../../tests/golden_storage/golden_file.rs"]
mod golden_file;

use super::{
    Host, HostOptions, StateMachine,
    identity::Identity,
    journal::{Content, Journal, Record, Step, records_of, steps_of},
    members::member_id,
    peer_frame::{GroupMessage, PeerFrame},
    stored_state,
};
use crate::{
    configuration_shard::ConfigurationCommand,
    sessions::{ExpiredSession, SessionCommand},
    shards::{SHARDS, ShardMachine, Shards, all_shards},
    store_map::{Spread, StoreCommand},
};
use opalrun_replication::{
    AppendOutcome, Entry, HardState, LogIndex, Member, MemberId, Membership, Message, MessageBody, Payload,
    Snapshot, SnapshotMetadata, Term, Write,
};
use opalrun_storage::{DataDirectory, VersionedContent, VersionedFile};
use opalrun_wire::{
    feed::{ControlNode, StoreNode, StoreState, Worker, WorkerState},
    frame::{decode, encode},
    ids::{Generation, NodeIdentity, Shard},
};
use std::{fs, path::Path, rc::Rc, time::Duration};
use tokio::{task::LocalSet, time::timeout};

/// Name of the golden data directory, written by an earlier build.
const DATA_DIRECTORY: &str = "data_directory";
/// Control address of the process that wrote [`DATA_DIRECTORY`].
const CONTROL_ADDRESS: &str = "127.0.0.1:8144";
const PEER_PORT: u16 = 7380;
/// Term of all entries, votes and snapshots in [`DATA_DIRECTORY`].
const TERM: u64 = 3;
/// Number of entries of each shard that the snapshots in [`DATA_DIRECTORY`] cover; the others are in the journal.
const ENTRIES_IN_SNAPSHOT: usize = 3;
/// Shard whose snapshot was received from another process.
const INSTALLED_SHARD: u16 = 2;
/// Time limit for a started process to become the leader of all groups and apply the stored entries.
const START_LIMIT: Duration = Duration::from_secs(20);

fn node() -> ControlNode {
    ControlNode {
        identity: NodeIdentity(11),
        node_name: "core-1".to_owned(),
        peer_address: "10.0.0.1:7380".to_owned(),
        control_address: "10.0.0.1:8144".to_owned(),
        zone: "zone-1".to_owned(),
    }
}

fn membership() -> Membership {
    let member =
        |identity, is_voter| Member { identity, address: format!("10.0.0.{identity}:7380"), is_voter };
    Membership::new(vec![member(MemberId(1), true), member(MemberId(2), true), member(MemberId(3), false)])
}

fn header() -> SnapshotMetadata {
    SnapshotMetadata {
        last_included_index: LogIndex(40),
        last_included_term: Term(6),
        membership: membership(),
    }
}

fn entries() -> Vec<Rc<Entry>> {
    let payloads =
        [Payload::Empty, Payload::Command(b"a command".to_vec()), Payload::MembershipChange(membership())];
    let numbered = (41..).zip(payloads);
    numbered
        .map(|(index, payload)| Rc::new(Entry { index: LogIndex(index), term: Term(7), payload }))
        .collect()
}

#[test]
fn journal_records_keep_their_encoding() {
    let check = |name: &str, content: Content| {
        golden_file::check(&format!("journal_record/{name}"), &Record { shard: Shard(2), content });
    };
    check("hard_state", Content::HardState(HardState { term: Term(7), voted_for: None }));
    check(
        "hard_state_with_vote",
        Content::HardState(HardState { term: Term(7), voted_for: Some(MemberId(11)) }),
    );
    let names = ["entry_empty", "entry_command", "entry_members"];
    for (name, entry) in names.into_iter().zip(entries()) {
        check(name, Content::Entry(entry));
    }
    check("installing", Content::Installing(LogIndex(40)));
}

#[test]
fn the_content_of_a_snapshot_file_keeps_its_encoding() {
    golden_file::check("snapshot/file_content", &Snapshot { metadata: header(), state: b"state".to_vec() });
}

#[test]
fn the_content_of_the_identity_file_keeps_its_encoding() {
    golden_file::check(
        "identity/first_member",
        &Identity { identity: NodeIdentity(11), genesis: membership() },
    );
    golden_file::check(
        "identity/later_member",
        &Identity { identity: NodeIdentity(12), genesis: Membership::default() },
    );
}

#[test]
fn frames_between_control_processes_keep_their_encoding() {
    golden_file::check("peer_frame/hello", &PeerFrame::Handshake(node()));
    golden_file::check("peer_frame/join", &PeerFrame::Join(node()));
    golden_file::check(
        "peer_frame/call",
        &PeerFrame::Call { to: NodeIdentity(11), number: 5, bytes: b"call".to_vec() },
    );
    golden_file::check(
        "peer_frame/answer",
        &PeerFrame::Answer { number: 5, bytes: Some(b"answer".to_vec()) },
    );
    golden_file::check("peer_frame/answer_of_another", &PeerFrame::Answer { number: 5, bytes: None });
    golden_file::check("peer_frame/replication_of_none", &PeerFrame::Replication(Vec::new()));
}

#[test]
fn replication_messages_between_control_processes_keep_their_encoding() {
    let check = |name: &str, body: MessageBody| {
        let message = |shard| GroupMessage {
            shard,
            message: Message { from: MemberId(11), to: MemberId(12), term: Term(7), body: body.clone() },
        };
        let frame = PeerFrame::Replication(vec![message(Shard(0)), message(Shard(3))]);
        golden_file::check(&format!("peer_frame/replication_{name}"), &frame);
    };
    check("pre_vote", MessageBody::RequestPreVote { last_log_index: LogIndex(40), last_log_term: Term(6) });
    check("pre_vote_answer", MessageBody::RequestPreVoteResponse { is_granted: true });
    check(
        "vote",
        MessageBody::RequestVote {
            last_log_index: LogIndex(40),
            last_log_term: Term(6),
            is_leadership_transfer: false,
        },
    );
    check(
        "vote_after_transfer",
        MessageBody::RequestVote {
            last_log_index: LogIndex(40),
            last_log_term: Term(6),
            is_leadership_transfer: true,
        },
    );
    check("vote_answer", MessageBody::RequestVoteResponse { is_granted: true });
    let append = |entries| MessageBody::AppendEntries {
        previous_log_index: LogIndex(40),
        previous_log_term: Term(6),
        entries,
        leader_commit: LogIndex(39),
        round: 9,
        acknowledged_round: 8,
    };
    check("append", append(entries()));
    check("append_heartbeat", append(Vec::new()));
    let accepted = AppendOutcome::Accepted { match_index: LogIndex(43) };
    check("append_answer_accepted", MessageBody::AppendEntriesResponse { round: 9, outcome: accepted });
    let rejected = AppendOutcome::Rejected { previous_log_index: LogIndex(40), hint_index: LogIndex(30) };
    check("append_answer_rejected", MessageBody::AppendEntriesResponse { round: 9, outcome: rejected });
    let chunk = MessageBody::InstallSnapshot {
        metadata: header(),
        total_bytes: 1000,
        digest: [5; 32],
        offset: 400,
        data: b"a chunk".to_vec(),
        round: 9,
        acknowledged_round: 8,
    };
    check("snapshot_chunk", chunk);
    check(
        "snapshot_answer",
        MessageBody::InstallSnapshotResponse {
            last_included_index: LogIndex(40),
            received_bytes: 407,
            round: 9,
        },
    );
    check("timeout_now", MessageBody::TimeoutNow);
}

fn put_configuration(generation: u64) -> ConfigurationCommand {
    let body = format!("{{\"generation\":{generation}}}").into_bytes();
    let if_match = generation - 1;
    ConfigurationCommand::PutConfiguration {
        if_match: Generation(if_match),
        generation: Generation(generation),
        body,
        sha256: [generation as u8; 32],
    }
}

fn store_join(identity: u64) -> ConfigurationCommand {
    let node = StoreNode {
        identity: NodeIdentity(identity),
        node_name: format!("state-{identity}"),
        address: format!("10.9.0.{identity}:7380"),
        zone: format!("zone-{identity}"),
        state: StoreState::Active,
    };
    ConfigurationCommand::Store(StoreCommand::Join { node })
}

fn put_worker(id: &str, sequence: u64) -> SessionCommand {
    SessionCommand::Put(Worker {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: "10.0.1.1:8080".to_owned(),
        zone: "zone-1".to_owned(),
        generation: "v1".to_owned(),
        capacity: 4,
        state: WorkerState::Ready,
        warmup_remaining_ms: 0,
        sequence,
    })
}

/// Returns the encoded commands of a shard in [`DATA_DIRECTORY`], in the order of its log.
fn commands(shard: u16) -> Vec<Vec<u8>> {
    if shard == 0 {
        let form = StoreCommand::FormMap { replicas: 3, spread: Spread::over_zones(1, 1) };
        let commands = [
            put_configuration(1),
            ConfigurationCommand::AdmitControl { node: node() },
            store_join(21),
            store_join(22),
            store_join(23),
            ConfigurationCommand::Store(form),
            put_configuration(2),
        ];
        return commands.iter().map(|command| encode(command).to_vec()).collect();
    }
    let commands = [
        put_worker("i-1", 1),
        put_worker("i-2", 1),
        SessionCommand::Remove { id: "i-2".to_owned() },
        put_worker("i-3", 4),
        put_worker("i-4", 5),
        SessionCommand::Expire { workers: vec![ExpiredSession { id: "i-4".to_owned(), sequence: 5 }] },
    ];
    commands.iter().map(|command| encode(command).to_vec()).collect()
}

fn log(shard: u16) -> Vec<Rc<Entry>> {
    let numbered = (1..).zip(commands(shard));
    let entry = |(index, command)| {
        Rc::new(Entry { index: LogIndex(index), term: Term(TERM), payload: Payload::Command(command) })
    };
    numbered.map(entry).collect()
}

/// Returns shards in which the first `count` commands of one shard are applied.
fn state_after(shard: u16, count: usize) -> Shards {
    let shards = Shards::new();
    for entry in log(shard).iter().take(count) {
        if let Payload::Command(command) = &entry.payload {
            shards.apply(Shard(shard), entry.index, command);
        }
    }
    shards
}

fn snapshot_of(shard: u16, genesis: &Membership) -> Snapshot {
    let header = SnapshotMetadata {
        last_included_index: LogIndex(ENTRIES_IN_SNAPSHOT as u64),
        last_included_term: Term(TERM),
        membership: genesis.clone(),
    };
    Snapshot { metadata: header, state: state_after(shard, ENTRIES_IN_SNAPSHOT).snapshot(Shard(shard)) }
}

fn options(data_directory: &Path, peer_address: String) -> HostOptions {
    HostOptions {
        node: ControlNode {
            identity: NodeIdentity(0),
            peer_address,
            control_address: CONTROL_ADDRESS.to_owned(),
            ..node()
        },
        bootstrap: true,
        seeds: vec![CONTROL_ADDRESS.to_owned()],
        peer_port: PEER_PORT,
        hosts_lost: 0,
        data_directory: data_directory.to_owned(),
    }
}

/// Writes the data directory of a process that has taken a checkpoint of all shards but one, has received the
/// snapshot of that one from another process, and has appended entries since.
fn write_data_directory(path: &Path) {
    let directory = DataDirectory::open(path).expect("the data directory can be opened");
    let options = options(path, format!("127.0.0.1:{PEER_PORT}"));
    let identity = Identity::load_or_create(&directory, &options).expect("the identity can be stored");
    let (mut journal, _) =
        Journal::open(&directory, usize::from(SHARDS), &identity.genesis).expect("the journal can be opened");
    let hard_state = HardState { term: Term(TERM), voted_for: Some(member_id(identity.identity)) };
    let mut records = Vec::new();
    let mut snapshots = Vec::new();
    for shard in (0..SHARDS).filter(|shard| *shard != INSTALLED_SHARD) {
        snapshots.push((Shard(shard), encode(&snapshot_of(shard, &identity.genesis)).to_vec()));
        records.extend(records_of(Shard(shard), Some(hard_state), &log(shard)[ENTRIES_IN_SNAPSHOT..]));
    }
    let installed = Write {
        sequence: 1,
        hard_state: Some(hard_state),
        snapshot: Some(Rc::new(snapshot_of(INSTALLED_SHARD, &identity.genesis))),
        entries: log(INSTALLED_SHARD)[ENTRIES_IN_SNAPSHOT..].to_vec(),
    };
    let steps = [vec![Step::Checkpoint { snapshots, records }], steps_of(Shard(INSTALLED_SHARD), &installed)];
    journal.carry_out(&steps.concat()).expect("the steps can be carried out");
}

/// Copies the golden data directory, so that a test may open it for writing.
fn copy_of_data_directory() -> tempfile::TempDir {
    let golden = golden_file::path(DATA_DIRECTORY);
    if !golden.exists() {
        assert!(golden_file::may_write(), "{} is missing", golden.display());
        write_data_directory(&golden);
    }
    let copy = tempfile::tempdir().expect("a temporary folder can be created");
    for file in fs::read_dir(golden).expect("the golden folder can be read") {
        let file = file.expect("the folder can be listed");
        fs::copy(file.path(), copy.path().join(file.file_name())).expect("the file can be copied");
    }
    copy
}

#[test]
fn the_snapshots_and_logs_of_an_earlier_build_are_read() {
    let folder = copy_of_data_directory();
    let directory = DataDirectory::open(folder.path()).expect("the data directory can be opened");
    let found =
        stored_state::read(&directory, SHARDS).expect("the state can be read").expect("the state exists");
    let genesis =
        Identity::load(&directory).expect("the identity can be read").expect("the identity exists").genesis;
    assert_eq!(found.first_members, 1);
    assert_eq!(member_id(found.identity), genesis.members[0].identity);
    for (shard, restored) in (0..).zip(found.shards) {
        let expected = snapshot_of(shard, &genesis);
        assert_eq!(
            restored.log.hard_state,
            HardState { term: Term(TERM), voted_for: Some(member_id(found.identity)) }
        );
        assert_eq!(restored.log.base, expected.metadata, "shard {shard}");
        assert_eq!(restored.snapshot, Some(expected.state), "shard {shard}");
        let entries: Vec<Rc<Entry>> = restored.log.entries.into_iter().map(Rc::new).collect();
        assert_eq!(entries, log(shard)[ENTRIES_IN_SNAPSHOT..], "shard {shard}");
    }
}

#[test]
fn a_data_directory_is_written_with_the_same_bytes_as_by_an_earlier_build() {
    let golden = copy_of_data_directory();
    let written = tempfile::tempdir().expect("a temporary folder can be created");
    write_data_directory(written.path());
    let contents = |path: &Path| {
        let files = fs::read_dir(path).expect("the folder can be read");
        let mut files: Vec<_> = files
            .map(|file| file.expect("the folder can be listed"))
            .map(|file| (file.file_name(), fs::read(file.path()).expect("the file can be read")))
            .collect();
        files.sort();
        files
    };
    assert_eq!(contents(written.path()), contents(golden.path()));
}

#[test]
fn a_snapshot_file_of_an_earlier_build_is_read_and_written_in_the_same_format() {
    const FORMAT: u32 = 2;
    let folder = copy_of_data_directory();
    let directory = DataDirectory::open(folder.path()).expect("the data directory can be opened");
    let file = VersionedFile::new(&directory, "shard-0.snapshot", FORMAT);
    let VersionedContent { format, content } =
        file.read().expect("the file can be read").expect("the file exists");
    let genesis =
        Identity::load(&directory).expect("the identity can be read").expect("the identity exists").genesis;
    assert_eq!(format, FORMAT);
    assert_eq!(decode::<Snapshot>(&content), Ok(snapshot_of(0, &genesis)));
}

#[test]
fn a_process_started_on_a_data_directory_of_an_earlier_build_has_the_same_state() {
    let folder = copy_of_data_directory();
    let own_process = std::process::id().to_le_bytes();
    let peer_address = format!("127.17.{}.{}:{PEER_PORT}", own_process[0], own_process[1].max(1));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime can be built");
    let test = async {
        let shards = Shards::new();
        let machine = |shard| Box::new(ShardMachine::new(shards.clone(), shard)) as Box<dyn StateMachine>;
        let machines = all_shards().map(machine).collect();
        let host =
            Host::start(options(folder.path(), peer_address), machines).await.expect("the host starts");
        for shard in 0..SHARDS {
            let last = log(shard).len() as u64;
            timeout(START_LIMIT, shards.wait_for(Shard(shard), LogIndex(last)))
                .await
                .expect("the log is applied in time");
        }
        for shard in 0..SHARDS {
            let expected = state_after(shard, usize::MAX);
            assert_eq!(shards.snapshot(Shard(shard)), expected.snapshot(Shard(shard)), "shard {shard}");
            assert!(host.term(Shard(shard)) > Term(TERM), "shard {shard}");
        }
    };
    runtime.block_on(LocalSet::new().run_until(test));
}
