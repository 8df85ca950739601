//! A single member in memory in the place of the replicated host, until that is there.

use opalrun_wire::feed::ControlNode;
use std::{
    cell::{Cell, RefCell},
    future::Future,
    path::PathBuf,
    pin::Pin,
    rc::Rc,
    time::Duration,
};

pub trait StateMachine: 'static {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;
    fn snapshot(&self) -> Vec<u8>;
    fn restore(&mut self, bytes: &[u8]) -> Result<(), opalrun_wire::frame::FrameError>;
}
pub struct HostOptions {
    pub node: ControlNode,
    pub bootstrap: bool,
    pub seeds: Vec<String>,
    pub peer_port: u16,
    pub hosts_lost: usize,
    pub data_directory: PathBuf,
}
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeError {
    NotOwner(Option<u64>),
    NoQuorum,
    TimedOut,
}
#[derive(Debug, snafu::Snafu)]
pub enum HostError {
    Never,
}
pub type CallFuture = Pin<Box<dyn Future<Output = Vec<u8>>>>;
pub struct Host {
    identity: u64,
    machines: RefCell<Vec<Box<dyn StateMachine>>>,
    index: Cell<u64>,
}
impl Host {
    pub async fn start(
        options: HostOptions,
        machines: Vec<Box<dyn StateMachine>>,
    ) -> Result<Rc<Self>, HostError> {
        let identity = options.node.identity;
        Ok(Rc::new(Self { identity, machines: RefCell::new(machines), index: Cell::new(0) }))
    }
    pub fn identity(&self) -> u64 {
        self.identity
    }
    pub async fn propose(&self, shard: u16, command: Vec<u8>) -> Result<(u64, Vec<u8>), ProposeError> {
        self.index.set(self.index.get() + 1);
        let reply = self.machines.borrow_mut()[usize::from(shard)].apply(self.index.get(), &command);
        Ok((self.index.get(), reply))
    }
    pub async fn read_barrier(&self, _shard: u16) -> Result<(), ProposeError> {
        Ok(())
    }
    pub fn owner(&self, _shard: u16) -> Option<u64> {
        Some(self.identity)
    }
    pub fn is_owner(&self, _shard: u16) -> bool {
        true
    }
    pub fn fresh(&self, _shard: u16) -> bool {
        true
    }
    pub async fn call(
        &self,
        _identity: u64,
        _bytes: Vec<u8>,
        _limit: Duration,
    ) -> Result<Vec<u8>, ProposeError> {
        Err(ProposeError::TimedOut)
    }
    pub fn set_call_handler(&self, _handler: impl Fn(Vec<u8>) -> CallFuture + 'static) {}
    pub fn set_hello_handler(&self, _handler: impl Fn(ControlNode) + 'static) {}
    pub fn set_desired_members(&self, _nodes: Vec<ControlNode>) {}
    pub fn silent_for(&self, _identity: u64) -> Duration {
        Duration::ZERO
    }
    pub async fn hand_over(&self) {}
}
