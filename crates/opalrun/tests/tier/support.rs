//! Starting a deployment, and what every test ends with.

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

/// A test that takes longer has failed.
const TEST_LIMIT: Duration = Duration::from_secs(30);
/// How long an order or a change may take.
pub const LIMIT: Duration = Duration::from_secs(6);
/// Programs that are played beside a fault.
const PROGRAMS_BESIDE: usize = 6;
/// One tier at a time: each has some ten processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Plays a story with a deployment of the usual size, which must have kept every rule at its end.
pub fn with_deployment<F>(story: impl FnOnce(Deployment) -> F)
where
    F: Future<Output = Deployment>,
{
    with_spec(TierSpec::default(), story);
}

/// The same with a deployment of another size.
pub fn with_spec<F>(spec: TierSpec, story: impl FnOnce(Deployment) -> F)
where
    F: Future<Output = Deployment>,
{
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let played = async {
        let program = Path::new(env!("CARGO_BIN_EXE_opalrun"));
        let deployment = Deployment::start(program, spec).await.unwrap_or_else(|e| panic!("{e}"));
        story(deployment).await
    };
    let mut deployment = runtime.expect("a runtime").block_on(async {
        tokio::time::timeout(TEST_LIMIT, played).await.expect("a story that ends in time")
    });
    let (broken, fallen) = (deployment.violations(), deployment.tier.unexpected_exits());
    let words =
        if broken.is_empty() && fallen.is_empty() { String::new() } else { deployment.tier.log_tails() };
    assert!(broken.is_empty(), "{broken:#?}\n{words}");
    assert!(fallen.is_empty(), "{fallen:#?}\n{words}");
}

/// A conversation under way, whose turns the tier keeps.
pub struct Conversation {
    program: Program,
    line: PromptHistory,
    turns: usize,
}

/// Begins a conversation with two turns.
pub async fn conversation(deployment: &mut Deployment) -> Conversation {
    let name = format!("talk-{}", deployment.tier.log.now_ms());
    let program = deployment.program(&name, "dispute");
    let line = PromptHistory::new(&name);
    let mut conversation = Conversation { program, line, turns: 0 };
    conversation.goes_on(deployment).await;
    conversation.goes_on(deployment).await;
    conversation
}

impl Conversation {
    /// One more turn, which must be answered: of a client that keeps asking for a time.
    pub async fn goes_on(&mut self, deployment: &mut Deployment) {
        let client = deployment.client("zone-1");
        let until = tokio::time::Instant::now() + LIMIT;
        loop {
            let ended = self.program.run_turn(&client, &mut self.line, self.turns).await;
            if ended == ProgramOutcome::Completed {
                self.turns += 1;
                return;
            }
            let words = format!("turn {} of a conversation: {ended:?}", self.turns);
            let given_up = tokio::time::Instant::now() > until;
            assert!(!given_up, "{words}\n{}\n{}", deployment.last_outcomes(), deployment.tier.log_tails());
        }
    }
}

/// Plays programs while something happens. They may fail through it; the rules must hold all the same.
pub async fn play_beside<F>(deployment: &mut Deployment, happens: F)
where
    F: AsyncFnOnce(&mut Deployment),
{
    let programs = (0..PROGRAMS_BESIDE).map(|number| {
        let name = format!("beside-{number}-{}", deployment.tier.log.now_ms());
        let route = ["dispute", "trace", "resumable"][number % 3];
        let program = Program { tools: deployment.tools(), turns: 8, ..deployment.program(&name, route) };
        let client = deployment.client(["zone-1", "zone-2"][number % 2]);
        tokio::spawn(async move { program.run(&client).await })
    });
    let programs: Vec<_> = programs.collect();
    happens(deployment).await;
    for program in programs {
        program.await.expect("a program that ends");
    }
}

/// A conversation is continued after something befell the tier in its middle.
pub async fn continues_after<F>(deployment: &mut Deployment, fault: F)
where
    F: AsyncFnOnce(&mut Deployment),
{
    let mut talk = conversation(deployment).await;
    fault(deployment).await;
    talk.goes_on(deployment).await;
}
