//! Tests of a complete tier of real processes over loopback, with the lab's simulated clients, workers and operator. At the
//! end of every test, all guarantees of the tier are checked.

#[path = "tier/support.rs"]
mod support;

#[path = "tier/calm.rs"]
mod calm;

#[path = "tier/losses.rs"]
mod losses;

#[path = "tier/second_losses.rs"]
mod second_losses;

#[path = "tier/planned.rs"]
mod planned;

#[path = "tier/workers.rs"]
mod workers;

#[path = "tier/view.rs"]
mod view;

#[path = "tier/acknowledged.rs"]
mod acknowledged;

#[path = "tier/inspection.rs"]
mod inspection;

#[path = "tier/unreachable_peers.rs"]
mod unreachable_peers;
