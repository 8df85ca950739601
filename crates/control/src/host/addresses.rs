//! Parsing of the addresses in the options of a host.

use super::{HostError, HostOptions, error};
use snafu::OptionExt;
use std::net::{IpAddr, SocketAddr};

/// Parses a socket address from the settings.
pub(super) fn parse_address(address: &str) -> Result<SocketAddr, HostError> {
    address.parse().ok().context(error::AddressSnafu { address })
}

/// Returns the peer addresses of the seeds, without this process's own.
pub(super) fn seed_addresses(options: &HostOptions) -> Result<Vec<SocketAddr>, HostError> {
    let own = parse_address(&options.node.peer_address)?;
    let mut addresses = Vec::new();
    for seed in &options.seeds {
        let address = peer_address(seed, options.peer_port)?;
        if address != own {
            addresses.push(address);
        }
    }
    Ok(addresses)
}

/// Returns the IP address of the machine of a socket address.
pub(super) fn machine_of(address: &str) -> Result<IpAddr, HostError> {
    Ok(parse_address(address)?.ip())
}

/// Returns the address at which the control process with this control address accepts links.
pub(super) fn peer_address(control_address: &str, peer_port: u16) -> Result<SocketAddr, HostError> {
    Ok(SocketAddr::new(machine_of(control_address)?, peer_port))
}
