//! Tests of the pools' state with random and with fixed sequences of events.

use super::{
    worker::{BOUND_DOUBLING_S, MAX_CONNECTING_PER_WORKER},
    *,
};
use std::collections::{BTreeMap, BTreeSet};

/// Common idle time-out in seconds.
const IDLE_TIMEOUT_S: f64 = 20.0;

fn settings() -> PoolSettings {
    PoolSettings { idle_timeout: IDLE_TIMEOUT_S, gateway_count: 4 }
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The state under test, and an independent record of every connection and waiter, which is updated by executing the
/// state's commands and compared with the state after each step.
struct Model {
    state: PoolState,
    now: Time,
    commands: Vec<Command>,
    idle: BTreeMap<ConnectionId, (WorkerId, Time)>,
    in_use: BTreeMap<ConnectionId, (WorkerId, Time)>,
    connecting: BTreeMap<ConnectionId, (WorkerId, SocketAddr)>,
    waiting: BTreeMap<WaiterId, WorkerId>,
    failed: Vec<(WaiterId, NoConnection)>,
}

impl Model {
    fn new(budget: usize, seed: u64) -> Self {
        Self {
            state: PoolState::new(budget, settings(), seed),
            now: 1000.0,
            commands: Vec::new(),
            idle: BTreeMap::new(),
            in_use: BTreeMap::new(),
            connecting: BTreeMap::new(),
            waiting: BTreeMap::new(),
            failed: Vec::new(),
        }
    }

    /// Updates a worker from a worker list.
    fn list_worker(&mut self, id: &WorkerId, port: u16, started: Time, wanted: bool) {
        self.state.update_worker(
            self.now,
            id,
            Some(addr(port)),
            started,
            (wanted, false),
            &mut self.commands,
        );
        self.execute();
    }

    fn execute(&mut self) {
        for command in self.commands.drain(..) {
            match command {
                Command::Open { worker, addr, id: connection } => {
                    let known = self.idle.contains_key(&connection) || self.in_use.contains_key(&connection);
                    assert!(!known && self.connecting.insert(connection, (worker, addr)).is_none());
                }
                Command::Close(connection) => assert!(self.idle.remove(&connection).is_some(), "not idle"),
                Command::Fail(waiter, reason) => {
                    assert!(self.waiting.remove(&waiter).is_some(), "the failed waiter is not registered");
                    self.failed.push((waiter, reason));
                }
            }
        }
        self.check();
    }

    /// Compares the state with the record.
    fn check(&self) {
        let open = self.idle.len() + self.in_use.len() + self.connecting.len();
        assert_eq!(self.state.open(), open, "number of open connections");
        let views = self.state.views(self.now);
        let connections = |view: &View| view.idle + (view.in_use + view.connecting) as usize;
        assert_eq!(views.iter().map(connections).sum::<usize>(), open);
        for view in &views {
            assert!(view.connecting <= MAX_CONNECTING_PER_WORKER);
            let belongs = |worker: &WorkerId| *worker == view.worker;
            assert_eq!(view.idle, self.idle.values().filter(|(worker, _)| belongs(worker)).count());
            assert_eq!(
                view.in_use as usize,
                self.in_use.values().filter(|(worker, _)| belongs(worker)).count()
            );
            assert_eq!(view.waiting, self.waiting.values().filter(|worker| belongs(worker)).count());
            assert!(
                view.waiting == 0 || view.in_use + view.connecting > 0,
                "waiters without a connection in use or connecting"
            );
        }
    }

    fn acquire(&mut self, id: &WorkerId) -> AcquireOutcome {
        let outcome = self.state.acquire(self.now, id, &mut self.commands);
        match &outcome {
            AcquireOutcome::Use(connection) => {
                let idle = self.idle.remove(connection).expect("the connection is idle");
                assert_eq!(idle.0, *id);
                self.in_use.insert(*connection, idle);
            }
            AcquireOutcome::Wait(waiter) => {
                self.waiting.insert(*waiter, id.clone());
            }
            AcquireOutcome::Failed(_) => {}
        }
        self.execute();
        outcome
    }

    fn apply_placement(
        &mut self,
        placement: &Placement,
        connection: ConnectionId,
        worker: WorkerId,
        opened_at: Time,
    ) {
        match placement {
            Placement::Granted(waiter) => {
                assert_eq!(
                    self.waiting.remove(waiter),
                    Some(worker.clone()),
                    "granted to a waiter that is not registered"
                );
                self.in_use.insert(connection, (worker, opened_at));
            }
            Placement::Idle => {
                self.idle.insert(connection, (worker, opened_at));
            }
            Placement::Closed => {}
        }
        self.execute();
    }

    fn complete_connect(&mut self, connection: ConnectionId) -> Placement {
        let (worker, addr) = self.connecting.remove(&connection).expect("a connection attempt");
        let placement = self.state.connect_succeeded(self.now, &worker, addr, connection, &mut self.commands);
        self.apply_placement(&placement, connection, worker, self.now);
        placement
    }

    fn fail_connect(&mut self, connection: ConnectionId, reason: NoConnection) {
        let (worker, _) = self.connecting.remove(&connection).expect("a connection attempt");
        self.state.connect_failed(self.now, &worker, reason, &mut self.commands);
        self.execute();
    }

    fn release(&mut self, connection: ConnectionId) -> Placement {
        let (worker, opened_at) = self.in_use.remove(&connection).expect("in use");
        let placement = self.state.released(self.now, &worker, connection, opened_at, &mut self.commands);
        self.apply_placement(&placement, connection, worker, opened_at);
        placement
    }

    fn fail_in_use(&mut self, connection: ConnectionId) {
        let (worker, _) = self.in_use.remove(&connection).expect("in use");
        self.state.connection_lost(self.now, &worker, CloseReason::Broken, &mut self.commands);
        self.execute();
    }

    fn sweep(&mut self) {
        self.state.sweep(self.now, &mut self.commands);
        self.execute();
    }

    fn view(&self, id: &WorkerId) -> View {
        self.state.views(self.now).into_iter().find(|view| view.worker == *id).expect("the worker is listed")
    }

    /// Opens `n` connections to `id` and leaves them idle. Returns them, the least recently used one first.
    fn open_idle(&mut self, id: &WorkerId, n: usize) -> Vec<ConnectionId> {
        for _ in 0..n {
            self.acquire(id);
        }
        while let Some(connection) = self.connecting.keys().next().copied() {
            self.complete_connect(connection);
        }
        let connections: Vec<ConnectionId> = self.in_use.keys().copied().collect();
        for connection in &connections {
            self.release(*connection);
        }
        connections
    }
}

/// Returns a random key of a map; `None` if the map is empty.
fn pick<K: Copy, V>(rng: &mut fastrand::Rng, from: &BTreeMap<K, V>) -> Option<K> {
    (!from.is_empty()).then(|| from.keys().nth(rng.usize(..from.len())).copied()).flatten()
}

/// A worker may become unavailable between the routing decision and the task that acquires a connection. A test of the
/// whole program cannot place an update between the two.
#[test]
fn a_request_to_an_unavailable_worker_gets_no_connection_and_opens_none() {
    let id: WorkerId = "a".into();
    for by_hand in [false, true] {
        let mut model = Model::new(8, 1);
        model.list_worker(&id, 1, 0.0, true);
        if by_hand {
            model.state.set_worker_disabled(&id, true, &mut model.commands);
        } else {
            model.list_worker(&id, 1, 0.0, false);
        }
        assert_eq!(model.acquire(&id), AcquireOutcome::Failed(NoConnection::Unavailable));
        assert_eq!(model.state.open(), 0);
        // Worker lists do not enable a worker that an operator has disabled.
        model.list_worker(&id, 1, 0.0, true);
        assert_eq!(matches!(model.acquire(&id), AcquireOutcome::Failed(_)), by_hand);
        model.state.set_worker_disabled(&id, false, &mut model.commands);
        assert!(matches!(model.acquire(&id), AcquireOutcome::Wait(_)));
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one step of the random walk for each event of the pools")]
fn random_events_keep_connections_counted_with_one_owner_each_and_no_waiter_without_an_expected_connection() {
    for seed in 0..150 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ids: Vec<WorkerId> = (0..4).map(|i| format!("w{i}").into()).collect();
        let mut budget = rng.usize(1..24);
        let mut model = Model::new(budget, seed);
        ids.iter().zip(1..).for_each(|(id, port)| model.list_worker(id, port, 0.0, true));
        for _ in 0..400 {
            model.now += rng.f64() * rng.f64() * 2.0;
            let id = &ids[rng.usize(..ids.len())];
            let before = model.state.open();
            match rng.u32(..16) {
                0..=4 => {
                    model.acquire(id);
                }
                5 | 6 => {
                    if let Some(connection) = pick(&mut rng, &model.connecting) {
                        model.complete_connect(connection);
                    }
                }
                7..=9 => {
                    if let Some(connection) = pick(&mut rng, &model.in_use) {
                        model.release(connection);
                    }
                }
                10 => {
                    let reasons = [NoConnection::Refused, NoConnection::TimedOut, NoConnection::NoDescriptor];
                    let connection = pick(&mut rng, &model.connecting);
                    if let Some(connection) = connection {
                        model.fail_connect(connection, reasons[rng.usize(..3)]);
                    }
                }
                11 => pick(&mut rng, &model.in_use)
                    .into_iter()
                    .for_each(|connection| model.fail_in_use(connection)),
                12 => {
                    if let Some(waiter) = pick(&mut rng, &model.waiting) {
                        let id = model.waiting.remove(&waiter).expect("picked");
                        model.state.cancel_waiter(&id, waiter);
                    }
                }
                13 => {
                    // A changed address, a restart, draining or the end of draining, in any combination.
                    let started = if rng.bool() { model.now - rng.f64() } else { 0.0 };
                    model.list_worker(id, rng.u16(1..6), started, rng.u32(..4) > 0);
                }
                14 => {
                    model.state.request_timed_out(model.now, id, model.now - rng.f64());
                    model.state.response_received(model.now, id, model.now - 5.0 * rng.f64());
                    model.state.capacity_reached(model.now, id, rng.bool());
                    if let Some(connection) = pick(&mut rng, &model.idle) {
                        let (worker, _) = model.idle.remove(&connection).expect("picked");
                        model.state.idle_closed(&worker, connection);
                    }
                }
                _ => {
                    model.sweep();
                    budget = rng.usize(1..24);
                    model.state.set_budget(model.now, budget, &mut model.commands);
                    model.execute();
                    assert!(model.state.open() <= budget || model.idle.is_empty());
                }
            }
            model.check();
            assert!(model.state.open() <= budget.max(before), "the budget is exceeded");
        }
        // All connections end, after which no waiter may remain.
        while let Some(connection) = model.connecting.keys().next().copied() {
            model.fail_connect(connection, NoConnection::Refused);
            while let Some(connection) = model.in_use.keys().next().copied() {
                model.release(connection);
            }
        }
        while let Some(connection) = model.in_use.keys().next().copied() {
            model.release(connection);
        }
        while let Some(connection) = model.connecting.keys().next().copied() {
            model.complete_connect(connection);
            while let Some(connection) = model.in_use.keys().next().copied() {
                model.fail_in_use(connection);
            }
        }
        assert!(model.waiting.is_empty(), "seed {seed}: {} waiters remain", model.waiting.len());
    }
}

#[test]
fn opening_never_exceeds_the_bound_and_a_bound_below_one_is_a_share_of_the_time() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let id: WorkerId = "w".into();
        let mut model = Model::new(100, seed);
        model.list_worker(&id, 1, 0.0, true);
        for _ in 0..200 {
            model.now += rng.f64();
            let (before, view) = (model.connecting.len(), model.view(&id));
            model.acquire(&id);
            if model.connecting.len() > before {
                let open = (view.idle + (view.in_use + view.connecting) as usize) as f64;
                assert!(view.bound.is_none_or(|b| open + 1.0 <= b || open == 0.0));
            }
            match rng.u32(..4) {
                0 => {
                    if let Some(connection) = pick(&mut rng, &model.connecting) {
                        model.complete_connect(connection);
                    }
                }
                1 => {
                    let connection = pick(&mut rng, &model.connecting);
                    if let Some(connection) = connection {
                        model.fail_connect(connection, NoConnection::Refused);
                    }
                }
                _ => {
                    if let Some(connection) = pick(&mut rng, &model.in_use) {
                        model.release(connection);
                    }
                }
            }
        }
    }
    let id: WorkerId = "w".into();
    let mut model = Model::new(100, 1);
    model.list_worker(&id, 1, 0.0, true);
    model.state.capacity_reached(model.now, &id, true);
    assert_eq!(
        model.acquire(&id),
        AcquireOutcome::Failed(NoConnection::LimitReached),
        "outside its share of the time"
    );
    model.now += BOUND_DOUBLING_S;
    assert!(matches!(model.acquire(&id), AcquireOutcome::Wait(_)));
}

#[test]
fn the_bound_shrinks_to_a_share_of_the_connections_and_doubles_in_its_doubling_time() {
    let id: WorkerId = "w".into();
    let mut model = Model::new(100, 1);
    model.list_worker(&id, 1, 0.0, true);
    model.open_idle(&id, 4);
    assert_eq!(model.view(&id).bound, None);
    let connections: Vec<AcquireOutcome> = (0..4).map(|_| model.acquire(&id)).collect();
    assert!(connections.iter().all(|outcome| matches!(outcome, AcquireOutcome::Use(_))));
    model.acquire(&id);
    let connection = *model.connecting.keys().next().expect("a connection attempt");
    model.fail_connect(connection, NoConnection::Refused);
    let after = model.view(&id).bound.expect("a learned bound");
    assert!(after < 4.0 && after > 2.0, "{after}");
    assert!(matches!(model.acquire(&id), AcquireOutcome::Wait(_)), "waits for a connection in use");
    assert!(model.connecting.is_empty(), "no further connection attempts");
    model.now += BOUND_DOUBLING_S;
    assert!((model.view(&id).bound.expect("a learned bound") / after - 2.0).abs() < 1e-6);
    // A worker that refuses its only connection attempt has terminated, which does not show its capacity.
    let other: WorkerId = "dead".into();
    model.list_worker(&other, 2, 0.0, true);
    model.acquire(&other);
    let connection = *model.connecting.keys().next().expect("a connection attempt");
    model.fail_connect(connection, NoConnection::Refused);
    assert_eq!(model.view(&other).bound, None);
}

#[test]
fn the_most_recently_used_connection_is_reused_first_and_a_waiter_gets_the_first_free_one() {
    let id: WorkerId = "w".into();
    let mut model = Model::new(100, 1);
    model.list_worker(&id, 1, 0.0, true);
    let connections = model.open_idle(&id, 3);
    assert_eq!(model.acquire(&id), AcquireOutcome::Use(connections[2]));
    assert_eq!(model.acquire(&id), AcquireOutcome::Use(connections[1]));
    assert_eq!(model.acquire(&id), AcquireOutcome::Use(connections[0]));
    let AcquireOutcome::Wait(waiter) = model.acquire(&id) else { panic!("none is idle") };
    assert_eq!(
        model.release(connections[1]),
        Placement::Granted(waiter),
        "released before the attempt succeeds"
    );
    let connection = *model.connecting.keys().next().expect("a connection attempt");
    assert_eq!(model.complete_connect(connection), Placement::Idle, "kept although no waiter is left");
    assert_eq!(model.acquire(&id), AcquireOutcome::Use(connection));
}

#[test]
fn concurrent_connection_attempts_are_limited_for_each_worker_and_in_all() {
    let mut model = Model::new(20, 1);
    for i in 0..10 {
        let id: WorkerId = format!("w{i}").into();
        model.list_worker(&id, i + 1, 0.0, true);
        for _ in 0..20 {
            model.acquire(&id);
        }
        assert!(model.view(&id).connecting <= MAX_CONNECTING_PER_WORKER);
    }
    assert_eq!(model.connecting.len(), 10, "half of the budget");
}

#[test]
fn idle_connections_of_an_unresponsive_worker_are_not_used_until_it_responds_again() {
    let id: WorkerId = "w".into();
    let mut model = Model::new(100, 1);
    model.list_worker(&id, 1, 0.0, true);
    let connections = model.open_idle(&id, 3);
    let sent_at = model.now;
    model.now += 1.0;
    // The worker is slow, not unresponsive: it has responded to something else since.
    model.state.response_received(model.now, &id, sent_at);
    model.state.request_timed_out(model.now, &id, sent_at);
    assert!(!model.view(&id).suspect);
    let (sent_at, outcome) = (model.now + 0.1, model.acquire(&id));
    assert_eq!(outcome, AcquireOutcome::Use(connections[2]));
    model.now += 1.0;
    model.fail_in_use(connections[2]);
    model.state.request_timed_out(model.now, &id, sent_at);
    assert!(matches!(model.acquire(&id), AcquireOutcome::Wait(_)), "none of the others is handed out");
    let connection = *model.connecting.keys().next().expect("a connection attempt");
    assert!(matches!(model.complete_connect(connection), Placement::Granted(_)));
    assert!(model.idle.is_empty(), "the worker may have lost the connections from before");
    assert!(!model.view(&id).suspect);
    // A response on a connection from before ends the suspicion.
    model.release(connection);
    let connections = model.open_idle(&id, 2);
    model.acquire(&id);
    model.now += 1.0;
    model.state.request_timed_out(model.now, &id, model.now - 0.5);
    assert!(model.view(&id).suspect);
    model.state.response_received(model.now, &id, model.now - 5.0);
    assert_eq!(model.acquire(&id), AcquireOutcome::Use(connections[0]));
}

#[test]
fn workers_that_swap_addresses_or_restart_keep_no_connection_from_before() {
    let (one, two): (WorkerId, WorkerId) = ("one".into(), "two".into());
    let mut model = Model::new(100, 1);
    model.list_worker(&one, 1, 0.0, true);
    model.list_worker(&two, 2, 0.0, true);
    model.open_idle(&one, 2);
    model.open_idle(&two, 1);
    let AcquireOutcome::Use(used) = model.acquire(&one) else { panic!("one is idle") };
    let AcquireOutcome::Wait(waiter) = (0..2).map(|_| model.acquire(&one)).last().expect("two outcomes")
    else {
        panic!("none is idle")
    };
    model.now += 1.0;
    model.list_worker(&one, 2, 0.0, true);
    model.list_worker(&two, 1, 0.0, true);
    assert!(model.idle.is_empty());
    assert_eq!(model.release(used), Placement::Closed, "it leads to the other worker");
    let connection = *model.connecting.keys().next().expect("a connection attempt");
    assert_eq!(model.complete_connect(connection), Placement::Closed, "as does the one being established");
    let connection = *model.connecting.keys().next().expect("an attempt to the new address");
    assert_eq!(model.connecting[&connection].1, addr(2));
    assert_eq!(model.complete_connect(connection), Placement::Granted(waiter));
    model.release(connection);
    model.now += 1.0;
    model.list_worker(&one, 2, model.now, true);
    assert!(model.idle.is_empty(), "the worker has restarted");
    model.open_idle(&one, 1);
    model.list_worker(&one, 2, model.now - 0.5, true);
    assert_eq!(model.idle.len(), 1, "the connection was opened after this start");
    model.list_worker(&one, 2, model.now - 0.5, false);
    assert!(model.idle.is_empty(), "the worker drains");
}

#[test]
fn connections_that_recent_demand_does_not_need_close_early_and_at_random_times() {
    let mut ends = BTreeSet::new();
    for seed in 0..8 {
        let id: WorkerId = "w".into();
        let mut model = Model::new(100, seed);
        model.list_worker(&id, 1, 0.0, true);
        model.open_idle(&id, 4);
        let start = model.now;
        while model.idle.len() > 1 {
            model.now += 0.01;
            // One connection is used repeatedly.
            if let AcquireOutcome::Use(connection) = model.acquire(&id) {
                model.release(connection);
            }
            model.sweep();
            assert!(model.now < start + IDLE_TIMEOUT_S, "the surplus is closed before the idle time-out");
        }
        assert!(model.now > start + SURPLUS_CLOSE_SHARES.0 * IDLE_TIMEOUT_S);
        ends.insert((model.now * 100.0) as u64);
        while !model.idle.is_empty() {
            model.now += 0.1;
            model.sweep();
        }
        assert!(model.now >= start + IDLE_TIMEOUT_S, "the last connection stays until its idle time-out");
    }
    assert!(ends.len() > 4, "{ends:?}");
}

#[test]
fn an_exhausted_budget_closes_the_lowest_ranked_idle_connection_and_none_in_use() {
    let (one, two): (WorkerId, WorkerId) = ("one".into(), "two".into());
    let mut model = Model::new(4, 1);
    model.list_worker(&one, 1, 0.0, true);
    model.list_worker(&two, 2, 0.0, true);
    let needed = model.open_idle(&one, 1)[0];
    model.now += 1.0;
    model.open_idle(&two, 2);
    model.now += 2.0 * IDLE_TIMEOUT_S * DEMAND_TIME_CONSTANT_SHARE;
    model.acquire(&two);
    let ids: Vec<WorkerId> = (0..3).map(|i| WorkerId::from(format!("n{i}"))).collect();
    for id in &ids {
        model.list_worker(id, 9, 0.0, true);
    }
    model.acquire(&ids[0]);
    model.acquire(&ids[1]);
    assert!(model.idle.contains_key(&needed), "the surplus connection of the other worker was closed");
    assert_eq!(model.view(&two).idle, 0);
    while let Some(connection) = model.connecting.keys().next().copied() {
        model.complete_connect(connection);
    }
    model.acquire(&ids[2]);
    assert!(model.idle.is_empty());
    let two_in_use = model.view(&two).in_use;
    assert_eq!((two_in_use, model.state.open()), (1, 4));
    let fourth: WorkerId = "n3".into();
    model.list_worker(&fourth, 9, 0.0, true);
    assert_eq!(model.acquire(&fourth), AcquireOutcome::Failed(NoConnection::NoDescriptor));
}

#[test]
fn a_list_that_replaces_every_worker_removes_the_old_pools() {
    let mut model = Model::new(100, 1);
    for i in 0..20 {
        let id: WorkerId = format!("old{i}").into();
        model.list_worker(&id, 1 + i, 0.0, true);
        model.open_idle(&id, 1);
    }
    let old: WorkerId = "old0".into();
    let AcquireOutcome::Use(used) = model.acquire(&old) else { panic!("one is idle") };
    let new: WorkerId = "new".into();
    model.list_worker(&new, 99, 0.0, true);
    model.state.retain_workers(|id| id == &*new, &mut model.commands);
    model.execute();
    assert!(model.idle.is_empty());
    model.sweep();
    assert_eq!(model.state.views(model.now).len(), 2, "one worker still has an active request");
    assert_eq!(model.release(used), Placement::Closed);
    model.sweep();
    assert_eq!(model.state.views(model.now).len(), 1);
}

#[test]
fn a_shorter_idle_timeout_and_a_smaller_budget_apply_at_once_to_idle_connections() {
    let id: WorkerId = "w".into();
    let mut model = Model::new(100, 1);
    model.list_worker(&id, 1, 0.0, true);
    model.open_idle(&id, 6);
    model.state.set_budget(model.now, 2, &mut model.commands);
    model.execute();
    assert_eq!(model.idle.len(), 2);
    model.now += 2.0;
    model.state.set_settings(
        model.now,
        PoolSettings { idle_timeout: 1.0, ..settings() },
        &mut model.commands,
    );
    model.execute();
    assert!(model.idle.is_empty());
}
