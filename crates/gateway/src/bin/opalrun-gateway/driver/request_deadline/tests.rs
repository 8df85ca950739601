use super::*;

#[test]
fn request_expires_before_its_clients_timeout_and_earlier_if_the_process_lags() {
    assert!(time_to_answer(1.0, 0.0) <= 1.0 - LAST_RESORT_DELAY, "the last-resort answer is in time as well");
    assert_eq!(time_to_answer(1.0, 0.02), 1.0 - ANSWER_MARGIN - 0.04);
    assert_eq!(time_to_answer(0.01, 0.02), 0.0075, "the margin takes at most a quarter of a short time-out");
    assert_eq!(time_to_answer(0.0, 1.0), 0.0);
    let lag = RecentLag::default();
    lag.record(5.0, 5.03);
    lag.record(6.0, 6.001);
    assert!((0.02..0.03).contains(&lag.at(6.001)), "recent lag counts almost in full");
    assert!(lag.at(6.001 + 5.0 * LAG_MEMORY) < 0.001, "old lag has decayed");
    lag.record(7.0, 9.0);
    assert_eq!(lag.at(9.0), MAX_LAG, "the lag after a suspension is capped");
}
