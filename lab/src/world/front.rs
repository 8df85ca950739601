//! Simulated clients and the load balancer between them and the gateways. The load is an open loop: slow answers do not
//! delay later requests.

use crate::{
    http,
    link::{Connection, FlowDirection},
    record::{Event, Log, Outcome},
    scenario::Effect,
    world::{
        gates::Gate,
        plan::{Arrival, Plan, mix},
    },
};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

/// Time-out for connections to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Least time before the deadline at which a client still sends a try.
const MIN_REMAINING_S: f64 = 0.02;

/// Sends the planned requests on behalf of all clients.
pub struct Front {
    plan: Arc<Plan>,
    log: Arc<Log>,
    gates: Vec<Arc<Gate>>,
    /// Idle connections by gateway.
    pools: Vec<Mutex<Vec<Connection>>>,
    /// Delay of first tries after their planned times, in microseconds.
    late: Mutex<Histogram<u64>>,
    /// Number of first tries sent.
    pub sent: AtomicU64,
}

impl Front {
    pub fn new(plan: Arc<Plan>, log: Arc<Log>, gates: Vec<Arc<Gate>>) -> Arc<Self> {
        let pools = gates.iter().map(|_| Mutex::default()).collect();
        let late = Histogram::new(3)
            .unwrap_or_else(|_| unreachable!("a histogram supports three significant digits"));
        Arc::new(Self { plan, log, gates, pools, late: Mutex::new(late), sent: AtomicU64::new(0) })
    }

    /// Returns the median, 99th percentile and maximum delay of first tries after their planned times, in milliseconds.
    pub fn lateness(&self) -> [f64; 3] {
        let late = self.late.lock().unwrap_or_else(PoisonError::into_inner);
        [late.value_at_quantile(0.5), late.value_at_quantile(0.99), late.max()].map(|us| us as f64 / 1e3)
    }

    /// Sends all planned requests at their times, and returns once all of them have ended.
    pub async fn run(self: Arc<Self>) {
        let start = Instant::from_std(self.log.start());
        let mut tasks = JoinSet::new();
        for number in 0..self.plan.arrivals.len() {
            let at = start + Duration::from_secs_f64(self.plan.arrivals[number].at);
            if at > Instant::now() {
                sleep_until(at).await;
            }
            let late = Instant::now().saturating_duration_since(at).as_micros() as u64;
            self.late.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(late);
            self.sent.fetch_add(1, Ordering::Relaxed);
            tasks.spawn(self.clone().request(number));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Sends one request, and retries it as its client would.
    async fn request(self: Arc<Self>, number: usize) {
        let (arrival, clients) = (&self.plan.arrivals[number], &self.plan.scenario.clients);
        let class = &self.plan.scenario.classes[arrival.class];
        let mut rng = ChaCha8Rng::seed_from_u64(arrival.seed);
        let start = Instant::now();
        let deadline = class.deadline_ms / 1e3;
        let first = mix(self.plan.seed ^ mix(number as u64));
        for again in 0..=clients.retries {
            let left = deadline - start.elapsed().as_secs_f64();
            if left < MIN_REMAINING_S {
                return;
            }
            let [least, most] = clients.try_share;
            let remaining = (deadline * (least + (most - least) * rng.random::<f64>())).min(left);
            let leaves = rng.random::<f64>() < clients.impatient;
            let leaves = leaves.then(|| remaining * rng.random::<f64>());
            let (draw, honours, wait) = (rng.random::<f64>(), rng.random::<f64>(), rng.random::<f64>());
            let txn = if again == 0 { first } else { mix(first ^ u64::from(again)) };
            let outcome = self.attempt(arrival, txn, first, again, remaining, leaves, draw).await;
            let backoff = clients.backoff_ms / 1e3 * f64::from(1 << again.min(8)) * (0.5 + wait);
            let delay = match outcome {
                Outcome::Served { .. } | Outcome::Left => return,
                Outcome::Refused { after } if honours < clients.honour => {
                    after.min(clients.max_retry_after_ms / 1e3).max(backoff * 0.1)
                }
                Outcome::Refused { .. } | Outcome::Nobody => backoff,
                // It may have been executed, and not every worker would detect the duplicate.
                _ if class.effect != Effect::Safe => return,
                _ => backoff,
            };
            sleep(Duration::from_secs_f64(delay)).await;
        }
    }

    /// Chooses the gateway for a customer's try: weighted and at random among the customer's admitted gateways.
    fn choose(&self, customer: usize, draw: f64) -> Option<usize> {
        let (customer, n) = (&self.plan.customers[customer], self.gates.len());
        let set = (0..customer.spread).map(|i| (customer.first + i) % n);
        let set: Vec<usize> = set.filter(|g| self.gates[*g].admitted.load(Ordering::Relaxed)).collect();
        let total: f64 = set.iter().map(|g| self.plan.gate_weights[*g]).sum();
        let mut remaining = draw * total;
        let at = set.iter().position(|g| {
            remaining -= self.plan.gate_weights[*g];
            remaining <= 0.0
        });
        at.or(set.len().checked_sub(1)).map(|at| set[at])
    }

    /// Sends one try and records it and its outcome. `leaves` is the time in seconds after which the client disconnects,
    /// if it does so early; `draw` selects the gateway.
    #[allow(clippy::too_many_arguments)]
    async fn attempt(
        &self,
        arrival: &Arrival,
        txn: u64,
        first: u64,
        again: u32,
        remaining: f64,
        leaves: Option<f64>,
        draw: f64,
    ) -> Outcome {
        let customer = &self.plan.customers[arrival.customer];
        let gate = self.choose(arrival.customer, draw);
        let (plan, class) = (customer.plan, arrival.class);
        let expected = self.plan.send(txn, arrival, first);
        let spec = &self.plan.scenario;
        let headers = format!(
            "X-Lane: {}\r\nX-Plan: {}\r\nX-Customer: {:016x}\r\nX-Remaining: {remaining:.3}\r\nX-Quota: units=1,spread={},first={}\r\n{}",
            spec.classes[class].name,
            spec.plans[plan].name,
            customer.id,
            customer.spread,
            customer.first,
            if again > 0 { "X-Resent: 1\r\n" } else { "" },
        );
        let message = expected.message(txn, &headers);
        self.log.record(Event::Try {
            txn,
            first,
            again,
            gate: gate.unwrap_or(usize::MAX),
            customer: arrival.customer,
            plan,
            class,
            remaining,
        });
        let timeout = remaining + spec.clients.patience_ms / 1e3;
        let until = Instant::now() + Duration::from_secs_f64(timeout);
        let exchange = async {
            match gate {
                Some(gate) => self.exchange(gate, &message, &expected.answer(txn), until).await,
                None => Outcome::Nobody,
            }
        };
        let departure = async {
            match leaves {
                Some(after) => sleep(Duration::from_secs_f64(after)).await,
                None => std::future::pending().await,
            }
        };
        // Dropping the exchange closes its connection.
        let outcome = tokio::select! {
            biased;
            outcome = exchange => outcome,
            () = departure => Outcome::Left,
            () = self.leaves_in_burst(gate, txn) => Outcome::Left,
        };
        self.log.record(Event::Answer { txn, outcome: outcome.clone() });
        outcome
    }

    /// Waits until this client is among those that disconnect in a burst.
    async fn leaves_in_burst(&self, gate: Option<usize>, txn: u64) {
        let Some(gate) = gate else { return std::future::pending().await };
        let mut bursts = self.gates[gate].leave.subscribe();
        while bursts.changed().await.is_ok() {
            let (burst, share) = *bursts.borrow_and_update();
            // Converts the top 53 bits to a number from 0 to 1.
            let draw = (mix(txn ^ mix(burst)) >> 11) as f64 / (1_u64 << 53) as f64;
            if draw < share {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Opens a connection to a gateway, subject to the faults on its link.
    async fn connect(&self, gate: usize) -> Option<Connection> {
        let gate = &self.gates[gate];
        let state = gate.front.state();
        if state.refuse {
            return None;
        }
        if state.inbound.partitioned || state.outbound.partitioned {
            sleep(CONNECT_TIMEOUT).await;
            return None;
        }
        let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(gate.addr)).await.ok()?.ok()?;
        Some(Connection::new(socket, gate.front.clone()))
    }

    /// Sends a request to a gateway on an idle or new connection, and returns the outcome. `genuine` is the body that a
    /// served answer must have.
    async fn exchange(&self, gate: usize, message: &[u8], genuine: &str, until: Instant) -> Outcome {
        let kept = loop {
            let kept = self.pools[gate].lock().unwrap_or_else(PoisonError::into_inner).pop();
            match kept {
                Some(conn) if !conn.is_reusable() => {}
                kept => break kept,
            }
        };
        let was_kept = kept.is_some();
        let mut conn = match kept {
            Some(conn) => conn,
            None => match self.connect(gate).await {
                Some(conn) => conn,
                None => return Outcome::Nobody,
            },
        };
        let response = self.send_and_receive(&mut conn, message, until).await;
        let response = match response {
            // The gateway closed the idle connection as the request was sent: sends it again on a new connection.
            Response::Ended if was_kept => match self.connect(gate).await {
                Some(new) => {
                    conn = new;
                    self.send_and_receive(&mut conn, message, until).await
                }
                None => return Outcome::Nobody,
            },
            response => response,
        };
        let answer = match response {
            Response::Answer(answer) => answer,
            Response::Ended => return Outcome::Broken,
            Response::CutOff => return Outcome::CutOff,
            Response::Nothing => return Outcome::Never,
        };
        if !answer.closes() {
            self.pools[gate].lock().unwrap_or_else(PoisonError::into_inner).push(conn);
        }
        let after = answer.header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0.0);
        match answer.status() {
            200 => Outcome::Served { genuine: answer.body == genuine.as_bytes() },
            429 | 503 => Outcome::Refused { after },
            status => Outcome::Failed { status },
        }
    }

    /// Sends a request on a connection and reads the response until the time-out.
    async fn send_and_receive(&self, conn: &mut Connection, message: &[u8], until: Instant) -> Response {
        let exchange = async {
            if conn.write(FlowDirection::In, message).await.is_err() {
                return Response::Ended;
            }
            match http::read(conn).await {
                Ok(Some(answer)) => {
                    conn.link.wait_for_transit(FlowDirection::Out, answer.body.len()).await;
                    Response::Answer(answer)
                }
                _ if conn.buffer().starts_with(b"HTTP/1.1 200") => Response::CutOff,
                _ => Response::Ended,
            }
        };
        timeout_at(until, exchange).await.unwrap_or(Response::Nothing)
    }
}

/// Result of sending a request on a connection.
enum Response {
    /// A complete answer.
    Answer(http::Message),
    /// The connection ended without the beginning of a successful answer.
    Ended,
    /// The connection ended within a successful answer.
    CutOff,
    /// No complete answer before the time-out.
    Nothing,
}
