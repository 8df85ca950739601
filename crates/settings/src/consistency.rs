//! Checks for settings that are valid individually but contradict each other. A process would start with them but never
//! reach its peers.

use crate::{Problem, Settings};
use std::net::{IpAddr, SocketAddr};

impl Settings {
    /// Returns all settings that contradict others. Processes start in spite of them; `opalrun check settings` rejects them.
    #[must_use]
    pub fn contradictions(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        problems.extend(self.own_address_problem());
        problems.extend(self.zone_problem());
        problems.extend(self.seed_nodes.iter().filter_map(|seed| self.seed_problem(*seed)));
        problems.extend(self.listen_problems());
        problems
    }

    /// Checks that `ip` is not the unspecified address, because peers connect to it.
    fn own_address_problem(&self) -> Option<Problem> {
        self.ip
            .is_unspecified()
            .then(|| problem("ip", &self.ip, "the address at which peers reach this machine"))
    }

    fn zone_problem(&self) -> Option<Problem> {
        let is_unknown = !self.zones.is_empty() && !self.zones.contains_key(&self.zone);
        is_unknown.then(|| problem("zone", &self.zone, "one of the zones in the table `zones`"))
    }

    fn seed_problem(&self, seed: SocketAddr) -> Option<Problem> {
        let expected = if self.is_peer_port(seed.port()) {
            "a `listen.control_plane` address, whose port is not one of the first two of `port_range`"
        } else if seed.ip().is_loopback() != self.ip.is_loopback() {
            "an address reachable from `ip`: both must be loopback addresses, or neither"
        } else if self.has_wrong_port_for_this_machine(seed) {
            "this machine's address with the port of `listen.control_plane`"
        } else {
            return None;
        };
        Some(problem("seed_nodes", &seed, expected))
    }

    /// Returns whether a seed has this machine's control address but another port.
    fn has_wrong_port_for_this_machine(&self, seed: SocketAddr) -> bool {
        self.listen.control_plane.is_some_and(|own| own.ip() == seed.ip() && own.port() != seed.port())
    }

    /// Checks that no configured address conflicts with the ports on which the process serves its peers.
    fn listen_problems(&self) -> impl Iterator<Item = Problem> {
        let listen = &self.listen;
        let addresses = [
            ("listen.frontend", listen.frontend),
            ("listen.readiness", listen.readiness),
            ("listen.control_plane", listen.control_plane),
            ("figures.listen", self.metrics),
        ];
        addresses.into_iter().filter_map(|(key, address)| {
            let address = address?;
            let is_taken = self.is_peer_port(address.port()) && self.shares_address(address.ip());
            is_taken.then(|| problem(key, &address, "a port other than the first two of `port_range`"))
        })
    }

    /// Returns whether the protocol between processes uses this port, on every machine.
    fn is_peer_port(&self, port: u16) -> bool {
        port == self.ports.peer() || port == self.ports.feed()
    }

    /// Returns whether the ports of `port_range` may be in use at this address of the machine.
    fn shares_address(&self, ip: IpAddr) -> bool {
        ip == self.ip || ip.is_loopback() || ip.is_unspecified()
    }
}

fn problem(key: &str, value: &impl ToString, expected: &'static str) -> Problem {
    Problem { key: key.to_owned(), value: Some(value.to_string()), expected }
}
