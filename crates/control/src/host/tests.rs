//! Tests with complete hosts that communicate over loopback, each at an address of its own.

use super::{
    Host, HostError, HostOptions, ProposeError, StateMachine, members::member_id, peer_frame::PeerFrame,
};
use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::ControlNode,
    frame::FrameError,
    ids::{NodeIdentity, Shard},
};
use std::{
    cell::RefCell,
    future::{Future, poll_fn},
    path::PathBuf,
    pin::pin,
    rc::Rc,
    task::Poll,
    time::Duration,
};
use tempfile::TempDir;
use tokio::{sync::watch, task::LocalSet, time::timeout};

const PEER_PORT: u16 = 7380;
const LIMIT: Duration = Duration::from_secs(20);
const SHARDS: u16 = 4;

/// State machine that stores all commands, and replies with the number of commands so far.
#[derive(Default)]
struct Commands(Rc<RefCell<Vec<Vec<u8>>>>);

impl StateMachine for Commands {
    fn apply(&mut self, _index: LogIndex, command: &[u8]) -> Vec<u8> {
        self.0.borrow_mut().push(command.to_vec());
        self.0.borrow().len().to_string().into_bytes()
    }

    /// The commands, each after its length. Built from copies of whole slices: a snapshot of some megabytes that is
    /// encoded byte by byte without optimisation would suspend all hosts of a test for longer than the operation time-out.
    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for command in self.0.borrow().iter() {
            bytes.extend_from_slice(&(command.len() as u64).to_le_bytes());
            bytes.extend_from_slice(command);
        }
        bytes
    }

    fn restore(&mut self, mut bytes: &[u8]) -> Result<(), FrameError> {
        let mut commands = Vec::new();
        while let Some((length, rest)) = bytes.split_first_chunk() {
            let length = usize::try_from(u64::from_le_bytes(*length)).unwrap();
            let (command, rest) = rest.split_at_checked(length).ok_or(FrameError::Unreadable)?;
            commands.push(command.to_vec());
            bytes = rest;
        }
        *self.0.borrow_mut() = commands;
        if bytes.is_empty() { Ok(()) } else { Err(FrameError::Unreadable) }
    }
}

/// The machines of one test, each with an address and a data directory of its own.
struct Tier {
    test: u8,
    members: u8,
    folder: TempDir,
}

struct Running {
    host: Rc<Host>,
    states: Vec<Rc<RefCell<Vec<Vec<u8>>>>>,
}

impl Running {
    fn commands(&self, shard: u16) -> Vec<Vec<u8>> {
        self.states[usize::from(shard)].borrow().clone()
    }
}

impl Tier {
    fn new(test: u8, members: u8) -> Self {
        Self { test, members, folder: tempfile::tempdir().unwrap() }
    }

    fn address(&self, machine: u8, port: u16) -> String {
        let process = std::process::id().to_le_bytes();
        format!("127.{}.{}.{}:{port}", self.test, process[0], machine + 1)
    }

    fn disk(&self, machine: u8) -> PathBuf {
        self.folder.path().join(machine.to_string())
    }

    fn wipe_disk(&self, machine: u8) {
        std::fs::remove_dir_all(self.disk(machine)).unwrap();
    }

    async fn start(&self, machine: u8, bootstrap: bool) -> Running {
        const CONTROL_PORT: u16 = 8144;
        let node = ControlNode {
            identity: NodeIdentity(0),
            node_name: format!("core-{machine}"),
            peer_address: self.address(machine, PEER_PORT),
            control_address: self.address(machine, CONTROL_PORT),
            zone: "zone".to_owned(),
        };
        let options = HostOptions {
            node,
            bootstrap,
            seeds: (0..self.members).map(|seed| self.address(seed, CONTROL_PORT)).collect(),
            peer_port: PEER_PORT,
            hosts_lost: 1,
            data_directory: self.disk(machine),
        };
        let mut attempts = 0;
        loop {
            let machines: Vec<Commands> = (0..SHARDS).map(|_| Commands::default()).collect();
            let states = machines.iter().map(|machine| machine.0.clone()).collect();
            let machines = machines.into_iter().map(|machine| Box::new(machine) as Box<dyn StateMachine>);
            match Host::start(options.clone(), machines.collect()).await {
                Ok(host) => return Running { host, states },
                // The tasks of a dropped host, and with them its listener, end only when they are polled again.
                Err(HostError::Net { .. }) if attempts < 100 => tokio::task::yield_now().await,
                Err(error) => panic!("{error}"),
            }
            attempts += 1;
        }
    }

    async fn start_all(&self) -> Vec<Running> {
        let mut running = Vec::new();
        for machine in 0..self.members {
            running.push(self.start(machine, true).await);
        }
        running
    }
}

/// Waits until a condition is true, and evaluates it whenever a host notifies of a change. Panics after [`LIMIT`].
async fn eventually(running: &[Running], description: &str, condition: impl Fn() -> bool) {
    let mut changes: Vec<watch::Receiver<u64>> =
        running.iter().map(|one| one.host.applied_changed()).collect();
    let wait = async {
        while !condition() {
            let mut waits: Vec<_> = changes.iter_mut().map(|change| Box::pin(change.changed())).collect();
            poll_fn(|context| {
                let is_changed = waits.iter_mut().any(|wait| wait.as_mut().poll(context).is_ready());
                if is_changed { Poll::Ready(()) } else { Poll::Pending }
            })
            .await;
        }
    };
    assert!(timeout(LIMIT, wait).await.is_ok(), "condition not met within {LIMIT:?}: {description}");
}

/// Returns the index of the host that owns a shard and is in contact with its quorum.
fn owner(running: &[Running], shard: u16) -> Option<usize> {
    running.iter().position(|one| one.host.is_owner(Shard(shard)) && one.host.is_fresh(Shard(shard)))
}

/// Proposes a command to the current owner of a shard until it is committed, and returns the reply.
async fn propose(running: &[Running], shard: u16, command: &[u8]) -> Vec<u8> {
    for _ in 0..100 {
        eventually(running, "the shard has an owner", || owner(running, shard).is_some()).await;
        let owner = owner(running, shard).unwrap();
        match running[owner].host.propose(Shard(shard), command.to_vec()).await {
            Ok(committed) => return committed.reply,
            Err(ProposeError::TimedOut) => panic!("a healthy group did not commit in time"),
            Err(_) => {}
        }
    }
    panic!("not committed after 100 attempts: the owner of the shard kept changing");
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async { pin!(test).await }));
}

#[test]
fn members_form_groups_and_commit_commands() {
    run(async {
        let tier = Tier::new(10, 3);
        let running = tier.start_all().await;
        for shard in 0..SHARDS {
            assert_eq!(propose(&running, shard, b"first").await, b"1");
            assert_eq!(propose(&running, shard, b"second").await, b"2");
            let expected = vec![b"first".to_vec(), b"second".to_vec()];
            eventually(&running, "all applied", || running.iter().all(|one| one.commands(shard) == expected))
                .await;
        }
        let leader = owner(&running, 0).unwrap();
        running[leader].host.read_index(Shard(0)).await.unwrap();
        let follower = &running[(leader + 1) % 3].host;
        let identity = running[leader].host.identity();
        assert_eq!(follower.read_index(Shard(0)).await, Err(ProposeError::NotOwner(Some(identity))));
        assert_eq!(
            follower.propose(Shard(0), Vec::new()).await.unwrap_err(),
            ProposeError::NotOwner(Some(identity))
        );
        running[leader]
            .host
            .set_call_handler(|bytes| Box::pin(async move { [bytes, b"!".to_vec()].concat() }));
        assert_eq!(follower.call(identity, b"hello".to_vec(), LIMIT).await.unwrap(), b"hello!");
        assert!(follower.call(NodeIdentity(12345), Vec::new(), LIMIT).await.is_err());
    });
}

#[test]
fn a_group_survives_the_failure_of_its_owner_which_catches_up_after_its_restart() {
    run(async {
        let tier = Tier::new(11, 3);
        let mut running = tier.start_all().await;
        propose(&running, 0, b"before").await;
        let old = owner(&running, 0).unwrap();
        let identity = running[old].host.identity();
        drop(running.remove(old));
        propose(&running, 0, b"while away").await;
        let back = tier.start(old as u8, false).await;
        assert_eq!(back.host.identity(), identity);
        running.push(back);
        propose(&running, 0, b"after").await;
        let expected = vec![b"before".to_vec(), b"while away".to_vec(), b"after".to_vec()];
        eventually(&running, "all applied", || running.iter().all(|one| one.commands(0) == expected)).await;
    });
}

#[test]
fn all_members_recover_their_state_from_disk_after_a_restart() {
    run(async {
        let tier = Tier::new(12, 3);
        let running = tier.start_all().await;
        propose(&running, 2, b"kept").await;
        drop(running);
        let mut running = Vec::new();
        for machine in 0..3 {
            running.push(tier.start(machine, false).await);
        }
        assert_eq!(propose(&running, 2, b"next").await, b"2");
        let expected = vec![b"kept".to_vec(), b"next".to_vec()];
        eventually(&running, "all applied", || running.iter().all(|one| one.commands(2) == expected)).await;
    });
}

#[test]
fn a_member_that_lost_its_disk_joins_with_another_identity() {
    run(async {
        let tier = Tier::new(13, 3);
        let mut running = tier.start_all().await;
        for shard in 0..SHARDS {
            propose(&running, shard, b"before").await;
        }
        let lost = running.remove(1);
        let old_identity = lost.host.identity();
        let survivors: Vec<ControlNode> = running.iter().map(|one| one.host.node.clone()).collect();
        drop(lost);
        tier.wipe_disk(1);
        for one in &running {
            let hosts: Vec<_> = running.iter().map(|other| Rc::downgrade(&other.host)).collect();
            let survivors = survivors.clone();
            one.host.set_join_handler(move |node| {
                for host in hosts.iter().filter_map(std::rc::Weak::upgrade) {
                    host.set_desired_members([survivors.clone(), vec![node.clone()]].concat());
                }
            });
        }
        let back = tier.start(1, false).await;
        let new_identity = back.host.identity();
        assert_ne!(new_identity, old_identity);
        running.push(back);
        let is_replaced = || {
            (0..SHARDS).all(|shard| {
                let owner = owner(&running, shard);
                owner.is_some_and(|owner| {
                    running[owner].host.with_group(Shard(shard), |group| {
                        let members = group.replica.membership();
                        members.is_voter(member_id(new_identity))
                            && members.get(member_id(old_identity)).is_none()
                            && group.replica.commit_index() == group.replica.last_index()
                    })
                })
            })
        };
        eventually(&running, "the new identity has replaced the old one in all groups", is_replaced).await;
        propose(&running, 3, b"after").await;
        let expected = vec![b"before".to_vec(), b"after".to_vec()];
        eventually(&running, "the new member has the state", || running[2].commands(3) == expected).await;
    });
}

#[test]
fn leadership_is_transferred() {
    run(async {
        let tier = Tier::new(14, 3);
        let running = tier.start_all().await;
        for shard in 0..SHARDS {
            propose(&running, shard, b"before").await;
        }
        let old = owner(&running, 0).unwrap();
        running[old].host.transfer_leadership().await;
        assert!((0..SHARDS).all(|shard| !running[old].host.is_owner(Shard(shard))));
        eventually(&running, "the owner changes", || owner(&running, 0).is_some_and(|new| new != old)).await;
        propose(&running, 0, b"after").await;
    });
}

#[test]
fn a_member_far_behind_catches_up_from_a_snapshot() {
    run(async {
        let tier = Tier::new(15, 3);
        let mut running = tier.start_all().await;
        propose(&running, 0, b"first").await;
        let lost = (owner(&running, 0).unwrap() + 1) % 3;
        drop(running.remove(lost));
        let large = vec![7; 1 << 20];
        for _ in 0..12 {
            propose(&running, 0, &large).await;
        }
        for _ in 0..600 {
            propose(&running, 0, b"small").await;
        }
        let is_compacted = || {
            owner(&running, 0).is_some_and(|owner| {
                running[owner].host.with_group(Shard(0), |group| group.snapshot_index > LogIndex(0))
            })
        };
        eventually(&running, "the owner has taken a checkpoint", is_compacted).await;
        running.push(tier.start(lost as u8, false).await);
        propose(&running, 0, b"last").await;
        eventually(&running, "the member has caught up", || running[2].commands(0).len() == 614).await;
        drop(running);
        // All members read the complete state from their disks.
        let mut running = Vec::new();
        for machine in 0..3 {
            running.push(tier.start(machine, false).await);
        }
        assert_eq!(propose(&running, 0, b"more").await, b"615");
    });
}

/// A process may take over the address of another one. A call addressed to the old identity gets an empty answer.
#[test]
fn a_call_addressed_to_another_identity_is_not_carried_out() {
    run(async {
        let tier = Tier::new(16, 1);
        let running = tier.start_all().await;
        running[0].host.set_call_handler(|bytes| Box::pin(async move { bytes }));
        let identity = running[0].host.identity();
        let address = running[0].host.node.peer_address.parse().expect("the peer address is valid");
        let connection = opalrun_net::connect(address, LIMIT).await.expect("the host accepts connections");
        let (mut reader, writer) = connection.split();
        for (number, to, expected) in [(7, NodeIdentity(identity.0 + 1), None), (8, identity, Some(vec![5]))]
        {
            writer.send(&PeerFrame::Call { to, number, bytes: vec![5] }).expect("the call is sent");
            let answer = loop {
                let frame =
                    reader.next().await.expect("the frame is valid").expect("the connection stays open");
                if let PeerFrame::Answer { number, bytes } = frame {
                    break (number, bytes);
                }
            };
            assert_eq!(answer, (number, expected));
        }
    });
}
