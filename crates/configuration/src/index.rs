//! An index of routes by host and path prefix.

use crate::Route;
use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

/// Routes by normalized host, and for each host by path prefix.
#[derive(Debug, Default)]
pub(crate) struct RouteIndex {
    hosts: HashMap<String, HostRoutes>,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    /// Length of the longest prefix, in bytes.
    longest_prefix: usize,
}

impl RouteIndex {
    /// Inserts a route.
    ///
    /// # Errors
    /// The route that is already registered with the same host and prefix.
    pub(crate) fn insert(&mut self, route: &Arc<Route>) -> Result<(), Arc<Route>> {
        let host = self.hosts.entry(normalize_host(&route.host).into_owned()).or_default();
        if let Some(other) = host.by_prefix.get(&route.path_prefix) {
            return Err(Arc::clone(other));
        }
        host.longest_prefix = host.longest_prefix.max(route.path_prefix.len());
        host.by_prefix.insert(route.path_prefix.clone(), Arc::clone(route));
        Ok(())
    }

    /// Returns the route of the host with the longest prefix that matches the path. The query of the path is ignored.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(normalize_host(host).as_ref())?;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let mut end = path.len();
        // Prefixes end with a slash, so only parts of the path that end with a slash can match.
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let route =
                (prefix.len() <= routes.longest_prefix).then(|| routes.by_prefix.get(prefix)).flatten();
            if route.is_some() {
                return route;
            }
            end = slash;
        }
        None
    }
}

/// Returns a host without its port and in lower case, because hosts that differ only in these are equal.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = without_port(host);
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) && !name.ends_with(':') => name,
        _ => host,
    }
}
