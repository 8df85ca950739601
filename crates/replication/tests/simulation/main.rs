//! Simulation of groups of replicas on a simulated network with simulated disks, with random faults by seed.

mod world;

use world::{Faults, World};

const QUIET: Faults = Faults {
    drop_percent: 0,
    duplicate_percent: 0,
    slow_percent: 0,
    fault_percent: 0,
    max_sync_ms: 8,
    disk_losses: false,
};
const FAULTY: Faults =
    Faults { drop_percent: 5, duplicate_percent: 5, slow_percent: 5, fault_percent: 2, ..QUIET };
const DISK_LOSSES: Faults = Faults { disk_losses: true, ..FAULTY };
/// Frequent power failures with slow syncs, so that many writes are in flight when power is lost.
const FREQUENT_POWER_FAILURES: Faults = Faults { fault_percent: 10, max_sync_ms: 90, ..QUIET };

#[test]
fn a_group_without_faults_elects_once_and_commits() {
    let mut world = World::new(1, 3, 1, QUIET);
    world.run(5_000);
    assert!(world.acknowledged() > 50, "{} acknowledged", world.acknowledged());
    assert_eq!(world.terms_with_leader(), 1);
    world.heal_and_check();
}

#[test]
fn a_single_member_commits_alone() {
    let mut world = World::new(2, 1, 1, QUIET);
    world.run(3_000);
    assert!(world.acknowledged() > 50, "{} acknowledged", world.acknowledged());
    world.heal_and_check();
}

#[test]
fn three_members_survive_partitions_crashes_and_lost_messages() {
    for seed in 0..250 {
        let mut world = World::new(seed, 3, 1, FAULTY);
        world.run(6_000);
        world.heal_and_check();
    }
}

#[test]
fn five_members_tolerating_two_lost_disks_survive_partitions_crashes_and_lost_messages() {
    for seed in 0..120 {
        let mut world = World::new(seed, 5, 2, FAULTY);
        world.run(6_000);
        world.heal_and_check();
    }
}

#[test]
fn members_survive_power_failures_with_writes_in_flight() {
    for seed in 0..400 {
        let mut world = World::new(seed, 3, 1, FREQUENT_POWER_FAILURES);
        world.run(10_000);
        world.heal_and_check();
    }
}

#[test]
fn members_that_lost_their_disk_return_under_new_identities() {
    for seed in 0..200 {
        let mut world = World::new(seed, 3, 1, DISK_LOSSES);
        world.run(12_000);
        world.heal_and_check();
    }
}

#[test]
fn five_members_survive_disk_losses() {
    for seed in 0..60 {
        let mut world = World::new(seed, 5, 2, DISK_LOSSES);
        world.run(12_000);
        world.heal_and_check();
    }
}

#[test]
fn leadership_is_transferred_without_an_election_timeout() {
    for seed in 0..50 {
        let mut world = World::new(seed, 3, 1, QUIET);
        world.run(2_000);
        let old = world.leader().expect("a group without faults has a leader");
        world.transfer_from(old);
        world.run(150);
        let new = world.leader().expect("the transfer target becomes the leader within 150 ms");
        assert_ne!(old, new, "seed {seed}");
        world.heal_and_check();
    }
}

#[test]
fn a_removed_member_causes_no_election_and_can_be_added_again() {
    for seed in 0..50 {
        let mut world = World::new(seed, 4, 1, QUIET);
        world.run(2_000);
        let excluded = seed as usize % 4;
        world.exclude(Some(excluded));
        world.run(3_000);
        assert_eq!(world.voters().len(), 3, "seed {seed}");
        let terms = world.terms_with_leader();
        world.run(5_000);
        assert_eq!(world.terms_with_leader(), terms, "seed {seed}: the removed member caused an election");
        world.exclude(None);
        world.heal_and_check();
        assert_eq!(world.voters().len(), 4, "seed {seed}");
    }
}

#[test]
fn a_group_does_not_shrink_below_its_minimum_size() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 1, QUIET);
        world.run(2_000);
        world.exclude(Some(seed as usize % 3));
        world.run(3_000);
        assert_eq!(world.voters().len(), 3, "seed {seed}");
    }
}
