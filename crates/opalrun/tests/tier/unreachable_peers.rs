//! A process that can't reach a required peer logs a message, and another message when the peer is reached.

use crate::support::{LIMIT, with_deployment};

const WAITING_FOR_CONTROL: &str = "waiting for a peer that can't be reached peer=\"control\"";
const WAITING_FOR_AGENT: &str = "waiting for a peer that can't be reached peer=\"agent\"";
const CONTROL_REACHED: &str = "the peer is reached peer=\"control\"";

#[test]
fn each_role_logs_the_peer_that_it_waits_for() {
    with_deployment(async |mut deployment| {
        let tier = &mut deployment.tier;
        for core in ["core-2", "core-3"] {
            tier.kill(core).await.expect("killed");
        }
        tier.wait_for_log("core-1", WAITING_FOR_CONTROL, LIMIT).await.expect("control waits for a majority");
        tier.kill("core-1").await.expect("killed");
        tier.wait_for_log("storage-1", WAITING_FOR_CONTROL, LIMIT).await.expect("a store waits for control");
        tier.wait_for_log("edge-1", WAITING_FOR_CONTROL, LIMIT).await.expect("an agent waits for control");
        tier.kill_role("edge-1", "agent").await.expect("killed");
        tier.wait_for_log("edge-1", WAITING_FOR_AGENT, LIMIT).await.expect("a proxy waits for its agent");
        for core in ["core-1", "core-2", "core-3"] {
            tier.start_machine(core).expect("started");
        }
        tier.wait_for_log("storage-1", CONTROL_REACHED, LIMIT).await.expect("a store reaches control");
        tier.start_role("edge-1", "agent").expect("started");
        tier.wait_for_gatekeepers(LIMIT).await.expect("gatekeepers are back");
        deployment
    });
}
