//! Integration tests of stores and their client over loopback, with a fake control that publishes the store map.

mod counts;
mod harness;
mod partition_transfer;
mod retention;
mod turns;
mod unresponsive_replicas;
