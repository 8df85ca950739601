//! Settings that are each of the right form and can't work together: a process would start, and wait for its peers in vain.

use crate::{Problem, Settings};
use std::net::{IpAddr, SocketAddr};

impl Settings {
    /// All settings that contradict others. Processes start with them; `opalrun check settings` rejects them.
    #[must_use]
    pub fn contradictions(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        problems.extend(self.own_address_problem());
        problems.extend(self.zone_problem());
        problems.extend(self.seed_nodes.iter().filter_map(|seed| self.seed_problem(*seed)));
        problems.extend(self.listen_problems());
        problems
    }

    /// Peers connect to `ip`, so it must be an address of one machine.
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
        let wanted = if self.is_peer_port(seed.port()) {
            "addresses of `listen.control_plane`, whose port is none of the first two of `port_range`"
        } else if seed.ip().is_loopback() != self.ip.is_loopback() {
            "addresses that `ip` can reach: either all of them are loopback addresses or none"
        } else if self.is_another_port_of_this_machine(seed) {
            "this machine's address with the port of `listen.control_plane`"
        } else {
            return None;
        };
        Some(problem("seed_nodes", &seed, wanted))
    }

    fn is_another_port_of_this_machine(&self, seed: SocketAddr) -> bool {
        self.listen.control_plane.is_some_and(|own| own.ip() == seed.ip() && own.port() != seed.port())
    }

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
            is_taken.then(|| problem(key, &address, "another port than the first two of `port_range`"))
        })
    }

    /// Whether the tier's own protocol uses this port on every machine.
    fn is_peer_port(&self, port: u16) -> bool {
        port == self.ports.peer() || port == self.ports.feed()
    }

    /// Whether a process of this machine listens on the ports of `port_range` at this address.
    fn shares_address(&self, ip: IpAddr) -> bool {
        ip == self.ip || ip.is_loopback() || ip.is_unspecified()
    }
}

fn problem(key: &str, value: &impl ToString, wanted: &'static str) -> Problem {
    Problem { key: key.to_owned(), value: Some(value.to_string()), wanted }
}
