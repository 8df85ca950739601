//! The whole proxy over loopback, between clients and fake workers.

mod fakes;
mod figures;
mod forwarding;
mod limits;
mod planned_work;
mod programs;
mod silence;
mod stores;
mod streams;
