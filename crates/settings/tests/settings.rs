//! Parsing, validation and consistency checks of settings files.

use opalrun_settings::{Settings, SettingsError};
use std::{path::Path, time::Duration};

const EXAMPLE: &str = include_str!("example.toml");

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(text, Path::new("settings.toml"))
}

/// Returns the messages of all problems of the example with `from` replaced by `to`.
fn problems(from: &str, to: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(from), "the example does not contain {from}");
    match parse(&EXAMPLE.replace(from, to)) {
        Err(SettingsError::Invalid { problems, .. }) => problems.iter().map(ToString::to_string).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn settings_of_the_example_are_parsed() {
    let settings = parse(EXAMPLE).unwrap();
    assert_eq!(settings.node_name, "core-pasig-hall-1");
    assert_eq!(settings.peer_address().to_string(), "10.1.0.42:7380");
    assert_eq!(settings.feed_address().to_string(), "10.1.0.42:7381");
    assert_eq!(settings.seed_feed_addresses()[1].to_string(), "10.2.0.43:7381");
    assert_eq!(settings.heartbeat, Duration::from_millis(1200));
    assert_eq!(settings.bounds.catch_up, Duration::from_millis(4400));
    assert_eq!(settings.bounds.drain, Duration::from_secs(2));
    assert_eq!(settings.required_data_dir().unwrap(), Path::new("/data/my-core"));
    assert_eq!(settings.required_control_plane().unwrap().port(), 8144);
    assert_eq!(settings.zones["quezon-hall"], "luzon");
    assert_eq!(settings.replicas(), 3);
    assert!(settings.has_guarantee("agent"));
    assert!(!settings.has_guarantee("others"));
}

#[test]
fn metrics_are_disabled_unless_a_loopback_address_is_set() {
    assert_eq!(parse(EXAMPLE).unwrap().metrics, None);
    let with = |listen: &str| format!("{EXAMPLE}\n[figures]\nlisten = \"{listen}\"\n");
    let settings = parse(&with("127.0.0.1:9100")).unwrap();
    assert_eq!(settings.metrics, Some("127.0.0.1:9100".parse().unwrap()));
    for wrong in ["10.1.0.42:9100", "0.0.0.0:9100", "here"] {
        let error = parse(&with(wrong)).unwrap_err().to_string();
        assert!(error.contains("`figures.listen` is") && error.contains("a loopback address"), "{error}");
    }
}

#[test]
fn unknown_keys_are_ignored() {
    let text = format!("future = [1, 2]\n{EXAMPLE}\nfuture_s = true\n[future_table]\nx = 1\n");
    assert_eq!(parse(&text).unwrap(), parse(EXAMPLE).unwrap());
}

#[test]
fn optional_settings_may_be_missing_or_empty() {
    let text = EXAMPLE.replace("data_dir = \"/data/my-core\"", "data_dir = \"\"");
    let text = text.replace("control_plane = \"10.1.0.42:8144\"", "control_plane = \"\"\nfrontend = \"\"");
    let settings = parse(&text).unwrap();
    assert_eq!(settings.data_dir, None);
    assert_eq!(settings.listen.control_plane, None);
    let error = settings.required_data_dir().unwrap_err().to_string();
    assert_eq!(error, "E201: settings.toml: `data_dir` is missing: expected a directory");
    let text = EXAMPLE.replace("[listen]\ncontrol_plane = \"10.1.0.42:8144\"\n", "");
    assert_eq!(parse(&text).unwrap().listen.control_plane, None);
}

#[test]
fn bounds_may_be_omitted_and_may_be_fractional() {
    let text = EXAMPLE.replace("grace_s = 8\n", "").replace("drain_ms = 2000", "drain_ms = 1500.5");
    let bounds = parse(&text).unwrap().bounds;
    assert_eq!(bounds.grace, Duration::from_secs(8));
    assert_eq!(bounds.drain, Duration::from_micros(1_500_500));
}

#[test]
fn an_invalid_value_is_reported_with_key_value_and_expectation() {
    assert_eq!(
        problems("cpu_quota = 0.6", "cpu_quota = 0"),
        ["`limits.cpu_quota` is 0: expected a number greater than 0"]
    );
    assert_eq!(
        problems("ip = \"10.1.0.42\"", "ip = \"core-1\""),
        ["`ip` is \"core-1\": expected an IP address"]
    );
    assert_eq!(
        problems("heartbeat_ms = 1200", "heartbeat_ms = \"often\""),
        ["`heartbeat_ms` is \"often\": expected a number greater than 0"]
    );
    assert_eq!(
        problems("port_range = [7380,7395]", "port_range = [7380,7380]"),
        ["`port_range` is [7380, 7380]: expected two ports, the first lower than the last"]
    );
    assert_eq!(problems("10.3.0.8:8144", "core-3:8144").len(), 1);
    assert_eq!(problems("grace_s = 8", "grace_s = -8").len(), 1);
    assert_eq!(problems("grace_s = 8", "grace_s = nan").len(), 1);
    assert_eq!(problems("grace_s = 8", "grace_s = 1e300").len(), 1);
    assert_eq!(problems("hosts_lost = 1", "hosts_lost = 0.5").len(), 1);
    assert_eq!(problems("bootstrap = true", "bootstrap = 1").len(), 1);
    assert_eq!(problems("[limits]", "[limits_of_others]").len(), 6);
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = EXAMPLE
        .replace("node_name = \"core-pasig-hall-1\"\n", "")
        .replace("memory_mb = 256", "memory_mb = \"much\"")
        .replace("bootstrap = true", "bootstrap = \"yes\"");
    let error = parse(&text).unwrap_err().to_string();
    assert!(error.starts_with("E201: settings.toml: "), "{error}");
    for key in ["`node_name` is missing", "`bootstrap` is \"yes\"", "`limits.memory_mb` is \"much\""] {
        assert!(error.contains(key), "{error}");
    }
}

#[test]
fn a_syntax_error_is_reported_with_its_line() {
    let error = parse("node_name = \n").unwrap_err();
    assert!(matches!(error, SettingsError::Syntax { .. }));
    assert!(error.to_string().contains("line 1"), "{error}");
}

#[test]
fn a_file_is_loaded_and_reloaded() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.toml");
    assert!(matches!(Settings::load(&path), Err(SettingsError::Read { .. })));
    std::fs::write(&path, EXAMPLE).unwrap();
    let settings = Settings::load(&path).unwrap();
    std::fs::write(&path, EXAMPLE.replace("bootstrap = true", "bootstrap = false")).unwrap();
    assert!(settings.bootstrap);
    assert!(!settings.reload().unwrap().bootstrap);
}

#[test]
fn any_text_is_parsed_or_rejected() {
    bolero::check!().with_type::<(usize, u8)>().for_each(|(index, byte)| {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let index = index % bytes.len();
        bytes[index] = *byte;
        if let Ok(text) = String::from_utf8(bytes) {
            let _ = parse(&text);
        }
    });
}

/// Returns the messages of all contradictions in the example with `from` replaced by `to`.
fn contradictions(from: &str, to: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(from), "the example does not contain {from}");
    let settings = parse(&EXAMPLE.replace(from, to)).unwrap();
    settings.contradictions().iter().map(ToString::to_string).collect()
}

#[test]
fn consistent_settings_have_no_contradictions() {
    assert!(parse(EXAMPLE).unwrap().contradictions().is_empty());
}

#[test]
fn inconsistent_settings_are_reported_as_contradictions() {
    let ports =
        "expected a `listen.control_plane` address, whose port is not one of the first two of `port_range`";
    assert_eq!(
        contradictions("port_range = [7380,7395]", "port_range = [8143,8160]"),
        [
            format!("`seed_nodes` is 10.1.0.42:8144: {ports}"),
            format!("`seed_nodes` is 10.2.0.43:8144: {ports}"),
            format!("`seed_nodes` is 10.3.0.8:8144: {ports}"),
            "`listen.control_plane` is 10.1.0.42:8144: expected a port other than the first two of `port_range`"
                .to_owned(),
        ]
    );
    assert_eq!(
        contradictions("control_plane = \"10.1.0.42:8144\"", "control_plane = \"10.1.0.42:8145\""),
        [
            "`seed_nodes` is 10.1.0.42:8144: expected this machine's address with the port of `listen.control_plane`"
        ]
    );
    assert_eq!(
        contradictions("zone = \"pasig-hall\"", "zone = \"pasig\""),
        ["`zone` is pasig: expected one of the zones in the table `zones`"]
    );
    assert_eq!(
        contradictions("\"10.3.0.8:8144\"", "\"127.0.0.1:8144\""),
        [
            "`seed_nodes` is 127.0.0.1:8144: expected an address reachable from `ip`: both must be loopback addresses, or neither"
        ]
    );
    assert_eq!(
        contradictions("ip = \"10.1.0.42\"", "ip = \"0.0.0.0\""),
        ["`ip` is 0.0.0.0: expected the address at which peers reach this machine"]
    );
}
