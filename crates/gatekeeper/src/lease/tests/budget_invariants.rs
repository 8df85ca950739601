//! Property tests: for random sequences of events at several gatekeepers, the budget is never exceeded and no unit is
//! lost.

use super::simulation::{Network, Simulation};
use std::time::Duration;

const RELIABLE_NETWORK: Network = Network { max_latency: Duration::from_millis(8), lost_per_256: 0 };
const SLOW_LOSSY_NETWORK: Network = Network { max_latency: Duration::from_millis(300), lost_per_256: 60 };
/// Long enough for every pending turn to be decided and all idle units to be returned.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const UNITS_PER_EVENT: u64 = 3;

/// One step of a script: its kind, and a parameter such as the turn or the duration.
type Step = (u8, u8);

fn run_script(simulation: &mut Simulation, steps: &[Step], with_kills: bool) {
    for (kind, number) in steps {
        let choice = usize::from(*number);
        match kind % 12 {
            0..=2 => {
                simulation.begin(choice, 20 + u64::from(number % 6) * 25);
            }
            3..=6 => {
                if let Some(turn) = simulation.running(choice) {
                    simulation.event(turn, UNITS_PER_EVENT * (1 + u64::from(*kind) / 12));
                }
            }
            7 | 8 => {
                if let Some(turn) = simulation.running(choice) {
                    simulation.end(turn);
                }
            }
            9 => simulation.advance(Duration::from_millis(u64::from(*number) * 3)),
            10 => simulation.advance(Duration::from_millis(u64::from(number % 16))),
            _ if with_kills => simulation.kill(choice),
            _ => {}
        }
        assert!(simulation.max_relayed() <= simulation.budget, "turns may relay more than the budget");
    }
}

fn end_all(simulation: &mut Simulation) {
    simulation.advance(SETTLE_TIME);
    while let Some(turn) = simulation.running(0) {
        simulation.end(turn);
    }
    simulation.advance(SETTLE_TIME);
    assert!(simulation.turns.iter().all(|turn| turn.decision.is_some()), "a turn was never decided");
}

#[test]
fn budget_is_never_exceeded_despite_lost_or_late_messages_and_kills() {
    bolero::check!().with_type::<(u64, Vec<Step>)>().for_each(|(seed, steps)| {
        for network in [RELIABLE_NETWORK, SLOW_LOSSY_NETWORK] {
            let mut simulation = Simulation::new(3, 700, network, *seed);
            run_script(&mut simulation, steps, true);
            end_all(&mut simulation);
            assert!(
                simulation.relayed() <= simulation.counted(),
                "more units were relayed than the stores have counted"
            );
        }
    });
}

#[test]
fn no_unit_is_lost_and_no_turn_within_the_budget_is_refused() {
    bolero::check!().with_type::<(u64, Vec<Step>)>().for_each(|(seed, steps)| {
        let mut simulation = Simulation::new(3, 700, RELIABLE_NETWORK, *seed);
        run_script(&mut simulation, steps, false);
        end_all(&mut simulation);
        assert_eq!(
            simulation.relayed(),
            simulation.counted(),
            "units are still counted that no turn relayed"
        );
        assert_eq!(simulation.false_refusals, 0, "a turn within the budget was refused");
        let left = simulation.budget - simulation.relayed();
        let beyond = simulation.begin(0, left + 1);
        simulation.advance(SETTLE_TIME);
        assert!(simulation.turns[beyond].decision.expect("decided").is_err());
        if left > 0 {
            let last = simulation.begin(1, left);
            simulation.advance(SETTLE_TIME);
            assert_eq!(
                simulation.turns[last].decision,
                Some(Ok(())),
                "the remaining units could not be leased"
            );
        }
    });
}
