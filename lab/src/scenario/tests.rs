use super::*;
use std::collections::BTreeSet;

#[test]
fn every_error_is_reported_with_its_key() {
    let text = r#"
        name = "wrong"
        length_s = 10
        [world]
        gatekeepers = "many"
        workers = 3000
        colour = 1
        [load]
        use = -1
        [[fault]]
        what = "cut"
        at_s = 50
        peers = "workers:zone=nowhere"
        [[fault]]
        what = "throttle"
        at_s = 1
        gates = "lots"
    "#;
    let Err(Invalid(problems)) = Scenario::parse(text) else { panic!("an invalid scenario was accepted") };
    let keys: BTreeSet<&str> = problems.iter().map(|w| w.key.as_str()).collect();
    let want = [
        "world.gatekeepers",
        "world.workers",
        "world.colour",
        "load.use",
        "fault[0].at_s",
        "fault[0].peers",
        "fault[1].bytes_per_s",
        "fault[1].gates",
    ];
    assert_eq!(keys, want.into_iter().collect());
}

#[test]
fn requirements_and_faults_that_are_impossible_are_rejected() {
    let with = |rest: &str| Scenario::parse(&format!("name = \"x\"\nlength_s = 10\n{rest}"));
    assert!(with("").is_ok());
    assert!(with("[must]\nrecover_s = 5").is_err(), "there is no fault to recover from");
    assert!(with("[must]\ngoodput = 1.2").is_err());
    assert!(
        with("[[fault]]\nwhat = \"kill\"\nat_s = 2\ndisk = \"torn\"").is_err(),
        "gateways have no data directory"
    );
}

#[test]
fn built_in_scenarios_are_valid_and_described() {
    for (name, text) in shipped() {
        let scenario = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(scenario.name, *name);
        assert!(!scenario.about.is_empty(), "{name}");
        let scaled = scenario.clone().scaled(0.5);
        assert!(scaled.check().is_empty(), "{name} at half size");
    }
    assert!(shipped().len() >= 12);
}

#[test]
fn a_selection_yields_the_indices_that_it_names() {
    let zones: Vec<String> = vec!["a".into(), "b".into()];
    let zone_indices = [0, 1, 0, 1, 0];
    let of = |text: &str| Selection::parse(text, &zones).map(|p| p.of(&zone_indices, |n| n - 1));
    assert_eq!(of("all"), Ok(vec![0, 1, 2, 3, 4]));
    assert_eq!(of("zone=b"), Ok(vec![1, 3]));
    assert_eq!(of("1..3"), Ok(vec![1, 2]));
    assert_eq!(of("4"), Ok(vec![4]));
    assert_eq!(of("40%").map(|c| c.len()), Ok(2));
    assert!(of("zone=c").is_err() && of("x%").is_err() && of("").is_err());
}
