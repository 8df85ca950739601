//! Tests of the detection of suspensions.

use super::{HOLD_DOWN_AFTER_SUSPENSION_MS, MAX_TICK_GAP_MS, SuspensionDetector};

#[test]
fn a_process_that_ticks_is_running() {
    let mut detector = SuspensionDetector::new(1_000);
    for now in (1_000..5_000).step_by(50) {
        detector.tick(now);
        assert!(detector.is_running(now + 49));
    }
}

#[test]
fn a_process_without_a_recent_tick_is_not_running() {
    let mut detector = SuspensionDetector::new(1_000);
    detector.tick(1_050);
    assert!(detector.is_running(1_050 + MAX_TICK_GAP_MS));
    assert!(!detector.is_running(1_051 + MAX_TICK_GAP_MS));
}

#[test]
fn a_resumed_process_is_not_running_until_the_hold_down_time_has_passed() {
    let mut detector = SuspensionDetector::new(1_000);
    let resumed_at = 1_001 + MAX_TICK_GAP_MS;
    for now in resumed_at..resumed_at + HOLD_DOWN_AFTER_SUSPENSION_MS {
        detector.tick(now);
        assert!(!detector.is_running(now));
    }
    detector.tick(resumed_at + HOLD_DOWN_AFTER_SUSPENSION_MS);
    assert!(detector.is_running(resumed_at + HOLD_DOWN_AFTER_SUSPENSION_MS));
}
