//! The control view that a gatekeeper's agent publishes. Tests wait on it for changes of the tier.

use crate::support::LIMIT;
use fleetlab::tier::deployment::Deployment;
use opalrun_gatekeeper::feed::{ControlFeed, ControlView};
use opalrun_wire::ids::NodeIdentity;
use std::net::SocketAddr;

/// Waits until `read` returns a value from the view of the agent on `edge-1`, and returns it. `what` is used in the failure
/// message.
pub async fn wait_for<T: Send + 'static>(
    deployment: &Deployment,
    what: &str,
    read: impl Fn(&ControlView) -> Option<T> + Send + 'static,
) -> T {
    let ip = deployment.tier.ip("edge-1").expect("a gatekeeper");
    let agent = SocketAddr::from((ip, deployment.tier.ports.inner.0 + 1));
    // The feed client must stay on one thread, so it runs on a blocking thread with its own runtime.
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

/// Waits until the store map contains a store with this machine name, and returns its identity.
pub async fn store_identity(deployment: &Deployment, name: &'static str) -> NodeIdentity {
    wait_for(deployment, name, move |view| {
        let mut stores = view.store_map.stores.iter();
        stores.find(|s| s.node_name == name).map(|s| s.identity)
    })
    .await
}

/// Waits until a wiped store has a new identity and replicas, and all replicas of the tier are complete.
pub async fn wait_until_caught_up(deployment: &Deployment, name: &'static str, old_identity: u64) {
    wait_for(deployment, "a store that has caught up", move |view| {
        let map = &view.store_map;
        let new =
            map.stores.iter().find(|s| s.node_name == name && s.identity != NodeIdentity(old_identity))?;
        let has_replicas = map.partitions.iter().any(|p| p.replicas.iter().any(|r| r.store == new.identity));
        let all_complete = map
            .partitions
            .iter()
            .all(|p| p.replicas.iter().all(|r| r.is_complete && r.store != NodeIdentity(old_identity)));
        (has_replicas && all_complete).then_some(())
    })
    .await;
}
