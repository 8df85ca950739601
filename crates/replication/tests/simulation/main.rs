//! Groups of replicas on a simulated network with simulated disks, through random orders of events.

mod world;

use world::{Faults, World};

const QUIET: Faults = Faults {
    drop_percent: 0,
    duplicate_percent: 0,
    slow_percent: 0,
    trouble_percent: 0,
    slowest_sync: 8,
    wipes: false,
};
const ROUGH: Faults =
    Faults { drop_percent: 5, duplicate_percent: 5, slow_percent: 5, trouble_percent: 2, ..QUIET };
const WIPES: Faults = Faults { wipes: true, ..ROUGH };
/// Much is on its way to the disks when power is lost.
const STORM: Faults = Faults { trouble_percent: 10, slowest_sync: 90, ..QUIET };

#[test]
fn quiet_group_elects_once_and_commits() {
    let mut world = World::new(1, 3, 1, QUIET);
    world.run(5_000);
    assert!(world.acknowledged() > 50, "{} acknowledged", world.acknowledged());
    assert_eq!(world.terms_with_leader(), 1);
    world.settle();
}

#[test]
fn single_member_commits_alone() {
    let mut world = World::new(2, 1, 1, QUIET);
    world.run(3_000);
    assert!(world.acknowledged() > 50, "{} acknowledged", world.acknowledged());
    world.settle();
}

#[test]
fn three_members_through_cuts_kills_and_lost_messages() {
    for seed in 0..250 {
        let mut world = World::new(seed, 3, 1, ROUGH);
        world.run(6_000);
        world.settle();
    }
}

#[test]
fn five_members_that_may_lose_two() {
    for seed in 0..120 {
        let mut world = World::new(seed, 5, 2, ROUGH);
        world.run(6_000);
        world.settle();
    }
}

#[test]
fn members_that_lose_power_with_writes_under_way() {
    for seed in 0..400 {
        let mut world = World::new(seed, 3, 1, STORM);
        world.run(10_000);
        world.settle();
    }
}

#[test]
fn wiped_members_come_back_as_strangers() {
    for seed in 0..200 {
        let mut world = World::new(seed, 3, 1, WIPES);
        world.run(12_000);
        world.settle();
    }
}

#[test]
fn five_members_of_which_some_are_wiped() {
    for seed in 0..60 {
        let mut world = World::new(seed, 5, 2, WIPES);
        world.run(12_000);
        world.settle();
    }
}

#[test]
fn leadership_is_handed_over_without_a_pause() {
    for seed in 0..50 {
        let mut world = World::new(seed, 3, 1, QUIET);
        world.run(2_000);
        let old = world.leader().expect("a quiet group has a leader");
        world.transfer_from(old);
        world.run(150);
        let new = world.leader().expect("the successor leads at once");
        assert_ne!(old, new, "seed {seed}");
        world.settle();
    }
}

#[test]
fn a_member_that_was_taken_out_does_not_disturb_and_can_come_back() {
    for seed in 0..50 {
        let mut world = World::new(seed, 4, 1, QUIET);
        world.run(2_000);
        let excluded = seed as usize % 4;
        world.exclude(Some(excluded));
        world.run(3_000);
        assert_eq!(world.voters().len(), 3, "seed {seed}");
        let terms = world.terms_with_leader();
        world.run(5_000);
        assert_eq!(world.terms_with_leader(), terms, "seed {seed}: the group was disturbed");
        world.exclude(None);
        world.settle();
        assert_eq!(world.voters().len(), 4, "seed {seed}");
    }
}

#[test]
fn a_group_does_not_shrink_below_what_it_needs() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 1, QUIET);
        world.run(2_000);
        world.exclude(Some(seed as usize % 3));
        world.run(3_000);
        assert_eq!(world.voters().len(), 3, "seed {seed}");
    }
}
