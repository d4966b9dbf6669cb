//! A client's request, decoded into a command object that is carried out elsewhere. Pure.
use sandtrack_protocol::configuration::{Configuration, Route, RouteKind};
use sandtrack_sidecar_core::message::{origin_form, Head};
use sandtrack_tiers::Millis;

/// One request to be carried.
#[derive(Clone, Debug)]
pub struct ProxyRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub id: String,
    pub route: Route,
    /// The service drawn from the route's split.
    pub service: String,
    /// When its first byte was there, and when its time is over.
    pub arrived: Millis,
    pub deadline: Millis,
    pub model: Option<String>,
    /// Tokens of the prompt, and the most out.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt in order: id and tokens.
    pub prefix: Vec<(u64, u64)>,
}

/// Why a request is refused before it is carried: the status, and what a person is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(pub u16, pub sandtrack_protocol::codes::Code);

impl ProxyRequest {
    /// Decodes a whole request. `draw` gives a number from 0 to 1 for the split by weights.
    ///
    /// # Errors
    /// 404 where no route matches.
    pub fn decode(
        configuration: &Configuration,
        head: Head,
        body: Vec<u8>,
        arrived: Millis,
        draw: f64,
    ) -> Result<ProxyRequest, Refused> {
        use sandtrack_protocol::codes;
        let route = route_of(configuration, &head)
            .ok_or(Refused(404, codes::NO_ROUTE))?
            .clone();
        let left = allowed(&route, &head);
        let target = origin_form(&head.target).into_owned();
        let tokens = head.headers.get("token-counts").and_then(|value| {
            let (prompt, out) = value.split_once(',')?;
            Some((prompt.trim().parse().ok()?, out.trim().parse().ok()?))
        });
        let prefix = head
            .headers
            .get("prompt-prefix")
            .map(prefix)
            .unwrap_or_default();
        let headers = head.headers.end_to_end();
        let headers = headers
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        Ok(ProxyRequest {
            id: head
                .headers
                .get("request-id")
                .unwrap_or_default()
                .to_owned(),
            model: head.headers.get("model").map(str::to_owned),
            service: drawn(&route.split, draw).to_owned(),
            deadline: arrived + left,
            method: head.method,
            target,
            headers,
            body,
            route,
            arrived,
            tokens,
            prefix,
        })
    }

    pub fn is_idempotent(&self) -> bool {
        self.route.is_idempotent()
    }

    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Streaming
    }

    /// What is left of its time, in ms.
    pub fn left(&self, now: Millis) -> Millis {
        (self.deadline - now).max(0.0)
    }

    /// Tokens of the parts that others may share: all but the last, which is the request's or its session's own.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.prefix.len().saturating_sub(1);
        self.prefix[..shared].iter().map(|(_, tokens)| tokens).sum()
    }

    /// One number for the shared parts; the same for all proxies.
    pub fn shared_key(&self) -> u64 {
        let shared = self.prefix.len().saturating_sub(1);
        self.prefix[..shared]
            .iter()
            .fold(0x9e37_79b9_7f4a_7c15, |key, (id, _)| mix(key ^ id))
    }
}

/// The route of the request with this head.
fn route_of<'a>(configuration: &'a Configuration, head: &Head) -> Option<&'a Route> {
    let host = head.headers.get("host").unwrap_or_default();
    configuration.route_of_request(host, &origin_form(&head.target))
}

/// How long the request with this head may be held, in ms: what its client waits, and not over the route's time.
fn allowed(route: &Route, head: &Head) -> Millis {
    let told = head
        .headers
        .get("deadline-remaining")
        .and_then(|value| value.trim().parse::<f64>().ok());
    told.filter(|left| *left >= 0.0)
        .map_or(route.timeout_ms, |left| left.min(route.timeout_ms))
}

/// How long the request with this head may be held, in ms, before its body is there; `None` where no route matches.
pub fn held_at_most(configuration: &Configuration, head: &Head) -> Option<Millis> {
    route_of(configuration, head).map(|route| allowed(route, head))
}

/// The service at `draw` (0 to 1) of the weights.
fn drawn(split: &[(String, f64)], draw: f64) -> &str {
    let mut rest = draw * split.iter().map(|(_, weight)| weight).sum::<f64>();
    for (service, weight) in split {
        if rest < *weight {
            return service;
        }
        rest -= weight;
    }
    split
        .iter()
        .rev()
        .find(|(_, weight)| *weight > 0.0)
        .map_or("", |(service, _)| service)
}

/// Parts `ID:TOKENS` joined by commas, the id in hex; what can't be read ends the list.
fn prefix(value: &str) -> Vec<(u64, u64)> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    };
    value.split(',').map_while(part).collect()
}

/// Scatters the bits of a number (splitmix64's finalizer).
pub fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// A number for a name, the same in every process (FNV-1a).
pub fn hash(name: &str) -> u64 {
    let each = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, each))
}
