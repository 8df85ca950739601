//! Membership of the fleet by the SWIM protocol of the `foca` crate, without sockets or clock. Takes datagrams and the
//! time; produces datagrams to send, membership events and the time of the next timer.

use super::wire::{HEADER_BYTES, MAX_DATAGRAM_BYTES};
use foca::{
    AccumulatingRuntime, Codec, Config, Error, Foca, Identity, Member, NoCustomBroadcast, OwnedNotification,
    PeriodicParams, PostcardCodec, State, Timer,
};
use opalrun_gateway::Time;
use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    num::{NonZeroU8, NonZeroUsize},
    time::Duration,
};

/// Interval between probes of a random member. A direct probe and the indirect ones after it fit in.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a suspected member that has not refuted the suspicion is considered down.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long members that are down are remembered; a member that returns has a new incarnation.
const DOWN_RETENTION: Duration = Duration::from_secs(600);
/// Number of members that are asked to probe a member that has not answered a direct probe.
const INDIRECT_PROBES: usize = 3;
/// How many times each member sends an update.
const MAX_TRANSMISSIONS: u8 = 10;
/// While no other member is known: number of seeds contacted at a time, and the interval in seconds.
const SEED_CONTACT: (usize, Time) = (3, 1.0);
/// Largest number of known members, down ones included. Bounds memory if invented members are announced.
const MAX_MEMBERS: usize = 1024;

/// Identity of a member: address, gateway number and incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    pub addr: SocketAddr,
    /// Number of the gateway in the settings.
    pub me: u32,
    /// Incarnation: the start of the process in Unix milliseconds, increased on each rejoin.
    pub start: u64,
}

impl Identity for Id {
    type Addr = SocketAddr;

    /// Increases the incarnation beyond the one that the other members consider down. The step is a thousandth of the
    /// value, which is weeks: the clock of an earlier process may have been far ahead, and each step takes a round trip.
    fn renew(&self) -> Option<Self> {
        Some(Self { start: self.start.saturating_add(1 + self.start / 1000), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.start > other.start
    }
}

/// A change of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member is alive.
    Joined(Id),
    /// A member is down: no member could reach it, or it has left.
    Lost(Id),
    /// A member that was alive has a new incarnation.
    Restarted(Id),
    /// The others considered this member down; it has rejoined with a new incarnation.
    Rejoined,
    /// No other member is alive any more.
    Alone,
}

/// A member as `GET /control/fleet` reports it.
#[derive(Debug, Clone, Serialize)]
pub struct MemberReport {
    pub me: u32,
    pub addr: String,
    pub start: u64,
    pub state: &'static str,
}

/// Output of the protocol: bodies of datagrams to send with their destinations, and events.
#[derive(Debug, Default)]
pub struct Output {
    pub sends: Vec<(SocketAddr, Vec<u8>)>,
    pub events: Vec<MembershipEvent>,
}

/// A timer of the protocol, ordered by due time and then by sequence number.
#[derive(Debug)]
struct Due(Time, u64, Timer<Id>);

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}

/// One member's state of the membership protocol.
pub struct Membership {
    foca: Foca<Id, PostcardCodec, SmallRng, NoCustomBroadcast>,
    timers: BinaryHeap<Reverse<Due>>,
    /// Sequence number of the last timer.
    order: u64,
    seeds: Vec<SocketAddr>,
    /// When seeds were contacted last.
    seeds_contacted: Time,
    rng: fastrand::Rng,
    /// The other members that are alive, by address: two gateways may wrongly have the same number.
    alive: BTreeMap<SocketAddr, Id>,
}

fn nonzero<T>(value: Option<T>) -> T {
    value.unwrap_or_else(|| unreachable!("the constants above are not 0"))
}

fn config() -> Config {
    let params = |ms, n| PeriodicParams {
        frequency: Duration::from_millis(ms),
        num_members: nonzero(NonZeroUsize::new(n)),
    };
    Config {
        probe_period: PROBE_INTERVAL,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: nonzero(NonZeroUsize::new(INDIRECT_PROBES)),
        max_transmissions: nonzero(NonZeroU8::new(MAX_TRANSMISSIONS)),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        remove_down_after: DOWN_RETENTION,
        max_packet_size: nonzero(NonZeroUsize::new(MAX_DATAGRAM_BYTES - HEADER_BYTES)),
        notify_down_members: true,
        periodic_announce: Some(params(5_000, 1)),
        // Lets two sides of a network partition find each other again.
        periodic_announce_to_down_members: Some(params(2_000, 2)),
        periodic_gossip: Some(params(200, 2)),
    }
}

impl Membership {
    pub fn new(own: Id, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let seeds = seeds.into_iter().filter(|s| *s != own.addr).collect();
        Self {
            foca: Foca::new(own, config(), SmallRng::seed_from_u64(seed), PostcardCodec),
            timers: BinaryHeap::new(),
            order: 0,
            seeds,
            seeds_contacted: f64::NEG_INFINITY,
            rng: fastrand::Rng::with_seed(seed),
            alive: BTreeMap::new(),
        }
    }

    /// Identity of this member.
    pub fn own(&self) -> &Id {
        self.foca.identity()
    }

    /// The other members that are alive.
    pub fn others(&self) -> impl Iterator<Item = &Id> {
        self.alive.values()
    }

    /// Number of other members that are alive.
    pub fn len(&self) -> usize {
        self.alive.len()
    }

    /// All known members with their states.
    pub fn report(&self) -> Vec<MemberReport> {
        let report = |m: &Member<Id>| MemberReport {
            me: m.id().me,
            addr: m.id().addr.to_string(),
            start: m.id().start,
            state: match m.state() {
                State::Alive => "alive",
                State::Suspect => "suspect",
                State::Down => "down",
            },
        };
        self.foca.iter_membership_state().map(report).collect()
    }

    /// Handles the body of a datagram from `sender`. Returns `false` if it is invalid or claims another sender.
    pub fn receive(&mut self, now: Time, sender: SocketAddr, body: &[u8], output: &mut Output) -> bool {
        let Ok(header) = PostcardCodec.decode_header(body) else { return false };
        let header: foca::Header<Id> = header;
        // A member can't send in the name of another: the source in the header must be the datagram's sender.
        if header.src.addr != sender || self.foca.iter_membership_state().len() > MAX_MEMBERS {
            return false;
        }
        // The sender knows a later incarnation of this member, whose clock was set back since: continue after that one.
        let newer = header.dst.addr == self.own().addr && header.dst.start > self.own().start;
        let (mut runtime, own) = (AccumulatingRuntime::new(), self.own().clone());
        if newer
            && self.foca.change_identity(Id { start: header.dst.start + 1, ..own }, &mut runtime).is_err()
        {
            return false;
        }
        let result = self.foca.handle_data(body, &mut runtime);
        self.collect(now, runtime, output);
        !matches!(result, Err(Error::Decode(_) | Error::MalformedPacket | Error::DataTooBig))
    }

    /// Fires the timers that are due at `now`, and contacts seeds while no other member is alive.
    pub fn tick(&mut self, now: Time, output: &mut Output) {
        while let Some(Reverse(due)) = self.timers.peek()
            && due.0 <= now
        {
            let Some(Reverse(Due(_, _, timer))) = self.timers.pop() else { break };
            let mut runtime = AccumulatingRuntime::new();
            // The error for a late timer, as after a suspension, is an incomplete probe cycle; the protocol goes on.
            let _ = self.foca.handle_timer(timer, &mut runtime);
            self.collect(now, runtime, output);
        }
        if self.alive.is_empty() && now - self.seeds_contacted >= SEED_CONTACT.1 && !self.seeds.is_empty() {
            self.seeds_contacted = now;
            for _ in 0..SEED_CONTACT.0.min(self.seeds.len()) {
                let addr = self.seeds[self.rng.usize(..self.seeds.len())];
                let mut runtime = AccumulatingRuntime::new();
                // Only the address is used: the seed answers with its own identity.
                let _ = self.foca.announce(Id { addr, me: u32::MAX, start: 0 }, &mut runtime);
                self.collect(now, runtime, output);
            }
        }
    }

    /// When [`Membership::tick`] has to be called next; `None`: only after a datagram.
    pub fn next(&self) -> Option<Time> {
        let due = self.timers.peek().map(|Reverse(due)| due.0);
        let contact = (self.alive.is_empty() && !self.seeds.is_empty())
            .then_some(self.seeds_contacted + SEED_CONTACT.1);
        due.into_iter().chain(contact).reduce(f64::min)
    }

    /// Announces that this member leaves.
    pub fn leave(&mut self, now: Time, output: &mut Output) {
        let mut runtime = AccumulatingRuntime::new();
        let _ = self.foca.leave_cluster(&mut runtime);
        self.collect(now, runtime, output);
    }

    /// Moves what the protocol has produced to the output and the timers.
    fn collect(&mut self, now: Time, mut runtime: AccumulatingRuntime<Id>, output: &mut Output) {
        while let Some((to, bytes)) = runtime.to_send() {
            output.sends.push((to.addr, bytes.to_vec()));
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.order += 1;
            self.timers.push(Reverse(Due(now + after.as_secs_f64(), self.order, timer)));
        }
        while let Some(notification) = runtime.to_notify() {
            let event = match notification {
                OwnedNotification::MemberUp(id) => {
                    self.alive.insert(id.addr, id.clone());
                    MembershipEvent::Joined(id)
                }
                OwnedNotification::MemberDown(id) => {
                    self.alive.remove(&id.addr);
                    MembershipEvent::Lost(id)
                }
                OwnedNotification::Rename(_, id) => match self.alive.get_mut(&id.addr) {
                    Some(member) => {
                        *member = id.clone();
                        MembershipEvent::Restarted(id)
                    }
                    // It was down: its return is notified separately.
                    None => continue,
                },
                OwnedNotification::Rejoin(_) => MembershipEvent::Rejoined,
                OwnedNotification::Idle => MembershipEvent::Alone,
                _ => continue,
            };
            output.events.push(event);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn addr(i: usize) -> SocketAddr {
        ([127, 0, 0, 1], 1000 + i as u16).into()
    }

    /// Members on a simulated network that delivers all datagrams within a step.
    struct Net {
        now: Time,
        members: Vec<Option<Membership>>,
        /// Events by the member that produced them.
        events: Vec<(usize, MembershipEvent)>,
        /// Datagrams sent.
        sent: u64,
        /// Length of the longest body sent.
        longest: usize,
    }

    impl Net {
        fn new(n: usize) -> Self {
            let mut net = Self { now: 100.0, members: Vec::new(), events: Vec::new(), sent: 0, longest: 0 };
            (0..n).for_each(|_| net.members.push(None));
            (0..n).for_each(|i| net.start(i, 1));
            net
        }

        fn start(&mut self, i: usize, start: u64) {
            let own = Id { addr: addr(i), me: i as u32, start };
            self.members[i] = Some(Membership::new(own, vec![addr(0), addr(1)], 7 + i as u64 + start));
        }

        /// Runs the network. Datagrams from `a` to `b` are delivered if `passes(a, b)`.
        fn run(&mut self, seconds: f64, passes: impl Fn(usize, usize) -> bool) {
            let until = self.now + seconds;
            let index = |a: SocketAddr| (a.port() - 1000) as usize;
            while self.now < until {
                self.now += 0.05;
                let mut datagrams: Vec<(usize, SocketAddr, Vec<u8>)> = Vec::new();
                let collect = |i: usize, output: Output, datagrams: &mut Vec<_>, events: &mut Vec<_>| {
                    events.extend(output.events.into_iter().map(|n| (i, n)));
                    datagrams.extend(output.sends.into_iter().map(|(to, bytes)| (i, to, bytes)));
                };
                for (i, member) in self.members.iter_mut().enumerate() {
                    let mut output = Output::default();
                    member.iter_mut().for_each(|m| m.tick(self.now, &mut output));
                    collect(i, output, &mut datagrams, &mut self.events);
                }
                while let Some((from, to, bytes)) = datagrams.pop() {
                    self.sent += 1;
                    self.longest = self.longest.max(bytes.len());
                    let to = index(to);
                    if !passes(from, to) {
                        continue;
                    }
                    let mut output = Output::default();
                    if let Some(Some(member)) = self.members.get_mut(to) {
                        assert!(
                            member.receive(self.now, addr(from), &bytes, &mut output),
                            "a valid datagram"
                        );
                    }
                    collect(to, output, &mut datagrams, &mut self.events);
                }
            }
        }

        /// For each running member, the number of others that it considers alive.
        fn known(&self) -> Vec<usize> {
            self.members.iter().flatten().map(Membership::len).collect()
        }
    }

    const ALL: fn(usize, usize) -> bool = |_, _| true;

    #[test]
    fn members_discover_each_other_by_two_seeds_and_detect_a_failure() {
        let mut net = Net::new(12);
        net.run(8.0, ALL);
        assert_eq!(net.known(), vec![11; 12]);
        net.members[5] = None;
        net.run(10.0, ALL);
        assert_eq!(net.known(), vec![10; 11]);
        assert!(net.longest <= MAX_DATAGRAM_BYTES - HEADER_BYTES, "{} bytes in a datagram", net.longest);
    }

    #[test]
    fn leaving_member_is_removed_at_once_and_can_rejoin_with_a_new_incarnation() {
        let mut net = Net::new(6);
        net.run(6.0, ALL);
        let mut output = Output::default();
        let mut left = net.members[3].take().expect("it runs");
        left.leave(net.now, &mut output);
        for (to, bytes) in output.sends {
            let to = (to.port() - 1000) as usize;
            let now = net.now;
            net.members[to].as_mut().map(|m| m.receive(now, addr(3), &bytes, &mut Output::default()));
        }
        net.run(1.5, ALL);
        assert_eq!(net.known(), vec![4; 5], "removed before a suspicion could time out");
        net.start(3, 2);
        net.run(4.0, ALL);
        assert_eq!(net.known(), vec![5; 6]);
    }

    #[test]
    fn restart_with_an_earlier_clock_continues_after_the_former_incarnation() {
        let mut net = Net::new(5);
        let (ahead, back) = (1_796_000_000_000, 1_764_000_000_000);
        net.start(4, ahead);
        net.run(6.0, ALL);
        net.start(4, back);
        net.run(20.0, ALL);
        assert_eq!(net.known(), vec![4; 5]);
        let of = |m: &Membership| m.others().find(|id| id.me == 4).map(|id| id.start);
        let start = net.members[0].as_ref().and_then(of).expect("known");
        assert!(start > ahead, "start {start}");
        let again = net.events.iter().filter(|(_, n)| *n == MembershipEvent::Rejoined).count();
        assert!(again < 40, "clocks a year apart took {again} rejoins");
    }

    #[test]
    fn members_reunite_after_a_network_partition() {
        let mut net = Net::new(10);
        net.run(8.0, ALL);
        net.run(15.0, |a, b| (a < 5) == (b < 5));
        assert_eq!(net.known(), vec![4; 10]);
        net.run(20.0, ALL);
        assert_eq!(net.known(), vec![9; 10]);
    }

    #[test]
    fn one_way_loss_between_two_members_does_not_make_either_down() {
        let mut net = Net::new(8);
        net.run(8.0, ALL);
        net.events.clear();
        // Only datagrams from member 1 to member 2 are lost.
        net.run(20.0, |a, b| !(a == 1 && b == 2));
        let lost = net.events.iter().filter(|(_, n)| matches!(n, MembershipEvent::Lost(_))).count();
        assert_eq!(lost, 0, "{:?}", net.events);
        assert_eq!(net.known(), vec![7; 8]);
    }

    #[test]
    fn datagram_rate_of_a_member_does_not_grow_with_the_fleet() {
        let rate = |n: usize| {
            let mut net = Net::new(n);
            net.run(12.0, ALL);
            net.sent = 0;
            net.run(10.0, ALL);
            net.sent as f64 / (10.0 * n as f64)
        };
        let (small, large) = (rate(10), rate(60));
        assert!(large < 1.3 * small && large < 40.0, "{small} and {large} datagrams per second");
    }

    #[test]
    fn datagrams_with_a_false_sender_or_damage_are_rejected() {
        let mut net = Net::new(3);
        net.run(6.0, ALL);
        let now = net.now;
        let mut output = Output::default();
        net.members[0].as_mut().expect("it runs").leave(now, &mut output);
        let (_, leave_message) = output.sends.pop().expect("a datagram to each member");
        let member = net.members[1].as_mut().expect("it runs");
        assert!(
            !member.receive(now, addr(2), &leave_message, &mut Output::default()),
            "sent by another member"
        );
        assert_eq!(member.len(), 2);
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..20_000 {
            let bytes: Vec<u8> = (0..rng.usize(..80)).map(|_| rng.u8(..)).collect();
            member.receive(now, addr(2), &bytes, &mut Output::default());
            let mut damaged = leave_message.clone();
            let at = rng.usize(..damaged.len());
            damaged[at] ^= 1 << rng.u8(..8);
            member.receive(now, addr(2), &damaged, &mut Output::default());
        }
        assert!(member.report().len() <= MAX_MEMBERS + 1);
    }
}
