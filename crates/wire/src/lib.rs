//! The messages that processes of the serving tier exchange, and their encoding.
//!
//! Every message is sent in a [`frame`]: a length, a checksum and an rkyv-encoded body.
#![forbid(unsafe_code)]

pub mod feed;
pub mod frame;
pub mod ids;
pub mod result_code;
pub mod store;

pub use result_code::ResultCode;
