//! What control tells gatekeepers, as the agent of a machine passes it on: the signal that a change has been made.

use crate::support::LIMIT;
use fleetlab::tier::deployment::Deployment;
use opalrun_gatekeeper::feed::{ControlFeed, ControlView};
use opalrun_wire::ids::NodeIdentity;
use std::net::SocketAddr;

/// Waits until the view of the first gatekeeper's agent is such that something can be read from it.
pub async fn wait_for<T: Send + 'static>(
    deployment: &Deployment,
    what: &str,
    read: impl Fn(&ControlView) -> Option<T> + Send + 'static,
) -> T {
    let ip = deployment.tier.ip("edge-1").expect("a gatekeeper");
    let agent = SocketAddr::from((ip, deployment.tier.ports.inner.0 + 1));
    // The feed's client belongs to one thread.
    let found = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, async { tokio::time::timeout(LIMIT, follow(agent, read)).await.ok() })
    });
    match found.await.expect("a view") {
        Some(value) => value,
        None => panic!("{what} did not come in time\n{}", deployment.tier.log_tails()),
    }
}

async fn follow<T>(agent: SocketAddr, read: impl Fn(&ControlView) -> Option<T>) -> T {
    let feed = ControlFeed::start_at(agent);
    let mut changes = feed.changes();
    loop {
        let found = read(&feed.view());
        if let Some(value) = found {
            return value;
        }
        changes.changed().await.expect("a feed that goes on");
    }
}

/// The identity of a store that is up.
pub async fn store_identity(deployment: &Deployment, name: &'static str) -> NodeIdentity {
    wait_for(deployment, name, move |view| {
        let mut stores = view.store_map.stores.iter();
        stores.find(|s| s.node_name == name).map(|s| s.identity)
    })
    .await
}

/// Waits until a wiped store is a new one that has copied all that it holds.
pub async fn wait_until_copied(deployment: &Deployment, name: &'static str, old_identity: u64) {
    wait_for(deployment, "a copied store", move |view| {
        let map = &view.store_map;
        let new =
            map.stores.iter().find(|s| s.node_name == name && s.identity != NodeIdentity(old_identity))?;
        let holds = map.partitions.iter().any(|p| p.replicas.iter().any(|r| r.store == new.identity));
        let whole = map
            .partitions
            .iter()
            .all(|p| p.replicas.iter().all(|r| r.is_complete && r.store != NodeIdentity(old_identity)));
        (holds && whole).then_some(())
    })
    .await;
}
