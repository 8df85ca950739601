//! Nothing goes wrong: all roles start, a configuration is taken, programs are served and stopped.

use crate::support::with_deployment;
use fleetlab::tier::{
    deployment::Deployment,
    program::{Program, ProgramOutcome},
};

/// Plays a program in a zone, which must end so.
async fn plays(deployment: &mut Deployment, program: &Program, ended: ProgramOutcome) -> usize {
    let outcome = program.run(&deployment.client("zone-1")).await;
    assert_eq!(outcome.outcome, ended, "{outcome:?}\n{}", deployment.tier.log_tails());
    outcome.turns
}

#[test]
fn programs_with_tools_and_sub_agents_are_served() {
    with_deployment(async |mut deployment| {
        for route in ["dispute", "trace", "resumable"] {
            let tools = deployment.tools();
            let program = Program { tools, sub_agents: Some((1, 2, 2)), ..deployment.program(route, route) };
            assert_eq!(plays(&mut deployment, &program, ProgramOutcome::Completed).await, 4 + 2 * 2);
        }
        deployment
    });
}

#[test]
fn a_program_without_end_is_stopped_when_its_budget_is_spent() {
    with_deployment(async |mut deployment| {
        let program = Program { loops: true, budget: 400, ..deployment.program("loop", "dispute") };
        let turns = plays(&mut deployment, &program, ProgramOutcome::BudgetExhausted).await;
        assert!(turns >= 400 / 30, "{turns} turns of 30 units at most");
        deployment
    });
}
