//! Integration tests of the complete proxy over loopback, between clients and fake workers.

mod cut_rejections;
mod fakes;
mod forwarding;
mod limits;
mod long_conversations;
mod metrics;
mod programs;
mod resumed_turns;
mod shutdown;
mod stores;
mod streams;
mod timeouts;
mod unframed_streams;
