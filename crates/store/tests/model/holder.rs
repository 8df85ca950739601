//! A gatekeeper: it raises and lowers its entry in the count of one program.

use opalrun_store_client::raise::Raise;
use opalrun_wire::{
    feed::{Partition, StoreMap},
    store::CountEntry,
};
use std::rc::Rc;

pub struct Holder {
    pub number: u64,
    pub map: Rc<StoreMap>,
    pub held: u64,
    pub sequence: u64,
    pub raising: Option<Raising>,
}

pub struct Raising {
    pub operation: u64,
    pub epoch: u64,
    pub entry: CountEntry,
    pub partition: Partition,
    pub raise: Raise,
    pub second_round_sent: bool,
}

impl Holder {
    pub fn new(number: u64) -> Self {
        Self { number, map: Rc::default(), held: 0, sequence: 0, raising: None }
    }

    pub fn next_entry(&mut self, taken: u64) -> CountEntry {
        self.sequence += 1;
        CountEntry { holder: self.number, sequence: self.sequence, taken }
    }
}
