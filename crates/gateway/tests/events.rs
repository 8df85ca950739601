//! The gateway's log, and the command lines of the gateway's programs.

mod fakes;

use fakes::*;
use serde_json::{Value, json};
use std::process::{Command, Output};

/// Waits for a JSON log line with this message, and returns it.
fn logged(node: &Node, message: &str) -> Value {
    let line = node.wait_for_log(&format!("\"message\":\"{message}\""));
    serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"))
}

#[test]
fn refusals_and_sends_are_logged_with_the_request_and_the_reason() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.log = Some(json!({"form": "json", "level": "debug"}));
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("free-1")).status(), 200);
    let sent = logged(&node, "sent");
    assert_eq!((&sent["txn"], &sent["why"]), (&json!("free-1"), &json!("lease")));
    assert_eq!((&sent["worker"], &sent["level"]), (&json!("w0"), &json!("DEBUG")));
    // Without a counter the even share of a burst of eight limits requests: one of the first nine is refused.
    let status = |i: usize| {
        node.request(&ClientRequest::new(&format!("small-{i}")).with_header("X-Plan", "pieni")).status()
    };
    let refused_index = (0..9).find(|i| status(*i) == 429).expect("a refusal");
    let refused = logged(&node, "refused");
    assert_eq!(
        (&refused["txn"], &refused["worker"]),
        (&json!(format!("small-{refused_index}")), &Value::Null)
    );
    assert!(refused["why"].as_str().is_some_and(|why| why.starts_with("even share: ")), "{refused}");
}

#[test]
fn the_log_is_text_without_request_events_unless_configured_otherwise() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("quiet")).status(), 200);
    setup.log = Some(json!({"form": "json", "level": "debug"}));
    node.reload(&setup.config().to_string());
    let line = node.log.recv_timeout(LIMIT).expect("the change is logged");
    let line: Value = serde_json::from_str(&line).expect("the first line after the change is JSON");
    assert!(line["message"].as_str().is_some_and(|m| m.starts_with("configuration reloaded")), "{line}");
    assert_eq!(node.request(&ClientRequest::new("loud")).status(), 200);
    assert_eq!(logged(&node, "sent")["txn"], "loud");
    setup.log = Some(json!({"form": "text", "level": "info"}));
    node.reload(&setup.config().to_string());
    assert!(
        node.wait_for_log("configuration reloaded").starts_with("opalrun-gateway: configuration reloaded")
    );
}

#[test]
fn an_unknown_log_format_is_refused_and_its_key_is_named() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.log = Some(json!({"form": "xml"}));
    let folder = create_temp_folder();
    let output = setup.run_with_config_text(&setup.config().to_string(), &folder);
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(error.contains("log") && error.contains("xml"), "{error}");
}

fn call(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).env_remove("NODE_CONFIG").output().expect("the program starts")
}

#[test]
fn programs_print_help_and_version_and_reject_unknown_options() {
    for program in [env!("CARGO_BIN_EXE_opalrun-gateway"), env!("CARGO_BIN_EXE_gateway-simulator-adapter")] {
        let help = call(program, &["--help"]);
        assert!(help.status.success());
        assert!(String::from_utf8_lossy(&help.stdout).contains("Usage:"));
        let version = call(program, &["--version"]);
        assert!(String::from_utf8_lossy(&version.stdout).contains(env!("CARGO_PKG_VERSION")));
        assert_eq!(call(program, &["--nonsense"]).status.code(), Some(2));
    }
    assert_eq!(call(env!("CARGO_BIN_EXE_opalrun-gateway"), &["--against", "x"]).status.code(), Some(2));
}

#[test]
fn a_check_notes_settings_that_refuse_every_request() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.settings["Classes"] = json!([]);
    let folder = create_temp_folder();
    let file = folder.join("c.json");
    std::fs::write(&file, setup.config().to_string()).expect("the file is written");
    let output = call(env!("CARGO_BIN_EXE_opalrun-gateway"), &["--check", file.to_str().expect("text")]);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["plan"]["notes"][0]["path"], "settings.Classes", "{report}");
    // The gateway starts all the same, and logs the note.
    let mut child = spawn_gateway(&setup.config().to_string());
    let log = std::io::BufReader::new(child.stderr.take().expect("piped"));
    let note = "opalrun-gateway: settings.Classes: is empty: every request is refused";
    assert!(std::io::BufRead::lines(log).map_while(Result::ok).any(|line| line == note));
    child.kill().and_then(|()| child.wait()).expect("the child process");
}
