//! Partition transfer: how an incomplete replica catches up from complete ones.
//!
//! [`TransferPlan`] decides, without I/O, which page to request from which store; its module explains why the result
//! contains every acknowledged write. [`Replicator`] fetches the pages and merges them. `report` reports partitions that
//! are complete to control.

mod plan;
mod replicator;
mod report;

pub use plan::{NextPage, TransferPlan};
pub use replicator::{CompletedTransfer, Replicator};
pub(crate) use report::report_completed;
