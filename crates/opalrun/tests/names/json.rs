//! Fields of JSON documents that operators' tools read.

use crate::support::{FakeControl, run, text};
use opalrun_control::inspect::{ControlState, MemberState, ShardState};
use opalrun_replication::{LogIndex, Term};
use opalrun_store::inspect::{PartitionOnDisk, StoreOnDisk};
use opalrun_wire::ids::{Epoch, Generation, NodeIdentity, Partition, Shard};
use serde_json::{Value, json};

/// A response body of `GET /opalrun/tier`.
const TIER: &str = r#"{
    "told_by":1,"fresh":true,"generation":7,"store_epoch":3,
    "groups":[{"shard":0,"owner":1,"term":5,"applied":90,"voters":[1],"learners":[2]}],
    "control":[{"identity":1,"node_name":"core-1","zone":"a","control_address":"10.1.0.1:8144","answers":true}],
    "gatekeepers":[{"node_name":"edge-1","generation":6,"subscribed_at":1}],
    "workers":[{"id":"w1","service":"model","address":"10.9.0.1:80","zone":"a","generation":"v2","capacity":4,
        "draining":true}],
    "stores":[{"identity":9,"node_name":"storage-1","zone":"b","address":"10.1.0.3:7380","state":"active",
        "heard":true,"replicas":16,"whole":15}],
    "partitions_not_whole":[{"partition":4,"whole":[9],"copying":[8],"sources":[7]}]
}"#;

const TIER_AS_TEXT: &str = "\
reported by core-1
configuration: generation 7
store map: epoch 3

control processes
  machine  zone  address        identity  reachable
  core-1   a     10.1.0.1:8144  1         yes

groups
  shard  owner   term  applied  voters  learners
  0      core-1  5     90       core-1  2

gatekeepers
  machine  generation in force  subscribed at
  edge-1   6 (behind)           core-1

workers
  service  id  address      zone  software  slots  draining
  model    w1  10.9.0.1:80  a     v2        4      yes

stores
  machine    zone  address        identity  state   live  replicas  complete
  storage-1  b     10.1.0.3:7380  9         active  yes   16        15

incomplete partitions
  partition  complete at  catching up at  sources
  4          storage-1    8               7
";

#[test]
fn the_tier_view_keeps_its_fields() {
    let control = FakeControl::start(200, TIER);
    let output = run(&["tier", "show", "--control", &control.address.to_string()]);
    control.received();
    assert!(output.status.success(), "{output:?}");
    assert_eq!(text(&output.stdout), TIER_AS_TEXT);
}

#[test]
fn each_field_of_the_tier_view_is_required() {
    let view: Value = serde_json::from_str(TIER).unwrap();
    let mut without = Vec::new();
    for (field, value) in view.as_object().unwrap() {
        let mut lacking = view.clone();
        lacking.as_object_mut().unwrap().remove(field);
        without.push((field.clone(), lacking));
        let Some(element) = value.get(0) else { continue };
        for inner in element.as_object().unwrap().keys() {
            let mut lacking = view.clone();
            lacking[field][0].as_object_mut().unwrap().remove(inner);
            without.push((format!("{field}/{inner}"), lacking));
        }
    }
    assert_eq!(without.len(), 43);
    for (field, lacking) in without {
        // Only the owner of a group is optional.
        let read: Result<opalrun_control::tier_view::TierView, _> =
            facet_json::from_str(&lacking.to_string());
        assert_eq!(read.is_ok(), field == "groups/owner", "{field}");
    }
}

#[test]
fn the_inspection_report_keeps_its_fields() {
    let folder = tempfile::tempdir().unwrap();
    let output = run(&["state", "show", "store", folder.path().to_str().unwrap(), "--json"]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let problem = report["problems"][0].as_str().unwrap();
    assert!(problem.starts_with("E605: "), "{problem}");
    assert_eq!(
        report,
        json!({ "control": null, "store": null, "problems": [problem], "mended_at_start": [] })
    );
}

#[test]
fn the_state_of_a_control_process_keeps_its_fields() {
    let shard = ShardState {
        shard: Shard(0),
        term: Term(5),
        vote: Some(NodeIdentity(1)),
        snapshot_index: LogIndex(80),
        snapshot_term: Term(4),
        snapshot_bytes: 1000,
        entries: 10,
        entry_bytes: 500,
        last_index: LogIndex(90),
        last_term: Term(5),
        workers: 6,
        members: vec![MemberState {
            identity: NodeIdentity(1),
            address: "10.1.0.1:7380".to_owned(),
            voter: true,
        }],
    };
    let state = ControlState {
        identity: NodeIdentity(1),
        first_members: 3,
        journal_bytes: 2000,
        snapshot_generation: Generation(6),
        log_generation: Generation(7),
        store_epoch: Epoch(3),
        shards: vec![shard],
    };
    let written: Value = serde_json::from_str(&facet_json::to_string(&state).unwrap()).unwrap();
    let member = json!({ "identity": 1, "address": "10.1.0.1:7380", "voter": true });
    let shard = json!({
        "shard": 0, "term": 5, "vote": 1, "snapshot_index": 80, "snapshot_term": 4, "snapshot_bytes": 1000,
        "entries": 10, "entry_bytes": 500, "last_index": 90, "last_term": 5, "workers": 6, "members": [member]
    });
    let expected = json!({
        "identity": 1, "first_members": 3, "journal_bytes": 2000, "snapshot_generation": 6, "log_generation": 7,
        "store_epoch": 3, "shards": [shard]
    });
    assert_eq!(written, expected);
}

#[test]
fn the_state_of_a_store_keeps_its_fields() {
    let state = StoreOnDisk {
        identity: NodeIdentity(9),
        bootstrap: true,
        epoch: Epoch(3),
        log_bytes: 1000,
        first_record: 4,
        next_record: 70,
        live_bytes: 900,
        partitions: vec![PartitionOnDisk { partition: Partition(2), programs: 5, turns: 6, bytes: 800 }],
    };
    let written: Value = serde_json::from_str(&facet_json::to_string(&state).unwrap()).unwrap();
    let expected = json!({
        "identity": 9, "bootstrap": true, "epoch": 3, "log_bytes": 1000, "first_record": 4, "next_record": 70,
        "live_bytes": 900, "partitions": [{ "partition": 2, "programs": 5, "turns": 6, "bytes": 800 }]
    });
    assert_eq!(written, expected);
}
