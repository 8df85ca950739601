//! Model test of stores, gatekeepers and control as state machines, driven through random orders of events: delays, lost
//! messages, restarts that lose unsynced records, lost disks, retired stores, store maps that arrive late, compaction and
//! time that passes.
//!
//! Invariants: the units leased by all gatekeepers never sum to more than the budget, and a turn whose write or extension
//! was acknowledged is not reported as absent before its retention has ended.

mod holder;
mod node;
mod world;

use world::World;

const STEPS: usize = 2000;
const RUNS: u64 = 700;

/// Source of choices: a seeded random generator or the input of a fuzzer.
pub trait Choices {
    /// Returns a number below `bound`.
    fn below(&mut self, bound: usize) -> usize;
    /// Returns true with a probability of 1 in `odds`.
    fn once_in(&mut self, odds: usize) -> bool {
        self.below(odds) == 0
    }
}

impl Choices for fastrand::Rng {
    fn below(&mut self, bound: usize) -> usize {
        self.usize(..bound)
    }
}

/// Input bytes of a fuzzer, followed by zeros.
struct Bytes<'a>(std::slice::Iter<'a, u8>);

impl Choices for Bytes<'_> {
    fn below(&mut self, bound: usize) -> usize {
        usize::from(*self.0.next().unwrap_or(&0)) % bound
    }
}

#[test]
fn grants_stay_within_the_budget_and_acknowledged_turns_are_kept() {
    let mut grants = 0;
    let mut replicas_completed = 0;
    for seed in 0..RUNS {
        let mut world = World::new(fastrand::Rng::with_seed(seed));
        for _ in 0..STEPS {
            world.step();
        }
        world.check(seed);
        grants += world.grants;
        replicas_completed += world.replicas_completed;
    }
    assert!(grants > RUNS, "too few grants in all runs: {grants}");
    assert!(replicas_completed > RUNS / 2, "too few completed transfers in all runs: {replicas_completed}");
}

#[test]
fn the_invariants_hold_in_any_order_of_events() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let mut world = World::new(Bytes(bytes.iter()));
        for _ in 0..bytes.len() {
            world.step();
        }
        world.check(0);
    });
}
