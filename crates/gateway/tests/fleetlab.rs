//! Short lab runs of several gateway processes among simulated workers and clients, with injected faults; each run
//! must break no rule of the lab's judge and reach minimum counts.

use fleetlab::{
    judge::{Verdict, judge},
    record::{Ending, Event, GateState, Outcome, Recording, Seen},
    scenario::Scenario,
    world::{Play, Progress, WorldError},
};
use std::path::PathBuf;
use tokio::sync::watch;

/// Parses a scenario of six gateways and eight workers.
fn scenario(text: &str) -> Scenario {
    // The load is low, so that a slow machine keeps up: these tests check rules, not performance.
    let world = "[world]\ngatekeepers = 6\nworkers = 8\ncold_s = 3.0\nfleet = true\n[load]\nuse = 0.3\n";
    Scenario::parse(&format!("{text}\n{world}")).unwrap_or_else(|e| panic!("{e}"))
}

/// Runs the scenario in `text` and checks that no rule is broken.
fn run_text(text: &str) -> (Recording, Verdict) {
    run_scenario(scenario(text))
}

fn run_scenario(scenario: Scenario) -> (Recording, Verdict) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_opalrun-gateway"));
    let (progress, stop) = (watch::channel(Progress::default()).0, watch::channel(false));
    let mut recording = runtime
        .block_on(Play { scenario, seed: 1, program, root: std::env::temp_dir() }.run(progress, stop.1))
        .expect("a complete run");
    // Ignores whether the machine was too slow for valid measurements: the rules hold at any speed.
    recording.meter.void = None;
    let verdict = judge(&recording);
    assert!(verdict.passed(), "{}\n{:#?}", verdict.line(), verdict.broken);
    (recording, verdict)
}

/// Number of gateway processes that exited as the scenario intended.
fn intended_exits(recording: &Recording) -> usize {
    let is_exit = |e: &Event| matches!(e, Event::Gate { state: GateState::Exited { wanted: true, .. }, .. });
    recording.seen.iter().filter(|s| is_exit(&s.event)).count()
}

#[test]
fn no_rule_is_broken_while_gateways_are_killed_paused_and_restarted_in_turn() {
    let (recording, verdict) = run_text(
        "name = 'herd'\nlength_s = 10\n
        [[fault]]\nwhat = 'kill'\ngates = '0..3'\nat_s = 2\nfor_s = 0.5\nover_s = 0.5
        [[fault]]\nwhat = 'pause'\ngates = '3'\nat_s = 3\nfor_s = 2
        [[fault]]\nwhat = 'roll'\ngates = '4..6'\nat_s = 4\nfor_s = 3\nstep = 0.5",
    );
    assert!(verdict.requests > 300, "{}", verdict.requests);
    // Three kills, two rolling restarts, and all six processes at the end.
    assert_eq!(intended_exits(&recording), 11);
    assert!(verdict.goodput > 0.3, "{}", verdict.goodput);
}

#[test]
fn no_rule_is_broken_while_links_are_cut_and_the_counter_is_unavailable() {
    let (_, verdict) = run_text(
        "name = 'cuts'\nlength_s = 10\n
        [[fault]]\nwhat = 'cut'\npeers = 'workers:zone=hall-b'\nat_s = 2\nfor_s = 2
        [[fault]]\nwhat = 'cut'\nway = 'in'\ngates = '0..2'\npeers = 'workers:0..2'\nat_s = 3\nfor_s = 2
        [[fault]]\nwhat = 'counter-down'\nat_s = 3\nfor_s = 3
        [[fault]]\nwhat = 'counter-empty'\nat_s = 7
        [[fault]]\nwhat = 'reset'\npeers = 'workers'\nat_s = 7.5
        [[fault]]\nwhat = 'half-open'\ngates = '1'\npeers = 'workers'\nat_s = 8",
    );
    assert!(
        verdict.seconds.iter().any(|s| s.calls == 0 && s.tries > 0),
        "the counter was unavailable for at least one second"
    );
    assert!(verdict.goodput > 0.3, "{}", verdict.goodput);
}

#[test]
fn no_rule_is_broken_while_workers_are_replaced_crash_and_corrupt_responses() {
    let (recording, verdict) = run_text(
        "name = 'workers'\nlength_s = 12\n
        [[fault]]\nwhat = 'discovery-move'\nat_s = 0.5\nfor_s = 6
        [[fault]]\nwhat = 'replace'\nworkers = '0..2'\nat_s = 1.5\nfor_s = 1
        [[fault]]\nwhat = 'crash'\nworkers = '2..4'\nat_s = 3\nfor_s = 2
        [[fault]]\nwhat = 'errors'\nworkers = '4'\nat_s = 4\nfor_s = 3
        [[fault]]\nwhat = 'spoil'\nshare = 0.2\nworkers = '5'\nat_s = 4\nfor_s = 3
        [[fault]]\nwhat = 'silent'\nworkers = '6'\nat_s = 5\nfor_s = 2",
    );
    let updates =
        recording.seen.iter().filter(|s| matches!(s.event, Event::Told { wanted: false, .. })).count();
    assert!(updates >= 2 * 6, "each gateway received both drain updates: {updates}");
    assert!(verdict.goodput > 0.3, "{}", verdict.goodput);
}

#[test]
fn no_rule_is_broken_while_responses_stall_or_are_truncated_and_lists_are_late() {
    let mut scenario = scenario(
        "name = 'wide-reset-stale'\nlength_s = 10\n
        [[fault]]\nwhat = 'stall'\nshare = 0.1\nat_s = 1\nfor_s = 7
        [[fault]]\nwhat = 'break-off'\nshare = 0.1\nat_s = 1\nfor_s = 7
        [[fault]]\nwhat = 'discovery-late'\nms = 2000\nat_s = 1\nfor_s = 7
        [[fault]]\nwhat = 'replace'\nworkers = '0..2'\nat_s = 2\nfor_s = 1
        [[fault]]\nwhat = 'reset'\npeers = 'workers'\nat_s = 3
        [[fault]]\nwhat = 'reset'\npeers = 'workers'\nat_s = 5
        [[fault]]\nwhat = 'reset'\npeers = 'counter'\nat_s = 6",
    );
    scenario.world.answer_bytes = 40_000;
    let (recording, verdict) = run_scenario(scenario);
    let count = |of: fn(&Event) -> bool| recording.seen.iter().filter(|s| of(&s.event)).count();
    let incomplete = count(|e| matches!(e, Event::Ended { how: Ending::HalfWay, .. }));
    assert!(incomplete > 20, "{incomplete} responses stalled or were truncated");
    assert!(
        count(|e| matches!(e, Event::Answer { outcome: Outcome::CutOff, .. })) > 0,
        "some were truncated after the client had received a part"
    );
    assert!(verdict.goodput > 0.3, "{}", verdict.goodput);
}

#[test]
fn waiting_requests_of_clients_that_disconnect_together_are_not_sent() {
    let (recording, verdict) = run_text(
        "name = 'leave'\nlength_s = 8\n
        [[fault]]\nwhat = 'reset'\npeers = 'workers:0..6'\nat_s = 1.99
        [[fault]]\nwhat = 'cut'\npeers = 'workers:0..6'\nat_s = 2\nfor_s = 4
        [[fault]]\nwhat = 'counter-slow'\ntimes = 50\nat_s = 2\nfor_s = 4
        [[fault]]\nwhat = 'leave'\nat_s = 2.2
        [[fault]]\nwhat = 'leave'\nat_s = 3
        [[fault]]\nwhat = 'leave'\nat_s = 4
        [[fault]]\nwhat = 'leave'\nat_s = 5",
    );
    let disconnected = |s: &Seen| matches!(s.event, Event::Answer { outcome: Outcome::Left, .. });
    assert!(recording.seen.iter().any(disconnected), "at least one client disconnected");
    // The number of waiting requests varies from run to run; none of them may be sent.
    assert_eq!(verdict.gone[1], 0, "requests sent, of {} that were waiting", verdict.gone[0]);
}

#[test]
fn no_rule_is_broken_while_the_fleet_is_partitioned_and_datagrams_are_lost_duplicated_and_reordered() {
    let (recording, verdict) = run_text(
        "name = 'parted'\nlength_s = 12\n
        [[fault]]\nwhat = 'cut'\ngates = '0..2'\npeers = 'gates'\nat_s = 2\nfor_s = 5
        [[fault]]\nwhat = 'cut'\ngates = '2'\npeers = 'gates'\nway = 'out'\nat_s = 3\nfor_s = 4
        [[fault]]\nwhat = 'counter-down'\nat_s = 3\nfor_s = 4
        [[fault]]\nwhat = 'lose'\nshare = 0.3\ngates = '3..5'\npeers = 'gates'\nat_s = 1\nfor_s = 8
        [[fault]]\nwhat = 'duplicate'\nshare = 0.5\npeers = 'gates:4..6'\nat_s = 1\nfor_s = 8
        [[fault]]\nwhat = 'reorder'\nshare = 0.5\npeers = 'gates'\nat_s = 5\nfor_s = 4
        [[fault]]\nwhat = 'kill'\ngates = '5'\nat_s = 4\nfor_s = 1",
    );
    let by_peer_views = recording.seen.iter().filter(|s| match &s.event {
        Event::Reason { why, .. } => why == "left by the fleet's views",
        _ => false,
    });
    assert!(by_peer_views.count() > 0, "without the counter, peers' views decide");
    assert!(verdict.goodput > 0.3, "{}", verdict.goodput);
}

#[test]
fn the_error_of_a_gateway_that_exits_at_start_quotes_its_last_log_lines() {
    let folder = tempfile::tempdir().expect("a folder");
    let program = folder.path().join("broken");
    std::fs::write(&program, "#!/bin/sh\necho 'opalrun-gateway: no luck today' >&2\nexit 1\n")
        .expect("a file");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
    std::fs::set_permissions(&program, mode).expect("its own file");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (progress, stop) = (watch::channel(Progress::default()).0, watch::channel(false));
    let root = folder.path().to_owned();
    let play = Play { scenario: scenario("name = 'x'\nlength_s = 5"), seed: 1, program, root };
    let error = runtime.block_on(play.run(progress, stop.1)).expect_err("the run fails");
    assert!(error.to_string().contains("no luck today"), "{error}");
}

#[test]
fn a_stopped_run_leaves_no_process_and_no_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    // A copy of the program, so that this run's processes can be told from those of other tests.
    let program = folder.path().join("opalrun-gateway");
    std::fs::copy(env!("CARGO_BIN_EXE_opalrun-gateway"), &program).expect("a copy");
    let running = || {
        let entries = std::fs::read_dir("/proc").expect("a list of processes").flatten();
        entries.filter(|e| std::fs::read_link(e.path().join("exe")).is_ok_and(|exe| exe == program)).count()
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (progress, mut progress_updates) = watch::channel(Progress::default());
    let (stop_sender, stop) = watch::channel(false);
    let (scenario, root) = (scenario("name = 'x'\nlength_s = 600"), folder.path().to_owned());
    let play = Play { scenario, seed: 1, program: program.clone(), root };
    let ended = runtime.block_on(async {
        let play = tokio::spawn(play.run(progress, stop));
        progress_updates.wait_for(|p| p.sent > 20).await.expect("the run progresses");
        assert_eq!(running(), 6);
        stop_sender.send_replace(true);
        play.await.expect("the run ends")
    });
    assert!(matches!(ended, Err(WorldError::Stopped)));
    // The processes have been killed; each disappears once its exit status has been collected.
    drop(runtime);
    let start = std::time::Instant::now();
    while running() > 0 {
        assert!(start.elapsed().as_secs() < 30, "{} processes still run", running());
        std::thread::yield_now();
    }
    let remaining: Vec<_> =
        std::fs::read_dir(folder.path()).expect("a folder").flatten().map(|e| e.path()).collect();
    assert_eq!(remaining, [program], "the run's folder has been removed");
}
