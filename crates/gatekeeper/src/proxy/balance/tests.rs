//! Selection of workers: load, prefix affinity, zones, subsets, priorities and ejection.

use super::{Balancer, LoadReport, NoWorker, PromptSegment, SelectionCriteria, WorkerId};

use opalrun_wire::feed::{Worker, WorkerState};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const KV_CACHE_TOKENS: u32 = 230_000;

fn worker(id: &str, zone: &str, capacity: u32) -> Worker {
    Worker {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: format!("10.0.0.1:{}", 1000 + id.len()),
        zone: zone.to_owned(),
        generation: "v1".to_owned(),
        capacity,
        state: WorkerState::Ready,
        warmup_remaining_ms: 0,
        sequence: 1,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn balancer(count: usize, capacity: u32, memory: u32) -> Balancer {
    let mut balancer = Balancer::new("here", 1);
    balancer.set_kv_cache_tokens(memory);
    let workers: Vec<_> = (0..count).map(|n| worker(&format!("w{n}"), "here", capacity)).collect();
    balancer.set_workers(at(0), workers.iter());
    balancer
}

fn segments(list: &[(u64, u32)]) -> Vec<PromptSegment> {
    list.iter().map(|(id, tokens)| PromptSegment { id: *id, tokens: *tokens }).collect()
}

#[test]
fn malformed_entry_ends_prompt_prefix_header() {
    let read = PromptSegment::parse_all("5c1e07a2:800,91bd3f06:410, e4402b7d:250");
    assert_eq!(read, segments(&[(0x5c1e_07a2, 800), (0x91bd_3f06, 410), (0xe440_2b7d, 250)]));
    assert_eq!(PromptSegment::parse_all("5c:1,what"), segments(&[(0x5c, 1)]));
    assert!(PromptSegment::parse_all("").is_empty());
    assert_eq!(LoadReport::parse("3, 0,8"), Some(LoadReport { running: 3, waiting: 0, slots: 8 }));
    assert_eq!(LoadReport::parse("3,0"), None);
}

#[test]
fn requests_without_language_model_go_to_least_loaded_worker() {
    let mut balancer = balancer(3, 4, 0);
    let mut used = BTreeSet::new();
    for _ in 0..3 {
        let chosen =
            balancer.select_worker(at(0), &SelectionCriteria::default()).expect("all workers are idle");
        balancer.request_sent(at(0), &chosen.id, &[]);
        used.insert(chosen.id);
    }
    assert_eq!(used.len(), 3);
}

#[test]
fn load_of_other_gatekeepers_counts_and_decays() {
    let mut balancer = balancer(2, 4, 0);
    let first = WorkerId::from("w0");
    let mut slot = balancer.request_sent(at(0), &first, &[]);
    balancer.answer_started(at(0), &mut slot, Some(LoadReport { running: 4, waiting: 3, slots: 4 }));
    balancer.request_ended(&slot);
    for _ in 0..8 {
        assert_eq!(
            &*balancer.select_worker(at(1), &SelectionCriteria::default()).expect("w1 is available").id,
            "w1"
        );
    }
    let later = (0..64)
        .filter_map(|_| balancer.select_worker(at(60_000), &SelectionCriteria::default()).ok())
        .collect_ids();
    assert_eq!(later.len(), 2);
}

#[test]
fn idle_connection_decides_only_among_equally_loaded_workers() {
    let mut balancer = balancer(4, 4, 0);
    let connected = WorkerId::from("w2");
    let has_idle_connection = |id: &WorkerId| *id == connected;
    let criteria =
        SelectionCriteria { has_idle_connection: Some(&has_idle_connection), ..SelectionCriteria::default() };
    let chosen = (0..32).filter_map(|_| balancer.select_worker(at(0), &criteria).ok()).collect_ids();
    assert_eq!(chosen, BTreeSet::from([connected.clone()]));
    balancer.request_sent(at(0), &connected, &[]);
    let chosen = (0..64).filter_map(|_| balancer.select_worker(at(0), &criteria).ok()).collect_ids();
    assert!(!chosen.contains(&connected) && chosen.len() == 3);
}

trait CollectIds {
    fn collect_ids(self) -> BTreeSet<WorkerId>;
}

impl<I: Iterator<Item = super::SelectedWorker>> CollectIds for I {
    fn collect_ids(self) -> BTreeSet<WorkerId> {
        self.map(|chosen| chosen.id).collect()
    }
}

#[test]
fn draining_attempted_and_replaced_workers_are_not_selected() {
    let mut balancer = balancer(3, 4, 0);
    let mut list: Vec<_> = (0..3).map(|n| worker(&format!("w{n}"), "here", 4)).collect();
    list[0].state = WorkerState::Draining;
    balancer.set_workers(at(1), list.iter());
    balancer.worker_replaced("w1");
    assert!(!balancer.is_ready("w0") && !balancer.is_ready("w1"));
    assert_eq!(
        &*balancer.select_worker(at(1), &SelectionCriteria::default()).expect("w2 is available").id,
        "w2"
    );
    let attempted = [WorkerId::from("w2")];
    let criteria = SelectionCriteria { attempted: &attempted, ..SelectionCriteria::default() };
    assert_eq!(balancer.select_worker(at(1), &criteria), Err(NoWorker::Absent));
    balancer.set_workers(at(2), [].iter());
    assert!(!balancer.has_ready_worker());
}

#[test]
fn replaced_worker_becomes_ready_only_with_new_address() {
    let mut balancer = balancer(1, 4, 0);
    balancer.worker_replaced("w0");
    let mut list = [worker("w0", "here", 4)];
    balancer.set_workers(at(1), list.iter());
    assert!(!balancer.is_ready("w0"));
    list[0].address = "10.0.0.9:1".to_owned();
    balancer.set_workers(at(2), list.iter());
    assert!(balancer.is_ready("w0"));
}

#[test]
fn consecutive_failures_eject_at_most_half_of_the_workers() {
    let mut balancer = balancer(3, 4, 0);
    for _ in 0..3 {
        balancer.attempt_failed(at(0), "w0");
    }
    let chosen = (0..64)
        .filter_map(|_| balancer.select_worker(at(1), &SelectionCriteria::default()).ok())
        .collect_ids();
    assert!(!chosen.contains("w0"));
    for name in ["w1", "w2"] {
        (0..3).for_each(|_| balancer.attempt_failed(at(1), name));
    }
    let chosen = (0..64)
        .filter_map(|_| balancer.select_worker(at(2), &SelectionCriteria::default()).ok())
        .collect_ids();
    assert_eq!(chosen.len(), 3, "with more than half failing, nobody is ejected");
    let after = at(10_000);
    assert!(
        (0..64)
            .filter_map(|_| balancer.select_worker(after, &SelectionCriteria::default()).ok())
            .collect_ids()
            .len()
            == 3
    );
}

#[test]
fn full_service_rejects_low_priorities_first_and_only_without_free_slots() {
    let mut balancer = balancer(1, 4, 0);
    let only = WorkerId::from("w0");
    let criteria = |priority| SelectionCriteria { priority, ..SelectionCriteria::default() };
    for sent in 0..4 {
        assert!(balancer.select_worker(at(0), &criteria(9)).is_ok(), "{sent} of 4 slots are taken");
        balancer.request_sent(at(0), &only, &[]);
    }
    assert_eq!(balancer.select_worker(at(0), &criteria(9)), Err(NoWorker::Full));
    assert!(balancer.select_worker(at(0), &criteria(0)).is_ok());
    (0..4).for_each(|_| drop(balancer.request_sent(at(0), &only, &[])));
    assert_eq!(balancer.select_worker(at(0), &criteria(0)), Err(NoWorker::Full));
}

#[test]
fn session_returns_to_worker_with_cached_prompt() {
    let mut balancer = balancer(8, 32, KV_CACHE_TOKENS);
    let first = segments(&[(1, 2500), (100, 500)]);
    let criteria = SelectionCriteria { prompt_segments: &first, ..SelectionCriteria::default() };
    let preferred_worker = balancer.select_worker(at(0), &criteria).expect("all workers are idle").id;
    let mut slot = balancer.request_sent(at(0), &preferred_worker, &first);
    balancer.answer_started(at(1), &mut slot, None);
    balancer.request_ended(&slot);
    let next = segments(&[(1, 2500), (100, 500), (101, 300)]);
    for _ in 0..16 {
        let criteria = SelectionCriteria { prompt_segments: &next, ..SelectionCriteria::default() };
        assert_eq!(
            balancer.select_worker(at(5), &criteria).expect("a worker is available").id,
            preferred_worker
        );
    }
}

#[test]
fn gatekeepers_prefer_same_worker_for_a_prefix_until_it_is_busy() {
    let first = segments(&[(7, 2500), (100, 900)]);
    let criteria = SelectionCriteria { prompt_segments: &first, ..SelectionCriteria::default() };
    let preferred_workers: BTreeSet<_> = (0..6)
        .filter_map(|_| balancer(9, 32, KV_CACHE_TOKENS).select_worker(at(0), &criteria).ok())
        .map(|chosen| chosen.id)
        .collect();
    assert_eq!(preferred_workers.len(), 1);
    let mut busy = balancer(9, 32, KV_CACHE_TOKENS);
    let mut used: BTreeMap<WorkerId, u32> = BTreeMap::new();
    for n in 0..12 {
        let next = segments(&[(7, 2500), (200 + n, 900)]);
        let chosen = busy
            .select_worker(
                at(0),
                &SelectionCriteria { prompt_segments: &next, ..SelectionCriteria::default() },
            )
            .expect("a worker is available");
        busy.request_sent(at(0), &chosen.id, &next);
        *used.entry(chosen.id).or_default() += 1;
    }
    let max_requests = used.values().max().copied().unwrap_or_default();
    assert!(used.len() > 1, "a single worker would process all prompts in sequence");
    assert!(
        preferred_workers.iter().all(|preferred_worker| used.get(preferred_worker) == Some(&max_requests)),
        "the preferred worker gets the most requests: {used:?}"
    );
}

#[test]
fn worker_in_own_zone_is_preferred_while_not_more_loaded() {
    let mut balancer = Balancer::new("here", 1);
    let list = [worker("far", "there", 6), worker("near", "here", 6)];
    balancer.set_workers(at(0), list.iter());
    assert_eq!(
        &*balancer.select_worker(at(0), &SelectionCriteria::default()).expect("a worker is available").id,
        "near"
    );
    balancer.request_sent(at(0), &WorkerId::from("near"), &[]);
    balancer.request_sent(at(0), &WorkerId::from("near"), &[]);
    assert_eq!(
        &*balancer.select_worker(at(0), &SelectionCriteria::default()).expect("a worker is available").id,
        "far"
    );
}

#[test]
fn preferred_worker_of_a_prefix_is_in_own_zone() {
    let mut balancer = Balancer::new("here", 1);
    balancer.set_kv_cache_tokens(KV_CACHE_TOKENS);
    let zones = ["there", "there", "there", "here", "here"];
    let list: Vec<_> = zones.iter().enumerate().map(|(n, zone)| worker(&format!("w{n}"), zone, 32)).collect();
    balancer.set_workers(at(0), list.iter());
    for prefix in 0..32 {
        let prompt = segments(&[(prefix, 2500), (1000 + prefix, 500)]);
        let chosen = balancer
            .select_worker(
                at(0),
                &SelectionCriteria { prompt_segments: &prompt, ..SelectionCriteria::default() },
            )
            .expect("a worker is available");
        assert!(["w3", "w4"].contains(&&*chosen.id));
    }
}

#[test]
fn in_flight_count_is_exact_for_any_order_of_events() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|events| {
        let mut balancer = balancer(3, 4, KV_CACHE_TOKENS);
        let mut slots = Vec::new();
        for (step, (kind, which)) in events.iter().enumerate() {
            let now = at(step as u64 * 10);
            let id = WorkerId::from(format!("w{}", which % 3).as_str());
            match kind % 6 {
                0 | 1 => slots.push(balancer.request_sent(now, &id, &segments(&[(u64::from(*which), 100)]))),
                2 => {
                    if let Some(slot) = slots.first_mut() {
                        balancer.answer_started(now, slot, LoadReport::parse("1,2,3"));
                    }
                }
                3 => balancer.attempt_failed(now, &id),
                4 => balancer.attempt_rejected(now, &balancer_slot(&id), None),
                _ => {
                    if let Some(slot) = slots.pop() {
                        balancer.request_ended(&slot);
                    }
                }
            }
            let in_flight: u32 = (0..3).map(|n| balancer.in_flight(&format!("w{n}"))).sum();
            assert_eq!(in_flight as usize, slots.len());
        }
    });
}

fn balancer_slot(id: &WorkerId) -> super::WorkerSlot {
    super::WorkerSlot { worker: id.clone(), prompt_tokens: 0, sent_at: None }
}

fn subset_balancer(gatekeeper: u64, gatekeepers: u32, workers: &[Worker]) -> Balancer {
    let mut balancer = Balancer::new("here", gatekeeper);
    balancer.set_kv_cache_tokens(KV_CACHE_TOKENS);
    balancer.set_workers(at(0), workers.iter());
    balancer.set_gatekeepers(gatekeepers);
    balancer
}

#[test]
fn many_gatekeepers_spread_one_prefix_evenly_without_shared_state() {
    let workers: Vec<_> = (0..60).map(|n| worker(&format!("w{n}"), "here", 24)).collect();
    let mut used: BTreeMap<WorkerId, u32> = BTreeMap::new();
    for gatekeeper in 0..300 {
        let balancer = subset_balancer(gatekeeper * 7919, 300, &workers);
        let first = segments(&[(7, 2500), (100 + gatekeeper, 900)]);
        let chosen = balancer
            .select_worker(
                at(0),
                &SelectionCriteria { prompt_segments: &first, ..SelectionCriteria::default() },
            )
            .expect("a worker is available");
        *used.entry(chosen.id).or_default() += 1;
    }
    assert!(used.len() >= 55, "at five requests per worker, few workers get none: {}", used.len());
    assert!(used.values().max() <= Some(&16), "no worker is overloaded: {used:?}");
}

#[test]
fn subset_in_own_zone_is_used_until_its_workers_are_busy() {
    let zone = |n: u32| if n.is_multiple_of(4) { "here" } else { "there" };
    let workers: Vec<_> = (0..60).map(|n| worker(&format!("w{n}"), zone(n), 24)).collect();
    let mut balancer = subset_balancer(1, 77, &workers);
    let mut used_when_idle = BTreeSet::new();
    for n in 0..40 {
        let next = segments(&[(n % 9, 2500), (100 + n, 900)]);
        let chosen = balancer
            .select_worker(
                at(n),
                &SelectionCriteria { prompt_segments: &next, ..SelectionCriteria::default() },
            )
            .expect("a worker is available");
        let mut slot = balancer.request_sent(at(n), &chosen.id, &next);
        balancer.answer_started(at(n), &mut slot, None);
        balancer.request_ended(&slot);
        used_when_idle.insert(chosen.id);
    }
    assert!(used_when_idle.len() <= 10, "{used_when_idle:?}");
    let local = |id: &WorkerId| id[1..].parse::<u32>().is_ok_and(|n| n.is_multiple_of(4));
    assert!(used_when_idle.iter().all(local), "{used_when_idle:?}");
    let mut used_when_busy = BTreeSet::new();
    for n in 0..400 {
        let next = segments(&[(n % 9, 2500), (1000 + n, 900)]);
        let chosen = balancer
            .select_worker(
                at(50),
                &SelectionCriteria { prompt_segments: &next, ..SelectionCriteria::default() },
            )
            .expect("a worker is available");
        drop(balancer.request_sent(at(50), &chosen.id, &next));
        used_when_busy.insert(chosen.id);
    }
    assert!(used_when_busy.len() > 40, "workers outside the subset serve as well: {}", used_when_busy.len());
}

#[test]
fn restarted_gatekeepers_select_the_same_worker_for_a_session() {
    let workers: Vec<_> = (0..60).map(|n| worker(&format!("w{n}"), "here", 24)).collect();
    let gatekeeper = |number| subset_balancer(number, 70, &workers);
    let session = |n: u64| segments(&[(7, 2500), (1000 + n, 500)]);
    let mut same = 0;
    for n in 0..32 {
        let preferred_workers: BTreeSet<_> = (0..4)
            .filter_map(|_| {
                let mut restarted = gatekeeper(1);
                // Earlier requests of other sessions must not influence the selection.
                for other in 0..3 * n {
                    let segments = session(5000 + other);
                    let chosen = restarted
                        .select_worker(
                            at(n),
                            &SelectionCriteria { prompt_segments: &segments, ..SelectionCriteria::default() },
                        )
                        .ok()?;
                    let mut slot = restarted.request_sent(at(n), &chosen.id, &segments);
                    restarted.answer_started(at(n), &mut slot, None);
                    restarted.request_ended(&slot);
                }
                let segments = session(n);
                restarted
                    .select_worker(
                        at(n),
                        &SelectionCriteria { prompt_segments: &segments, ..SelectionCriteria::default() },
                    )
                    .ok()
            })
            .map(|chosen| chosen.id)
            .collect();
        same += usize::from(preferred_workers.len() == 1);
    }
    assert_eq!(same, 32);
    let preferred_workers: BTreeSet<_> = (0..32)
        .filter_map(|n| {
            let segments = session(n);
            gatekeeper(1)
                .select_worker(
                    at(0),
                    &SelectionCriteria { prompt_segments: &segments, ..SelectionCriteria::default() },
                )
                .ok()
        })
        .map(|chosen| chosen.id)
        .collect();
    assert!(
        preferred_workers.len() > 5,
        "sessions with the same prefix use several workers: {preferred_workers:?}"
    );
}

#[test]
fn partially_failing_worker_is_avoided_until_its_failures_decay() {
    let mut balancer = balancer(6, 32, KV_CACHE_TOKENS);
    let session = segments(&[(1, 2500), (100, 500)]);
    let idempotent =
        SelectionCriteria { prompt_segments: &session, idempotent: true, ..SelectionCriteria::default() };
    let failing_worker = balancer.select_worker(at(0), &idempotent).expect("a worker is available").id;
    let mut slot = balancer.request_sent(at(0), &failing_worker, &session);
    balancer.answer_started(at(0), &mut slot, None);
    balancer.request_ended(&slot);
    for step in 0..3 {
        balancer.attempt_failed(at(step), &failing_worker);
        balancer.attempt_succeeded(at(step), &failing_worker);
    }
    let other = segments(&[(1, 2500), (101, 500)]);
    let next =
        SelectionCriteria { prompt_segments: &other, idempotent: true, ..SelectionCriteria::default() };
    assert_ne!(balancer.select_worker(at(10), &next).expect("a worker is available").id, failing_worker);
    assert_eq!(
        balancer.select_worker(at(30_000), &next).expect("a worker is available").id,
        failing_worker,
        "the failures have decayed and the prompt is still cached"
    );
}

#[test]
fn ejected_worker_is_probed_with_one_idempotent_request() {
    let mut balancer = balancer(3, 4, 0);
    (0..2).for_each(|_| balancer.attempt_failed(at(0), "w0"));
    let after_ejection = at(1000);
    let ids = |balancer: &Balancer, now, idempotent| {
        let criteria = SelectionCriteria { idempotent, ..SelectionCriteria::default() };
        (0..64).filter_map(|_| balancer.select_worker(now, &criteria).ok()).collect_ids()
    };
    for name in ["w1", "w2"] {
        (0..4).for_each(|_| drop(balancer.request_sent(after_ejection, &WorkerId::from(name), &[])));
    }
    assert!(
        !ids(&balancer, after_ejection, false).contains("w0"),
        "the other workers are more loaded, but not in probation"
    );
    assert!(ids(&balancer, after_ejection, true).contains("w0"));
    drop(balancer.request_sent(after_ejection, &WorkerId::from("w0"), &[]));
    assert!(!ids(&balancer, after_ejection, true).contains("w0"), "only one probe at a time");
    balancer.attempt_succeeded(at(1100), "w0");
    assert!(ids(&balancer, at(1100), false).contains("w0"));
}

#[test]
fn ejection_without_further_attempts_ends() {
    let mut balancer = balancer(3, 4, 0);
    (0..4).for_each(|_| balancer.attempt_failed(at(0), "w0"));
    let ids = (0..64)
        .filter_map(|_| balancer.select_worker(at(60_000), &SelectionCriteria::default()).ok())
        .collect_ids();
    assert_eq!(ids.len(), 3);
}

#[test]
fn answer_start_limit_follows_recent_answers_unless_worker_is_busy() {
    let mut balancer = balancer(2, 8, 0);
    let worker = WorkerId::from("w0");
    assert_eq!(balancer.answer_start_limit(at(0), "w0"), None, "no samples yet");
    for n in 0..40 {
        let mut slot = balancer.request_sent(at(n * 100), &worker, &[]);
        balancer.answer_started(at(n * 100 + 40 + n % 3 * 10), &mut slot, None);
        balancer.request_ended(&slot);
    }
    let usual = balancer.answer_start_limit(at(5000), "w0").expect("enough samples");
    assert!(usual > at(60) && usual < at(200), "{usual:?}");
    (0..4).for_each(|_| drop(balancer.request_sent(at(5000), &worker, &[])));
    assert_eq!(balancer.answer_start_limit(at(5000), "w0"), None);
    for n in 0..16 {
        let mut slot = balancer.request_sent(at(6000 + n), &WorkerId::from("w1"), &[]);
        balancer.record_answer_time(at(6300 + n), &mut slot);
        balancer.request_ended(&slot);
    }
    let slower = balancer.answer_start_limit(at(9000), "w1").expect("enough samples");
    assert!(slower > usual * 2, "the limit follows when all workers become slower: {slower:?}");
}

#[test]
fn reported_suspects_count_until_time_out_unless_too_many() {
    let mut balancer = balancer(6, 4, 0);
    let ids = |balancer: &Balancer, now| {
        (0..64).filter_map(|_| balancer.select_worker(now, &SelectionCriteria::default()).ok()).collect_ids()
    };
    balancer.set_suspects(at(0), &["w0".to_owned(), "w1".to_owned(), "of another service".to_owned()]);
    assert_eq!(ids(&balancer, at(1)).len(), 4);
    assert_eq!(ids(&balancer, at(5000)).len(), 6, "the report was not renewed");
    balancer.set_suspects(at(6000), &["w0".to_owned()]);
    assert!(!ids(&balancer, at(6001)).contains("w0"));
    balancer.set_suspects(at(6100), &[]);
    assert_eq!(ids(&balancer, at(6101)).len(), 6);
    let half: Vec<String> = (0..3).map(|n| format!("w{n}")).collect();
    balancer.set_suspects(at(7000), &half);
    assert_eq!(ids(&balancer, at(7001)).len(), 6, "reports about too many workers are ignored");
}

#[test]
fn each_failure_is_reported_once() {
    let mut balancer = balancer(3, 4, 0);
    balancer.attempt_failed(at(0), "w0");
    balancer.attempt_failed(at(0), "w0");
    balancer.attempt_succeeded(at(0), "w0");
    let reported = balancer.take_failures();
    assert_eq!(
        reported.iter().map(|reported| (&*reported.worker, reported.failures)).collect::<Vec<_>>(),
        [("w0", 2)]
    );
    assert!(balancer.take_failures().is_empty());
}
