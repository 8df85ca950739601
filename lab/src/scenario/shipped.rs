//! The scenarios that are built into the lab.

/// Returns the built-in scenarios: name and TOML text.
#[must_use]
pub fn shipped() -> &'static [(&'static str, &'static str)] {
    macro_rules! ship {
        ($($name:literal),* $(,)?) => {
            &[$(($name, include_str!(concat!("../../scenarios/", $name, ".toml")))),*]
        };
    }
    ship![
        "calm",
        "retry-storm",
        "probe-storm",
        "shared-slow",
        "zone-cut",
        "asymmetric-cut",
        "counter-down",
        "counter-emptied",
        "counter-crowded",
        "herd-restart",
        "power-loss",
        "power-loss-gates",
        "rolling-overload",
        "paused-gatekeeper",
        "bad-links",
        "load-shift",
        "wide-reset-stale",
        "leave-burst",
    ]
}
