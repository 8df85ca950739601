//! All that is settled before a play: who asks for what and when, by the seed alone.

use crate::{
    http::Message,
    scenario::{Arrivals, Effect, Scenario},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};
use std::{
    collections::HashMap,
    fmt::Write as _,
    sync::{Arc, Mutex, PoisonError},
};

/// A customer: its plan and the gateways that its requests come through.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    pub plan: usize,
    pub spread: usize,
    pub first: usize,
    pub id: u64,
}

/// A request as its client first wants it.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Seconds after the load's start.
    pub at: f64,
    pub customer: usize,
    pub class: usize,
    /// Seconds on one nominal core.
    pub work: f64,
    /// Where the front's choice falls among the customer's gateways, and other draws of the client's.
    pub seed: u64,
}

/// What a try must look like at a worker, and how long it takes there.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpectedRequest {
    pub class: usize,
    pub work: f64,
    pub key: u64,
    method: &'static str,
    path: String,
    /// Bytes that its answer has at least.
    answer_bytes: usize,
}

impl ExpectedRequest {
    /// Whether a message is what the client sent.
    #[must_use]
    pub fn matches(&self, message: &Message) -> bool {
        let (method, path) = message.target();
        let key = message.header("idempotency-key");
        let keyed = self.key > 0;
        method == self.method
            && path == self.path
            && message.body == self.body().into_bytes()
            && (!keyed || key == Some(&format!("{:032x}", self.key)))
    }

    #[must_use]
    pub fn body(&self) -> String {
        if self.method == "GET" { String::new() } else { format!("ask {:016x}", self.work.to_bits()) }
    }

    /// The one answer that a worker makes for it.
    #[must_use]
    pub fn answer(&self, txn: u64) -> String {
        let marker = format!("served {:016x}", mix(txn ^ self.work.to_bits()));
        // The mark over and over, so that no part of it can be missing unseen.
        marker.repeat(self.answer_bytes.div_ceil(marker.len()).max(1))
    }

    /// The message that a client sends.
    #[must_use]
    pub fn message(&self, txn: u64, headers: &str) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {txn:016x}\r\n{headers}",
            self.method, self.path
        );
        if self.key > 0 {
            let _ = write!(text, "Idempotency-Key: {:032x}\r\n", self.key);
        }
        let body = self.body();
        if !body.is_empty() {
            let _ = write!(text, "Content-Length: {}\r\n", body.len());
        }
        (text + "\r\n" + &body).into_bytes()
    }
}

/// Scrambles a number, the same each time.
#[must_use]
pub fn mix(n: u64) -> u64 {
    // SplitMix64's finishing steps.
    let mut z = n.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// A play, settled.
pub struct Plan {
    pub scenario: Arc<Scenario>,
    pub seed: u64,
    pub gate_zones: Vec<usize>,
    pub worker_zones: Vec<usize>,
    pub speeds: Vec<f64>,
    /// How the front weighs gateways.
    pub gate_weights: Vec<f64>,
    pub customers: Vec<Customer>,
    pub arrivals: Vec<Arrival>,
    /// First tries a second at the load's base.
    pub rate: f64,
    /// Seconds on a nominal core.
    pub mean_work: f64,
    sent: Mutex<HashMap<u64, ExpectedRequest>>,
}

/// Requests that a play may have: more than this machine carries in an hour.
const MAX_ARRIVALS: usize = 2_000_000;
/// Customers of one plan.
const MAX_CUSTOMERS: f64 = 50_000.0;

impl Plan {
    #[must_use]
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let scenario = Arc::new(scenario);
        let world = &scenario.world;
        let zones = world.zones.len();
        let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
        let mean_work = scenario.classes.iter().map(|c| c.share / shares * c.work_ms / 1e3).sum();
        let mut plan = Self {
            seed,
            gate_zones: (0..world.gatekeepers).map(|i| i % zones).collect(),
            worker_zones: (0..world.workers).map(|i| i % zones).collect(),
            speeds: Vec::new(),
            gate_weights: Vec::new(),
            customers: Vec::new(),
            arrivals: Vec::new(),
            rate: 0.0,
            mean_work,
            sent: Mutex::default(),
            scenario: scenario.clone(),
        };
        let mut rng = plan.rng("world");
        plan.speeds = (0..world.workers)
            .map(|_| world.speed[0] + (world.speed[1] - world.speed[0]) * rng.random::<f64>())
            .collect();
        plan.gate_weights =
            (0..world.gatekeepers).map(|_| log_normal_factor(scenario.load.gate_skew, &mut rng)).collect();
        let capacity: f64 = plan.speeds.iter().sum::<f64>() * world.cores as f64;
        plan.rate = scenario.load.utilisation * capacity / mean_work;
        plan.create_customers();
        plan.schedule_arrivals();
        plan
    }

    /// A number for a purpose: streams of different purposes have nothing to do with each other.
    pub fn stream(&self, purpose: &str) -> u64 {
        purpose.bytes().fold(mix(self.seed), |n, b| mix(n ^ u64::from(b)))
    }

    pub fn rng(&self, purpose: &str) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.stream(purpose))
    }

    fn create_customers(&mut self) {
        let mut rng = self.rng("customers");
        let (gates, shares) =
            (self.scenario.world.gatekeepers, self.scenario.plans.iter().map(|p| p.share).sum::<f64>());
        for (i, plan) in self.scenario.plans.iter().enumerate() {
            let demand = self.rate * plan.share / shares;
            let n = (demand / (plan.rate * plan.usage)).round().clamp(1.0, MAX_CUSTOMERS) as usize;
            for _ in 0..n {
                let [least, most] = plan.spread;
                let share = least + (most - least) * rng.random::<f64>();
                let spread = ((gates as f64 * share).round() as usize).clamp(1, gates);
                let first = rng.random_range(0..gates);
                // A number below 2^33, as the protocol has it.
                let id = rng.random_range(1..1_u64 << 33);
                self.customers.push(Customer { plan: i, spread, first, id });
            }
        }
        if self.scenario.load.whale > 0.0 {
            self.customers.push(Customer { plan: 0, spread: gates, first: 0, id: 1 << 32 });
        }
    }

    /// How much each customer asks for, relative to the others: drawn anew at each shift.
    fn weights(&self, rng: &mut ChaCha8Rng) -> Vec<f64> {
        let load = &self.scenario.load;
        let shares: f64 = self.scenario.plans.iter().map(|p| p.share).sum();
        let whale = load.whale > 0.0;
        let mut weights: Vec<f64> = self
            .customers
            .iter()
            .map(|_| {
                let heavy = rng.random::<f64>() < load.heavy;
                log_normal_factor(load.skew, rng) * if heavy { load.heavy_x } else { 1.0 }
            })
            .collect();
        for (i, plan) in self.scenario.plans.iter().enumerate() {
            let of = |(c, w): (&Customer, &f64)| if c.plan == i { *w } else { 0.0 };
            let total: f64 = self.customers.iter().zip(&weights).map(of).sum();
            let rest = plan.share / shares * (1.0 - load.whale);
            for (customer, weight) in self.customers.iter().zip(&mut weights) {
                if customer.plan == i {
                    *weight *= rest / total.max(1e-12);
                }
            }
        }
        if whale && let Some(last) = weights.last_mut() {
            *last = load.whale;
        }
        weights
    }

    fn schedule_arrivals(&mut self) {
        let scenario = self.scenario.clone();
        let (mut times, mut who) = (self.rng("arrivals"), self.rng("askers"));
        let mut steps = scenario.load.step.clone();
        steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        let mut steps = steps.into_iter().peekable();
        let class_shares: Vec<f64> = cumulative_shares(scenario.classes.iter().map(|c| c.share));
        let mut weights = cumulative_shares(self.weights(&mut who).into_iter());
        // The deviation of the logarithm of a request's work: its mean is its class's.
        let work = LogNormal::new(-0.18, 0.6).ok();
        let (mut now, mut rate) = (0.0, self.rate);
        while self.arrivals.len() < MAX_ARRIVALS {
            let gap: f64 = match scenario.load.arrivals {
                Arrivals::Poisson => Exp1.sample(&mut times),
                Arrivals::Even => 1.0,
            };
            let next = now + gap / rate.max(1e-9);
            // Memoryless or not: from the step on, the gap is of the new rate.
            if let Some(step) = steps.next_if(|s| s.at_s <= next) {
                (now, rate) = (step.at_s.max(now), self.rate * step.times);
                if step.shift {
                    weights = cumulative_shares(self.weights(&mut who).into_iter());
                }
                continue;
            }
            if next >= scenario.length_s {
                break;
            }
            now = next;
            let class = index_at(&class_shares, who.random());
            let times = work.map_or(1.0, |w| w.sample(&mut who));
            self.arrivals.push(Arrival {
                at: now,
                customer: index_at(&weights, who.random()),
                class,
                work: scenario.classes[class].work_ms / 1e3 * times,
                seed: who.random(),
            });
        }
    }

    /// What a request's try looks like; workers know it from now on.
    pub fn send(&self, txn: u64, arrival: &Arrival, key: u64) -> ExpectedRequest {
        let class = &self.scenario.classes[arrival.class];
        let method = if class.effect == Effect::Safe { "GET" } else { "POST" };
        let path = format!("/{}?n={:08x}", class.name, arrival.seed as u32);
        let key = if class.effect == Effect::Keyed { key.max(1) } else { 0 };
        let (class, work, answer_bytes) = (arrival.class, arrival.work, self.scenario.world.answer_bytes);
        let expected = ExpectedRequest { class, work, key, method, path, answer_bytes };
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).insert(txn, expected.clone());
        expected
    }

    /// What a client sent under this number.
    pub fn sent(&self, txn: u64) -> Option<ExpectedRequest> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).get(&txn).cloned()
    }
}

/// A factor of mean 1 whose logarithm deviates by `skew`.
fn log_normal_factor(skew: f64, rng: &mut ChaCha8Rng) -> f64 {
    LogNormal::new(-skew * skew / 2.0, skew).map_or(1.0, |d| d.sample(rng))
}

/// Running sums, scaled to end at 1.
fn cumulative_shares(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sums: Vec<f64> = weights
        .scan(0.0, |sum, w| {
            *sum += w;
            Some(*sum)
        })
        .collect();
    let total = sums.last().copied().unwrap_or(1.0).max(1e-12);
    for sum in &mut sums {
        *sum /= total;
    }
    sums
}

/// The place where a draw from 0 to 1 falls.
fn index_at(sums: &[f64], draw: f64) -> usize {
    sums.partition_point(|s| *s <= draw).min(sums.len().saturating_sub(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scenario(rest: &str) -> Scenario {
        Scenario::parse(&format!("name = \"x\"\nlength_s = 20\n{rest}")).expect("a scenario")
    }

    #[test]
    fn the_same_seed_gives_the_same_play_and_another_one_another() {
        let plan = |seed| Plan::new(scenario(""), seed);
        let (a, b, c) = (plan(1), plan(1), plan(2));
        assert_eq!(a.arrivals, b.arrivals);
        assert_eq!((&a.customers, &a.speeds), (&b.customers, &b.speeds));
        assert_ne!(a.arrivals, c.arrivals);
        assert!(a.customers.iter().all(|c| c.id < 1 << 33 && c.spread >= 1));
    }

    #[test]
    fn the_load_is_what_the_file_says() {
        let plan = Plan::new(scenario("[load]\nuse = 0.5\nstep = [{ at_s = 10, times = 2 }]"), 3);
        let count =
            |from: f64, to: f64| plan.arrivals.iter().filter(|a| (from..to).contains(&a.at)).count() as f64;
        let (before, after) = (count(0.0, 10.0) / 10.0, count(10.0, 20.0) / 10.0);
        assert!((before / plan.rate - 1.0).abs() < 0.1, "{before} a second, {} planned", plan.rate);
        assert!((after / plan.rate - 2.0).abs() < 0.2, "{after} a second");
        let capacity: f64 = plan.speeds.iter().sum::<f64>() * 2.0;
        let work: f64 = plan.arrivals.iter().filter(|a| a.at < 10.0).map(|a| a.work).sum::<f64>() / 10.0;
        assert!((work / capacity - 0.5).abs() < 0.06, "{work} of {capacity}");
    }

    #[test]
    fn plans_get_their_shares_and_a_whale_its_own() {
        let plan = Plan::new(scenario("[load]\nwhale = 0.33"), 4);
        let of = |c: &dyn Fn(&Customer) -> bool| {
            let n = plan.arrivals.iter().filter(|a| c(&plan.customers[a.customer])).count();
            n as f64 / plan.arrivals.len() as f64
        };
        let whale = of(&|c| c.id == 1 << 32);
        assert!((whale - 0.33).abs() < 0.03, "{whale}");
        assert!((of(&|c| c.plan == 2) - 0.43 * 0.67).abs() < 0.03);
    }

    #[test]
    fn a_worker_knows_only_what_was_sent_and_as_it_was_sent() {
        let plan = Plan::new(scenario(""), 5);
        let keyed = plan.arrivals.iter().find(|a| a.class == 1).expect("one of each class");
        assert!(plan.sent(7).is_none());
        let expected = plan.send(7, keyed, 99);
        assert_eq!(plan.sent(7).as_ref(), Some(&expected));
        let text = String::from_utf8(expected.message(7, "X-Lane: a\r\n")).expect("text");
        assert!(text.contains("Idempotency-Key: 00000000000000000000000000000063"), "{text}");
    }
}
