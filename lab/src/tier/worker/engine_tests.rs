//! Tests of the simulated engine: prefill, admission, preemption and eviction.

use super::*;

const SPEC: EngineSpec = EngineSpec {
    capacity: 2,
    queue: 2,
    kv_capacity: 100,
    chunk_tokens: 3,
    step: Duration::from_millis(1),
    step_per_running: Duration::from_millis(1),
    prefill_per_step: 20,
};

fn prompt(parts: &[(&str, u64)], output_tokens: u64, priority: u8) -> Prompt {
    Prompt { parts: parts.iter().map(|(id, t)| ((*id).to_owned(), *t)).collect(), output_tokens, priority }
}

/// Runs steps until a request has emitted its last token, and returns their number.
fn run(engine: &mut Engine, ticket: u64) -> usize {
    for steps in 1..1000 {
        if engine.step().contains(&(ticket, true)) {
            return steps;
        }
    }
    panic!("the request does not end within 1000 steps");
}

#[test]
fn a_prompt_is_prefilled_over_several_steps_and_a_shared_part_once() {
    let mut engine = Engine::new(SPEC);
    let first = engine.admit(prompt(&[("shared", 40), ("a", 10)], 3, 5)).expect("a free slot");
    // Prefilling 50 tokens takes three steps, and each of the 3 output tokens takes one.
    assert_eq!(run(&mut engine, first), 6);
    let second = engine.admit(prompt(&[("shared", 40), ("b", 10)], 3, 5)).expect("a free slot");
    assert_eq!(run(&mut engine, second), 4, "only the 10 tokens of its own part are prefilled");
    assert_eq!(engine.prefilled, 60);
    let third = engine.admit(prompt(&[("new", 10), ("shared", 40)], 1, 5)).expect("a free slot");
    run(&mut engine, third);
    assert_eq!(engine.prefilled, 110, "a cached part is used only if all parts before it are cached");
}

#[test]
fn a_full_engine_rejects_requests_and_any_engine_rejects_one_that_is_too_large() {
    let mut engine = Engine::new(SPEC);
    assert_eq!(engine.admit(prompt(&[("large", 100)], 1, 5)), Err(Full));
    for part in ["a", "b", "c", "d"] {
        engine.admit(prompt(&[(part, 10)], 3, 5)).expect("a free slot");
    }
    assert_eq!(engine.admit(prompt(&[("e", 10)], 3, 5)), Err(Full));
    engine.step();
    assert_eq!(engine.load(), EngineLoad { running: 2, waiting: 2, kv_used: 20 });
    assert_eq!(engine.step_time(), Duration::from_millis(3), "each running request makes a step slower");
}

#[test]
fn a_more_urgent_request_preempts_the_newest_of_the_least_urgent() {
    let mut engine = Engine::new(SPEC);
    let old = engine.admit(prompt(&[("a", 10)], 5, 5)).expect("a free slot");
    let new = engine.admit(prompt(&[("b", 10)], 5, 5)).expect("a free slot");
    engine.step();
    let urgent = engine.admit(prompt(&[("c", 10)], 5, 0)).expect("a free slot");
    engine.step();
    let running: Vec<u64> = engine.running.iter().map(|j| j.ticket).collect();
    assert_eq!((running, engine.preempted), (vec![old, urgent], 1));
    run(&mut engine, new);
    assert!(engine.is_idle());
}

#[test]
fn the_cache_evicts_the_least_recently_used_part_and_then_preempts_requests() {
    let mut engine = Engine::new(SPEC);
    for part in ["a", "b"] {
        let ticket = engine.admit(prompt(&[(part, 40)], 1, 5)).expect("a free slot");
        run(&mut engine, ticket);
    }
    let ticket = engine.admit(prompt(&[("c", 30)], 1, 5)).expect("a free slot");
    run(&mut engine, ticket);
    assert!(!engine.cached.contains_key("a") && engine.cached.contains_key("b"));
    let first = engine.admit(prompt(&[("x", 40)], 20, 5)).expect("a free slot");
    let second = engine.admit(prompt(&[("y", 40)], 20, 5)).expect("a free slot");
    while !engine.is_idle() {
        engine.step();
        assert!(engine.tokens_in_use() <= SPEC.kv_capacity);
    }
    assert!(engine.preempted >= 1, "{first} and {second} do not both fit until they end");
}
