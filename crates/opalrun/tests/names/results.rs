//! Result codes, and the exit statuses derived from them.

use crate::support::{FakeControl, repository, run, text};
use opalrun_wire::ResultCode;

/// Every code except the last, in the order of `docs/results.md`.
const CODES: [&str; 39] = [
    "E000", "E101", "E102", "E103", "E104", "E201", "E301", "E302", "E303", "E304", "E310", "E311", "E312",
    "E313", "E314", "E315", "E316", "E317", "E401", "E402", "E403", "E404", "E405", "E406", "E407", "E501",
    "E502", "E503", "E504", "E505", "E510", "E511", "E512", "E513", "E601", "E602", "E603", "E604", "E605",
];
const LAST_CODE: &str = "E606";

#[test]
fn the_page_lists_every_code() {
    let page = std::fs::read_to_string(repository().join("docs/results.md")).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| E"));
    let listed: Vec<String> = rows.map(|row| format!("E{}", &row[..3])).collect();
    let expected: Vec<&str> = CODES.into_iter().chain([LAST_CODE]).collect();
    assert_eq!(listed, expected);
}

#[test]
fn each_code_keeps_its_number() {
    let codes = [
        (ResultCode::OK, "E000"),
        (ResultCode::FRAME_TOO_LONG, "E101"),
        (ResultCode::FRAME_CORRUPT, "E102"),
        (ResultCode::FRAME_UNREADABLE, "E103"),
        (ResultCode::PROTOCOL_VERSION, "E104"),
        (ResultCode::SETTINGS_INVALID, "E201"),
        (ResultCode::CONFIGURATION_INVALID, "E301"),
        (ResultCode::CONFIGURATION_CONFLICT, "E302"),
        (ResultCode::NO_CONFIGURATION, "E303"),
        (ResultCode::INSTANCE_INVALID, "E304"),
        (ResultCode::CONFIGURATION_UNREADABLE, "E310"),
        (ResultCode::CONFIGURATION_UNKNOWN_SERVICE, "E311"),
        (ResultCode::CONFIGURATION_DUPLICATE, "E312"),
        (ResultCode::CONFIGURATION_WEIGHTS, "E313"),
        (ResultCode::CONFIGURATION_TIMEOUT, "E314"),
        (ResultCode::CONFIGURATION_EMPTY_NAME, "E315"),
        (ResultCode::CONFIGURATION_PREFIX, "E316"),
        (ResultCode::CONFIGURATION_NUMBER, "E317"),
        (ResultCode::NOT_OWNER, "E401"),
        (ResultCode::NO_QUORUM, "E402"),
        (ResultCode::UNKNOWN_NODE, "E403"),
        (ResultCode::TOO_FEW_STORES, "E404"),
        (ResultCode::CONTROL_UNREACHABLE, "E405"),
        (ResultCode::ORDER_UNFINISHED, "E406"),
        (ResultCode::ORDER_REFUSED, "E407"),
        (ResultCode::STALE_EPOCH, "E501"),
        (ResultCode::REPLICA_INCOMPLETE, "E502"),
        (ResultCode::BUDGET_SPENT, "E503"),
        (ResultCode::STORES_UNAVAILABLE, "E504"),
        (ResultCode::SUPERSEDED, "E505"),
        (ResultCode::TURN_TERMS_INVALID, "E510"),
        (ResultCode::UNKNOWN_TURN, "E511"),
        (ResultCode::CHAIN_UNAVAILABLE, "E512"),
        (ResultCode::CHAIN_NO_MEMORY, "E513"),
        (ResultCode::DISK_FULL, "E601"),
        (ResultCode::DISK_CORRUPT, "E602"),
        (ResultCode::DISK_NEWER, "E603"),
        (ResultCode::DISK_FAILED, "E604"),
        (ResultCode::STATE_MISSING, "E605"),
        (ResultCode::STATE_INCONSISTENT, "E606"),
    ];
    assert_eq!(codes.len(), CODES.len() + 1);
    for (code, text) in codes {
        assert_eq!(code.to_string(), text);
    }
}

/// Returns the exit status and the error output of a command that a control process rejects with this response.
fn rejected(status: u16, answer: &'static str) -> (Option<i32>, String) {
    let control = FakeControl::start(status, answer);
    let output = run(&["configuration", "get", "--control", &control.address.to_string()]);
    control.received();
    (output.status.code(), text(&output.stderr).to_owned())
}

#[test]
fn the_exit_status_is_the_class_of_the_code() {
    let cases = [
        (r#"{"code":"E104","reason":"r"}"#, 1, "E104: r\n"),
        (r#"{"code":"E201","reason":"r"}"#, 2, "E201: r\n"),
        (r#"{"code":"E302","reason":"r"}"#, 3, "E302: r\n"),
        (r#"{"code":"E403","reason":"r"}"#, 4, "E403: r\n"),
        (r#"{"code":"E503","reason":"r"}"#, 5, "E503: r\n"),
        (r#"{"code":"E604","reason":"r"}"#, 6, "E604: r\n"),
        (r#"{"code":"other","reason":"r"}"#, 70, "other: r\n"),
        (r#"{"code":"other","reason":"as E503 says"}"#, 5, "other: as E503 says\n"),
        ("no JSON", 4, "E407: answered 409\n"),
    ];
    for (answer, status, message) in cases {
        assert_eq!(rejected(409, answer), (Some(status), message.to_owned()));
    }
}

#[test]
fn an_unparsable_response_is_a_protocol_version_error() {
    let control = FakeControl::start(200, "{}");
    let address = control.address.to_string();
    let output = run(&["store", "retire", "storage-2", "--control", &address]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(text(&output.stderr).starts_with("E104: the answer can't be read: "), "{output:?}");
    let control = FakeControl::start(200, "{}");
    let output = run(&["tier", "show", "--control", &control.address.to_string()]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let message = text(&output.stderr);
    assert!(message.starts_with("E104: what the control process tells can't be read: "), "{message}");
}

#[test]
fn a_control_address_without_a_listener_is_unreachable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let output = run(&["store", "retire", "storage-2", "--control", &address]);
    assert_eq!(output.status.code(), Some(4), "{output:?}");
    let expected = format!(
        "E405: no clear answer within 4.0 s; the last: {address}: Connection refused (os error 111)\n"
    );
    assert_eq!(text(&output.stderr), expected);
}

#[test]
fn an_invalid_configuration_is_reported_and_not_sent() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("routes.json");
    std::fs::write(&file, "{").unwrap();
    let path = file.to_str().unwrap();
    let output = run(&["configuration", "put", path, "--if-match", "0", "--control", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let message = text(&output.stderr);
    assert!(message.starts_with("E301: not sent: 1 problems\n  "), "{message}");
    let output = run(&["check", "configuration", path]);
    let message = text(&output.stderr);
    assert!(message.starts_with(&format!("E301: {path}: 1 problems\n  ")), "{message}");
    let missing =
        run(&["configuration", "put", "/nonexistent", "--if-match", "0", "--control", "127.0.0.1:1"]);
    assert_eq!(text(&missing.stderr), "E301: /nonexistent: No such file or directory (os error 2)\n");
}

#[test]
fn unknown_values_are_rejected_with_status_64() {
    let cases = [
        (["check", "routes", "/x", ""], "\"routes\" is neither settings nor configuration"),
        (["state", "look", "store", "/x"], "\"look\" is neither show nor verify"),
        (["state", "show", "proxy", "/x"], "\"proxy\" is neither control nor store"),
    ];
    for (arguments, reason) in cases {
        let arguments: Vec<&str> = arguments.into_iter().filter(|argument| !argument.is_empty()).collect();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(64), "{output:?}");
        assert!(text(&output.stderr).contains(reason), "{output:?}");
    }
}
