//! Tests of each rule on constructed observations that comply with it and that violate it.

use super::*;
use crate::tier::{
    configuration::{Configuration, Route},
    observation::{
        ClientRequest, Departure, MachineEvent, Observation, Outcome, ProgramDescription, RouteKind,
        StreamEvent, TimedObservation,
    },
};
use std::sync::Arc;

const STREAMING: RouteKind = RouteKind::Streaming { resumable: false };

/// Builder of observations; each is 10 ms later than the one before.
#[derive(Default)]
struct Timeline {
    observations: Vec<TimedObservation>,
    at_ms: u64,
}

impl Timeline {
    fn new() -> Self {
        let mut timeline = Self::default();
        timeline.configuration(1, &[("/safe/", "plain"), ("/turn/", "model")]);
        timeline
    }

    fn record(&mut self, observation: Observation) -> &mut Self {
        self.at_ms += 10;
        self.observations.push(TimedObservation { at_ms: self.at_ms, observation });
        self
    }

    fn later(&mut self, ms: u64) -> &mut Self {
        self.at_ms += ms;
        self
    }

    fn body(generation: u64, routes: &[(&str, &str)]) -> Arc<Vec<u8>> {
        let routes =
            routes.iter().map(|(prefix, service)| Route::new(prefix, prefix, RouteKind::Safe, service));
        Arc::new(Configuration { generation, routes: routes.collect(), services: Vec::new() }.body())
    }

    fn configuration(&mut self, generation: u64, routes: &[(&str, &str)]) -> Arc<Vec<u8>> {
        let body = Self::body(generation, routes);
        self.record(Observation::ConfigurationSent { generation, body: body.clone(), valid: true });
        self.answered(generation, &body, 200);
        body
    }

    fn answered(&mut self, generation: u64, body: &Arc<Vec<u8>>, status: u16) -> &mut Self {
        self.record(Observation::ConfigurationAnswered { generation, body: body.clone(), status })
    }

    fn sent(&mut self, request: &str, kind: RouteKind) -> &mut Self {
        self.sent_with(request, kind, |_| ())
    }

    fn sent_with(
        &mut self,
        request: &str,
        kind: RouteKind,
        change: impl FnOnce(&mut ClientRequest),
    ) -> &mut Self {
        let path = if kind == STREAMING { "/turn/1" } else { "/safe/1" };
        let mut sent = ClientRequest {
            request: request.to_owned(),
            machine: "edge-1".to_owned(),
            method: "POST".to_owned(),
            host: "tier.example".to_owned(),
            path: path.to_owned(),
            body: request.as_bytes().to_vec(),
            kind,
            max_attempts: 1,
            previous: None,
            program: None,
        };
        change(&mut sent);
        self.record(Observation::RequestSent(Arc::new(sent)))
    }

    fn ran_with(&mut self, request: &str, worker: &str, service: &str, path: &str, body: &[u8]) -> &mut Self {
        self.record(Observation::Reached { request: request.to_owned(), worker: worker.to_owned() });
        self.record(Observation::Ran {
            request: request.to_owned(),
            worker: worker.to_owned(),
            service: service.to_owned(),
            method: "POST".to_owned(),
            host: "tier.example".to_owned(),
            path: path.to_owned(),
            body: body.to_vec(),
        })
    }

    fn ran(&mut self, request: &str, worker: &str) -> &mut Self {
        self.ran_with(request, worker, "plain", "/safe/1", request.as_bytes())
    }

    fn worker_answered(&mut self, request: &str, worker: &str, body: &str) -> &mut Self {
        self.record(Observation::WorkerAnswered {
            request: request.to_owned(),
            worker: worker.to_owned(),
            status: 200,
            signature: format!("{request}@{worker}"),
            body: body.as_bytes().to_vec(),
            is_complete: true,
        })
    }

    fn client_received(&mut self, request: &str, signature: Option<&str>, body: &str) -> &mut Self {
        let signature = signature.map(str::to_owned);
        self.ended(
            request,
            Outcome::Answered { status: 200, signature, body: body.as_bytes().to_vec(), retry_after: None },
        )
    }

    fn refused(&mut self, request: &str, status: u16) -> &mut Self {
        self.ended(
            request,
            Outcome::Answered { status, signature: None, body: Vec::new(), retry_after: None },
        )
    }

    fn ended(&mut self, request: &str, outcome: Outcome) -> &mut Self {
        self.record(Observation::RequestEnded { request: request.to_owned(), outcome })
    }

    /// A turn that one worker answers with `made` events, of which the client receives those in `got`.
    fn turn(
        &mut self,
        request: &str,
        previous: Option<&str>,
        body: &str,
        made: u64,
        got: &[u64],
    ) -> &mut Self {
        let previous = previous.map(str::to_owned);
        self.sent_with(request, STREAMING, |t| t.previous = previous);
        self.ran_with(request, "m", "model", "/turn/1", body.as_bytes());
        let event = |id: u64| StreamEvent { id, data: format!("{request}{id}").into_bytes() };
        for id in 1..=made {
            let (request, worker) = (request.to_owned(), "m".to_owned());
            self.record(Observation::EventMade { request, worker, event: event(id) });
        }
        self.worker_answered(request, "m", "");
        for id in got {
            self.record(Observation::EventReceived { request: request.to_owned(), event: event(*id) });
        }
        self.client_received(request, Some(&format!("{request}@m")), "")
    }

    fn machine(&mut self, event: MachineEvent) -> &mut Self {
        self.record(Observation::Machine { machine: "edge-1".to_owned(), event })
    }

    fn rules(&self) -> Vec<Rule> {
        judge(&self.observations, &Bounds::default()).into_iter().map(|b| b.rule).collect()
    }
}

#[test]
fn compliant_observations_have_no_violations() {
    let mut timeline = Timeline::new();
    timeline.sent("a", RouteKind::Unsafe).ran("a", "w").worker_answered("a", "w", "said").client_received(
        "a",
        Some("a@w"),
        "said",
    );
    timeline.sent("b", RouteKind::Unsafe).refused("b", 503);
    timeline.turn("t", None, "t", 2, &[1, 2]).turn("u", Some("t"), "tt1\nt2\nu", 1, &[1]);
    assert_eq!(timeline.rules(), []);
}

#[test]
fn responses_mixed_up_or_altered_are_violations() {
    let ran = || {
        let mut timeline = Timeline::new();
        timeline.sent("a", RouteKind::Unsafe).ran("a", "w").worker_answered("a", "w", "said");
        timeline
    };
    assert_eq!(ran().client_received("a", None, "said").rules(), [Rule::Mixed], "no signature");
    assert_eq!(
        ran().client_received("a", Some("b@w"), "said").rules(),
        [Rule::Mixed],
        "signature of another request"
    );
    assert_eq!(ran().client_received("a", Some("a@w"), "sai").rules(), [Rule::Mixed], "truncated body");
    assert_eq!(ran().ended("a", Outcome::Malformed).rules(), [Rule::Mixed], "malformed response");
    let (signature, body) = (Some("a@w".to_owned()), Vec::new());
    let failed = Outcome::Answered { status: 500, signature, body, retry_after: None };
    assert_eq!(ran().ended("a", failed).rules(), [Rule::Mixed], "different status");
}

#[test]
fn runs_of_requests_that_no_client_sent_are_violations() {
    assert_eq!(Timeline::new().ran("a", "w").rules(), [Rule::Unasked], "no client sent it");
    let mut timeline = Timeline::new();
    timeline.sent("a", RouteKind::Safe).ran_with("a", "w", "plain", "/safe/2", b"a");
    assert!(timeline.rules().contains(&Rule::Unasked), "different path");
    let mut timeline = Timeline::new();
    timeline.turn("t", None, "t", 2, &[1, 2]).turn("u", Some("t"), "tt1\nu", 1, &[1]);
    assert_eq!(timeline.rules(), [Rule::Unasked], "the prompt lacks an event of an earlier turn");
    let mut timeline = Timeline::new();
    timeline.turn("u", Some("none"), "u", 1, &[1]);
    assert_eq!(timeline.rules(), [Rule::Unasked], "the continued turn does not exist");
}

#[test]
fn repeated_refused_and_misrouted_runs_are_violations() {
    let mut timeline = Timeline::new();
    timeline.sent("a", RouteKind::Unsafe).ran("a", "v").ran("a", "w");
    assert_eq!(timeline.rules(), [Rule::Twice]);
    let mut timeline = Timeline::new();
    timeline.sent("a", RouteKind::Safe).ran("a", "v").ran("a", "w");
    assert_eq!(
        timeline.rules(),
        [],
        "up to three requests may exceed their attempts, and safe requests may be retried"
    );
    let mut timeline = Timeline::new();
    timeline.sent("a", RouteKind::Unsafe).refused("a", 503).ran("a", "w");
    assert_eq!(timeline.rules(), [Rule::Refused]);
    let mut timeline = Timeline::new();
    for request in ["a", "b", "c", "d"] {
        timeline.sent(request, RouteKind::Safe).ran(request, "v").ran(request, "w");
    }
    assert_eq!(timeline.rules(), [Rule::Budget; 4]);
    let mut timeline = Timeline::new();
    timeline.sent("a", RouteKind::Safe).ran_with("a", "w", "model", "/safe/1", b"a");
    assert!(timeline.rules().contains(&Rule::Route));
}

#[test]
fn reordered_and_incomplete_streams_are_violations() {
    for (made, got) in [(3, &[1, 3][..]), (3, &[1, 2, 2, 3]), (3, &[1, 2])] {
        let mut timeline = Timeline::new();
        timeline.turn("t", None, "t", made, got);
        assert_eq!(timeline.rules(), [Rule::Order], "{got:?} of {made}");
    }
    assert_eq!(Timeline::new().turn("t", None, "t", 3, &[1, 2, 3]).rules(), []);
}

#[test]
fn a_resumed_stream_keeps_the_signature_of_its_first_worker() {
    let resumable = RouteKind::Streaming { resumable: true };
    let event = |id: u64| StreamEvent { id, data: id.to_string().into_bytes() };
    let resumed = |second_made: &[u64]| {
        let mut timeline = Timeline::new();
        timeline.sent_with("t", resumable, |t| {
            t.path = "/turn/1".to_owned();
            t.max_attempts = 2;
        });
        for (worker, made) in [("v", &[1, 2][..]), ("w", second_made)] {
            timeline.ran_with("t", worker, "model", "/turn/1", b"t");
            let (request, status, signature) = ("t".to_owned(), 200, format!("t@{worker}"));
            timeline.record(Observation::AnswerBegun { request, status, signature });
            for id in made {
                let (request, worker) = ("t".to_owned(), worker.to_owned());
                timeline.record(Observation::EventMade { request, worker, event: event(*id) });
            }
        }
        timeline.worker_answered("t", "w", "");
        for id in 1..=4 {
            timeline.record(Observation::EventReceived { request: "t".to_owned(), event: event(id) });
        }
        timeline.client_received("t", Some("t@v"), "").rules()
    };
    assert_eq!(resumed(&[3, 4]), []);
    assert_eq!(resumed(&[3, 4, 5]), [Rule::Order], "the stream ended before its last event");
    assert_eq!(resumed(&[4]), [Rule::Order], "no worker produced the third event");
}

#[test]
fn programs_that_exceed_their_budget_are_violations() {
    let of = |budget: u64| {
        let mut timeline = Timeline::new();
        let facts = ProgramDescription {
            name: "p".to_owned(),
            budget: Some(budget),
            max_output_tokens: 6,
            chunk_tokens: 3,
        };
        timeline.turn("t", None, "t", 4, &[1, 2, 3, 4]);
        for entry in &mut timeline.observations {
            if let Observation::RequestSent(sent) = &mut entry.observation {
                Arc::make_mut(sent).program = Some(facts.clone());
            }
        }
        timeline.rules()
    };
    assert_eq!(of(6), []);
    assert_eq!(of(5), [Rule::Budget]);
}

#[test]
fn a_retained_turn_that_is_not_found_is_lost() {
    let asked = |previous: &'static str, later_ms: u64| {
        let mut timeline = Timeline::new();
        timeline.turn("t", None, "t", 1, &[1]).later(later_ms);
        timeline.sent_with("u", STREAMING, |t| t.previous = Some(previous.to_owned())).refused("u", 404);
        timeline.rules()
    };
    assert_eq!(asked("t", 0), [Rule::Lost]);
    assert_eq!(asked("t", 61_000), []);
    assert_eq!(asked("none", 0), []);
}

#[test]
fn a_request_to_a_worker_that_has_left_is_a_violation() {
    let ran = |later_ms: u64| {
        let mut timeline = Timeline::new();
        let worker = "w".to_owned();
        timeline.record(Observation::DepartureAcknowledged { worker, departure: Departure::Draining });
        timeline.later(later_ms).sent("a", RouteKind::Safe).ran("a", "w");
        timeline.rules()
    };
    assert_eq!(ran(0), []);
    assert_eq!(ran(2000), [Rule::Drain]);
}

#[test]
fn only_accepted_configurations_apply_and_within_the_time_bound() {
    let dropped = |later_ms: u64| {
        let mut timeline = Timeline::new();
        timeline.configuration(2, &[("/turn/", "model")]);
        timeline.later(later_ms).sent("a", RouteKind::Safe).ran("a", "w");
        timeline.rules()
    };
    assert_eq!(dropped(0), []);
    assert_eq!(dropped(2000), [Rule::Configuration], "it ran by a removed route");
    let mut timeline = Timeline::new();
    timeline.later(3000).sent("a", RouteKind::Safe).refused("a", 404);
    assert_eq!(timeline.rules(), [Rule::Configuration], "its route exists");
    let mut timeline = Timeline::new();
    let body = Timeline::body(2, &[("/safe/", "other")]);
    timeline.record(Observation::ConfigurationSent { generation: 2, body: body.clone(), valid: true });
    timeline.answered(2, &body, 412);
    timeline.sent("a", RouteKind::Safe).ran_with("a", "w", "other", "/safe/1", b"a");
    assert!(timeline.rules().contains(&Rule::Configuration), "the configuration was rejected");
    let mut timeline = Timeline::new();
    timeline.configuration(2, &[("/a/", "plain")]);
    timeline.configuration(2, &[("/b/", "plain")]);
    assert_eq!(timeline.rules(), [Rule::Configuration], "two configurations of one generation");
    let mut timeline = Timeline::new();
    let body = timeline.configuration(2, &[("/a/", "plain")]);
    timeline.answered(2, &body, 409);
    assert_eq!(timeline.rules(), [Rule::Configuration], "a repeated change was rejected");
}

#[test]
fn the_configuration_read_back_is_the_newest() {
    let read = |body: Option<Vec<u8>>| {
        let mut timeline = Timeline::new();
        timeline.configuration(2, &[("/a/", "plain")]);
        timeline.record(Observation::ConfigurationRead { body });
        timeline.rules()
    };
    let newest = Timeline::body(2, &[("/a/", "plain")]).to_vec();
    let old = Timeline::body(1, &[("/safe/", "plain"), ("/turn/", "model")]).to_vec();
    assert_eq!(read(Some(newest)), []);
    assert_eq!(read(Some(old)), [Rule::Configuration]);
    assert_eq!(read(Some(b"{".to_vec())), [Rule::Configuration]);
    assert_eq!(read(None), [Rule::Configuration]);
}

#[test]
fn requests_interrupted_by_a_planned_stop_are_lost() {
    let closed = || Outcome::Closed { request_written: true };
    let stopped = |event: MachineEvent| {
        let mut timeline = Timeline::new();
        timeline.sent("a", RouteKind::Unsafe).ran("a", "w").machine(event).ended("a", closed());
        timeline.rules()
    };
    assert_eq!(stopped(MachineEvent::Terminated), [Rule::Lost]);
    assert_eq!(stopped(MachineEvent::Killed), []);
    let mut timeline = Timeline::new();
    timeline.sent("a", RouteKind::Unsafe).machine(MachineEvent::Terminated).ended("a", closed());
    assert_eq!(timeline.rules(), [], "it was not forwarded");
}

#[test]
fn denied_requests_are_violations_above_the_allowance() {
    let denied = |count: usize| {
        let mut timeline = Timeline::new();
        for number in 0..count {
            let request = format!("r{number}");
            timeline.sent(&request, RouteKind::Safe).refused(&request, 400);
        }
        timeline.rules()
    };
    assert_eq!(denied(5), []);
    assert_eq!(denied(6), [Rule::Denied; 6]);
}

#[test]
fn a_402_is_premature_while_the_budget_suffices_for_another_turn() {
    let stops = |budget: u64, later_ms: u64| {
        let facts = ProgramDescription {
            name: "p".to_owned(),
            budget: Some(budget),
            max_output_tokens: 30,
            chunk_tokens: 3,
        };
        let mut timeline = Timeline::new();
        timeline.turn("t", None, "t", 2, &[1, 2]).later(later_ms);
        timeline.sent("u", STREAMING).refused("u", 402);
        for entry in &mut timeline.observations {
            if let Observation::RequestSent(sent) = &mut entry.observation {
                Arc::make_mut(sent).program = Some(facts.clone());
            }
        }
        premature_refusals(&timeline.observations, &Bounds::default())
            .into_iter()
            .map(|s| s.spent)
            .collect::<Vec<_>>()
    };
    assert_eq!(stops(36, 1000), [6], "two events of 3 tokens were spent, and 30 tokens are left");
    assert!(stops(35, 1000).is_empty());
    assert!(stops(36, 0).is_empty(), "the turn before counts with its maximum until it has settled");
    assert_eq!(stops(60, 0), [30]);
}
