//! A client's request, decoded once its body is complete: its route, service and deadline, and what its headers say about the
//! prompt.
use crate::authentication::{authenticate, UnknownKey, AUTHORIZATION};
use crate::hashing::mix64;
use crate::home_regions::HomeRegions;
use sandtrack_protocol::codes::{self, Code};
use sandtrack_protocol::configuration::{Configuration, Route, RouteKind};
use sandtrack_protocol::tenants::Tenant;
use sandtrack_sidecar_core::message::{origin_form, Head, Headers};
use sandtrack_tiers::Millis;
use std::sync::Arc;

/// The header by which a client asks for the rest of a stream (WHATWG HTML, 9.2.4).
pub const LAST_EVENT_ID: &str = "Last-Event-Id";
/// Initial value of [`ProxyRequest::shared_key`]: the golden ratio as a 64-bit fraction, as in SplitMix64.
const SHARED_KEY_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// A request that is to be forwarded to an upstream.
#[derive(Clone, Debug)]
pub struct ProxyRequest {
    /// HTTP method.
    pub method: String,
    /// Request target in origin form (RFC 9112, 3.2.1).
    pub target: String,
    /// End-to-end headers, in the client's order, without its API key.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
    /// The client's `Request-Id`; empty if it sent none.
    pub id: String,
    /// The route that matched.
    pub route: Route,
    /// The tenant whose API key the request carries.
    pub tenant: Option<Arc<Tenant>>,
    /// Priority at the upstream, from 0 (most urgent) to 9.
    pub priority: u32,
    /// Regions that may serve it.
    pub home_regions: HomeRegions,
    /// The service drawn from the route's weighted split.
    pub service: String,
    /// When its first byte arrived.
    pub arrived_at: Millis,
    /// When it must be answered.
    pub deadline: Millis,
    /// The requested model; `None` for any.
    pub model: Option<String>,
    /// The contents of `Token-Counts`; `None` if missing or malformed.
    pub token_counts: Option<TokenCounts>,
    /// Parts of the prompt in order, as `Prompt-Prefix` lists them.
    pub prompt_parts: Vec<PromptPart>,
}

/// Size of a prompt and of its completion, in tokens (`Token-Counts: PROMPT,MAX`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Number of tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of tokens to generate.
    pub max_output: u64,
}

/// One part of a prompt. Parts with the same id have the same content, so that engines can reuse their KV cache for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A request that is rejected before it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status of the response.
    pub status: u16,
    /// The error code in the response body.
    pub code: Code,
}

impl ProxyRequest {
    /// Whether the request is only served because of its API key.
    pub fn needs_key(&self) -> bool {
        self.tenant.is_some() && !self.route.public
    }

    /// Decodes a complete request. `draw` is a number from 0 to 1, by which the service is drawn from the route's split.
    ///
    /// # Errors
    /// 404 if no route matches, 401 if the route requires a key and the request has no valid one.
    pub fn decode(
        configuration: &Configuration,
        head: Head,
        body: Vec<u8>,
        arrived_at: Millis,
        draw: f64,
    ) -> Result<ProxyRequest, Rejection> {
        let Some(route) = matching_route(configuration, &head) else {
            return Err(Rejection {
                status: 404,
                code: codes::NO_ROUTE,
            });
        };
        let tenant =
            authenticate(configuration, route, &head.headers).map_err(|UnknownKey| Rejection {
                status: 401,
                code: codes::UNKNOWN_KEY,
            })?;
        let tenant_priority = tenant.as_deref().map(|tenant| tenant.priority);
        let tenant_homes = tenant
            .as_deref()
            .map_or(&[][..], |tenant| &tenant.home_regions);
        let route = route.clone();
        let is_key = |name: &str| {
            configuration.tenants.is_some() && name.eq_ignore_ascii_case(AUTHORIZATION)
        };
        let headers = head.headers.end_to_end();
        let headers = headers
            .filter(|(name, _)| !is_key(name))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let id = head.headers.get("request-id").unwrap_or_default();
        Ok(ProxyRequest {
            id: id.to_owned(),
            model: head.headers.get("model").map(str::to_owned),
            service: draw_service(&route.split, draw).to_owned(),
            deadline: arrived_at + route_time_limit(&route, &head),
            target: origin_form(&head.target).into_owned(),
            token_counts: token_counts(&head.headers),
            prompt_parts: prompt_parts(&head.headers),
            method: head.method,
            headers,
            body,
            priority: configuration
                .priorities
                .of_request(tenant_priority, route.priority),
            home_regions: HomeRegions::new(&route.home_regions, tenant_homes),
            route,
            tenant,
            arrived_at,
        })
    }

    /// Whether the request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.is_idempotent()
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Streaming
    }

    /// Whether the client asks for the rest of a stream, behind an event that it has.
    pub fn resumes_stream(&self) -> bool {
        self.headers
            .iter()
            .any(|(name, _)| name.eq_ignore_ascii_case(LAST_EVENT_ID))
    }

    /// Time until the deadline, in ms; 0 once it has passed.
    pub fn time_left(&self, now: Millis) -> Millis {
        (self.deadline - now).max(0.0)
    }

    /// Number of tokens in the parts that other requests may share: all but the last one, which is specific to the request or its
    /// session.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Hash key of the shared parts; the same on all proxies.
    pub fn shared_key(&self) -> u64 {
        self.shared_parts()
            .iter()
            .fold(SHARED_KEY_SEED, |key, part| mix64(key ^ part.id))
    }

    fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts
            .split_last()
            .map_or(&[], |(_, shared)| shared)
    }
}

/// How long the request with this head may take, in ms, computed before its body is received; `None` if no route matches.
pub fn time_limit(configuration: &Configuration, head: &Head) -> Option<Millis> {
    matching_route(configuration, head).map(|route| route_time_limit(route, head))
}

fn matching_route<'a>(configuration: &'a Configuration, head: &Head) -> Option<&'a Route> {
    let host = head.headers.get("host").unwrap_or_default();
    configuration.route_of_request(host, &origin_form(&head.target))
}

/// The client's `Deadline-Remaining`, limited to the route's timeout, in ms.
fn route_time_limit(route: &Route, head: &Head) -> Millis {
    let requested = head
        .headers
        .get("deadline-remaining")
        .and_then(|value| value.trim().parse::<f64>().ok());
    requested
        .filter(|remaining| *remaining >= 0.0)
        .map_or(route.timeout_ms, |remaining| {
            remaining.min(route.timeout_ms)
        })
}

/// The service at the fraction `draw` (0 to 1) of the cumulative weights.
fn draw_service(split: &[(String, f64)], draw: f64) -> &str {
    let mut rest = draw * split.iter().map(|(_, weight)| weight).sum::<f64>();
    for (service, weight) in split {
        if rest < *weight {
            return service;
        }
        rest -= weight;
    }
    // Reached through rounding errors: the last service with a positive weight.
    split
        .iter()
        .rev()
        .find(|(_, weight)| *weight > 0.0)
        .map_or("", |(service, _)| service)
}

/// `Token-Counts: PROMPT,MAX`; `None` where it is missing or malformed.
fn token_counts(headers: &Headers) -> Option<TokenCounts> {
    let (prompt, max_output) = headers.get("token-counts")?.split_once(',')?;
    Some(TokenCounts {
        prompt: prompt.trim().parse().ok()?,
        max_output: max_output.trim().parse().ok()?,
    })
}

/// `Prompt-Prefix: ID:TOKENS,...`, ids in hexadecimal; a malformed part ends the list.
fn prompt_parts(headers: &Headers) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    let value = headers.get("prompt-prefix");
    value.map_or_else(Vec::new, |value| value.split(',').map_while(part).collect())
}
