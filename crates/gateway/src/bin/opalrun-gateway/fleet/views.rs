//! The members' spending and their attempts at workers, without sockets or clock. They are exchanged as grow-only counts
//! per member and incarnation, so that lost, repeated and reordered datagrams do no harm.
//!
//! For each recently active customer a token bucket is charged with the spending of all members. For each worker the
//! answers and failures at all members in the last second are kept. The decisions judge what follows from them.

use super::membership::Id;
use fnv::{FnvHashMap, FnvHasher};
use opalrun_gateway::Time;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, hash::Hasher};

/// Largest number of customers; beyond it, those without spending for the longest time are evicted.
pub const MAX_CUSTOMERS: usize = 20_000;
/// Largest number of workers.
pub const MAX_WORKERS: usize = 1_000;
/// Largest number of members' incarnations; beyond it, those without updates for the longest time are evicted together
/// with their counts.
const MAX_INCARNATIONS: usize = 2_000;
/// Largest number of entries in a datagram. An entry takes at most 30 bytes; the frame has to fit as well.
const MAX_ENTRIES: usize = 39;
/// How many times each member sends an update, its own or another member's.
const MAX_TRANSMISSIONS: u8 = 4;
/// Largest number of queued updates; beyond it, this member drops the oldest.
const MAX_QUEUED: usize = 4_000;
/// Period in seconds over which answers and failures of a worker are summed.
const OBSERVATION_WINDOW_S: f64 = 1.0;
/// Largest plausible growth of a count between two updates; larger growth is not charged or summed.
const MAX_GROWTH: u32 = 100_000;

/// Period in seconds whose growth is sent along with a count, for members that have no earlier value of it.
const RECENT_WINDOW_S: f64 = 4.0;

/// Hash of a customer's or worker's name that is the same at every member.
pub fn key(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// What a count counts. Customers and workers are given by their keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum Subject {
    /// Units that a customer's requests took, with the index of the customer's plan.
    Spent(u64, u8),
    /// Attempts that a worker answered.
    Answered(u64),
    /// Attempts that a worker failed.
    Failed(u64),
}

/// One member's count of one subject, as it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Entry {
    subject: Subject,
    /// Number of the gateway that counts.
    me: u32,
    /// Lower 32 bits of its incarnation; two incarnations of a member that agree in them are days apart.
    start: u32,
    count: u32,
    /// Growth in the last `RECENT_WINDOW_S` seconds, at most 255.
    #[serde(rename = "lately")]
    recent: u8,
}

/// Local copy of a member's count.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    count: u32,
    /// Growth since `window_start`, at most 255.
    recent: u8,
    /// Value of the count at `window_start`.
    count_at_window_start: u32,
    window_start: Time,
}

/// A member's number and the lower 32 bits of its incarnation.
type Incarnation = (u32, u32);

fn incarnation(id: &Id) -> Incarnation {
    (id.me, id.start as u32)
}

/// The body of a datagram.
#[derive(Debug, Serialize, Deserialize)]
struct Body {
    entries: Vec<Entry>,
}

/// What the fleet's spending leaves of a customer's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spending {
    /// Units left in a token bucket of the customer's plan that is charged with all known spending; negative if more was
    /// spent than the plan allows.
    pub level: f64,
    /// Seconds since the last update from another member; later spending is not included in `level`.
    pub age: f64,
}

/// Attempts at a worker by all members in the last second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerSummary {
    /// Attempts that the worker answered.
    pub answered: u32,
    /// Attempts that the worker failed.
    pub failed: u32,
    /// Number of members with failed attempts.
    pub members: u32,
}

/// Token bucket of a customer.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Index of the customer's plan.
    plan: u8,
    /// Units in the bucket at `at`.
    level: f64,
    at: Time,
}

#[derive(Debug, Default)]
struct Worker {
    /// Observations, oldest first: time, member, number of answers, number of failures.
    observations: VecDeque<(Time, Incarnation, u32, u32)>,
}

/// This member's copy of all counts, and the sums derived from them.
#[derive(Debug)]
pub struct Views {
    /// This member.
    own: Incarnation,
    /// Rate in units per second and burst in units of each plan.
    plans: Vec<(f64, f64)>,
    counts: FnvHashMap<(Subject, Incarnation), Count>,
    customers: FnvHashMap<u64, Bucket>,
    workers: FnvHashMap<u64, Worker>,
    /// When the last update of each incarnation arrived, from any member.
    incarnations: FnvHashMap<Incarnation, Time>,
    /// Updates to send, with the number of times that each was sent; the newest last.
    queue: VecDeque<(Subject, Incarnation, u8)>,
    /// The updates in `queue`.
    queued: FnvHashMap<(Subject, Incarnation), ()>,
    /// When the last update from another member arrived.
    last_received: Time,
    /// Number of customers evicted so far.
    pub evicted_customers: u64,
}

impl Views {
    pub fn new(own: &Id, plans: Vec<(f64, f64)>) -> Self {
        Self {
            own: incarnation(own),
            plans,
            counts: FnvHashMap::default(),
            customers: FnvHashMap::default(),
            workers: FnvHashMap::default(),
            incarnations: FnvHashMap::default(),
            queue: VecDeque::new(),
            queued: FnvHashMap::default(),
            last_received: f64::NEG_INFINITY,
            evicted_customers: 0,
        }
    }

    /// Changes rate and burst of the plans.
    pub fn set_plans(&mut self, plans: Vec<(f64, f64)>) {
        self.plans = plans;
    }

    /// Changes this member's incarnation. Its counts start from zero again.
    pub fn set_identity(&mut self, own: &Id) {
        self.own = incarnation(own);
    }

    /// Numbers of customers, workers and queued updates.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.customers.len(), self.workers.len(), self.queue.len())
    }

    /// Seconds since the last update from another member.
    pub fn age(&self, now: Time) -> f64 {
        now - self.last_received
    }

    /// Adds to one of this member's counts and queues it for sending.
    fn count(&mut self, now: Time, subject: Subject, by: u32) {
        let count = self.counts.entry((subject, self.own)).or_default();
        if now - count.window_start > RECENT_WINDOW_S {
            (count.count_at_window_start, count.window_start) = (count.count, now);
        }
        count.count = count.count.saturating_add(by);
        count.recent = u8::try_from(count.count - count.count_at_window_start).unwrap_or(u8::MAX);
        self.enqueue(subject, self.own);
    }

    /// Records that this member has sent a request of `units` to a worker.
    pub fn record_spending(&mut self, now: Time, customer: u64, plan: u8, units: f64) {
        if self.charge(now, customer, plan, units) {
            self.count(now, Subject::Spent(customer, plan), units.round().clamp(0.0, 1e6) as u32);
        }
    }

    /// Records that a worker has answered or failed an attempt of this member.
    pub fn record_attempt(&mut self, now: Time, worker: u64, answered: bool) {
        self.count(now, if answered { Subject::Answered(worker) } else { Subject::Failed(worker) }, 1);
        self.observe(now, worker, self.own, u32::from(answered), u32::from(!answered));
    }

    /// Charges a customer's bucket. Returns `false` if the plan is unknown.
    fn charge(&mut self, now: Time, customer: u64, plan: u8, units: f64) -> bool {
        let Some((rate, burst)) = self.plans.get(usize::from(plan)).copied() else { return false };
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(&customer) {
            self.evict_customers(now);
        }
        let bucket = self.customers.entry(customer).or_insert(Bucket { plan, level: burst, at: now });
        bucket.plan = plan;
        bucket.level = (bucket.level + rate * (now - bucket.at).max(0.0)).min(burst);
        // Bounded below: a deeper overdraft would restrict the customer for longer than the quota itself does.
        bucket.level = (bucket.level - units).max(-burst);
        bucket.at = bucket.at.max(now);
        true
    }

    /// Evicts the half of the customers with the oldest spending, together with their counts.
    fn evict_customers(&mut self, now: Time) {
        let mut ages: Vec<Time> = self.customers.values().map(|b| b.at).collect();
        let middle = ages.len() / 2;
        let (_, cutoff, _) = ages.select_nth_unstable_by(middle, f64::total_cmp);
        let cutoff = cutoff.min(now);
        let before = self.customers.len();
        self.customers.retain(|_, b| b.at > cutoff);
        self.evicted_customers += (before - self.customers.len()) as u64;
        let (customers, own) = (&self.customers, self.own);
        self.counts.retain(|(subject, by), _| match subject {
            // This member's own counts must not restart from zero within the same incarnation.
            Subject::Spent(customer, _) => customers.contains_key(customer) || *by == own,
            _ => true,
        });
    }

    /// Adds answers and failures of a worker at the member `by` to the worker's observations.
    fn observe(&mut self, now: Time, worker: u64, by: Incarnation, answered: u32, failed: u32) {
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&worker) {
            self.workers
                .retain(|_, w| w.observations.back().is_some_and(|o| now - o.0 < OBSERVATION_WINDOW_S));
            if self.workers.len() >= MAX_WORKERS {
                return;
            }
        }
        let observations = &mut self.workers.entry(worker).or_default().observations;
        while observations.front().is_some_and(|o| now - o.0 > OBSERVATION_WINDOW_S) {
            observations.pop_front();
        }
        // Observations of one member within 50 ms are merged, which bounds the memory used.
        match observations.back_mut() {
            Some(last) if last.1 == by && now - last.0 < 0.05 => {
                last.2 = last.2.saturating_add(answered);
                last.3 = last.3.saturating_add(failed);
            }
            _ => observations.push_back((now, by, answered, failed)),
        }
    }

    /// Queues a count for sending.
    fn enqueue(&mut self, subject: Subject, by: Incarnation) {
        if self.queued.insert((subject, by), ()).is_some() {
            // It is queued already and is sent with its value at that time.
            return;
        }
        self.queue.push_back((subject, by, 0));
        if self.queue.len() > MAX_QUEUED
            && let Some((subject, by, _)) = self.queue.pop_front()
        {
            self.queued.remove(&(subject, by));
        }
    }

    /// Builds the body of the next datagram, the newest updates first; `None`: there are none.
    pub fn next_body(&mut self) -> Option<Vec<u8>> {
        let mut entries = Vec::new();
        let mut resend = Vec::new();
        while entries.len() < MAX_ENTRIES
            && let Some((subject, by, times)) = self.queue.pop_back()
        {
            let Some(Count { count, recent, .. }) = self.counts.get(&(subject, by)).copied() else {
                self.queued.remove(&(subject, by));
                continue;
            };
            entries.push(Entry { subject, me: by.0, start: by.1, count, recent });
            if times + 1 < MAX_TRANSMISSIONS {
                resend.push((subject, by, times + 1));
            } else {
                self.queued.remove(&(subject, by));
            }
        }
        // Sent again only after updates that were sent less often.
        resend.into_iter().for_each(|waits| self.queue.push_front(waits));
        // Serializing can't fail for these types.
        if entries.is_empty() { None } else { postcard::to_stdvec(&Body { entries }).ok() }
    }

    /// Applies the body of a datagram. Returns `false` if it is invalid. Adds the keys of workers with new failures to
    /// `failed`.
    pub fn receive(&mut self, now: Time, body: &[u8], failed: &mut Vec<u64>) -> bool {
        let Ok((Body { entries }, [])) = postcard::take_from_bytes(body) else { return false };
        if entries.len() > MAX_ENTRIES {
            return false;
        }
        self.last_received = now;
        for Entry { subject, me, start, count, recent } in entries {
            let by = (me, start);
            if me == self.own.0 {
                // This gateway's own counts are authoritative here.
                continue;
            }
            if self.incarnations.len() >= MAX_INCARNATIONS && !self.incarnations.contains_key(&by) {
                self.evict_incarnations();
            }
            self.incarnations.insert(by, now);
            let growth = match self.counts.get(&(subject, by)).map(|c| c.count) {
                Some(known) if count <= known => continue,
                Some(known) => count - known,
                // First value of this count: the time of its growth before the recent period is unknown, so that part is
                // not charged.
                None => u32::from(recent).min(count),
            };
            self.counts.insert((subject, by), Count { count, recent, ..Count::default() });
            self.enqueue(subject, by);
            let growth = if growth > MAX_GROWTH { 0 } else { growth };
            match subject {
                Subject::Spent(customer, plan) => {
                    self.charge(now, customer, plan, f64::from(growth));
                }
                Subject::Answered(worker) => self.observe(now, worker, by, growth, 0),
                Subject::Failed(worker) => {
                    self.observe(now, worker, by, 0, growth);
                    if growth > 0 {
                        failed.push(worker);
                    }
                }
            }
        }
        true
    }

    /// Evicts the half of the incarnations with the oldest updates, together with their counts.
    fn evict_incarnations(&mut self) {
        let mut ages: Vec<Time> = self.incarnations.values().copied().collect();
        let middle = ages.len() / 2;
        let (_, cutoff, _) = ages.select_nth_unstable_by(middle, f64::total_cmp);
        let cutoff = *cutoff;
        self.incarnations.retain(|_, s| *s > cutoff);
        let (incarnations, own) = (&self.incarnations, self.own);
        self.counts.retain(|(_, by), _| incarnations.contains_key(by) || *by == own);
    }

    /// What the known spending leaves of a customer's quota; `None`: no spending is known.
    pub fn spending(&self, now: Time, customer: u64) -> Option<Spending> {
        let bucket = self.customers.get(&customer)?;
        let (rate, burst) = self.plans.get(usize::from(bucket.plan)).copied()?;
        let level = (bucket.level + rate * (now - bucket.at).max(0.0)).min(burst);
        Some(Spending { level, age: self.age(now) })
    }

    /// Sums the attempts of all members at a worker in the last second.
    pub fn worker_summary(&self, now: Time, worker: u64) -> WorkerSummary {
        let mut summary = WorkerSummary::default();
        let Some(worker) = self.workers.get(&worker) else { return summary };
        let mut members = Vec::new();
        for (_, by, answered, failed) in
            worker.observations.iter().filter(|o| now - o.0 <= OBSERVATION_WINDOW_S)
        {
            summary.answered = summary.answered.saturating_add(*answered);
            summary.failed = summary.failed.saturating_add(*failed);
            if *failed > 0 && !members.contains(by) {
                members.push(*by);
            }
        }
        summary.members = members.len() as u32;
        summary
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests {
    use super::*;

    const RATE: f64 = 10.0;
    const BURST: f64 = 20.0;

    fn id(me: u32, start: u64) -> Id {
        Id { addr: ([127, 0, 0, 1], 1000 + (me % 1000) as u16).into(), me, start }
    }

    fn views(me: u32, start: u64) -> Views {
        Views::new(&id(me, start), vec![(RATE, BURST)])
    }

    fn level(views: &Views, now: Time) -> f64 {
        views.spending(now, 1).map_or(BURST, |s| s.level)
    }

    #[test]
    fn repeated_and_reordered_updates_are_counted_once() {
        let (mut a, mut b) = (views(0, 1), views(1, 1));
        // The first 50 units were spent long before the first update arrives, so only the last unit is charged.
        a.record_spending(10.0, 1, 0, 50.0);
        a.record_spending(100.0, 1, 0, 1.0);
        b.receive(100.0, &a.next_body().expect("an update"), &mut Vec::new());
        assert_eq!(level(&b, 100.0), BURST - 1.0);
        let mut bodies = Vec::new();
        for _ in 0..5 {
            a.record_spending(101.0, 1, 0, 1.0);
            bodies.push(a.next_body().expect("an update"));
        }
        for body in [&bodies[4], &bodies[0], &bodies[4], &bodies[2]] {
            assert!(b.receive(101.0, body, &mut Vec::new()));
        }
        assert!(
            (level(&b, 101.0) - (BURST - 5.0)).abs() < 1e-9,
            "five units, each once: {}",
            level(&b, 101.0)
        );
        assert!((level(&b, 101.2) - (BURST - 3.0)).abs() < 1e-9, "the bucket refills");
    }

    #[test]
    fn members_converge_to_the_same_level_despite_datagram_loss() {
        let mut rng = fastrand::Rng::with_seed(5);
        let mut members: Vec<Views> = (0..8).map(|i| views(i, 1)).collect();
        // Without refill, so that the levels show how much of the spending each member knows.
        members.iter_mut().for_each(|m| m.set_plans(vec![(0.0, 1e4)]));
        let mut spent = 0.0;
        for round in 0..400 {
            let now = f64::from(round) * 0.1;
            if round < 200 {
                let i = rng.usize(..8);
                members[i].record_spending(now, 1, 0, 1.0);
                spent += 1.0;
            }
            for i in 0..8 {
                for _ in 0..2 {
                    let Some(body) = members[i].next_body() else { continue };
                    let to = rng.usize(..8);
                    if to != i && rng.f64() > 0.3 {
                        members[to].receive(now, &body, &mut Vec::new());
                    }
                }
            }
        }
        let level = |v: &Views| v.spending(40.0, 1).expect("known").level;
        for member in &members {
            let known = 1e4 - level(member);
            assert!(known <= spent && known > 0.95 * spent, "{known} of {spent} units are known");
        }
    }

    #[test]
    fn counts_of_a_restarted_member_are_added_to_its_former_ones_once() {
        let mut b = views(1, 1);
        let mut a = views(0, 1);
        a.record_spending(0.0, 1, 0, 1.0);
        b.receive(0.0, &a.next_body().expect("an update"), &mut Vec::new());
        a.record_spending(5.0, 1, 0, 4.0);
        let old = a.next_body().expect("an update");
        b.receive(5.0, &old, &mut Vec::new());
        let mut a = views(0, 2);
        a.record_spending(5.0, 1, 0, 3.0);
        b.receive(5.0, &a.next_body().expect("an update"), &mut Vec::new());
        b.receive(5.0, &old, &mut Vec::new());
        assert!((level(&b, 5.0) - (BURST - 7.0)).abs() < 1e-9, "{}", level(&b, 5.0));
    }

    #[test]
    fn worker_summary_combines_all_members_and_counts_those_with_failures() {
        let mut b = views(9, 1);
        let mut bad = Vec::new();
        let mut others: Vec<Views> = (0..3).map(|i| views(i, 1)).collect();
        for other in &mut others {
            other.record_attempt(0.0, 7, true);
            b.receive(0.0, &other.next_body().expect("an update"), &mut bad);
        }
        assert!(bad.is_empty());
        others[0].record_attempt(0.1, 7, false);
        others[1].record_attempt(0.1, 7, true);
        for other in &mut others[..2] {
            b.receive(0.1, &other.next_body().expect("an update"), &mut bad);
        }
        assert_eq!(bad, [7]);
        let summary = b.worker_summary(0.2, 7);
        assert_eq!((summary.failed, summary.members), (1, 1));
        assert!(summary.answered >= 1);
        assert_eq!(b.worker_summary(2.0, 7), WorkerSummary::default(), "observations expire");
    }

    #[test]
    fn memory_is_bounded_and_longest_idle_customers_are_evicted_first() {
        let mut all = views(0, 1);
        for customer in 0..3 * MAX_CUSTOMERS as u64 {
            all.record_spending(customer as f64 * 1e-3, customer, 0, 1.0);
        }
        let (customers, _, waiting) = all.sizes();
        assert!(
            customers <= MAX_CUSTOMERS && waiting <= MAX_QUEUED,
            "{customers} customers, {waiting} waiting"
        );
        let last = 3 * MAX_CUSTOMERS as u64 - 1;
        assert!(all.spending(100.0, last).is_some(), "the customer active last is kept");
        assert!(all.spending(100.0, 0).is_none() && all.evicted_customers > 0);
        for member in 0..3 * MAX_INCARNATIONS as u32 {
            let mut other = views(1 + member, 1);
            other.record_spending(0.0, 5, 0, 1.0);
            all.receive(f64::from(member), &other.next_body().expect("an update"), &mut Vec::new());
        }
        assert!(all.incarnations.len() <= MAX_INCARNATIONS);
    }

    #[test]
    fn full_datagram_fits_and_mutated_bodies_do_no_harm() {
        let mut all = views(u32::MAX, u64::MAX);
        for i in 0..200 {
            all.record_spending(0.0, u64::MAX - i, 0, 1e6);
        }
        let body = all.next_body().expect("an update");
        assert!(
            body.len() + super::super::wire::HEADER_BYTES <= super::super::wire::MAX_DATAGRAM_BYTES,
            "{} bytes",
            body.len()
        );
        let mut other = views(1, 1);
        let mut rng = fastrand::Rng::with_seed(2);
        for _ in 0..20_000 {
            let mut bytes = body.clone();
            bytes.truncate(rng.usize(..bytes.len()));
            for _ in 0..4 {
                if !bytes.is_empty() {
                    let at = rng.usize(..bytes.len());
                    bytes[at] = rng.u8(..);
                }
            }
            other.receive(1.0, &bytes, &mut Vec::new());
        }
        assert!(other.sizes().0 <= MAX_CUSTOMERS);
    }
}
