//! Agent programs: turns, calls of tools between them, and sub-agents that begin with their parent's prompt.

use super::{
    client::{Client, Reply, RequestSpec, TurnHeaders},
    configuration::Route,
    observation::ProgramDescription,
};
use std::{future::Future, pin::Pin, time::Duration};

/// Times a turn that failed is sent again from its start.
const RESENDS: usize = 2;
/// Pause before that.
const RESEND_DELAY: Duration = Duration::from_millis(150);
/// Times a program that loops sends a turn after a 402.
const RESENDS_AFTER_REFUSAL: usize = 2;

/// A program to play.
#[derive(Debug, Clone)]
pub struct Program {
    pub name: String,
    /// Where its turns go.
    pub turns_route: Route,
    /// Where its tools are.
    pub tools: Vec<Route>,
    pub turns: usize,
    /// After which turn sub-agents start, how many, and how many turns each takes.
    pub sub_agents: Option<(usize, usize, usize)>,
    pub budget: u64,
    /// The most that a turn emits, in tokens.
    pub max_output_tokens: u64,
    pub chunk_tokens: u64,
    pub deadline: Duration,
    /// Once its turns are through it starts sub-agents without end, until it is stopped.
    pub loops: bool,
}

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramOutcome {
    Completed,
    /// By a 402.
    BudgetExhausted,
    /// By another status, or none: 0.
    Failed {
        status: u16,
    },
}

/// What became of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramReport {
    pub outcome: ProgramOutcome,
    /// Turns that were answered whole.
    pub turns: usize,
    /// Calls of tools that were answered.
    pub calls: usize,
}

/// A line of turns: what a program has said and heard so far.
#[derive(Debug, Clone)]
pub struct PromptHistory {
    session: String,
    previous: Option<String>,
    /// ID:TOKENS of the prompt so far.
    parts: Vec<String>,
    prompt_tokens: u64,
}

impl PromptHistory {
    /// The empty line of a program.
    #[must_use]
    pub fn new(program: &str) -> Self {
        let (session, parts) = (format!("{program}.0"), vec!["5ab1e:60".to_owned()]);
        Self { session, previous: None, parts, prompt_tokens: 60 }
    }

    /// A line of its own whose prompt opens with this one's.
    fn branch(&self, number: usize) -> Self {
        Self { session: format!("{}.{number}", self.session), ..self.clone() }
    }
}

type Boxed<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

impl Program {
    /// Plays it to its end.
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
        let mut round = 0;
        while self.loops && report.outcome == ProgramOutcome::Completed {
            round += 1;
            self.sub_agents(client, &history.branch(round), 2, 2, &mut report).await;
        }
        report
    }

    /// Asks for one more turn of a line, which gets longer if it is answered.
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
        let ask = self.turn_ask(history, number);
        let mut refusals = 0;
        let mut failures = 0;
        let reply = loop {
            let reply = client.send(&ask).await;
            match reply.status() {
                402 if self.loops && refusals < RESENDS_AFTER_REFUSAL => refusals += 1,
                200 | 400..=404 | 413 => break reply,
                _ if failures < RESENDS => failures += 1,
                _ => break reply,
            }
            tokio::time::sleep(RESEND_DELAY).await;
        };
        self.after_turn(history, &ask, &reply, report)
    }

    fn after_turn(
        &self,
        history: &mut PromptHistory,
        ask: &RequestSpec,
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
        history.prompt_tokens += ask.body.len() as u64 / 4 + out;
        history.parts.push(format!("{}:{}", reply.request, ask.body.len() as u64 / 4 + out));
        history.previous = Some(reply.request.clone());
        true
    }

    fn turn_ask(&self, history: &PromptHistory, number: usize) -> RequestSpec {
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

    /// Calls all tools side by side; whether none failed.
    async fn tools(&self, client: &Client, report: &mut ProgramReport) -> bool {
        let calls = self.tools.iter().map(|route| {
            let (client, ask) = (client.clone(), self.tool_ask(route));
            tokio::spawn(async move { client.send(&ask).await })
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

    fn tool_ask(&self, route: &Route) -> RequestSpec {
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

    /// Plays sub-agents side by side.
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
