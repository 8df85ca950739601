//! Zones: small fleets of gateways and servers, simulated event by event without sockets.

mod common;

use opalrun_gateway::*;
use std::collections::BTreeMap;

/// Step of the simulated time, in seconds.
const STEP: f64 = 0.01;
/// Mean latency of an answer, in seconds.
const ANSWER: f64 = 0.1;

/// How the servers of a zone behave.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Answers,
    /// Connections are refused.
    RefusesConnections,
    /// No attempt is answered before its time-out.
    Silent,
    /// This percentage of the answers are errors.
    Errors(u32),
}

/// An attempt in flight and how it will end.
struct InFlight {
    ends_at: f64,
    gateway: usize,
    job: JobId,
    attempt: u32,
    server: ServerId,
    status: Status,
    elapsed: f64,
}

struct Fleet {
    now: f64,
    gateways: Vec<Gateway>,
    /// The zone of each gateway.
    zones: Vec<u32>,
    /// The zone of each server.
    servers: BTreeMap<ServerId, u32>,
    /// The behaviour of each zone's servers.
    behaviour: BTreeMap<u32, Behaviour>,
    in_flight: Vec<InFlight>,
    /// Number of attempts by gateway and request.
    attempts: BTreeMap<(usize, JobId), u32>,
    /// Sent attempts: time, gateway and zone.
    sent: Vec<(f64, usize, u32)>,
    /// Sent attempts: time and server.
    sent_to: Vec<(f64, ServerId)>,
    /// Refused and failed requests.
    refused_or_failed: usize,
    /// Log lines: time, gateway and text.
    logs: Vec<(f64, usize, String)>,
    rng: fastrand::Rng,
    jobs: u64,
}

fn settings(gateways: u32, index: u32, zone: u32) -> Settings {
    let mut s = Settings::default();
    (s.gateway_count, s.gateway_index, s.zone, s.hedging_allowed, s.max_attempts) =
        (gateways, index, zone, true, 4);
    (s.warm_up, s.initial_capacity_share, s.overload_factor, s.overload_window) = (10.0, 0.25, 3.0, 3.0);
    let mut class = Class::default();
    class.latency_target = 0.6;
    s.classes = vec![class.clone(), class];
    s.classes[1].effect = Effect::Deduplicated { group: Group::Zone, window: 5.0 };
    s.plans = vec![Plan::default()];
    s
}

impl Fleet {
    /// A fleet with `servers` in each zone and the gateways distributed over `gateway_zones` in turn.
    fn new(gateways: u32, servers: &[usize], gateway_zones: &[u32], seed: u64) -> Self {
        let zones: Vec<u32> =
            (0..gateways).map(|g| gateway_zones[g as usize % gateway_zones.len()]).collect();
        let created = (0..gateways).map(|g| {
            Gateway::new(settings(gateways, g, zones[g as usize]), seed * 1000 + u64::from(g))
                .expect("usable")
        });
        let mut fleet = Self {
            now: 1000.0,
            gateways: created.collect(),
            zones,
            servers: BTreeMap::new(),
            behaviour: (0..servers.len() as u32).map(|z| (z, Behaviour::Answers)).collect(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            sent: Vec::new(),
            sent_to: Vec::new(),
            refused_or_failed: 0,
            logs: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            jobs: 0,
        };
        for (zone, count) in servers.iter().enumerate() {
            for i in 0..*count {
                // Ids do not depend on the zone.
                let id = format!("s{:08x}", (i as u32 * 7919 + zone as u32 * 104_729) ^ 0x5bd1_e995);
                fleet.servers.insert(id.as_str().into(), zone as u32);
            }
        }
        fleet.send_list(0.0);
        fleet
    }

    /// The list entries of all servers, or of those in `only_zone`.
    fn entries(&self, started: f64, only_zone: Option<u32>) -> Vec<Server> {
        let selected =
            self.servers.iter().filter(|(_, zone)| only_zone.is_none_or(|only_zone| **zone == only_zone));
        let lifecycle = Lifecycle::Running;
        selected
            .map(|(id, zone)| Server { id: id.clone(), zone: *zone, cell: 0, started, lifecycle })
            .collect()
    }

    /// Sends the whole list of servers to all gateways.
    fn send_list(&mut self, started: f64) {
        let servers = self.entries(started, None);
        for g in 0..self.gateways.len() {
            self.event(g, Event::List { kind: ListKind::Full, servers: servers.clone() });
        }
    }

    /// Lets gateway `g` handle an event and carries out its actions.
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
                    self.sent_to.push((self.now, server.clone()));
                    let (elapsed, status) = match self.behaviour[&zone] {
                        Behaviour::Answers => (ANSWER * (0.5 + self.rng.f64()), Status::Ok),
                        Behaviour::RefusesConnections => (0.002, Status::ConnectFailed),
                        Behaviour::Silent => (timeout, Status::Timeout),
                        Behaviour::Errors(n) if self.rng.u32(..100) < n => (ANSWER, Status::Error),
                        Behaviour::Errors(_) => (ANSWER, Status::Ok),
                    };
                    let ends_at = self.now + elapsed;
                    self.in_flight.push(InFlight {
                        ends_at,
                        gateway: g,
                        job,
                        attempt,
                        server,
                        status,
                        elapsed,
                    });
                }
                Action::Refuse { .. } | Action::Fail { .. } => self.refused_or_failed += 1,
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

    /// Advances by `seconds`, with `rate` requests per second at each gateway.
    fn run(&mut self, seconds: f64, rate: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let (due, in_flight) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|a| a.ends_at <= now);
            self.in_flight = in_flight;
            let due: Vec<InFlight> = due;
            for ended in due {
                let (status, over) = (ended.status, ended.status == Status::Ok);
                self.event(
                    ended.gateway,
                    Event::AttemptEnded {
                        job: ended.job,
                        attempt: ended.attempt,
                        server: ended.server,
                        status,
                        elapsed: ended.elapsed,
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

    /// Of the attempts sent since `from` by the gateways that `by` selects, the share sent to the zones that `to`
    /// selects for the gateway.
    fn share(&self, from: f64, by: impl Fn(usize) -> bool, to: impl Fn(usize, u32) -> bool) -> f64 {
        let sent: Vec<_> = self.sent.iter().filter(|(at, g, _)| *at >= from && by(*g)).collect();
        sent.iter().filter(|(_, g, zone)| to(*g, *zone)).count() as f64 / sent.len().max(1) as f64
    }

    /// The zones' weights at gateway `g`.
    fn weights(&self, g: usize) -> BTreeMap<u32, f64> {
        self.gateways[g].zones(self.now).iter().map(|z| (z.zone, z.weight)).collect()
    }

    /// Number of gateways that have ejected `zone`.
    fn ejected_by(&self, zone: u32) -> usize {
        let has_ejected =
            |g: &&Gateway| g.zones(self.now).iter().any(|z| z.zone == zone && z.ejected.is_some());
        self.gateways.iter().filter(has_ejected).count()
    }
}

#[test]
fn most_traffic_stays_in_the_local_zone_and_weights_sum_to_one_and_change_gradually() {
    for (gateways, servers) in [(2, vec![6, 6]), (12, vec![8, 8, 8])] {
        let gateway_zones: Vec<u32> = (0..servers.len() as u32).collect();
        let mut fleet = Fleet::new(gateways, &servers, &gateway_zones, 3);
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
        let local = fleet.share(from, |_| true, |g, zone| zone == zones[g]);
        assert!(local > 1.4 / servers.len() as f64, "local share {local} of {gateways} gateways");
        assert!(local < 1.0, "some traffic observes the other zones");
    }
}

#[test]
fn zones_may_differ_in_size() {
    // A zone without servers, one with a single server, one without gateways.
    let mut fleet = Fleet::new(8, &[0, 1, 10, 10], &[0, 1, 2], 5);
    fleet.run(8.0, 8.0);
    let to_one = fleet.share(1004.0, |_| true, |_, zone| zone == 1);
    assert!(to_one < 0.3, "share {to_one} to the only server of its zone");
    assert!(
        fleet.share(1004.0, |_| true, |_, zone| zone == 3) > 0.15,
        "the zone without gateways has its share"
    );
    assert_eq!(fleet.refused_or_failed, 0, "no request is refused while there is capacity");
}

#[test]
fn a_failed_zone_is_ejected_by_a_large_fleet_and_returns_within_the_slow_start_budget() {
    let mut fleet = Fleet::new(300, &[40, 40, 40], &[0, 1, 2], 7);
    fleet.run(4.0, 6.0);
    fleet.behaviour.insert(1, Behaviour::RefusesConnections);
    let failed_at = fleet.now;
    fleet.run(2.5, 6.0);
    let from = fleet.now - 0.5;
    let still = fleet.share(from, |_| true, |_, zone| zone == 1);
    assert!(still < 0.1, "share {still} still sent there after 2 s");
    let ejected = [0, 1, 2].map(|zone| fleet.ejected_by(zone));
    assert!(ejected[1] > 30 && ejected[0] + ejected[2] == 0, "{ejected:?}");
    assert!(fleet.logs.iter().any(|(at, _, text)| *at > failed_at && text == "zone 1 ejected: Unreachable"));
    fleet.run(1.5, 6.0);
    // The servers return cold, before a list says that they have restarted.
    fleet.behaviour.insert(1, Behaviour::Answers);
    let back = fleet.now;
    fleet.run(12.0, 6.0);
    assert_eq!(fleet.ejected_by(1), 0, "every gateway uses it again");
    assert!(fleet.share(fleet.now - 2.0, |_| true, |_, zone| zone == 1) > 0.2);
    // Attempts per second and warm server before the failure, over all gateways.
    let warm = 6.0 * 300.0 / 120.0;
    for (id, _) in fleet.servers.iter().filter(|(_, zone)| **zone == 1) {
        for start in 0..9 {
            let from = back + f64::from(start);
            let in_window = |at: f64| at >= from && at < from + 3.0;
            let sent = fleet.sent_to.iter().filter(|(at, to)| to == id && in_window(*at)).count() as f64;
            // A capacity of twice the load before, a quarter of it when cold, times the overload factor of 3.
            let warmth = 0.25 + 0.75 * (f64::from(start) / 10.0);
            assert!(sent <= 3.0 * 3.0 * 2.0 * warm * warmth, "{sent} to {id} within 3 s from {start}");
        }
    }
}

#[test]
fn an_ejected_zone_is_tried_although_the_list_says_that_its_servers_have_restarted() {
    let mut fleet = Fleet::new(60, &[20, 20], &[0, 1], 19);
    fleet.run(3.0, 6.0);
    fleet.behaviour.insert(1, Behaviour::RefusesConnections);
    fleet.run(3.0, 6.0);
    let ejected_by = fleet.ejected_by(1);
    assert!(ejected_by > 10, "{ejected_by}");
    fleet.behaviour.insert(1, Behaviour::Answers);
    let servers = fleet.entries(fleet.now, Some(1));
    for g in 0..fleet.gateways.len() {
        fleet.event(g, Event::List { kind: ListKind::Changes, servers: servers.clone() });
    }
    // Halfway through their warm-up.
    fleet.run(5.0, 6.0);
    assert!(
        fleet.ejected_by(1) < ejected_by / 4,
        "{} of {ejected_by} have not returned",
        fleet.ejected_by(1)
    );
}

#[test]
fn scattered_errors_or_a_fault_in_all_zones_eject_no_zone_for_long() {
    let mut fleet = Fleet::new(12, &[8, 8], &[0, 1], 9);
    fleet.behaviour.insert(0, Behaviour::Errors(12));
    fleet.run(8.0, 10.0);
    assert!(
        fleet.logs.iter().filter(|(_, _, text)| text.contains("ejected")).count() <= 2,
        "{:?}",
        fleet.logs
    );
    let mut fleet = Fleet::new(12, &[8, 8], &[0, 1], 9);
    fleet.run(3.0, 10.0);
    fleet.behaviour.extend([(0, Behaviour::Silent), (1, Behaviour::Silent)]);
    fleet.run(4.0, 10.0);
    let all_ejected =
        (0..12).filter(|g| fleet.gateways[*g].zones(fleet.now).iter().all(|z| z.ejected.is_some())).count();
    assert_eq!(all_ejected, 0, "the last zone is never ejected");
    fleet.behaviour.extend([(0, Behaviour::Answers), (1, Behaviour::Answers)]);
    fleet.run(10.0, 10.0);
    assert_eq!(fleet.ejected_by(0) + fleet.ejected_by(1), 0);
}

#[test]
fn two_zones_fail_at_once_and_one_of_them_flaps_every_second() {
    let mut fleet = Fleet::new(30, &[10, 10, 10, 10], &[0, 1, 2, 3], 11);
    fleet.run(3.0, 8.0);
    fleet.behaviour.extend([(0, Behaviour::RefusesConnections), (1, Behaviour::RefusesConnections)]);
    fleet.run(3.0, 8.0);
    let share = fleet.share(fleet.now - 1.0, |_| true, |_, zone| zone < 2);
    assert!(share < 0.25, "share {share} to the two failed zones, which had half of all before");
    fleet.behaviour.insert(0, Behaviour::Answers);
    for i in 0..8 {
        fleet.behaviour.insert(1, if i % 2 == 0 { Behaviour::Answers } else { Behaviour::Silent });
        fleet.run(1.0, 8.0);
    }
    fleet.behaviour.insert(1, Behaviour::Answers);
    fleet.run(14.0, 8.0);
    assert_eq!(fleet.ejected_by(0) + fleet.ejected_by(1), 0, "both are used again in the end");
}

#[test]
fn a_request_deduplicated_in_an_ejected_zone_only_is_finished_at_once() {
    let mut fleet = Fleet::new(1, &[5, 5], &[0], 13);
    fleet.run(3.0, 10.0);
    fleet.behaviour.insert(0, Behaviour::Silent);
    fleet.ask(0, 1);
    while fleet.sent.last().is_none_or(|(_, _, zone)| *zone != 0) {
        fleet.ask(0, 1);
    }
    let (asked, before) = (fleet.now, fleet.refused_or_failed);
    fleet.behaviour.insert(0, Behaviour::RefusesConnections);
    while fleet.ejected_by(0) == 0 {
        fleet.run(STEP, 40.0);
        assert!(fleet.now < asked + 0.5, "ejected before the request's time-out");
    }
    assert!(
        fleet.refused_or_failed > before,
        "{:?} {} s: no other zone may run it, and it has no final answer",
        fleet.logs,
        fleet.now - asked
    );
}

#[test]
fn zones_may_appear_change_and_be_unknown() {
    let mut fleet = Fleet::new(2, &[4, 4], &[0, 1], 15);
    fleet.run(2.0, 10.0);
    // All servers in a zone that the settings do not name, then an entirely new list, then an empty one.
    fleet.servers.values_mut().for_each(|zone| *zone = u32::MAX);
    fleet.behaviour.insert(u32::MAX, Behaviour::Answers);
    fleet.send_list(0.0);
    fleet.run(2.0, 10.0);
    assert!(fleet.share(fleet.now - 1.0, |_| true, |_, zone| zone == u32::MAX) == 1.0);
    fleet.servers = (0..6).map(|i| (format!("new{i}").as_str().into(), i % 3)).collect();
    fleet.behaviour.insert(2, Behaviour::Answers);
    fleet.send_list(0.0);
    fleet.run(2.0, 10.0);
    assert!(fleet.share(fleet.now - 1.0, |_| true, |_, zone| zone == 2) > 0.05);
    let mut other = settings(2, 0, 2);
    other.plans = vec![Plan::default()];
    assert_eq!(
        common::apply_settings(&mut fleet.gateways[0], other),
        Ok(()),
        "the gateway's own zone may change"
    );
    fleet.run(1.0, 10.0);
    fleet.servers.clear();
    fleet.send_list(0.0);
    let before = fleet.sent.len();
    fleet.run(1.0, 10.0);
    assert_eq!(fleet.sent.len(), before);
}

#[test]
fn the_state_of_zones_is_handed_over_and_may_be_missing_in_an_older_state() {
    let mut fleet = Fleet::new(1, &[5, 5], &[0], 17);
    fleet.run(3.0, 20.0);
    fleet.behaviour.insert(0, Behaviour::RefusesConnections);
    while fleet.ejected_by(0) == 0 {
        fleet.run(STEP, 20.0);
    }
    let state = fleet.gateways[0].hand_over(fleet.now);
    let mut encoded = serde_json::to_value(&state).expect("a state can be encoded");
    let mut next = Gateway::new(settings(1, 0, 0), 1).expect("usable");
    next.take_over(serde_json::from_value(encoded.clone()).expect("a state"));
    assert!(next.zones(fleet.now).iter().any(|z| z.zone == 0 && z.ejected.is_some()));
    encoded.as_object_mut().expect("an object").remove("zones");
    let mut next = Gateway::new(settings(1, 0, 0), 1).expect("usable");
    next.take_over(serde_json::from_value(encoded).expect("a state of an older version"));
    let mut out = Vec::new();
    next.handle(fleet.now, Event::Timer { token: 1 }, &mut out);
    assert!(next.zones(fleet.now).iter().all(|z| z.ejected.is_none()));
}
