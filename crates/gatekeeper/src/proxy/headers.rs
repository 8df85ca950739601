//! Hop-by-hop headers, which apply to one connection and are not forwarded.

use hyper::{HeaderMap, header, header::HeaderName};

#[cfg(test)]
mod tests;

/// Headers that apply to one connection only.
const CONNECTION_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the headers that apply only to the connection on which they were received, including those listed in
/// `Connection`, and `Content-Length`, which is generated when the message is sent on.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Whether these headers of a response give its body a length or chunks. A body without them ends with the connection.
#[must_use]
pub fn has_framed_body(headers: &HeaderMap) -> bool {
    let encodings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    match encodings.map(|value| value.to_str().unwrap_or_default()) {
        Some(encodings) => {
            let last = encodings.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        }
        None => headers.contains_key(header::CONTENT_LENGTH),
    }
}

/// Returns the `timeout` of the `Keep-Alive` header: the seconds for which the peer keeps an idle connection open.
#[must_use]
pub fn keep_alive_seconds(headers: &HeaderMap) -> Option<u32> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}
