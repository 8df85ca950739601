//! Keys of the operator's configuration file.

use crate::support::{run, text};
use serde_json::{Value, json};

/// Returns a configuration with every key that the program reads.
fn configuration() -> Value {
    json!({
        "generation": 7,
        "routes": [{
            "name": "chat",
            "host": "chat.example",
            "path_prefix": "/",
            "route_type": "agent",
            "timeout_ms": 5000,
            "target_latency_ms": 100,
            "priority": 1,
            "backend": "model",
            "traffic_split": [{ "backend": "model", "weight": 1 }],
            "max_attempts": 2,
            "retained": true,
            "retention_s": 60,
            "session_affinity": true,
            "resumable": true,
            "gap_aim_ms": 50
        }],
        "services": [{
            "name": "model",
            "health_path": "/healthz",
            "max_connections": 10,
            "engine": {
                "capacity": 4,
                "kv_capacity": 1000,
                "chunk_tokens": 16,
                "models": [{ "name": "small" }]
            }
        }],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000
        }
    })
}

/// Returns the JSON pointer of each key and array element.
fn pointers(value: &Value, at: &str) -> Vec<String> {
    let below = |(key, value): (String, &Value)| {
        let pointer = format!("{at}/{key}");
        let mut found = pointers(value, &pointer);
        found.push(pointer);
        found
    };
    match value {
        Value::Object(fields) => fields.iter().flat_map(|(key, value)| below((key.clone(), value))).collect(),
        Value::Array(elements) => {
            elements.iter().enumerate().flat_map(|(index, value)| below((index.to_string(), value))).collect()
        }
        _ => Vec::new(),
    }
}

/// Returns the exit status and the error output of `check configuration`.
fn check(configuration: &Value) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("routes.json");
    std::fs::write(&file, configuration.to_string()).unwrap();
    let output = run(&["check", "configuration", file.to_str().unwrap()]);
    (output.status.code(), text(&output.stderr).to_owned())
}

#[test]
fn a_configuration_with_every_key_is_valid() {
    assert_eq!(check(&configuration()), (Some(0), String::new()));
}

/// A value of the wrong type is an error only if its key is read.
#[test]
fn each_key_is_read() {
    let pointers = pointers(&configuration(), "");
    assert_eq!(pointers.len(), 38);
    for pointer in pointers {
        let mut changed = configuration();
        *changed.pointer_mut(&pointer).unwrap() = json!([{ "no": "value" }]);
        let (status, message) = check(&changed);
        assert_eq!(status, Some(3), "{pointer} is not read");
        assert!(message.contains("E310"), "{pointer}: {message}");
    }
}
