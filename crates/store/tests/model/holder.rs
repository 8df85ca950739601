//! Model of a gatekeeper that acquires and reduces its lease of one program's budget.

use opalrun_store_client::lease_acquisition::LeaseAcquisition;
use opalrun_wire::{
    feed::{PartitionReplicas, StoreMap},
    ids::Epoch,
    store::CountEntry,
};
use std::rc::Rc;

pub struct Holder {
    pub number: u64,
    pub map: Rc<StoreMap>,
    pub leased: u64,
    pub sequence: u64,
    pub pending: Option<PendingAcquisition>,
}

pub struct PendingAcquisition {
    pub operation: u64,
    pub epoch: Epoch,
    pub entry: CountEntry,
    pub partition: PartitionReplicas,
    pub acquisition: LeaseAcquisition,
    pub second_round_sent: bool,
}

impl Holder {
    pub fn new(number: u64) -> Self {
        Self { number, map: Rc::default(), leased: 0, sequence: 0, pending: None }
    }

    pub fn next_entry(&mut self, taken: u64) -> CountEntry {
        self.sequence += 1;
        CountEntry { holder: self.number, sequence: self.sequence, taken }
    }
}
