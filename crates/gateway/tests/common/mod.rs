//! A harness that drives the gateway's decisions without I/O and records the actions they return.
#![allow(dead_code)]

use opalrun_gateway::*;

/// A gateway with a settable clock.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Time,
    /// Every action returned so far, in order.
    pub actions: Vec<Action>,
}

/// A plan with `rate` units per second, a burst of `burst` units and a unit value of 1.
pub fn plan(rate: f64, burst: f64) -> Plan {
    let mut plan = Plan::default();
    (plan.rate, plan.burst, plan.unit_value) = (rate, burst, 1.0);
    plan
}

/// Settings for two gateways with a counter, one default class and one plan of 10 units/s with a burst of 20.
pub fn settings() -> Settings {
    let mut s = Settings::default();
    (s.gateway_count, s.has_counter, s.hedging_allowed, s.max_attempts) = (2, true, true, 3);
    (s.may_cancel, s.warm_up, s.initial_capacity_share, s.overload_factor, s.overload_window) =
        (true, 10.0, 0.2, 2.0, 1.0);
    s.classes = vec![Class::default()];
    s.plans = vec![plan(10.0, 20.0)];
    s
}

/// Validates new settings and applies them to `gateway`.
pub fn apply_settings(gateway: &mut Gateway, settings: Settings) -> Result<(), SettingsError> {
    let ready = gateway.prepare(settings)?;
    gateway.commit(ready);
    Ok(())
}

/// A server of zone 0 and cell 0.
pub fn server(name: &str, lifecycle: Lifecycle, started: Time) -> Server {
    Server { id: name.into(), zone: 0, cell: 0, started, lifecycle }
}

/// A request of one unit for customer "c" that expires 3 s after `now`.
pub fn request(job: &str, now: Time) -> Request {
    Request {
        job: job.into(),
        units: 1.0,
        expires: now + 3.0,
        plan: 0,
        spread: 2,
        first_gateway: 0,
        class: 0,
        customer: "c".into(),
        client_retry: false,
        peer_view: None,
    }
}

impl Harness {
    /// A gateway at time 100 s with the running servers a, b and c.
    pub fn new(settings: Settings) -> Self {
        let mut harness = Self::without_servers(settings);
        let servers = ["a", "b", "c"].map(|n| server(n, Lifecycle::Running, 0.0)).to_vec();
        harness.update_servers(ListKind::Stale, servers);
        harness
    }

    /// A gateway at time 100 s that has received no server list.
    pub fn without_servers(settings: Settings) -> Self {
        Self { gateway: Gateway::new(settings, 7).expect("usable settings"), now: 100.0, actions: Vec::new() }
    }

    pub fn update_servers(&mut self, kind: ListKind, servers: Vec<Server>) {
        self.handle_event(Event::List { kind, servers });
    }

    /// Handles one event at the current time and returns the resulting actions.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        self.actions.extend(out.iter().cloned());
        out
    }

    /// Handles a default [`request`].
    pub fn request(&mut self, job: &str) -> Vec<Action> {
        let request = request(job, self.now);
        self.handle_event(Event::Request(request))
    }

    /// Handles the counter's answer to a call, received 2 ms after the call.
    pub fn counter_answered(&mut self, counter: u64, status: Status, total: f64) -> Vec<Action> {
        self.handle_event(Event::CounterAnswered { counter, status, total, elapsed: 0.002 })
    }

    /// Handles the end of an attempt that took 0.1 s.
    pub fn attempt_ended(
        &mut self,
        job: &str,
        attempt: u32,
        server: &ServerId,
        status: Status,
    ) -> Vec<Action> {
        self.handle_event(Event::AttemptEnded {
            job: job.into(),
            attempt,
            server: server.clone(),
            status,
            elapsed: 0.1,
            over: status == Status::Ok,
            settled: None,
            load: Load::default(),
        })
    }
}

/// Counter name and amount of each call to the counter among `actions`.
pub fn counter_calls(actions: &[Action]) -> Vec<(u64, f64)> {
    let count = |a: &Action| match a {
        Action::Count { counter, amount, .. } => Some((*counter, *amount)),
        _ => None,
    };
    actions.iter().filter_map(count).collect()
}

/// Job and server of each attempt that `actions` send.
pub fn sent_attempts(actions: &[Action]) -> Vec<(JobId, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { job, server, .. } => Some((job.clone(), server.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Number of requests that `actions` refuse.
pub fn refused_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

/// Number of requests that `actions` fail.
pub fn failed_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}

/// An in-memory counter that answers each call at once; holds the total of each counter by name.
#[derive(Default)]
pub struct InstantCounter(pub std::collections::BTreeMap<u64, f64>);

impl InstantCounter {
    /// Answers the counter calls among `actions`, and those that the answers cause, through `harness`; returns the
    /// actions that followed.
    pub fn answer_calls(&mut self, harness: &mut Harness, actions: &[Action]) -> Vec<Action> {
        let mut pending: std::collections::VecDeque<_> = counter_calls(actions).into();
        let mut resulting = Vec::new();
        while let Some((name, step)) = pending.pop_front() {
            let total = self.0.entry(name).or_default();
            *total += step;
            let total = *total;
            let out = harness.counter_answered(name, Status::Ok, total);
            pending.extend(counter_calls(&out));
            resulting.extend(out);
        }
        resulting
    }

    /// Handles one request and answers its counter calls; returns all resulting actions.
    pub fn request(&mut self, harness: &mut Harness, job: &str) -> Vec<Action> {
        let mut out = harness.request(job);
        out.extend(self.answer_calls(harness, &out.clone()));
        out
    }

    /// Handles `count` requests one after another, answers each attempt at once with success, and returns the number
    /// of attempts sent.
    pub fn request_many(&mut self, harness: &mut Harness, tag: &str, count: usize) -> usize {
        let mut sent = 0;
        for i in 0..count {
            let out = self.request(harness, &format!("{tag}{i}"));
            for (job, server) in sent_attempts(&out) {
                sent += 1;
                let out = harness.attempt_ended(&job, 0, &server, Status::Ok);
                self.answer_calls(harness, &out);
            }
        }
        sent
    }

    /// Sum of all counters.
    pub fn total(&self) -> f64 {
        self.0.values().sum()
    }
}
