//! Plan of a run, determined by the scenario and the seed alone: worker speeds, customers, and all requests with their
//! times.

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

/// A customer: its plan and the gateways that receive its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Index of its plan.
    pub plan: usize,
    /// Number of gateways that receive its requests.
    pub spread: usize,
    /// Index of the first of these gateways; the others follow it, with wrap-around.
    pub first: usize,
    /// Number by which gateways know it.
    pub id: u64,
}

/// A planned request.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time of the first try, in seconds since the load began.
    pub at: f64,
    pub customer: usize,
    pub class: usize,
    /// Seconds of work on one nominal core.
    pub work: f64,
    /// Seed of the client's random choices, such as the gateway of each try.
    pub seed: u64,
}

/// What workers must receive for a try, and the work that it takes.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpectedRequest {
    pub class: usize,
    /// Seconds of work on one nominal core.
    pub work: f64,
    /// Idempotency key; 0: none.
    pub key: u64,
    method: &'static str,
    path: String,
    /// Least size of the answer's body, in bytes.
    answer_bytes: usize,
}

impl ExpectedRequest {
    /// Whether a message has the method, path, body and key that the client sent.
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

    /// Returns the body of the request.
    #[must_use]
    pub fn body(&self) -> String {
        if self.method == "GET" { String::new() } else { format!("ask {:016x}", self.work.to_bits()) }
    }

    /// Returns the body of the answer that workers produce for the try `txn`, and for no other.
    #[must_use]
    pub fn answer(&self, txn: u64) -> String {
        let marker = format!("served {:016x}", mix(txn ^ self.work.to_bits()));
        // Repeats the marker, so that a missing part of the body is detected.
        marker.repeat(self.answer_bytes.div_ceil(marker.len()).max(1))
    }

    /// Encodes the request as the client sends it.
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

/// Hashes a number with the finaliser of `SplitMix64`.
#[must_use]
pub fn mix(n: u64) -> u64 {
    let mut z = n.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// The plan of a run, and the tries sent so far.
pub struct Plan {
    pub scenario: Arc<Scenario>,
    pub seed: u64,
    /// By gateway, the index of its zone.
    pub gate_zones: Vec<usize>,
    /// By worker, the index of its zone.
    pub worker_zones: Vec<usize>,
    /// By worker, the speed of its cores relative to a nominal core.
    pub speeds: Vec<f64>,
    /// By gateway, its weight in the clients' random choice.
    pub gate_weights: Vec<f64>,
    pub customers: Vec<Customer>,
    /// All requests, in order of time.
    pub arrivals: Vec<Arrival>,
    /// First tries per second at the base load.
    pub rate: f64,
    /// Mean work of a request, in seconds on a nominal core.
    pub mean_work: f64,
    /// By transaction number, what was sent for it.
    sent: Mutex<HashMap<u64, ExpectedRequest>>,
}

/// Greatest number of requests in a run: more than the test machine handles in an hour.
const MAX_ARRIVALS: usize = 2_000_000;
/// Greatest number of customers on one plan.
const MAX_CUSTOMERS: f64 = 50_000.0;

impl Plan {
    /// Draws the plan of a run.
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

    /// Derives a seed for a purpose, so that each purpose has an independent stream of random numbers.
    pub fn stream(&self, purpose: &str) -> u64 {
        purpose.bytes().fold(mix(self.seed), |n, b| mix(n ^ u64::from(b)))
    }

    /// Returns the random number generator for a purpose.
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
                // The protocol limits customer numbers to below 2^33.
                let id = rng.random_range(1..1_u64 << 33);
                self.customers.push(Customer { plan: i, spread, first, id });
            }
        }
        if self.scenario.load.whale > 0.0 {
            self.customers.push(Customer { plan: 0, spread: gates, first: 0, id: 1 << 32 });
        }
    }

    /// Draws each customer's share of the requests; called at the start and at each step with `shift`.
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
        // Factor on the class's mean work: log-normal with a standard deviation of 0.6 in the logarithm and mean 1.
        let work = LogNormal::new(-0.18, 0.6).ok();
        let (mut now, mut rate) = (0.0, self.rate);
        while self.arrivals.len() < MAX_ARRIVALS {
            let gap: f64 = match scenario.load.arrivals {
                Arrivals::Poisson => Exp1.sample(&mut times),
                Arrivals::Even => 1.0,
            };
            let next = now + gap / rate.max(1e-9);
            // The load changes within this gap: draws a new gap at the new rate, starting at the step.
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

    /// Registers the try `txn` of a request, so that workers accept it, and returns what is to be sent.
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

    /// Returns what a client sent as the try `txn`, if any did.
    pub fn sent(&self, txn: u64) -> Option<ExpectedRequest> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).get(&txn).cloned()
    }
}

/// Draws a log-normal factor of mean 1 whose logarithm has the standard deviation `skew`.
fn log_normal_factor(skew: f64, rng: &mut ChaCha8Rng) -> f64 {
    LogNormal::new(-skew * skew / 2.0, skew).map_or(1.0, |d| d.sample(rng))
}

/// Returns cumulative sums of the weights, scaled to end at 1.
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

/// Returns the index in cumulative shares that a draw from 0 to 1 selects.
fn index_at(sums: &[f64], draw: f64) -> usize {
    sums.partition_point(|s| *s <= draw).min(sums.len().saturating_sub(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scenario(rest: &str) -> Scenario {
        Scenario::parse(&format!("name = \"x\"\nlength_s = 20\n{rest}")).expect("a valid scenario")
    }

    #[test]
    fn equal_seeds_give_equal_plans_and_different_seeds_different_ones() {
        let plan = |seed| Plan::new(scenario(""), seed);
        let (a, b, c) = (plan(1), plan(1), plan(2));
        assert_eq!(a.arrivals, b.arrivals);
        assert_eq!((&a.customers, &a.speeds), (&b.customers, &b.speeds));
        assert_ne!(a.arrivals, c.arrivals);
        assert!(a.customers.iter().all(|c| c.id < 1 << 33 && c.spread >= 1));
    }

    #[test]
    fn arrivals_match_the_configured_utilisation_and_steps() {
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
    fn plans_and_the_single_large_customer_get_their_shares_of_the_load() {
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
    fn workers_accept_only_registered_tries_with_their_exact_content() {
        let plan = Plan::new(scenario(""), 5);
        let keyed = plan.arrivals.iter().find(|a| a.class == 1).expect("one of each class");
        assert!(plan.sent(7).is_none());
        let expected = plan.send(7, keyed, 99);
        assert_eq!(plan.sent(7).as_ref(), Some(&expected));
        let text = String::from_utf8(expected.message(7, "X-Lane: a\r\n")).expect("text");
        assert!(text.contains("Idempotency-Key: 00000000000000000000000000000063"), "{text}");
    }
}
