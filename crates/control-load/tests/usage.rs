//! Parsing of resource usage from `/proc`.

use opalrun_control_load::usage::{Usage, memory_bytes, processor_time};
use std::time::Duration;

#[test]
fn the_processor_time_is_parsed_after_the_command_name() {
    let stat = "17 (a ) name) S 1 17 17 0 -1 4194304 99 0 0 0 250 125 0 0 20 0 1 0 300 1 1";
    assert_eq!(processor_time(stat), Some(Duration::from_millis(3750)));
}

#[test]
fn a_truncated_stat_file_has_no_processor_time() {
    assert_eq!(processor_time("17 (name) S 1 17"), None);
    assert_eq!(processor_time(""), None);
}

#[test]
fn memory_is_parsed_in_bytes_by_its_exact_key() {
    let status = "Name:\topalrun\nVmRSSx:\t1 kB\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\n";
    assert_eq!(memory_bytes(status, "VmRSS"), Some(1 << 20));
    assert_eq!(memory_bytes(status, "VmHWM"), Some(2 << 20));
    assert_eq!(memory_bytes(status, "VmSwap"), None);
}

#[test]
fn this_process_can_be_measured() {
    let usage = Usage::of(std::process::id()).expect("this process runs");
    assert!(usage.resident_bytes > 0 && usage.peak_bytes >= usage.resident_bytes);
}
