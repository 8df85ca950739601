//! Simulated agent programs: turns, tool calls between them, and sub-agents whose prompts start with their parent's.

use super::{
    client::{Client, Reply, RequestSpec, TurnHeaders},
    configuration::Route,
    observation::ProgramDescription,
};
use std::{future::Future, pin::Pin, time::Duration};

/// How often a failed turn is sent again.
const RESENDS: usize = 2;
/// Delay before a turn is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(150);
/// How often a looping program sends a turn again after a 402.
const RESENDS_AFTER_REFUSAL: usize = 2;

/// An agent program.
#[derive(Debug, Clone)]
pub struct Program {
    pub name: String,
    /// Route of its turns.
    pub turns_route: Route,
    /// Routes of its tools, all called after each turn.
    pub tools: Vec<Route>,
    pub turns: usize,
    /// Index of the turn after which sub-agents start, their number, and the turns of each.
    pub sub_agents: Option<(usize, usize, usize)>,
    pub budget: u64,
    /// Maximum output of a turn, in tokens.
    pub max_output_tokens: u64,
    pub chunk_tokens: u64,
    pub deadline: Duration,
    /// Whether it starts sub-agents after its turns again and again until a request fails.
    pub loops: bool,
}

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramOutcome {
    Completed,
    /// A request was answered 402.
    BudgetExhausted,
    /// A request was answered with another status; 0: no complete response.
    Failed {
        status: u16,
    },
}

/// Result of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramReport {
    pub outcome: ProgramOutcome,
    /// Number of turns with a complete response.
    pub turns: usize,
    /// Number of successful tool calls.
    pub calls: usize,
}

/// A sequence of turns: the prompt that has accumulated so far.
#[derive(Debug, Clone)]
pub struct PromptHistory {
    session: String,
    previous: Option<String>,
    /// Parts of the prompt so far, as `ID:TOKENS`.
    parts: Vec<String>,
    prompt_tokens: u64,
}

impl PromptHistory {
    /// Returns the history of a program before its first turn.
    #[must_use]
    pub fn new(program: &str) -> Self {
        let (session, parts) = (format!("{program}.0"), vec!["5ab1e:60".to_owned()]);
        Self { session, previous: None, parts, prompt_tokens: 60 }
    }

    /// Returns a history with its own session whose prompt starts with this one's.
    fn branch(&self, number: usize) -> Self {
        Self { session: format!("{}.{number}", self.session), ..self.clone() }
    }
}

type Boxed<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

impl Program {
    /// Runs the program to its end.
    pub async fn run(&self, client: &Client) -> ProgramReport {
        let mut report = ProgramReport { outcome: ProgramOutcome::Completed, turns: 0, calls: 0 };
        let mut history = PromptHistory::new(&self.name);
        if self.turns == 0 {
            self.tools(client, &mut report).await;
        }
        for number in 0..self.turns {
            if !self.turn(client, &mut history, number, &mut report).await
                || !self.tools(client, &mut report).await
            {
                return report;
            }
            if let Some((after, count, turns)) = self.sub_agents
                && after == number
            {
                self.sub_agents(client, &history, count, turns, &mut report).await;
            }
            if report.outcome != ProgramOutcome::Completed {
                return report;
            }
        }
        let mut iteration = 0;
        while self.loops && report.outcome == ProgramOutcome::Completed {
            iteration += 1;
            self.sub_agents(client, &history.branch(iteration), 2, 2, &mut report).await;
        }
        report
    }

    /// Sends one more turn, and extends the history if it succeeds.
    pub async fn run_turn(
        &self,
        client: &Client,
        history: &mut PromptHistory,
        number: usize,
    ) -> ProgramOutcome {
        let mut report = ProgramReport { outcome: ProgramOutcome::Completed, turns: 0, calls: 0 };
        self.turn(client, history, number, &mut report).await;
        report.outcome
    }

    async fn turn(
        &self,
        client: &Client,
        history: &mut PromptHistory,
        number: usize,
        report: &mut ProgramReport,
    ) -> bool {
        let request = self.turn_request(history, number);
        let mut refusals = 0;
        let mut failures = 0;
        let reply = loop {
            let reply = client.send(&request).await;
            match reply.status() {
                402 if self.loops && refusals < RESENDS_AFTER_REFUSAL => refusals += 1,
                200 | 400..=404 | 413 => break reply,
                _ if failures < RESENDS => failures += 1,
                _ => break reply,
            }
            tokio::time::sleep(RESEND_DELAY).await;
        };
        self.after_turn(history, &request, &reply, report)
    }

    fn after_turn(
        &self,
        history: &mut PromptHistory,
        request: &RequestSpec,
        reply: &Reply,
        report: &mut ProgramReport,
    ) -> bool {
        match reply.status() {
            200 => {}
            402 => report.outcome = ProgramOutcome::BudgetExhausted,
            status => report.outcome = ProgramOutcome::Failed { status },
        }
        if reply.status() != 200 {
            return false;
        }
        report.turns += 1;
        let out = reply.events.len() as u64 * self.chunk_tokens;
        history.prompt_tokens += request.body.len() as u64 / 4 + out;
        history.parts.push(format!("{}:{}", reply.request, request.body.len() as u64 / 4 + out));
        history.previous = Some(reply.request.clone());
        true
    }

    fn turn_request(&self, history: &PromptHistory, number: usize) -> RequestSpec {
        let body = format!("{} says {number}: what is next?\n", history.session).into_bytes();
        let retained = self.turns_route.retention.is_some();
        let turn = TurnHeaders {
            program: ProgramDescription {
                name: self.name.clone(),
                budget: Some(self.budget),
                max_output_tokens: self.max_output_tokens,
                chunk_tokens: self.chunk_tokens,
            },
            session: history.session.clone(),
            finish: self.deadline * 4,
            previous: history.previous.clone().filter(|_| retained),
            prompt_tokens: history.prompt_tokens,
            prompt_prefix: history.parts.join(","),
        };
        RequestSpec {
            route: self.turns_route.clone(),
            path: format!("turn-{number}"),
            body,
            deadline: self.deadline,
            retries: 1,
            turn: Some(turn),
        }
    }

    /// Calls all tools concurrently. Returns whether none failed.
    async fn tools(&self, client: &Client, report: &mut ProgramReport) -> bool {
        let calls = self.tools.iter().map(|route| {
            let (client, request) = (client.clone(), self.tool_request(route));
            tokio::spawn(async move { client.send(&request).await })
        });
        let calls: Vec<_> = calls.collect();
        for call in calls {
            let status = call.await.map_or(0, |reply| reply.status());
            match status {
                200..=299 => report.calls += 1,
                status => report.outcome = ProgramOutcome::Failed { status },
            }
        }
        report.outcome == ProgramOutcome::Completed
    }

    fn tool_request(&self, route: &Route) -> RequestSpec {
        let program = ProgramDescription {
            name: self.name.clone(),
            budget: None,
            max_output_tokens: 0,
            chunk_tokens: self.chunk_tokens,
        };
        let turn = TurnHeaders {
            program,
            session: format!("{}.0", self.name),
            finish: self.deadline * 4,
            previous: None,
            prompt_tokens: 0,
            prompt_prefix: String::new(),
        };
        let body = if route.kind.is_idempotent() { Vec::new() } else { b"do it".to_vec() };
        let (path, deadline) = ("tool".to_owned(), self.deadline);
        RequestSpec { route: route.clone(), path, body, deadline, retries: 1, turn: Some(turn) }
    }

    /// Runs sub-agents concurrently.
    fn sub_agents<'a>(
        &'a self,
        client: &'a Client,
        history: &'a PromptHistory,
        count: usize,
        turns: usize,
        report: &'a mut ProgramReport,
    ) -> Boxed<'a, ()> {
        Box::pin(async move {
            let agents = (1..=count).map(|number| {
                let (program, client, mut history) = (self.clone(), client.clone(), history.branch(number));
                tokio::spawn(async move {
                    let mut report = ProgramReport { outcome: ProgramOutcome::Completed, turns: 0, calls: 0 };
                    for number in 0..turns {
                        if !program.turn(&client, &mut history, number, &mut report).await {
                            break;
                        }
                    }
                    report
                })
            });
            let agents: Vec<_> = agents.collect();
            for agent in agents {
                let Ok(part) = agent.await else { continue };
                report.turns += part.turns;
                if part.outcome != ProgramOutcome::Completed {
                    report.outcome = part.outcome;
                }
            }
        })
    }
}
