//! Invalid input to the simulator adapter: a one-line error message, a failing exit status, and no partial reply.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gateway-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("the adapter reads its input");
    child.wait_with_output().expect("the adapter exits")
}

/// Asserts that a batch with these messages fails with an error that contains `expected`.
fn assert_fails(messages: &str, expected: &str) {
    let input =
        format!("{{\"Moment\":1.0,\"n\":7,\"groups\":[{{\"GatekeeperId\":0,\"msgs\":[{messages}]}}]}}\n");
    let output = run(&input);
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success() && output.stdout.is_empty(), "{error}");
    assert!(error.lines().count() == 1 && error.contains("batch 7") && error.contains(expected), "{error}");
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_a_success() {
    let output = run("{\"Moment\":8.4,\"n\":1,\"groups\":[]}\n");
    assert!(output.status.success());
    let reply: serde_json::Value = serde_json::from_slice(&output.stdout).expect("one reply");
    assert_eq!(reply, serde_json::json!({"n": 1, "groups": []}));
}

#[test]
fn input_that_is_not_json_ends_the_adapter() {
    let output = run("nonsense\n");
    assert!(!output.status.success() && output.stdout.is_empty());
    assert_eq!(String::from_utf8(output.stderr).expect("text").lines().count(), 1);
}

#[test]
fn errors_of_invalid_events_name_the_batch_and_the_field() {
    let start = r#"["NEW_INSTANCE",5,{"Unknown":1}]"#;
    assert_fails(r#"["ELAPSED",1]"#, "unknown instance");
    assert_fails(r#"["NEW_INSTANCE",5]"#, "Options");
    assert_fails(r#"["NEW_INSTANCE",5,{"PeersTotal":0}]"#, "no gateways");
    assert_fails(&format!("{start},[\"NONESUCH\"]"), "NONESUCH");
    assert_fails(&format!("{start},[\"ELAPSED\"]"), "ELAPSED.Name");
    assert_fails(&format!("{start},[\"LEFT\",5]"), "LEFT.Job");
    assert_fails(&format!("{start},[\"PEERS_KNOWN\",1,3,\"F\"]"), "PEERS_KNOWN.Page");
}
