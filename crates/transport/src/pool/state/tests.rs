//! Random and chosen orders of events at the state of the pools.

use super::{
    worker::{CONNECTING, REGROWTH},
    *,
};
use std::collections::{BTreeMap, BTreeSet};

const KEEP: f64 = 20.0;

fn limits() -> PoolSettings {
    PoolSettings { keep: KEEP, gateway_count: 4 }
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A state, whoever carries out its commands, and a count of its own of every connection.
struct World {
    state: PoolState,
    now: Time,
    commands: Vec<Command>,
    idle: BTreeMap<ConnectionId, (WorkerId, Time)>,
    in_use: BTreeMap<ConnectionId, (WorkerId, Time)>,
    connecting: BTreeMap<ConnectionId, (WorkerId, SocketAddr)>,
    waiting: BTreeMap<WaiterId, WorkerId>,
    failed: Vec<(WaiterId, NoConnection)>,
}

impl World {
    fn new(budget: usize, seed: u64) -> Self {
        Self {
            state: PoolState::new(budget, limits(), seed),
            now: 1000.0,
            commands: Vec::new(),
            idle: BTreeMap::new(),
            in_use: BTreeMap::new(),
            connecting: BTreeMap::new(),
            waiting: BTreeMap::new(),
            failed: Vec::new(),
        }
    }

    fn list(&mut self, id: &WorkerId, port: u16, started: Time, wanted: bool) {
        self.state.update_worker(
            self.now,
            id,
            Some(addr(port)),
            started,
            (wanted, false),
            &mut self.commands,
        );
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for command in self.commands.drain(..) {
            match command {
                Command::Open { worker, addr, id: link } => {
                    let known = self.idle.contains_key(&link) || self.in_use.contains_key(&link);
                    assert!(!known && self.connecting.insert(link, (worker, addr)).is_none());
                }
                Command::Close(link) => assert!(self.idle.remove(&link).is_some(), "not idle"),
                Command::Fail(waiter, why) => {
                    assert!(self.waiting.remove(&waiter).is_some(), "it waits for nothing");
                    self.failed.push((waiter, why));
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        let held = self.idle.len() + self.in_use.len() + self.connecting.len();
        assert_eq!(self.state.open(), held, "counted exactly");
        let views = self.state.views(self.now);
        let told = |v: &View| v.idle + (v.in_use + v.connecting) as usize;
        assert_eq!(views.iter().map(told).sum::<usize>(), held);
        for view in &views {
            assert!(view.connecting <= CONNECTING);
            let of = |w: &WorkerId| *w == view.worker;
            assert_eq!(view.idle, self.idle.values().filter(|(w, _)| of(w)).count());
            assert_eq!(view.in_use as usize, self.in_use.values().filter(|(w, _)| of(w)).count());
            assert_eq!(view.waiting, self.waiting.values().filter(|w| of(w)).count());
            assert!(view.waiting == 0 || view.in_use + view.connecting > 0, "waits for nothing");
        }
    }

    fn ask(&mut self, id: &WorkerId) -> Asked {
        let asked = self.state.ask(self.now, id, &mut self.commands);
        match &asked {
            Asked::Use(link) => {
                let idle = self.idle.remove(link).expect("handed out once");
                assert_eq!(idle.0, *id);
                self.in_use.insert(*link, idle);
            }
            Asked::Wait(waiter) => {
                self.waiting.insert(*waiter, id.clone());
            }
            Asked::No(_) => {}
        }
        self.carry_out();
        asked
    }

    fn placed(&mut self, placed: &Placed, link: ConnectionId, worker: WorkerId, opened: Time) {
        match placed {
            Placed::Granted(waiter) => {
                assert_eq!(self.waiting.remove(waiter), Some(worker.clone()), "woken for nothing");
                self.in_use.insert(link, (worker, opened));
            }
            Placed::Idle => {
                self.idle.insert(link, (worker, opened));
            }
            Placed::Closed => {}
        }
        self.carry_out();
    }

    fn up(&mut self, link: ConnectionId) -> Placed {
        let (worker, addr) = self.connecting.remove(&link).expect("ordered");
        let placed = self.state.opened(self.now, &worker, addr, link, &mut self.commands);
        self.placed(&placed, link, worker, self.now);
        placed
    }

    fn down(&mut self, link: ConnectionId, why: NoConnection) {
        let (worker, _) = self.connecting.remove(&link).expect("ordered");
        self.state.not_opened(self.now, &worker, why, &mut self.commands);
        self.carry_out();
    }

    fn back(&mut self, link: ConnectionId) -> Placed {
        let (worker, opened) = self.in_use.remove(&link).expect("in use");
        let placed = self.state.released(self.now, &worker, link, opened, &mut self.commands);
        self.placed(&placed, link, worker, opened);
        placed
    }

    fn lose(&mut self, link: ConnectionId) {
        let (worker, _) = self.in_use.remove(&link).expect("in use");
        self.state.lost(self.now, &worker, CloseReason::Broken, &mut self.commands);
        self.carry_out();
    }

    fn sweep(&mut self) {
        self.state.sweep(self.now, &mut self.commands);
        self.carry_out();
    }

    fn view(&self, id: &WorkerId) -> View {
        self.state.views(self.now).into_iter().find(|v| v.worker == *id).expect("listed")
    }

    /// Opens `n` connections to `id` and leaves them idle; in the command of their use.
    fn idle(&mut self, id: &WorkerId, n: usize) -> Vec<ConnectionId> {
        for _ in 0..n {
            self.ask(id);
        }
        while let Some(link) = self.connecting.keys().next().copied() {
            self.up(link);
        }
        let links: Vec<ConnectionId> = self.in_use.keys().copied().collect();
        for link in &links {
            self.back(*link);
        }
        links
    }
}

fn pick<K: Copy, V>(rng: &mut fastrand::Rng, from: &BTreeMap<K, V>) -> Option<K> {
    (!from.is_empty()).then(|| from.keys().nth(rng.usize(..from.len())).copied()).flatten()
}

/// Between the decision to send and the task that asks there is no event that a test of the whole program could
/// put the news at.
#[test]
fn who_asks_after_a_worker_was_turned_away_has_no_connection_and_begins_none() {
    let id: WorkerId = "a".into();
    for by_hand in [false, true] {
        let mut world = World::new(8, 1);
        world.list(&id, 1, 0.0, true);
        if by_hand {
            world.state.set_worker_disabled(&id, true, &mut world.commands);
        } else {
            world.list(&id, 1, 0.0, false);
        }
        assert_eq!(world.ask(&id), Asked::No(NoConnection::Unavailable));
        assert_eq!(world.state.open(), 0);
        // Lists do not put back what is out by hand.
        world.list(&id, 1, 0.0, true);
        assert_eq!(matches!(world.ask(&id), Asked::No(_)), by_hand);
        world.state.set_worker_disabled(&id, false, &mut world.commands);
        assert!(matches!(world.ask(&id), Asked::Wait(_)));
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one step of the random walk for each event of the pools")]
fn whatever_happens_each_connection_is_counted_and_has_one_holder_and_nobody_waits_for_nothing() {
    for seed in 0..150 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ids: Vec<WorkerId> = (0..4).map(|i| format!("w{i}").into()).collect();
        let mut budget = rng.usize(1..24);
        let mut world = World::new(budget, seed);
        ids.iter().zip(1..).for_each(|(id, port)| world.list(id, port, 0.0, true));
        for _ in 0..400 {
            world.now += rng.f64() * rng.f64() * 2.0;
            let id = &ids[rng.usize(..ids.len())];
            let before = world.state.open();
            match rng.u32(..16) {
                0..=4 => {
                    world.ask(id);
                }
                5 | 6 => {
                    if let Some(link) = pick(&mut rng, &world.connecting) {
                        world.up(link);
                    }
                }
                7..=9 => {
                    if let Some(link) = pick(&mut rng, &world.in_use) {
                        world.back(link);
                    }
                }
                10 => {
                    let whys = [NoConnection::Refused, NoConnection::TimedOut, NoConnection::NoDescriptor];
                    let link = pick(&mut rng, &world.connecting);
                    if let Some(link) = link {
                        world.down(link, whys[rng.usize(..3)]);
                    }
                }
                11 => pick(&mut rng, &world.in_use).into_iter().for_each(|l| world.lose(l)),
                12 => {
                    if let Some(waiter) = pick(&mut rng, &world.waiting) {
                        let id = world.waiting.remove(&waiter).expect("picked");
                        world.state.give_up(&id, waiter);
                    }
                }
                13 => {
                    // Elsewhere, anew, draining, back: in any command.
                    let started = if rng.bool() { world.now - rng.f64() } else { 0.0 };
                    world.list(id, rng.u16(1..6), started, rng.u32(..4) > 0);
                }
                14 => {
                    world.state.request_timed_out(world.now, id, world.now - rng.f64());
                    world.state.response_received(world.now, id, world.now - 5.0 * rng.f64());
                    world.state.capacity_reached(world.now, id, rng.bool());
                    if let Some(link) = pick(&mut rng, &world.idle) {
                        let (worker, _) = world.idle.remove(&link).expect("picked");
                        world.state.ended(&worker, link);
                    }
                }
                _ => {
                    world.sweep();
                    budget = rng.usize(1..24);
                    world.state.set_budget(world.now, budget, &mut world.commands);
                    world.carry_out();
                    assert!(world.state.open() <= budget || world.idle.is_empty());
                }
            }
            world.check();
            assert!(world.state.open() <= budget.max(before), "over the budget");
        }
        // Everything ends: nobody is left waiting.
        while let Some(link) = world.connecting.keys().next().copied() {
            world.down(link, NoConnection::Refused);
            while let Some(link) = world.in_use.keys().next().copied() {
                world.back(link);
            }
        }
        while let Some(link) = world.in_use.keys().next().copied() {
            world.back(link);
        }
        while let Some(link) = world.connecting.keys().next().copied() {
            world.up(link);
            while let Some(link) = world.in_use.keys().next().copied() {
                world.lose(link);
            }
        }
        assert!(world.waiting.is_empty(), "seed {seed}: {} wait for good", world.waiting.len());
    }
}

#[test]
fn a_bound_is_never_passed_by_opening_and_a_share_of_one_is_a_share_of_the_time() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let id: WorkerId = "w".into();
        let mut world = World::new(100, seed);
        world.list(&id, 1, 0.0, true);
        for _ in 0..200 {
            world.now += rng.f64();
            let (before, view) = (world.connecting.len(), world.view(&id));
            world.ask(&id);
            if world.connecting.len() > before {
                let held = (view.idle + (view.in_use + view.connecting) as usize) as f64;
                assert!(view.bound.is_none_or(|b| held + 1.0 <= b || held == 0.0));
            }
            match rng.u32(..4) {
                0 => {
                    if let Some(link) = pick(&mut rng, &world.connecting) {
                        world.up(link);
                    }
                }
                1 => {
                    let link = pick(&mut rng, &world.connecting);
                    if let Some(link) = link {
                        world.down(link, NoConnection::Refused);
                    }
                }
                _ => {
                    if let Some(link) = pick(&mut rng, &world.in_use) {
                        world.back(link);
                    }
                }
            }
        }
    }
    let id: WorkerId = "w".into();
    let mut world = World::new(100, 1);
    world.list(&id, 1, 0.0, true);
    world.state.capacity_reached(world.now, &id, true);
    assert_eq!(world.ask(&id), Asked::No(NoConnection::LimitReached), "its share of the time is not now");
    world.now += REGROWTH;
    assert!(matches!(world.ask(&id), Asked::Wait(_)));
}

#[test]
fn a_bound_shrinks_with_what_is_held_and_grows_back_slowly() {
    let id: WorkerId = "w".into();
    let mut world = World::new(100, 1);
    world.list(&id, 1, 0.0, true);
    world.idle(&id, 4);
    assert_eq!(world.view(&id).bound, None);
    let links: Vec<Asked> = (0..4).map(|_| world.ask(&id)).collect();
    assert!(links.iter().all(|l| matches!(l, Asked::Use(_))));
    world.ask(&id);
    let link = *world.connecting.keys().next().expect("a connect");
    world.down(link, NoConnection::Refused);
    let after = world.view(&id).bound.expect("bound now");
    assert!(after < 4.0 && after > 2.0, "{after}");
    assert!(matches!(world.ask(&id), Asked::Wait(_)), "for one that is in use");
    assert!(world.connecting.is_empty(), "no herd of connects");
    world.now += REGROWTH;
    assert!((world.view(&id).bound.expect("still bound") / after - 2.0).abs() < 1e-6);
    // One that is refused with nothing else there has ended: that bounds nothing.
    let other: WorkerId = "dead".into();
    world.list(&other, 2, 0.0, true);
    world.ask(&other);
    let link = *world.connecting.keys().next().expect("a connect");
    world.down(link, NoConnection::Refused);
    assert_eq!(world.view(&other).bound, None);
}

#[test]
fn the_one_used_last_goes_first_and_who_waits_takes_what_comes_first() {
    let id: WorkerId = "w".into();
    let mut world = World::new(100, 1);
    world.list(&id, 1, 0.0, true);
    let links = world.idle(&id, 3);
    assert_eq!(world.ask(&id), Asked::Use(links[2]));
    assert_eq!(world.ask(&id), Asked::Use(links[1]));
    assert_eq!(world.ask(&id), Asked::Use(links[0]));
    let Asked::Wait(waiter) = world.ask(&id) else { panic!("none is idle") };
    assert_eq!(world.back(links[1]), Placed::Granted(waiter), "given back before the connect is up");
    let link = *world.connecting.keys().next().expect("a connect");
    assert_eq!(world.up(link), Placed::Idle, "kept though nobody waits any more");
    assert_eq!(world.ask(&id), Asked::Use(link));
}

#[test]
fn connects_under_way_are_bounded_for_each_worker_and_in_all() {
    let mut world = World::new(20, 1);
    for i in 0..10 {
        let id: WorkerId = format!("w{i}").into();
        world.list(&id, i + 1, 0.0, true);
        for _ in 0..20 {
            world.ask(&id);
        }
        assert!(world.view(&id).connecting <= CONNECTING);
    }
    assert_eq!(world.connecting.len(), 10, "half of the budget");
}

#[test]
fn a_silent_workers_other_connections_are_suspect_until_it_is_heard_again() {
    let id: WorkerId = "w".into();
    let mut world = World::new(100, 1);
    world.list(&id, 1, 0.0, true);
    let links = world.idle(&id, 3);
    let sent = world.now;
    world.now += 1.0;
    // Slow, not silent: something else came since.
    world.state.response_received(world.now, &id, sent);
    world.state.request_timed_out(world.now, &id, sent);
    assert!(!world.view(&id).suspect);
    let (sent, asked) = (world.now + 0.1, world.ask(&id));
    assert_eq!(asked, Asked::Use(links[2]));
    world.now += 1.0;
    world.lose(links[2]);
    world.state.request_timed_out(world.now, &id, sent);
    assert!(matches!(world.ask(&id), Asked::Wait(_)), "none of the others is handed out");
    let link = *world.connecting.keys().next().expect("a connect");
    assert!(matches!(world.up(link), Placed::Granted(_)));
    assert!(world.idle.is_empty(), "whether it knows those from before is not told");
    assert!(!world.view(&id).suspect);
    // An answer on one from before clears the others.
    world.back(link);
    let links = world.idle(&id, 2);
    world.ask(&id);
    world.now += 1.0;
    world.state.request_timed_out(world.now, &id, world.now - 0.5);
    assert!(world.view(&id).suspect);
    world.state.response_received(world.now, &id, world.now - 5.0);
    assert_eq!(world.ask(&id), Asked::Use(links[0]));
}

#[test]
fn workers_that_exchange_addresses_or_start_anew_keep_no_connection_from_before() {
    let (one, two): (WorkerId, WorkerId) = ("one".into(), "two".into());
    let mut world = World::new(100, 1);
    world.list(&one, 1, 0.0, true);
    world.list(&two, 2, 0.0, true);
    world.idle(&one, 2);
    world.idle(&two, 1);
    let Asked::Use(used) = world.ask(&one) else { panic!("one is idle") };
    let Asked::Wait(waiter) = (0..2).map(|_| world.ask(&one)).last().expect("asked") else {
        panic!("none is idle")
    };
    world.now += 1.0;
    world.list(&one, 2, 0.0, true);
    world.list(&two, 1, 0.0, true);
    assert!(world.idle.is_empty());
    assert_eq!(world.back(used), Placed::Closed, "it leads to the other one");
    let link = *world.connecting.keys().next().expect("a connect");
    assert_eq!(world.up(link), Placed::Closed, "as does one that was under way");
    let link = *world.connecting.keys().next().expect("one in its place");
    assert_eq!(world.connecting[&link].1, addr(2));
    assert_eq!(world.up(link), Placed::Granted(waiter));
    world.back(link);
    world.now += 1.0;
    world.list(&one, 2, world.now, true);
    assert!(world.idle.is_empty(), "it has started anew");
    world.idle(&one, 1);
    world.list(&one, 2, world.now - 0.5, true);
    assert_eq!(world.idle.len(), 1, "told late: this came after that start");
    world.list(&one, 2, world.now - 0.5, false);
    assert!(world.idle.is_empty(), "it drains");
}

#[test]
fn what_recent_demand_does_not_need_goes_early_and_not_in_step() {
    let mut ends = BTreeSet::new();
    for seed in 0..8 {
        let id: WorkerId = "w".into();
        let mut world = World::new(100, seed);
        world.list(&id, 1, 0.0, true);
        world.idle(&id, 4);
        let start = world.now;
        while world.idle.len() > 1 {
            world.now += 0.01;
            // One is in use now and then.
            if let Asked::Use(link) = world.ask(&id) {
                world.back(link);
            }
            world.sweep();
            assert!(world.now < start + KEEP, "only its limit closes it");
        }
        assert!(world.now > start + EARLY.0 * KEEP);
        ends.insert((world.now * 100.0) as u64);
        while !world.idle.is_empty() {
            world.now += 0.1;
            world.sweep();
        }
        assert!(world.now >= start + KEEP, "the last one stays to its limit");
    }
    assert!(ends.len() > 4, "{ends:?}");
}

#[test]
fn under_pressure_the_least_useful_of_all_goes_and_none_in_use() {
    let (one, two): (WorkerId, WorkerId) = ("one".into(), "two".into());
    let mut world = World::new(4, 1);
    world.list(&one, 1, 0.0, true);
    world.list(&two, 2, 0.0, true);
    let needed = world.idle(&one, 1)[0];
    world.now += 1.0;
    world.idle(&two, 2);
    world.now += 2.0 * KEEP * DEMAND_MEMORY;
    world.ask(&two);
    let ids: Vec<WorkerId> = (0..3).map(|i| WorkerId::from(format!("n{i}"))).collect();
    for id in &ids {
        world.list(id, 9, 0.0, true);
    }
    world.ask(&ids[0]);
    world.ask(&ids[1]);
    assert!(world.idle.contains_key(&needed), "the surplus one of the other went");
    assert_eq!(world.view(&two).idle, 0);
    while let Some(link) = world.connecting.keys().next().copied() {
        world.up(link);
    }
    world.ask(&ids[2]);
    assert!(world.idle.is_empty());
    let two_in_use = world.view(&two).in_use;
    assert_eq!((two_in_use, world.state.open()), (1, 4));
    let fourth: WorkerId = "n3".into();
    world.list(&fourth, 9, 0.0, true);
    assert_eq!(world.ask(&fourth), Asked::No(NoConnection::NoDescriptor));
}

#[test]
fn a_list_that_replaces_every_worker_leaves_nothing_behind() {
    let mut world = World::new(100, 1);
    for i in 0..20 {
        let id: WorkerId = format!("old{i}").into();
        world.list(&id, 1 + i, 0.0, true);
        world.idle(&id, 1);
    }
    let old: WorkerId = "old0".into();
    let Asked::Use(used) = world.ask(&old) else { panic!("one is idle") };
    let new: WorkerId = "new".into();
    world.list(&new, 99, 0.0, true);
    world.state.retain_workers(|id| id == &*new, &mut world.commands);
    world.carry_out();
    assert!(world.idle.is_empty());
    world.sweep();
    assert_eq!(world.state.views(world.now).len(), 2, "one still has a request");
    assert_eq!(world.back(used), Placed::Closed);
    world.sweep();
    assert_eq!(world.state.views(world.now).len(), 1);
}

#[test]
fn a_shorter_idle_limit_and_a_smaller_budget_hold_at_once_for_what_is_idle() {
    let id: WorkerId = "w".into();
    let mut world = World::new(100, 1);
    world.list(&id, 1, 0.0, true);
    world.idle(&id, 6);
    world.state.set_budget(world.now, 2, &mut world.commands);
    world.carry_out();
    assert_eq!(world.idle.len(), 2);
    world.now += 2.0;
    world.state.set_settings(world.now, PoolSettings { keep: 1.0, ..limits() }, &mut world.commands);
    world.carry_out();
    assert!(world.idle.is_empty());
}
