//! Calls of the replicas of a partition: each with retries of its own, so that none waits for another.

use opalrun_net::RpcClient;
use opalrun_wire::{
    feed::{Partition, StoreMap},
    store::{StoreReply, StoreRequest},
};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

/// Pause before a replica that did not answer, or could not serve, is called again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// How long one call may take; a replica that is slower is called again, in case the answer was lost.
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// Calls of one store.
type Link = Rc<RpcClient<StoreRequest, StoreReply>>;

/// A connection to each store.
#[derive(Default)]
pub struct Links {
    links: RefCell<HashMap<u64, Link>>,
}

impl Links {
    /// Takes over the stores of a map: connections to others end.
    pub fn set_stores(&self, map: &StoreMap) {
        let mut links = self.links.borrow_mut();
        links.retain(|identity, _| map.stores.iter().any(|store| store.identity == *identity));
        for store in &map.stores {
            let Ok(address) = store.address.parse() else {
                tracing::warn!(address = %store.address, "a store's address can't be read");
                continue;
            };
            links.entry(store.identity).or_insert_with(|| RpcClient::new(address)).set_address(address);
        }
    }

    fn get(&self, store: u64) -> Option<Link> {
        self.links.borrow().get(&store).cloned()
    }
}

/// An answer of a replica to a call of the kind `T`.
#[derive(Debug)]
pub struct Answer<T> {
    /// Which call it answers.
    pub call: T,
    /// The replica's store.
    pub store: u64,
    /// The answer.
    pub reply: StoreReply,
}

/// Calls under way. Dropping it ends their retries; what is on its way still arrives.
pub struct Calls<T> {
    links: Rc<Links>,
    deadline: Instant,
    sender: mpsc::UnboundedSender<Answer<T>>,
    answers: mpsc::UnboundedReceiver<Answer<T>>,
}

impl<T: Copy + 'static> Calls<T> {
    /// No calls yet; they end at `deadline`.
    pub fn new(links: Rc<Links>, deadline: Instant) -> Self {
        let (sender, answers) = mpsc::unbounded_channel();
        Self { links, deadline, sender, answers }
    }

    /// Calls all replicas of a partition.
    pub fn send_to_all(&self, call: T, partition: &Partition, request: &Rc<StoreRequest>) {
        for replica in &partition.replicas {
            self.send(call, replica.store, request);
        }
    }

    /// Calls one store, again and again until it answers something that counts, or that it knows a newer map.
    pub fn send(&self, call: T, store: u64, request: &Rc<StoreRequest>) {
        let Some(link) = self.links.get(store) else { return };
        let (sender, request, deadline) = (self.sender.clone(), request.clone(), self.deadline);
        tokio::task::spawn_local(async move {
            loop {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() || sender.is_closed() {
                    return;
                }
                match link.call(&request, left.min(CALL_LIMIT)).await {
                    Ok(StoreReply::StaleEpoch { epoch }) if epoch <= request.epoch() => {
                        sleep(RETRY_PAUSE).await
                    }
                    Ok(StoreReply::Failed { .. }) | Err(_) => sleep(RETRY_PAUSE).await,
                    Ok(reply) => {
                        // Nobody waits any more where the operation is done.
                        let _ = sender.send(Answer { call, store, reply });
                        return;
                    }
                }
            }
        });
    }

    /// The next answer.
    pub async fn next(&mut self) -> Answer<T> {
        match self.answers.recv().await {
            Some(answer) => answer,
            // Can't be: a sender is kept here.
            None => std::future::pending().await,
        }
    }
}
