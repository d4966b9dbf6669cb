//! Which tenant a request is of, by its API key (`Authorization: Bearer KEY`, RFC 6750).
use sandtrack_protocol::configuration::{Configuration, Route};
use sandtrack_protocol::tenants::Tenant;
use sandtrack_sidecar_core::message::Headers;
use std::sync::Arc;

/// The header that carries the key.
pub const AUTHORIZATION: &str = "Authorization";
/// The authentication scheme of keys, in lower case.
const SCHEME: &str = "bearer";

/// The request needs an API key, and carries none that the configuration has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no known API key")]
pub struct UnknownKey;

/// The tenant whose key the request carries; `None` where it needs none and carries none that is known.
///
/// # Errors
/// Where the configuration has tenants, the route is not public, and the request carries no key that it knows.
pub fn authenticate(
    configuration: &Configuration,
    route: &Route,
    headers: &Headers,
) -> Result<Option<Arc<Tenant>>, UnknownKey> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(None);
    };
    let tenant = api_key(headers).and_then(|key| tenants.holder(key));
    if tenant.is_none() && !route.public {
        return Err(UnknownKey);
    }
    Ok(tenant.cloned())
}

/// The key that a request carries: the only one, and well-formed.
fn api_key(headers: &Headers) -> Option<&str> {
    let mut credentials = headers.all(AUTHORIZATION);
    let (scheme, key) = credentials.next()?.trim().split_once(' ')?;
    let key = key.trim();
    let is_well_formed = scheme.eq_ignore_ascii_case(SCHEME) && !key.contains(char::is_whitespace);
    (is_well_formed && credentials.next().is_none()).then_some(key)
}
