//! Linearizability of the responses of real control processes over loopback, while processes are killed, disks are lost and
//! responses are dropped.

mod support;

use opalrun_control::Control;
use opalrun_model_check::{Operation, SequentialSpec, check_linearizable};
use opalrun_wire::ids::{NodeIdentity, Shard};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};
use support::{Machine, configuration, machines, read_configuration, run_local, try_call};
use tokio::{sync::Notify, task::spawn_local};

/// Number of definite responses that each operator waits for.
const ANSWERS_PER_OPERATOR: usize = 60;
/// Number of definite responses between two injected faults.
const ANSWERS_BETWEEN_FAULTS: usize = 12;

#[derive(Debug, Clone, PartialEq, Eq)]
enum OperatorRequest {
    Put { if_match: u64, generation: u64, body: String },
    Read,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum OperatorAnswer {
    Accepted,
    Rejected,
    Configuration(String),
}

/// Current generation, current body, and the generation and body of every accepted configuration.
type ConfigurationState = (u64, String, BTreeSet<(u64, String)>);

struct ConfigurationSpec;

impl SequentialSpec for ConfigurationSpec {
    type Call = OperatorRequest;
    type Reply = OperatorAnswer;
    type State = ConfigurationState;

    fn apply(
        &self,
        state: &ConfigurationState,
        request: &OperatorRequest,
    ) -> (ConfigurationState, OperatorAnswer) {
        let (current, current_body, accepted) = state;
        let OperatorRequest::Put { if_match, generation, body } = request else {
            return (state.clone(), OperatorAnswer::Configuration(current_body.clone()));
        };
        let change = (*generation, body.clone());
        if accepted.contains(&change) {
            return (state.clone(), OperatorAnswer::Accepted);
        }
        if if_match != current || generation <= current {
            return (state.clone(), OperatorAnswer::Rejected);
        }
        let mut accepted = accepted.clone();
        accepted.insert(change);
        ((*generation, body.clone(), accepted), OperatorAnswer::Accepted)
    }
}

/// The history of the operations of all operators, and the number of definite responses.
struct SharedHistory {
    started_at: Instant,
    addresses: Vec<SocketAddr>,
    history: RefCell<Vec<Operation<OperatorRequest, OperatorAnswer>>>,
    definite_answers: Cell<usize>,
    answer_received: Notify,
}

impl SharedHistory {
    fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Sends a request once, to a random process. In one of four cases the response is dropped. Returns a definite response.
    async fn send_once(&self, request: &OperatorRequest) -> Option<OperatorAnswer> {
        let address = self.addresses[fastrand::usize(..self.addresses.len())];
        let history_index = self.history.borrow().len();
        let called_at = self.now();
        self.history.borrow_mut().push(Operation { called_at, answer: None, call: request.clone() });
        let answer = match request {
            OperatorRequest::Read => try_call(address, "GET", "/opalrun/config", "", "").await,
            OperatorRequest::Put { if_match, body, .. } => {
                let head = format!("If-Match: {if_match}\r\n");
                try_call(address, "PUT", "/opalrun/config", &head, body).await
            }
        };
        if fastrand::u8(0..4) == 0 {
            return None;
        }
        let answer = match answer? {
            answer if answer.status >= 500 => return None,
            answer if answer.status != 200 => OperatorAnswer::Rejected,
            answer if *request == OperatorRequest::Read => OperatorAnswer::Configuration(answer.body),
            _ => OperatorAnswer::Accepted,
        };
        self.history.borrow_mut()[history_index].answer = Some((self.now(), answer.clone()));
        self.definite_answers.set(self.definite_answers.get() + 1);
        self.answer_received.notify_waiters();
        Some(answer)
    }
}

fn generation_of(body: &str) -> u64 {
    let digits = body.split("\"generation\":").nth(1).and_then(|rest| rest.split(',').next());
    digits.and_then(|digits| digits.parse().ok()).expect("the body is a configuration with a generation")
}

/// Sends requests until enough definite responses arrived. A request without a definite response is repeated unchanged.
async fn run_operator(shared: Rc<SharedHistory>, number: u64) {
    let (mut known_generation, mut accepted, mut answered) = (1, Vec::new(), 0);
    let mut unresolved: Option<OperatorRequest> = None;
    while answered < ANSWERS_PER_OPERATOR {
        let request = unresolved.take().unwrap_or_else(|| match fastrand::u8(0..6) {
            0 | 1 => OperatorRequest::Read,
            2 if !accepted.is_empty() => OperatorRequest::clone(&accepted[fastrand::usize(..accepted.len())]),
            _ => {
                let generation = known_generation + fastrand::u64(1..3);
                let body = configuration(generation, 1_000 * number + answered as u64 + 1);
                OperatorRequest::Put { if_match: known_generation, generation, body }
            }
        });
        let Some(answer) = shared.send_once(&request).await else {
            unresolved = Some(request);
            tokio::task::yield_now().await;
            continue;
        };
        answered += 1;
        match (answer, request) {
            (OperatorAnswer::Accepted, request) => {
                if let OperatorRequest::Put { generation, .. } = &request {
                    known_generation = known_generation.max(*generation);
                }
                accepted.push(request);
            }
            (OperatorAnswer::Configuration(body), _) => known_generation = generation_of(&body),
            (OperatorAnswer::Rejected, _) => {
                known_generation = generation_of(&read_configuration(&shared.addresses).await.body);
            }
        }
    }
}

/// Kills and restarts one process after another, every third time with the loss of its disk, with
/// [`ANSWERS_BETWEEN_FAULTS`] definite responses between two faults.
async fn inject_faults(
    shared: Rc<SharedHistory>,
    machines: Vec<Machine>,
    mut controls: Vec<Option<Control>>,
    until: usize,
) {
    let mut machines = machines;
    let mut next = ANSWERS_BETWEEN_FAULTS;
    let mut fault = 0;
    while next < until {
        while shared.definite_answers.get() < next {
            shared.answer_received.notified().await;
        }
        let index = fault % machines.len();
        drop(controls[index].take());
        if fault % 3 == 2 {
            machines[index].wipe();
        }
        controls[index] = Some(machines[index].start().await);
        // The next process may be lost only once this one is a voter again.
        while !are_all_voters(&controls) {
            shared.answer_received.notified().await;
        }
        fault += 1;
        next = shared.definite_answers.get() + ANSWERS_BETWEEN_FAULTS;
    }
    std::future::pending::<()>().await;
}

/// Returns whether all processes are voters of the configuration's group and fresh.
fn are_all_voters(controls: &[Option<Control>]) -> bool {
    let processes: Vec<_> = controls.iter().flatten().map(Control::process).collect();
    let identities: BTreeSet<NodeIdentity> =
        processes.iter().map(|process| process.host().identity()).collect();
    processes.iter().all(|process| {
        let voters: BTreeSet<NodeIdentity> = process.host().voters(Shard(0)).into_iter().collect();
        voters == identities && process.is_fresh()
    })
}

#[test]
fn answers_to_two_operators_are_linearizable() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let mut controls = Vec::new();
        for machine in &machines {
            controls.push(Some(machine.start().await));
        }
        let addresses: Vec<SocketAddr> = machines.iter().map(Machine::api).collect();
        let first = configuration(1, 500);
        assert_eq!(support::put_configuration(&addresses, 0, &first).await, 200);
        let shared = Rc::new(SharedHistory {
            started_at: Instant::now(),
            addresses,
            history: RefCell::default(),
            definite_answers: Cell::new(0),
            answer_received: Notify::new(),
        });
        let operators: Vec<_> =
            (1..=2).map(|number| spawn_local(run_operator(Rc::clone(&shared), number))).collect();
        let injection =
            spawn_local(inject_faults(Rc::clone(&shared), machines, controls, 2 * ANSWERS_PER_OPERATOR));
        for operator in operators {
            operator.await.expect("the operator task ends");
        }
        injection.abort();
        let accepted = BTreeSet::from([(1, first.clone())]);
        let history = shared.history.borrow();
        let checked = check_linearizable(&ConfigurationSpec, &(1, first, accepted), &history);
        checked.expect("the responses to operators are linearizable");
    });
}
