//! The gateway's log, and the command lines of the programs.

mod fakes;

use fakes::*;
use serde_json::{Value, json};
use std::process::{Command, Output};

fn told(node: &Node, message: &str) -> Value {
    let line = node.wait_for_log(&format!("\"message\":\"{message}\""));
    serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"))
}

#[test]
fn each_refusal_and_send_carries_its_request_and_its_reason() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.log = Some(json!({"form": "json", "level": "debug"}));
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("free-1")).status(), 200);
    let sent = told(&node, "sent");
    assert_eq!((&sent["txn"], &sent["why"]), (&json!("free-1"), &json!("lease")));
    assert_eq!((&sent["worker"], &sent["level"]), (&json!("w0"), &json!("DEBUG")));
    // Without a counter the even share decides, of a burst of eight: one of the first nine is refused.
    let status = |i: usize| {
        node.request(&ClientRequest::new(&format!("small-{i}")).with_header("X-Plan", "pieni")).status()
    };
    let at = (0..9).find(|i| status(*i) == 429).expect("a refusal");
    let refused = told(&node, "refused");
    assert_eq!((&refused["txn"], &refused["worker"]), (&json!(format!("small-{at}")), &Value::Null));
    assert!(refused["why"].as_str().is_some_and(|why| why.starts_with("even share: ")), "{refused}");
}

#[test]
fn the_log_is_text_without_requests_unless_the_configuration_says_otherwise() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("quiet")).status(), 200);
    setup.log = Some(json!({"form": "json", "level": "debug"}));
    node.reload(&setup.config().to_string());
    let line = node.log.recv_timeout(LIMIT).expect("the change is told");
    let line: Value = serde_json::from_str(&line).expect("from this line on as JSON, and none before");
    assert!(line["message"].as_str().is_some_and(|m| m.starts_with("configuration reloaded")), "{line}");
    assert_eq!(node.request(&ClientRequest::new("loud")).status(), 200);
    assert_eq!(told(&node, "sent")["txn"], "loud");
    setup.log = Some(json!({"form": "text", "level": "info"}));
    node.reload(&setup.config().to_string());
    assert!(
        node.wait_for_log("configuration reloaded").starts_with("opalrun-gateway: configuration reloaded")
    );
}

#[test]
fn a_form_that_is_none_is_refused_with_its_key() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.log = Some(json!({"form": "xml"}));
    let folder = create_temp_folder();
    let done = setup.run_with_config_text(&setup.config().to_string(), &folder);
    assert!(!done.status.success());
    let said = String::from_utf8(done.stderr).expect("text");
    assert!(said.contains("log") && said.contains("xml"), "{said}");
}

fn call(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).env_remove("NODE_CONFIG").output().expect("it starts")
}

#[test]
fn programs_say_what_they_are_and_how_they_are_called() {
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
fn a_check_says_where_every_request_would_be_refused() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.settings["Classes"] = json!([]);
    let folder = create_temp_folder();
    let file = folder.join("c.json");
    std::fs::write(&file, setup.config().to_string()).expect("a file");
    let done = call(env!("CARGO_BIN_EXE_opalrun-gateway"), &["--check", file.to_str().expect("text")]);
    let told: Value = serde_json::from_slice(&done.stdout).expect("JSON");
    assert_eq!(told["plan"]["notes"][0]["path"], "settings.Classes", "{told}");
    // It starts, as it always did, and says so.
    let mut child = spawn_gateway(&setup.config().to_string());
    let log = std::io::BufReader::new(child.stderr.take().expect("piped"));
    let note = "opalrun-gateway: settings.Classes: is empty: every request is refused";
    assert!(std::io::BufRead::lines(log).map_while(Result::ok).any(|line| line == note));
    child.kill().and_then(|()| child.wait()).expect("its own child");
}
