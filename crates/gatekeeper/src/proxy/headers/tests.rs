use super::{has_framed_body, keep_alive_seconds, remove_connection_headers};
use hyper::{HeaderMap, header::HeaderValue};

#[test]
fn only_connection_headers_and_content_length_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "keep-alive, x-mine"),
        ("keep-alive", "timeout=5"),
        ("x-mine", "1"),
        ("transfer-encoding", "chunked"),
        ("content-length", "5"),
        ("server-signature", "a"),
        ("x-other", "b"),
    ] {
        headers.append(name, HeaderValue::from_static(value));
    }
    assert_eq!(keep_alive_seconds(&headers), Some(5));
    remove_connection_headers(&mut headers);
    let mut left: Vec<_> = headers.keys().map(|name| name.as_str().to_owned()).collect();
    left.sort();
    assert_eq!(left, ["server-signature", "x-other"]);
}

#[test]
fn a_body_is_framed_by_its_length_or_its_chunks() {
    for (name, value, is_framed) in [
        ("content-length", "5", true),
        ("transfer-encoding", "chunked", true),
        ("transfer-encoding", "gzip, Chunked", true),
        ("transfer-encoding", "gzip", false),
        ("connection", "close", false),
    ] {
        let mut headers = HeaderMap::new();
        headers.append(name, HeaderValue::from_static(value));
        assert_eq!(has_framed_body(&headers), is_framed, "{name}: {value}");
    }
}
