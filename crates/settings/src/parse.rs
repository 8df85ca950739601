//! Parses the text of a settings file into [`Settings`]. The keys are those of the operators' documentation.

use crate::{Bounds, FaultTolerance, Limits, Listen, PortRange, Settings, SettingsError, fields::Fields};
use std::{
    net::{IpAddr, Ipv4Addr},
    path::Path,
    time::Duration,
};
use toml::{Table, Value};

/// Parses and validates the text of a settings file; `path` is used in error messages.
pub(crate) fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
    let table: Table =
        text.parse().map_err(|source| SettingsError::Syntax { path: path.to_owned(), source })?;
    let mut problems = Vec::new();
    let settings = settings(&mut Fields::root(&table, &mut problems), path);
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError::Invalid { path: path.to_owned(), problems })
    }
}

fn settings(fields: &mut Fields<'_, '_>, path: &Path) -> Settings {
    Settings {
        path: path.to_owned(),
        node_name: fields.string("node_name"),
        role: fields.string_or_empty("role"),
        machine_class: fields.string_or_empty("machine_class"),
        serves: fields.string_list("serves"),
        ip: fields.required_or("ip", "an IP address", ip, Ipv4Addr::UNSPECIFIED.into()),
        zone: fields.string("zone"),
        region: fields.string_or_empty("region"),
        ports: ports(fields),
        seed_nodes: fields.address_list("seed_nodes"),
        bootstrap: fields.boolean("bootstrap"),
        counts_for_quorum: fields.boolean("counts_for_quorum"),
        data_dir: fields.optional_string("data_dir").map(Into::into),
        heartbeat: fields.positive_duration("heartbeat_ms"),
        guarantees: fields.string_list("guarantees"),
        zones: fields.table("zones", "zones.").strings().collect(),
        listen: listen(&mut fields.table("listen", "listen.")),
        metrics: fields.table("figures", "figures.").loopback_address("listen"),
        limits: limits(&mut fields.table("limits", "limits.")),
        fault_tolerance: fault_tolerance(&mut fields.table("fault_tolerance", "fault_tolerance.")),
        bounds: bounds(&mut fields.table("bounds", "bounds.")),
    }
}

fn ip(value: &Value) -> Option<IpAddr> {
    value.as_str()?.parse().ok()
}

fn ports(fields: &mut Fields<'_, '_>) -> PortRange {
    let unusable = PortRange { first: 0, last: 0 };
    fields.required_or("port_range", "two ports, the first lower than the last", port_range, unusable)
}

fn port_range(value: &Value) -> Option<PortRange> {
    let [first, last] = value.as_array()?.as_slice() else { return None };
    let port = |value: &Value| u16::try_from(value.as_integer()?).ok();
    let (first, last) = (port(first)?, port(last)?);
    (0 < first && first < last).then_some(PortRange { first, last })
}

fn listen(fields: &mut Fields<'_, '_>) -> Listen {
    Listen {
        frontend: fields.address("frontend"),
        readiness: fields.address("readiness"),
        control_plane: fields.address("control_plane"),
    }
}

fn limits(fields: &mut Fields<'_, '_>) -> Limits {
    Limits {
        cpu_quota: fields.positive("cpu_quota"),
        cores: fields.positive("cores"),
        memory_mb: fields.positive("memory_mb"),
        max_fds: fields.integer("max_fds"),
        bandwidth_mbps: fields.positive("bandwidth_mbps"),
        disk_mb: fields.number("disk_mb"),
    }
}

fn fault_tolerance(fields: &mut Fields<'_, '_>) -> FaultTolerance {
    FaultTolerance {
        hosts_lost: fields.integer("hosts_lost") as usize,
        zones: fields.integer("zones") as usize,
        regions: fields.integer("regions") as usize,
    }
}

fn bounds(fields: &mut Fields<'_, '_>) -> Bounds {
    Bounds {
        seed_lag: fields.duration_or("seed_lag_s", Duration::from_secs(3)),
        reuse_after: fields.duration_or("reuse_after_s", Duration::from_secs(2)),
        contact: fields.duration_or("contact_ms", Duration::from_secs(3)),
        ack: fields.duration_or("ack_ms", Duration::from_secs(4)),
        catch_up: fields.duration_or("catch_up_s", Duration::from_secs(4)),
        drain: fields.duration_or("drain_ms", Duration::from_secs(2)),
        grace: fields.duration_or("grace_s", Duration::from_secs(8)),
        loss_slack: fields.duration_or("loss_slack_ms", Duration::from_millis(200)),
        config_apply: fields.duration_or("config_apply_ms", Duration::from_secs(2)),
        downgrade: fields.duration_or("downgrade_ms", Duration::from_millis(250)),
        skew: fields.duration_or("skew_ms", Duration::from_secs(5)),
        recovery: fields.duration_or("recovery_s", Duration::from_secs(12)),
        pass: fields.duration_or("pass_ms", Duration::from_millis(120)),
        again: fields.duration_or("again_s", Duration::from_secs(0)),
        completion: fields.duration_or("completion_s", Duration::from_secs(10)),
        settle: fields.duration_or("settle_ms", Duration::from_secs(1)),
    }
}
