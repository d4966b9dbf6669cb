//! Which route and service a request takes, and why: the same matching as the data plane's. Pure.
use crate::error::CliError;
use sandtrack_protocol::codes;
use sandtrack_protocol::configuration::{Configuration, Route, RouteKind};
use sandtrack_protocol::logs::escape;
use sandtrack_sidecar_core::message::origin_form;

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    pub version: u64,
    pub route: Route,
    /// Other routes that match, with shorter prefixes.
    pub others: Vec<Route>,
}

/// The route that a request takes.
///
/// # Errors
/// Where none matches, with what there is instead.
pub fn explain(
    configuration: &Configuration,
    host: &str,
    path: &str,
) -> Result<Explanation, CliError> {
    let path = origin_form(path);
    match configuration.route_of_request(host, &path).cloned() {
        Some(route) => {
            let also = |other: &&Route| {
                other.host == route.host
                    && other.name != route.name
                    && path.starts_with(&other.path_prefix)
            };
            let mut others: Vec<Route> =
                configuration.routes.iter().filter(also).cloned().collect();
            others.sort_by_key(|other| std::cmp::Reverse(other.path_prefix.len()));
            Ok(Explanation {
                version: configuration.version,
                route,
                others,
            })
        }
        None => {
            let host = host.to_ascii_lowercase();
            let of_host: Vec<&str> = configuration
                .routes
                .iter()
                .filter(|route| host == route.host || host.starts_with(&format!("{}:", route.host)))
                .map(|route| route.path_prefix.as_str())
                .collect();
            let why = match of_host.as_slice() {
                [] => format!("no route has host `{host}`"),
                prefixes => format!("host `{host}` has only {}", prefixes.join(" ")),
            };
            Err(CliError::coded(
                codes::NO_ROUTE,
                format!("version {}: {why}", configuration.version),
            ))
        }
    }
}

impl Explanation {
    /// Services with their share of the requests.
    fn shares(&self) -> Vec<(&str, f64)> {
        let all: f64 = self.route.split.iter().map(|(_, weight)| weight).sum();
        self.route
            .split
            .iter()
            .map(|(service, weight)| (service.as_str(), weight / all))
            .collect()
    }

    fn kind(&self) -> &'static str {
        match self.route.kind {
            RouteKind::ReadOnly => "read_only",
            RouteKind::Mutating => "mutating",
            RouteKind::Streaming => "streaming",
        }
    }

    pub fn lines(&self) -> Vec<String> {
        let route = &self.route;
        let shares = self.shares();
        let shares = shares
            .iter()
            .map(|(service, share)| format!("{service} {:.1}%", share * 100.0));
        let again = if route.is_idempotent() {
            "may run more than once"
        } else {
            "runs at most once"
        };
        let homes = match route.home_regions.as_slice() {
            [] => "any region".to_owned(),
            homes => format!("{} only", homes.join(", ")),
        };
        let mut lines = vec![
            format!("version {}", self.version),
            format!(
                "route {}: {}{} is the longest prefix that matches",
                route.name, route.host, route.path_prefix
            ),
        ];
        for other in &self.others {
            lines.push(format!(
                "  matches too: {} with {}",
                other.name, other.path_prefix
            ));
        }
        lines.push(format!("service {}", shares.collect::<Vec<_>>().join(", ")));
        lines.push(format!(
            "kind {}: {again}, offered to at most {} upstreams a try",
            self.kind(),
            route.attempts
        ));
        lines.push(format!(
            "priority {}, objective {} ms, timeout {} ms",
            route.priority, route.target_latency_ms, route.timeout_ms
        ));
        lines.push(format!("served in {homes}"));
        lines
    }

    pub fn to_json(&self) -> String {
        let quote = |text: &str| format!("\"{}\"", escape(text));
        let shares = self.shares();
        let shares = shares
            .iter()
            .map(|(service, share)| format!("{}:{share}", quote(service)));
        let others = self.others.iter().map(|other| quote(&other.name));
        format!(
            "{{\"version_number\":{},\"route\":{},\"host\":{},\"path_prefix\":{},\"others\":[{}],\"services\":{{{}}},\"kind\":\"{}\",\"idempotent\":{}}}",
            self.version,
            quote(&self.route.name),
            quote(&self.route.host),
            quote(&self.route.path_prefix),
            others.collect::<Vec<_>>().join(","),
            shares.collect::<Vec<_>>().join(","),
            self.kind(),
            self.route.is_idempotent(),
        )
    }
}
