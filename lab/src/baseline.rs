//! Reference runs of modelled gateways without sockets, on the same load: upper and lower bounds for a real run.
//!
//! The model has the same arrivals and clients, one queue in front of the cores of all workers, and no faults. Its
//! recordings are evaluated by the same judge as those of real runs.

use crate::{
    bucket::Bucket,
    record::{Ending, Event, FORMAT_VERSION, Header, Meter, Outcome, Recording, Seen},
    scenario::{Requirements, Scenario},
    world::plan::{Plan, mix},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

/// How modelled gateways admit requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// All gateways share one exact bucket per customer without delay: the upper bound.
    Exact,
    /// Each gateway grants a customer an even share of its quota, without any communication: the lower bound.
    EvenShare,
    /// Each request takes a call of the shared counter; the even share applies if the counter does not answer in time.
    CallEach,
}

/// All policies with the names under which reports list them.
pub const POLICIES: [(Policy, &str); 3] =
    [(Policy::Exact, "exact bucket"), (Policy::EvenShare, "even share"), (Policy::CallEach, "a call each")];

/// Converts seconds to whole microseconds, which can be ordered.
fn micros(at: f64) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

/// State of a modelled run; times are in seconds unless stated otherwise.
struct Model {
    plan: Plan,
    policy: Policy,
    /// Exact bucket by customer.
    exact: HashMap<usize, Bucket>,
    /// Bucket of the even share by customer and gateway.
    shares: HashMap<(usize, usize), Bucket>,
    /// By customer, the times at which its requests in flight end.
    in_flight: HashMap<usize, Vec<f64>>,
    /// Times at which the cores are free, in microseconds.
    cores: BinaryHeap<Reverse<u64>>,
    /// Mean speed of the workers' cores.
    speed: f64,
    /// Time at which the counter's queue is empty.
    counter_free_at: f64,
    seen: Vec<Seen>,
}

/// Runs the model of a scenario under a policy, without sockets and faults.
#[must_use]
pub fn play(scenario: Scenario, seed: u64, policy: Policy) -> Recording {
    let scenario = Scenario { faults: Vec::new(), must: Requirements::default(), ..scenario };
    let plan = Plan::new(scenario, seed);
    let world = &plan.scenario.world;
    let mean_speed = plan.speeds.iter().sum::<f64>() / plan.speeds.len().max(1) as f64;
    let cores = (0..world.workers * world.cores).map(|_| Reverse(0)).collect();
    let mut model = Model {
        policy,
        exact: HashMap::new(),
        shares: HashMap::new(),
        in_flight: HashMap::new(),
        cores,
        speed: mean_speed,
        counter_free_at: 0.0,
        seen: Vec::new(),
        plan,
    };
    model.run();
    let Model { plan, mut seen, .. } = model;
    seen.sort_by_key(|s| s.at);
    let header = Header {
        form: FORMAT_VERSION,
        seed,
        build: format!("{policy:?}"),
        gate_zones: plan.gate_zones.clone(),
        worker_zones: plan.worker_zones.clone(),
        speeds: plan.speeds.clone(),
        rate: plan.rate,
        work_ms: plan.mean_work * 1e3,
        scenario: (*plan.scenario).clone(),
    };
    Recording { header, meter: Meter::default(), seen }
}

impl Model {
    fn record(&mut self, at: f64, event: Event) {
        self.seen.push(Seen { at: micros(at), event });
    }

    fn run(&mut self) {
        // Future tries, the earliest first: time in microseconds, index of the request, and number of earlier tries.
        let mut due: BinaryHeap<Reverse<(u64, usize, u32)>> = BinaryHeap::new();
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            due.push(Reverse((micros(arrival.at), number, 0)));
        }
        while let Some(Reverse((at, number, again))) = due.pop() {
            if let Some(next) = self.attempt(at as f64 / 1e6, number, again) {
                due.push(Reverse((micros(next), number, again + 1)));
            }
        }
    }

    /// Simulates one try and returns the time of the client's retry, if there is one.
    fn attempt(&mut self, now: f64, number: usize, again: u32) -> Option<f64> {
        let arrival = self.plan.arrivals[number].clone();
        let customer = self.plan.customers[arrival.customer].clone();
        let scenario = self.plan.scenario.clone();
        let (class, clients) = (&scenario.classes[arrival.class], &scenario.clients);
        let mut rng = ChaCha8Rng::seed_from_u64(mix(arrival.seed ^ u64::from(again)));
        let left = class.deadline_ms / 1e3 - (now - arrival.at);
        if left < 0.02 || again > clients.retries {
            return None;
        }
        let first = mix(self.plan.seed ^ mix(number as u64));
        let txn = if again == 0 { first } else { mix(first ^ u64::from(again)) };
        let gate = (customer.first + rng.random_range(0..customer.spread)) % scenario.world.gatekeepers;
        let [least, most] = clients.try_share;
        let remaining = (class.deadline_ms / 1e3 * (least + (most - least) * rng.random::<f64>())).min(left);
        let (plan, customer_index) = (customer.plan, arrival.customer);
        self.record(
            now,
            Event::Try {
                txn,
                first,
                again,
                gate,
                customer: customer_index,
                plan,
                class: arrival.class,
                remaining,
            },
        );
        let (allowed, decided) = self.admits(now, customer_index, gate);
        let free = self.cores.peek().map_or(0, |Reverse(at)| *at) as f64 / 1e6;
        let begins = free.max(decided);
        let ends = begins + arrival.work / self.speed;
        if !allowed || ends - now > remaining.min(class.aim_ms / 1e3) {
            if allowed {
                // It is not sent to a worker, so its unit is returned.
                self.return_unit(customer_index, gate);
            }
            self.record(decided, Event::Answer { txn, outcome: Outcome::Refused { after: 0.5 } });
            let backoff =
                clients.backoff_ms / 1e3 * f64::from(1 << again.min(8)) * (0.5 + rng.random::<f64>());
            let honours = rng.random::<f64>() < clients.honour;
            let after: f64 = 0.5;
            return Some(
                decided + if honours { after.min(clients.max_retry_after_ms / 1e3) } else { backoff },
            );
        }
        self.cores.pop();
        self.cores.push(Reverse(micros(ends)));
        self.in_flight.entry(customer_index).or_default().push(ends);
        self.record(decided, Event::Attempt { txn, gate, worker: 0, intact: true, link_delay: 0 });
        let (queued, worked) = (begins - decided, ends - begins);
        self.record(ends, Event::Ended { txn, worker: 0, how: Ending::Served, queued, worked });
        self.record(ends, Event::Answer { txn, outcome: Outcome::Served { genuine: true } });
        None
    }

    /// Returns a unit to a customer's buckets.
    fn return_unit(&mut self, customer: usize, gate: usize) {
        self.exact.get_mut(&customer).into_iter().for_each(|s| s.level += 1.0);
        self.shares.get_mut(&(customer, gate)).into_iter().for_each(|s| s.level += 1.0);
    }

    /// Decides whether a gateway admits a customer's next unit, and returns the time of the decision.
    fn admits(&mut self, now: f64, customer_index: usize, gate: usize) -> (bool, f64) {
        let customer = &self.plan.customers[customer_index];
        let scenario = &self.plan.scenario;
        let (plan, counter) = (&scenario.plans[customer.plan], &scenario.counter);
        let (rate, burst, spread) = (plan.rate, plan.burst, customer.spread as f64);
        let even = |shares: &mut HashMap<(usize, usize), Bucket>| {
            let share = || Bucket::full(rate / spread, (burst / spread).max(1.0));
            shares.entry((customer_index, gate)).or_insert_with(share).take(now)
        };
        let in_flight = self.in_flight.entry(customer_index).or_default();
        in_flight.retain(|ends| *ends > now);
        let is_capped = plan.open > 0 && in_flight.len() >= plan.open as usize;
        let exact = self.exact.entry(customer_index).or_insert_with(|| Bucket::full(rate, burst));
        match self.policy {
            _ if is_capped && self.policy != Policy::EvenShare => (false, now),
            Policy::Exact => (exact.take(now), now),
            Policy::EvenShare => (even(&mut self.shares), now),
            Policy::CallEach => {
                let served_at = self.counter_free_at.max(now) + 1.0 / counter.calls_per_s;
                let answered = served_at + counter.ms / 1e3;
                if answered - now > counter.timeout_ms / 1e3 {
                    return (even(&mut self.shares), now + counter.timeout_ms / 1e3);
                }
                self.counter_free_at = served_at;
                (exact.take(now), answered)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::judge::judge;

    fn figures(policy: Policy) -> crate::judge::Verdict {
        let scenario =
            Scenario::parse("name = \"x\"\nlength_s = 20\n[load]\nuse = 0.6").expect("a valid scenario");
        judge(&play(scenario, 1, policy))
    }

    #[test]
    fn the_exact_bucket_is_the_upper_bound_and_violates_no_rule() {
        let [exact, even, call] = [Policy::Exact, Policy::EvenShare, Policy::CallEach].map(figures);
        for verdict in [&exact, &even, &call] {
            assert!(verdict.passed(), "{}", verdict.line());
            assert!(verdict.requests > 1000);
        }
        assert_eq!((exact.beyond, exact.amplification), (0, 1.0));
        // Refusals within the quota come only from a lack of free cores, which is rare at a utilisation of 60%.
        assert!(exact.refused_with_room_share < 0.02, "{}", exact.refused_with_room_share);
        assert!(exact.score > even.score + 0.05, "{} and {}", exact.score, even.score);
        assert!(even.refused_with_room_share > 0.05);
        assert!(exact.score >= call.score);
    }

    #[test]
    fn the_model_is_deterministic() {
        assert_eq!(figures(Policy::CallEach), figures(Policy::CallEach));
    }
}
