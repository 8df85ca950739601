//! Zones, on the module without sockets: small fleets played event by event.

mod common;

use opalrun_gateway::*;
use std::collections::BTreeMap;

const STEP: f64 = 0.01;
const ANSWER: f64 = 0.1;

/// What a zone's servers do.
#[derive(Clone, Copy, PartialEq)]
enum Does {
    Answers,
    /// Connects are refused.
    Refuses,
    /// Nothing comes back before the attempt's time.
    Silent,
    /// So many of a hundred answers are errors.
    Errs(u32),
}

struct Out {
    at: f64,
    gateway: usize,
    job: JobId,
    attempt: u32,
    server: ServerId,
    status: Status,
    spent: f64,
}

struct Fleet {
    now: f64,
    gateways: Vec<Gateway>,
    zones: Vec<u32>,
    servers: BTreeMap<ServerId, u32>,
    does: BTreeMap<u32, Does>,
    out: Vec<Out>,
    attempts: BTreeMap<(usize, JobId), u32>,
    /// Sends: when, by whom, to which zone.
    sent: Vec<(f64, usize, u32)>,
    to: Vec<(f64, ServerId)>,
    finals: usize,
    logs: Vec<(f64, usize, String)>,
    rng: fastrand::Rng,
    jobs: u64,
}

fn settings(gateways: u32, me: u32, zone: u32) -> Settings {
    let mut s = Settings::default();
    (s.gateway_count, s.gateway_index, s.zone, s.hedging_allowed, s.max_attempts) =
        (gateways, me, zone, true, 4);
    (s.warm_up, s.initial_capacity_share, s.overload_factor, s.overload_window) = (10.0, 0.25, 3.0, 3.0);
    let mut class = Class::default();
    class.latency_target = 0.6;
    s.classes = vec![class.clone(), class];
    s.classes[1].effect = Effect::Deduplicated { group: Group::Zone, window: 5.0 };
    s.plans = vec![Plan::default()];
    s
}

impl Fleet {
    /// `workers` in each zone; gateways in turn over `homes`.
    fn new(gateways: u32, workers: &[usize], homes: &[u32], seed: u64) -> Self {
        let zones: Vec<u32> = (0..gateways).map(|g| homes[g as usize % homes.len()]).collect();
        let made = (0..gateways).map(|g| {
            Gateway::new(settings(gateways, g, zones[g as usize]), seed * 1000 + u64::from(g))
                .expect("usable")
        });
        let mut fleet = Self {
            now: 1000.0,
            gateways: made.collect(),
            zones,
            servers: BTreeMap::new(),
            does: (0..workers.len() as u32).map(|z| (z, Does::Answers)).collect(),
            out: Vec::new(),
            attempts: BTreeMap::new(),
            sent: Vec::new(),
            to: Vec::new(),
            finals: 0,
            logs: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            jobs: 0,
        };
        for (zone, count) in workers.iter().enumerate() {
            for i in 0..*count {
                // Ids tell nothing of the zone.
                let id = format!("s{:08x}", (i as u32 * 7919 + zone as u32 * 104_729) ^ 0x5bd1_e995);
                fleet.servers.insert(id.as_str().into(), zone as u32);
            }
        }
        fleet.list(0.0);
        fleet
    }

    fn entries(&self, started: f64, of: Option<u32>) -> Vec<Server> {
        let chosen = self.servers.iter().filter(|(_, zone)| of.is_none_or(|of| **zone == of));
        let lifecycle = Lifecycle::Running;
        chosen.map(|(id, zone)| Server { id: id.clone(), zone: *zone, cell: 0, started, lifecycle }).collect()
    }

    fn list(&mut self, started: f64) {
        let servers = self.entries(started, None);
        for g in 0..self.gateways.len() {
            self.event(g, Event::List { kind: ListKind::Full, servers: servers.clone() });
        }
    }

    fn event(&mut self, g: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[g].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { job, server, timeout, .. } => {
                    let number = self.attempts.entry((g, job.clone())).or_default();
                    let attempt = *number;
                    *number += 1;
                    let zone = self.servers[&server];
                    self.sent.push((self.now, g, zone));
                    self.to.push((self.now, server.clone()));
                    let (after, status) = match self.does[&zone] {
                        Does::Answers => (ANSWER * (0.5 + self.rng.f64()), Status::Ok),
                        Does::Refuses => (0.002, Status::ConnectFailed),
                        Does::Silent => (timeout, Status::Timeout),
                        Does::Errs(n) if self.rng.u32(..100) < n => (ANSWER, Status::Error),
                        Does::Errs(_) => (ANSWER, Status::Ok),
                    };
                    let at = self.now + after;
                    self.out.push(Out { at, gateway: g, job, attempt, server, status, spent: after });
                }
                Action::Refuse { .. } | Action::Fail { .. } => self.finals += 1,
                Action::Log(text) => self.logs.push((self.now, g, text)),
                _ => {}
            }
        }
    }

    fn ask(&mut self, g: usize, class: usize) {
        self.jobs += 1;
        self.event(
            g,
            Event::Request(Request {
                job: format!("j{}", self.jobs).as_str().into(),
                units: 1.0,
                expires: self.now + 2.0,
                plan: 0,
                spread: 1,
                first_gateway: 0,
                class,
                customer: "c".into(),
                client_retry: false,
                peer_view: None,
            }),
        );
    }

    /// Lets `seconds` go by, with `rate` requests a second at each gateway.
    fn run(&mut self, seconds: f64, rate: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let (due, out) = std::mem::take(&mut self.out).into_iter().partition(|o| o.at <= now);
            self.out = out;
            let due: Vec<Out> = due;
            for o in due {
                let (status, over) = (o.status, o.status == Status::Ok);
                self.event(
                    o.gateway,
                    Event::AttemptEnded {
                        job: o.job,
                        attempt: o.attempt,
                        server: o.server,
                        status,
                        elapsed: o.spent,
                        over,
                        settled: None,
                        load: Load::default(),
                    },
                );
            }
            for g in 0..self.gateways.len() {
                if self.rng.f64() < rate * STEP {
                    self.ask(g, 0);
                }
            }
        }
    }

    /// Share of what was sent since `from` by gateways that `whose` picks, to zones that `to` picks.
    fn share(&self, from: f64, whose: impl Fn(usize) -> bool, to: impl Fn(usize, u32) -> bool) -> f64 {
        let sent: Vec<_> = self.sent.iter().filter(|(at, g, _)| *at >= from && whose(*g)).collect();
        sent.iter().filter(|(_, g, zone)| to(*g, *zone)).count() as f64 / sent.len().max(1) as f64
    }

    fn weights(&self, g: usize) -> BTreeMap<u32, f64> {
        self.gateways[g].zones(self.now).iter().map(|z| (z.zone, z.weight)).collect()
    }

    fn left(&self, zone: u32) -> usize {
        let has = |g: &&Gateway| g.zones(self.now).iter().any(|z| z.zone == zone && z.ejected.is_some());
        self.gateways.iter().filter(has).count()
    }
}

#[test]
fn traffic_stays_near_where_it_can_and_weights_sum_to_one_and_move_smoothly() {
    for (gateways, workers) in [(2, vec![6, 6]), (12, vec![8, 8, 8])] {
        let homes: Vec<u32> = (0..workers.len() as u32).collect();
        let mut fleet = Fleet::new(gateways, &workers, &homes, 3);
        fleet.run(6.0, 10.0);
        let from = fleet.now;
        let mut before = fleet.weights(0);
        for _ in 0..300 {
            fleet.run(STEP, 10.0);
            let now = fleet.weights(0);
            assert!((now.values().sum::<f64>() - 1.0).abs() < 1e-9, "{now:?}");
            assert!(now.iter().all(|(zone, w)| (w - before[zone]).abs() < 0.12), "{before:?} {now:?}");
            before = now;
        }
        let zones = fleet.zones.clone();
        let near = fleet.share(from, |_| true, |g, zone| zone == zones[g]);
        assert!(near > 1.4 / workers.len() as f64, "{near} near of {gateways} gateways");
        assert!(near < 1.0, "and some news of the others");
    }
}

#[test]
fn zones_of_unlike_size_are_ordinary() {
    // A zone without workers, one with a single one, one without gateways.
    let mut fleet = Fleet::new(8, &[0, 1, 10, 10], &[0, 1, 2], 5);
    fleet.run(8.0, 8.0);
    let to_one = fleet.share(1004.0, |_| true, |_, zone| zone == 1);
    assert!(to_one < 0.3, "{to_one} to the only worker of its zone");
    assert!(fleet.share(1004.0, |_| true, |_, zone| zone == 3) > 0.15, "and its part to the far one");
    assert_eq!(fleet.finals, 0, "nothing is refused while there is room");
}

#[test]
fn a_lost_zone_is_left_soon_by_a_large_fleet_and_used_again_within_the_cold_budget() {
    let mut fleet = Fleet::new(300, &[40, 40, 40], &[0, 1, 2], 7);
    fleet.run(4.0, 6.0);
    fleet.does.insert(1, Does::Refuses);
    let lost = fleet.now;
    fleet.run(2.5, 6.0);
    let from = fleet.now - 0.5;
    let still = fleet.share(from, |_| true, |_, zone| zone == 1);
    assert!(still < 0.1, "{still} still go there after 2 s");
    let left = [0, 1, 2].map(|zone| fleet.left(zone));
    assert!(left[1] > 30 && left[0] + left[2] == 0, "{left:?}");
    assert!(fleet.logs.iter().any(|(at, _, text)| *at > lost && text == "zone 1 ejected: Unreachable"));
    fleet.run(1.5, 6.0);
    // It returns cold, and no list says so yet.
    fleet.does.insert(1, Does::Answers);
    let back = fleet.now;
    fleet.run(12.0, 6.0);
    assert_eq!(fleet.left(1), 0, "it is always used again");
    assert!(fleet.share(fleet.now - 2.0, |_| true, |_, zone| zone == 1) > 0.2);
    // What warm ones carried before, over all gateways.
    let warm = 6.0 * 300.0 / 120.0;
    for (id, _) in fleet.servers.iter().filter(|(_, zone)| **zone == 1) {
        for start in 0..9 {
            let from = back + f64::from(start);
            let in_window = |at: f64| at >= from && at < from + 3.0;
            let sent = fleet.to.iter().filter(|(at, to)| to == id && in_window(*at)).count() as f64;
            // A capacity of twice what it carried, cold at a quarter at least, times the multiple.
            let warmth = 0.25 + 0.75 * (f64::from(start) / 10.0);
            assert!(sent <= 3.0 * 3.0 * 2.0 * warm * warmth, "{sent} to {id} within 3 s from {start}");
        }
    }
}

#[test]
fn a_left_zone_is_tried_also_when_the_list_says_that_it_has_started_anew() {
    let mut fleet = Fleet::new(60, &[20, 20], &[0, 1], 19);
    fleet.run(3.0, 6.0);
    fleet.does.insert(1, Does::Refuses);
    fleet.run(3.0, 6.0);
    let left = fleet.left(1);
    assert!(left > 10, "{left}");
    fleet.does.insert(1, Does::Answers);
    let servers = fleet.entries(fleet.now, Some(1));
    for g in 0..fleet.gateways.len() {
        fleet.event(g, Event::List { kind: ListKind::Changes, servers: servers.clone() });
    }
    // Well before they are warm.
    fleet.run(5.0, 6.0);
    assert!(fleet.left(1) < left / 4, "{} of {left} still stay away", fleet.left(1));
}

#[test]
fn a_few_bad_workers_or_a_trouble_everywhere_leave_no_zone() {
    let mut fleet = Fleet::new(12, &[8, 8], &[0, 1], 9);
    fleet.does.insert(0, Does::Errs(12));
    fleet.run(8.0, 10.0);
    assert!(
        fleet.logs.iter().filter(|(_, _, text)| text.contains("ejected")).count() <= 2,
        "{:?}",
        fleet.logs
    );
    let mut fleet = Fleet::new(12, &[8, 8], &[0, 1], 9);
    fleet.run(3.0, 10.0);
    fleet.does.extend([(0, Does::Silent), (1, Does::Silent)]);
    fleet.run(4.0, 10.0);
    let both =
        (0..12).filter(|g| fleet.gateways[*g].zones(fleet.now).iter().all(|z| z.ejected.is_some())).count();
    assert_eq!(both, 0, "the last one is never left");
    fleet.does.extend([(0, Does::Answers), (1, Does::Answers)]);
    fleet.run(10.0, 10.0);
    assert_eq!(fleet.left(0) + fleet.left(1), 0);
}

#[test]
fn two_zones_lost_at_once_and_one_that_flaps_every_second() {
    let mut fleet = Fleet::new(30, &[10, 10, 10, 10], &[0, 1, 2, 3], 11);
    fleet.run(3.0, 8.0);
    fleet.does.extend([(0, Does::Refuses), (1, Does::Refuses)]);
    fleet.run(3.0, 8.0);
    let there = fleet.share(fleet.now - 1.0, |_| true, |_, zone| zone < 2);
    assert!(there < 0.25, "{there} to two lost zones, half of all before");
    fleet.does.insert(0, Does::Answers);
    for i in 0..8 {
        fleet.does.insert(1, if i % 2 == 0 { Does::Answers } else { Does::Silent });
        fleet.run(1.0, 8.0);
    }
    fleet.does.insert(1, Does::Answers);
    fleet.run(14.0, 8.0);
    assert_eq!(fleet.left(0) + fleet.left(1), 0, "used again in the end");
}

#[test]
fn a_keyed_request_bound_to_a_zone_that_is_left_has_its_answer_at_once() {
    let mut fleet = Fleet::new(1, &[5, 5], &[0], 13);
    fleet.run(3.0, 10.0);
    fleet.does.insert(0, Does::Silent);
    fleet.ask(0, 1);
    while fleet.sent.last().is_none_or(|(_, _, zone)| *zone != 0) {
        fleet.ask(0, 1);
    }
    let (asked, before) = (fleet.now, fleet.finals);
    fleet.does.insert(0, Does::Refuses);
    while fleet.left(0) == 0 {
        fleet.run(STEP, 40.0);
        assert!(fleet.now < asked + 0.5, "before its time-out");
    }
    assert!(
        fleet.finals > before,
        "{:?} {} it could go nowhere else, and nothing came",
        fleet.logs,
        fleet.now - asked
    );
}

#[test]
fn zones_may_come_change_and_be_unknown() {
    let mut fleet = Fleet::new(2, &[4, 4], &[0, 1], 15);
    fleet.run(2.0, 10.0);
    // All in one zone that the settings do not name, then a whole new list, then none at all.
    fleet.servers.values_mut().for_each(|zone| *zone = u32::MAX);
    fleet.does.insert(u32::MAX, Does::Answers);
    fleet.list(0.0);
    fleet.run(2.0, 10.0);
    assert!(fleet.share(fleet.now - 1.0, |_| true, |_, zone| zone == u32::MAX) == 1.0);
    fleet.servers = (0..6).map(|i| (format!("new{i}").as_str().into(), i % 3)).collect();
    fleet.does.insert(2, Does::Answers);
    fleet.list(0.0);
    fleet.run(2.0, 10.0);
    assert!(fleet.share(fleet.now - 1.0, |_| true, |_, zone| zone == 2) > 0.05);
    let mut other = settings(2, 0, 2);
    other.plans = vec![Plan::default()];
    assert_eq!(common::retune(&mut fleet.gateways[0], other), Ok(()), "its own zone may change");
    fleet.run(1.0, 10.0);
    fleet.servers.clear();
    fleet.list(0.0);
    let before = fleet.sent.len();
    fleet.run(1.0, 10.0);
    assert_eq!(fleet.sent.len(), before);
}

#[test]
fn what_is_known_of_zones_goes_to_the_process_that_takes_over_and_an_older_form_will_do() {
    let mut fleet = Fleet::new(1, &[5, 5], &[0], 17);
    fleet.run(3.0, 20.0);
    fleet.does.insert(0, Does::Refuses);
    while fleet.left(0) == 0 {
        fleet.run(STEP, 20.0);
    }
    let state = fleet.gateways[0].hand_over(fleet.now);
    let mut text = serde_json::to_value(&state).expect("a form of its own");
    let mut next = Gateway::new(settings(1, 0, 0), 1).expect("usable");
    next.take_over(serde_json::from_value(text.clone()).expect("its own form"));
    assert!(next.zones(fleet.now).iter().any(|z| z.zone == 0 && z.ejected.is_some()));
    text.as_object_mut().expect("an object").remove("zones");
    let mut next = Gateway::new(settings(1, 0, 0), 1).expect("usable");
    next.take_over(serde_json::from_value(text).expect("an older form"));
    let mut out = Vec::new();
    next.handle(fleet.now, Event::Timer { token: 1 }, &mut out);
    assert!(next.zones(fleet.now).iter().all(|z| z.ejected.is_none()));
}
