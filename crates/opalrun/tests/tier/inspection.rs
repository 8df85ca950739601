//! Operators' commands against a running tier, and inspection of the data directories of its processes.

use crate::{
    support::{start_conversation, with_deployment},
    view,
};
use fleetlab::tier::deployment::Deployment;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Output,
};

/// Returns the control address of machine `core-1`.
fn control(deployment: &Deployment) -> SocketAddr {
    let ip = deployment.tier.ip("core-1").expect("a control machine");
    SocketAddr::from((ip, deployment.tier.ports.control))
}

async fn run(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let run = move || {
        std::process::Command::new(env!("CARGO_BIN_EXE_opalrun")).args(arguments).output().expect("it runs")
    };
    tokio::task::spawn_blocking(run).await.expect("it runs")
}

/// Returns the JSON output of `tier show`.
async fn show_tier(control: &str) -> Value {
    let output = run(&["tier", "show", "--control", control, "--json"]).await;
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn write_json(folder: &Path, name: &str, value: &Value) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, value.to_string()).expect("a file");
    path
}

#[test]
fn a_tier_is_shown_and_reconfigured_and_a_store_is_retired() {
    with_deployment(async |mut deployment| {
        deployment
            .tier
            .add("storage-4", fleetlab::tier::settings_file::Class::Storage, "zone-1")
            .expect("added");
        view::store_identity(&deployment, "storage-4").await;
        let control = control(&deployment).to_string();
        let tier = show_tier(&control).await;
        assert_eq!(tier["control"].as_array().expect("a list").len(), 3);
        assert_eq!(tier["stores"].as_array().expect("a list").len(), 4);
        let table = run(&["tier", "show", "--control", &control]).await;
        assert!(
            output_text(&table).contains("groups") && output_text(&table).contains("edge-1"),
            "{table:?}"
        );

        // Nothing listens on the first address, so the second one is used.
        let read = run(&["configuration", "get", "--control", "127.0.0.1:1", "--control", &control]).await;
        assert!(read.status.success(), "{read:?}");
        let mut body: Value = serde_json::from_slice(&read.stdout).expect("a configuration");
        let current = body["generation"].as_u64().expect("a generation");
        body["generation"] = (current + 5).into();
        let folder = tempfile::tempdir().expect("a folder");
        let file = write_json(folder.path(), "next.json", &body);
        let file = file.to_str().expect("a path");
        let put = ["configuration", "put", file, "--control", &control, "--if-match"];
        let stale = run(&[&put[..], &[(current + 1).to_string().as_str()]].concat()).await;
        assert_eq!(stale.status.code(), Some(3), "{stale:?}");
        assert!(output_text(&stale).starts_with("E302: "), "{stale:?}");
        let accepted = run(&[&put[..], &[current.to_string().as_str()]].concat()).await;
        assert!(accepted.status.success(), "{accepted:?}");
        assert_eq!(show_tier(&control).await["generation"], current + 5);

        let unknown = run(&["store", "retire", "storage-9", "--control", &control]).await;
        assert_eq!(unknown.status.code(), Some(4), "{unknown:?}");
        assert!(output_text(&unknown).starts_with("E403: "), "{unknown:?}");
        let retired =
            run(&["store", "retire", "storage-4", "--control", &control, "--deadline-s", "15", "--follow"])
                .await;
        assert!(retired.status.success(), "{retired:?}");
        assert!(output_text(&retired).contains("it can be taken away"), "{retired:?}");
        let too_few = run(&["store", "retire", "storage-1", "--control", &control]).await;
        assert!(output_text(&too_few).starts_with("E404: "), "{too_few:?}");
        deployment
    });
}

/// Verifies the data directory of an ended process, and returns its state from `state show`.
async fn state_on_disk(deployment: &Deployment, machine: &str, role: &str) -> Value {
    let folder = deployment.tier.data_dir(machine).expect("a folder");
    let folder = folder.to_str().expect("a path");
    let verified = run(&["state", "verify", role, folder]).await;
    assert!(verified.status.success(), "{verified:?}");
    let other_role = run(&["state", "verify", "proxy", folder]).await;
    assert_eq!(other_role.status.code(), Some(64));
    let shown = run(&["state", "show", role, folder, "--json"]).await;
    assert!(shown.status.success(), "{shown:?}");
    let state: Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    assert!(state[role]["identity"].as_u64().expect("an identity") > 0);
    state[role].clone()
}

/// Returns the partitions in the state of a store, each with its number of turns.
fn turns_on_disk(state: &Value) -> Vec<(u64, u64)> {
    let number = |partition: &Value, key: &str| partition[key].as_u64().expect("a number");
    let partitions = state["partitions"].as_array().expect("partitions").iter();
    partitions.map(|partition| (number(partition, "partition"), number(partition, "turns"))).collect()
}

#[test]
fn the_data_directory_of_an_ended_control_process_is_valid() {
    with_deployment(async |mut deployment| {
        start_conversation(&mut deployment).await;
        deployment.tier.kill("core-1").await.expect("killed");
        let state = state_on_disk(&deployment, "core-1", "control").await;
        assert!(state["log_generation"].as_u64().expect("a generation") > 0, "{state}");
        assert_eq!(state["shards"][0]["members"].as_array().expect("members").len(), 3);
        deployment.tier.start_machine("core-1").expect("started");
        deployment
    });
}

/// Number of turns completed before the stores end: one while the deployment starts and two of the conversation. An attempt
/// without a response may have stored another turn.
const COMPLETED_TURNS: u64 = 3;

/// Every completed turn is on at least two of the three disks, so some disk has all completed turns of a partition.
#[test]
fn the_data_directories_of_ended_stores_have_every_completed_turn() {
    with_deployment(async |mut deployment| {
        start_conversation(&mut deployment).await;
        let machines = ["storage-1", "storage-2", "storage-3"];
        let (mut most, mut copies) = (BTreeMap::new(), 0);
        for machine in machines {
            deployment.tier.kill(machine).await.expect("killed");
            for (partition, turns) in turns_on_disk(&state_on_disk(&deployment, machine, "store").await) {
                copies += turns;
                most.entry(partition)
                    .and_modify(|known: &mut u64| *known = turns.max(*known))
                    .or_insert(turns);
            }
        }
        assert!(most.values().sum::<u64>() >= COMPLETED_TURNS, "{most:?}");
        assert!(copies >= 2 * COMPLETED_TURNS, "{copies} copies");
        for machine in machines {
            deployment.tier.start_machine(machine).expect("started");
        }
        deployment
    });
}
