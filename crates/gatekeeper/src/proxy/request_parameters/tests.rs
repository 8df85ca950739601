use super::{BadRequest, ProgramBudget, RequestParameters};
use crate::lease;
use hyper::{HeaderMap, header::HeaderName, header::HeaderValue};
use std::time::Duration;

fn headers(list: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in list {
        let value = HeaderValue::from_str(value).expect("a valid header value");
        headers.append(HeaderName::from_static(name), value);
    }
    headers
}

#[test]
fn headers_of_a_turn_are_parsed() {
    let parameters = RequestParameters::read(&headers(&[
        ("request-id", "e5b2907c14da6f38"),
        ("program", "3fa81c"),
        ("session", "77d20b"),
        ("budget", "1080"),
        ("token-usage", "1840,135"),
        ("deadline-ms", "5000"),
        ("previous", "9c41"),
        ("last-event-id", "12"),
    ]));
    let parameters = parameters.expect("a valid turn");
    let expected = ProgramBudget {
        program: "3fa81c".to_owned(),
        turn_budget: lease::TurnBudget { budget: 1080, max_units: 135 },
    };
    assert_eq!(parameters.program, Some(expected));
    assert_eq!(parameters.client_timeout, Some(Duration::from_secs(5)));
    assert_eq!(parameters.previous.as_deref(), Some("9c41"));
    assert_eq!(parameters.last_event_id, Some(12));
}

#[test]
fn a_tool_call_of_a_program_draws_on_no_budget() {
    let parameters = RequestParameters::read(&headers(&[("request-id", "1"), ("program", "3fa81c")]));
    assert_eq!(parameters.expect("a valid request").program, None);
}

#[test]
fn invalid_identifying_and_budget_headers_are_rejected() {
    let id = ("request-id", "1");
    let program = ("program", "p");
    let cases: [(&[(&'static str, &str)], BadRequest); 5] = [
        (&[], BadRequest::RequestId),
        (&[("request-id", "")], BadRequest::RequestId),
        (&[id, ("request-id", "2")], BadRequest::RequestId),
        (&[id, program, ("program", "q"), ("budget", "5")], BadRequest::Program),
        (&[id, ("previous", "a"), ("previous", "b")], BadRequest::Previous),
    ];
    for (list, error) in cases {
        assert_eq!(RequestParameters::read(&headers(list)), Err(error), "{list:?}");
    }
    for list in [[("budget", "-3"), ("token-usage", "1,2")], [("budget", "5"), ("token-usage", "12")]] {
        let read = RequestParameters::read(&headers(&[&[id, program], &list[..]].concat()));
        assert!(matches!(read, Err(BadRequest::Budget { .. })), "{list:?}");
    }
}
