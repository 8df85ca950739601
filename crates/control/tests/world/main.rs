//! Control as a whole in a simulated world: its replicas, state machines and watches as they ship, on a simulated network
//! with simulated disks, with operators, workers and gatekeepers that check the answers they get against what must hold.
//!
//! Each world is made by a seed and runs on one thread, so a seed that fails fails again. `CONTROL_WORLD_SEEDS=from..to`
//! plays other seeds than the usual ones.

mod callers;
mod node;
mod world;

use opalrun_simulation::NetworkFaults;
use std::ops::Range;
use world::{FaultPlan, World};

const NO_FAULTS: FaultPlan = FaultPlan {
    network: NetworkFaults { drop_percent: 0, duplicate_percent: 0, slow_percent: 0 },
    percent: 0,
    lost_answers_percent: 0,
    members_change: false,
};
/// Machines are cut off, frozen and killed; most of the faults last long.
const PARTITIONS: FaultPlan = FaultPlan {
    network: NetworkFaults { drop_percent: 2, duplicate_percent: 2, slow_percent: 2 },
    percent: 4,
    lost_answers_percent: 30,
    members_change: false,
};
/// Machines lose disks, are replaced and leave, too, again as soon as that must be borne.
const DATA_LOSSES: FaultPlan = FaultPlan { percent: 8, members_change: true, ..PARTITIONS };

/// The seeds to play: those that the environment names, or the usual ones.
fn seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(named) = std::env::var("CONTROL_WORLD_SEEDS") else { return usual };
    let (from, to) = named.split_once("..").expect("from..to");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Plays one day; a panic names the seed.
fn run_seed(seed: u64, machines: usize, hosts_lost: usize, faults: FaultPlan) -> World {
    let mut world = World::new(seed, machines, hosts_lost, faults);
    let named = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        world.run_without_faults(4_000);
        world.run_with_faults(26_000);
        world.recover_and_check();
    }));
    if let Err(failure) = named {
        eprintln!("seed {seed} of {machines} machines failed\n{}", world.fault_log.join("\n"));
        std::panic::resume_unwind(failure);
    }
    world
}

#[test]
fn a_day_without_faults() {
    let mut world = World::new(1, 3, 1, NO_FAULTS);
    world.run_without_faults(5_000);
    world.recover_and_check();
    assert!(world.total_acknowledged() > 30, "{}", world.total_acknowledged());
}

#[test]
fn three_machines_of_which_one_may_be_isolated() {
    for seed in seeds(0..40) {
        run_seed(seed, 3, 1, PARTITIONS);
    }
}

#[test]
fn five_machines_of_which_two_may_be_isolated() {
    for seed in seeds(0..20) {
        run_seed(seed, 5, 2, PARTITIONS);
    }
}

#[test]
fn three_machines_with_second_losses_as_soon_as_they_must_be_borne() {
    let (mut disks, mut replaced) = (0, 0);
    let all = seeds(0..60);
    for seed in all.clone() {
        let world = run_seed(seed, 3, 1, DATA_LOSSES);
        disks += world.disks_lost;
        replaced += world.machines_replaced;
    }
    let days = all.count();
    assert!(disks + replaced > days, "{disks} disks lost and {replaced} machines replaced on {days} days");
}

#[test]
fn five_machines_with_second_losses_as_soon_as_they_must_be_borne() {
    for seed in seeds(0..20) {
        run_seed(seed, 5, 2, DATA_LOSSES);
    }
}
