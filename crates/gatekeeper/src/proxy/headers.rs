//! Which headers go along: all but those that concern only one connection.

use hyper::{HeaderMap, header, header::HeaderName};

#[cfg(test)]
mod tests;

/// Headers that concern one connection.
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

/// Removes the headers that concern only the connection on which they came, and the length of the body, which is
/// written anew.
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

/// The seconds for which the other end keeps an idle connection, where it says so.
#[must_use]
pub fn keep_alive_seconds(headers: &HeaderMap) -> Option<u32> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}
