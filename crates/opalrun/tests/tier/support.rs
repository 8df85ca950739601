//! Starts a deployment for a test, and checks the guarantees of the tier at its end.

use fleetlab::tier::{
    deployment::Deployment,
    fleet::TierSpec,
    program::{Program, ProgramOutcome, PromptHistory},
};
use std::{
    future::Future,
    path::Path,
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Time limit of a test.
const TEST_LIMIT: Duration = Duration::from_secs(30);
/// Time limit of an operator's command or a change of the tier.
pub const LIMIT: Duration = Duration::from_secs(6);
/// Number of programs that run during a fault.
const CONCURRENT_PROGRAMS: usize = 6;
/// Serializes the tests, because each tier has about ten processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs a scenario with a deployment of the default size, and checks that no guarantee was violated.
pub fn with_deployment<F>(scenario: impl FnOnce(Deployment) -> F)
where
    F: Future<Output = Deployment>,
{
    with_spec(TierSpec::default(), scenario);
}

/// Runs a scenario with a deployment of the given size, and checks that no guarantee was violated.
pub fn with_spec<F>(spec: TierSpec, scenario: impl FnOnce(Deployment) -> F)
where
    F: Future<Output = Deployment>,
{
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let test = async {
        let program = Path::new(env!("CARGO_BIN_EXE_opalrun"));
        let deployment = Deployment::start(program, spec).await.unwrap_or_else(|e| panic!("{e}"));
        scenario(deployment).await
    };
    let mut deployment = runtime.expect("a runtime").block_on(async {
        tokio::time::timeout(TEST_LIMIT, test).await.expect("the test ends within its time limit")
    });
    let (violations, crashed) = (deployment.violations(), deployment.tier.unexpected_exits());
    let logs =
        if violations.is_empty() && crashed.is_empty() { String::new() } else { deployment.tier.log_tails() };
    assert!(violations.is_empty(), "{violations:#?}\n{logs}");
    assert!(crashed.is_empty(), "{crashed:#?}\n{logs}");
}

/// A running conversation, whose turns are retained by the tier.
pub struct Conversation {
    program: Program,
    history: PromptHistory,
    turns: usize,
}

/// Starts a conversation and completes two turns.
pub async fn start_conversation(deployment: &mut Deployment) -> Conversation {
    let name = format!("talk-{}", deployment.tier.log.now_ms());
    let program = deployment.program(&name, "dispute");
    let history = PromptHistory::new(&name);
    let mut conversation = Conversation { program, history, turns: 0 };
    conversation.continue_with_turn(deployment).await;
    conversation.continue_with_turn(deployment).await;
    conversation
}

impl Conversation {
    /// Completes another turn. The client retries until [`LIMIT`] has passed, and the test fails then.
    pub async fn continue_with_turn(&mut self, deployment: &mut Deployment) {
        let client = deployment.client("zone-1");
        let until = tokio::time::Instant::now() + LIMIT;
        loop {
            let ended = self.program.run_turn(&client, &mut self.history, self.turns).await;
            if ended == ProgramOutcome::Completed {
                self.turns += 1;
                return;
            }
            let message = format!("turn {} of a conversation: {ended:?}", self.turns);
            let is_over = tokio::time::Instant::now() > until;
            assert!(!is_over, "{message}\n{}\n{}", deployment.last_outcomes(), deployment.tier.log_tails());
        }
    }
}

/// Runs programs concurrently with an event. The programs may fail, but no guarantee may be violated.
pub async fn run_programs_during<F>(deployment: &mut Deployment, event: F)
where
    F: AsyncFnOnce(&mut Deployment),
{
    let programs = (0..CONCURRENT_PROGRAMS).map(|number| {
        let name = format!("beside-{number}-{}", deployment.tier.log.now_ms());
        let route = ["dispute", "trace", "resumable"][number % 3];
        let program = Program { tools: deployment.tools(), turns: 8, ..deployment.program(&name, route) };
        let client = deployment.client(["zone-1", "zone-2"][number % 2]);
        tokio::spawn(async move { program.run(&client).await })
    });
    let programs: Vec<_> = programs.collect();
    event(deployment).await;
    for program in programs {
        program.await.expect("a program that ends");
    }
}

/// Starts a conversation, causes a fault, and checks that the conversation can be continued.
pub async fn continue_conversation_after<F>(deployment: &mut Deployment, fault: F)
where
    F: AsyncFnOnce(&mut Deployment),
{
    let mut conversation = start_conversation(deployment).await;
    fault(deployment).await;
    conversation.continue_with_turn(deployment).await;
}
