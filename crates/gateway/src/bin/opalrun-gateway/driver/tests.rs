//! Tests of the driver without sockets.

use super::{
    open_request::{Answer, ClientRequest},
    request_deadline::MAX_CLIENT_TIMEOUT,
    timer_queue::MAX_STALE_TIMERS,
    *,
};
use crate::workers::Forward;
use opalrun_transport::body::BodyBuffer;

fn request(driver: &Driver) -> ClientRequest {
    ClientRequest {
        class: 0,
        plan: 0,
        customer: "00000000b4d65521".into(),
        units: 1.0,
        spread: 1,
        first: 0,
        remaining: MAX_CLIENT_TIMEOUT,
        repeat: false,
        forward: Forward {
            method: hyper::Method::GET,
            uri: hyper::Uri::from_static("/read"),
            txn: hyper::header::HeaderValue::from_static("t"),
            idempotency_key: None,
            content_type: None,
            body: Some(BodyBuffer::new(driver.memory_budget())),
            upload: RefCell::default(),
        },
    }
}

fn with_driver(test: impl FnOnce(Rc<Driver>)) {
    let (config, _) = crate::config::check(crate::config::tests::file().to_string().as_bytes(), None)
        .unwrap_or_else(|_| panic!("the configuration is valid"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default());
    runtime
        .expect("a runtime")
        .block_on(async { test(Driver::new(&config, 64).expect("the settings are valid")) });
}

#[test]
fn timers_of_ended_requests_are_removed_before_they_are_due() {
    with_driver(|driver| {
        for _ in 0..10 * MAX_STALE_TIMERS {
            let (job, _answer) = driver.accept(request(&driver));
            driver.client_left(&job);
        }
        assert_eq!(driver.waiting_requests(), 0);
        let kept = driver.timers.borrow().len();
        assert!(kept <= 2 * MAX_STALE_TIMERS, "{kept}");
    });
}

/// After `fail_all` no event follows that could end a request, so one accepted then would never be answered.
#[test]
fn requests_after_fail_all_are_rejected_at_once() {
    with_driver(|driver| {
        let request = || request(&driver);
        let (_, mut before) = driver.accept(request());
        driver.fail_all();
        let (_, mut after) = driver.accept(request());
        assert!(matches!(before.try_recv(), Ok(Answer::Failed)));
        assert!(matches!(after.try_recv(), Ok(Answer::Rejected(_))));
        assert_eq!(driver.waiting_requests(), 0);
    });
}
