//! Simulation of the control tier: the production replicas, state machines and failure detectors run on a simulated network
//! with simulated disks. Simulated operators, workers and gatekeepers check the responses that they receive.
//!
//! A run is determined by its seed and is single-threaded, so a failure can be reproduced with the seed.
//! `CONTROL_WORLD_SEEDS=from..to` runs other seeds than the default ones.

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
    changes_membership: false,
};
/// Machines are isolated, frozen and killed; most faults last for seconds.
const PARTITIONS: FaultPlan = FaultPlan {
    network: NetworkFaults { drop_percent: 2, duplicate_percent: 2, slow_percent: 2 },
    percent: 4,
    lost_answers_percent: 30,
    changes_membership: false,
};
/// In addition, machines lose their disks, are replaced and shut down. The next loss follows as soon as the tier is required
/// to tolerate it.
const DATA_LOSSES: FaultPlan = FaultPlan { percent: 8, changes_membership: true, ..PARTITIONS };

/// Returns the seeds to run: those set in the environment, or the default ones.
fn seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(named) = std::env::var("CONTROL_WORLD_SEEDS") else { return usual };
    let (from, to) = named.split_once("..").expect("from..to");
    from.parse().expect("the first seed is a number")..to.parse().expect("the end is a number")
}

/// Runs one seed: 4 s without faults, 26 s with faults, then recovery. On failure, the seed and the fault log are printed.
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
fn a_tier_without_faults_serves_its_clients() {
    let mut world = World::new(1, 3, 1, NO_FAULTS);
    world.run_without_faults(5_000);
    world.recover_and_check();
    assert!(world.total_acknowledged() > 30, "{}", world.total_acknowledged());
}

#[test]
fn three_machines_survive_the_isolation_of_one() {
    for seed in seeds(0..40) {
        run_seed(seed, 3, 1, PARTITIONS);
    }
}

#[test]
fn five_machines_survive_the_isolation_of_two() {
    for seed in seeds(0..20) {
        run_seed(seed, 5, 2, PARTITIONS);
    }
}

#[test]
fn three_machines_survive_repeated_losses_as_soon_as_they_must_be_tolerated() {
    let (mut disks, mut replaced) = (0, 0);
    let all = seeds(0..60);
    for seed in all.clone() {
        let world = run_seed(seed, 3, 1, DATA_LOSSES);
        disks += world.disks_lost;
        replaced += world.machines_replaced;
    }
    let runs = all.count();
    assert!(disks + replaced > runs, "{disks} disks lost and {replaced} machines replaced in {runs} runs");
}

#[test]
fn five_machines_survive_repeated_losses_as_soon_as_they_must_be_tolerated() {
    for seed in seeds(0..20) {
        run_seed(seed, 5, 2, DATA_LOSSES);
    }
}
