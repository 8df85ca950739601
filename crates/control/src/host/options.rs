//! Options of a host.

use opalrun_wire::feed::ControlNode;
use std::path::PathBuf;

/// Options of a host.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// Directory entry of this process. Its identity is ignored: the host reads it from the data directory.
    pub node: ControlNode,
    /// Whether this is the first start of the whole system, which bootstraps the groups.
    pub bootstrap: bool,
    /// Control addresses of the seeds: the processes that join requests are sent to, and at the bootstrap the first
    /// members.
    pub seeds: Vec<String>,
    /// Port at which every control process accepts connections of others.
    pub peer_port: u16,
    /// Number of disks that may be lost simultaneously.
    pub hosts_lost: usize,
    /// Path of the data directory.
    pub data_directory: PathBuf,
}
