//! Explains which route and service a request takes, with the same matching as the data plane's.
use crate::error::CliError;
use crate::json::quote;
use sandtrack_protocol::codes;
use sandtrack_protocol::configuration::{Configuration, Route, RouteKind};
use sandtrack_sidecar_core::message::origin_form;

/// The route of a request, with the routes that it was preferred to.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The configuration's version.
    pub version: u64,
    /// The route that the request takes.
    pub route: Route,
    /// Other matching routes, which have shorter prefixes; longest prefix first.
    pub others: Vec<Route>,
}

/// Finds the route of a request.
///
/// # Errors
/// Where no route matches, with the routes that come nearest.
pub fn explain(
    configuration: &Configuration,
    host: &str,
    path: &str,
) -> Result<Explanation, CliError> {
    let path = origin_form(path);
    let Some(route) = configuration.route_of_request(host, &path).cloned() else {
        return Err(no_route(configuration, host));
    };
    let also_matches = |other: &&Route| {
        other.host == route.host && other.name != route.name && path.starts_with(&other.path_prefix)
    };
    let mut others: Vec<Route> = configuration
        .routes
        .iter()
        .filter(also_matches)
        .cloned()
        .collect();
    others.sort_by_key(|other| std::cmp::Reverse(other.path_prefix.len()));
    Ok(Explanation {
        version: configuration.version,
        route,
        others,
    })
}

/// The error of a request without a route: its host is unknown, or known only with other prefixes.
fn no_route(configuration: &Configuration, host: &str) -> CliError {
    let host = host.to_ascii_lowercase();
    let is_of_host =
        |route: &&Route| host == route.host || host.starts_with(&format!("{}:", route.host));
    let prefixes: Vec<&str> = configuration
        .routes
        .iter()
        .filter(is_of_host)
        .map(|route| route.path_prefix.as_str())
        .collect();
    let reason = if prefixes.is_empty() {
        format!("no route has host `{host}`")
    } else {
        format!("host `{host}` has only {}", prefixes.join(" "))
    };
    let version = configuration.version;
    CliError::coded(codes::NO_ROUTE, format!("version {version}: {reason}"))
}

impl Explanation {
    /// The explanation as lines of text.
    pub fn lines(&self) -> Vec<String> {
        let route = &self.route;
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
        lines.push(format!("service {}", self.shares_text()));
        lines.push(format!(
            "kind {}: {}, offered to at most {} upstreams a try",
            self.kind_name(),
            self.idempotence_text(),
            route.attempts
        ));
        lines.push(format!(
            "priority {}, objective {} ms, timeout {} ms",
            route.priority, route.target_latency_ms, route.timeout_ms
        ));
        lines.push(format!("served in {}", self.regions_text()));
        lines
    }

    /// The explanation as a JSON object.
    pub fn to_json(&self) -> String {
        let others: Vec<String> = self.others.iter().map(|other| quote(&other.name)).collect();
        let shares: Vec<String> = self
            .service_shares()
            .iter()
            .map(|(service, share)| format!("{}:{share}", quote(service)))
            .collect();
        format!(
            "{{\"version_number\":{},\"route\":{},\"host\":{},\"path_prefix\":{},\"others\":[{}],\"services\":{{{}}},\"kind\":\"{}\",\"idempotent\":{}}}",
            self.version,
            quote(&self.route.name),
            quote(&self.route.host),
            quote(&self.route.path_prefix),
            others.join(","),
            shares.join(","),
            self.kind_name(),
            self.route.is_idempotent(),
        )
    }

    /// Each service of the route with its fraction of the requests.
    fn service_shares(&self) -> Vec<(&str, f64)> {
        let total: f64 = self.route.split.iter().map(|(_, weight)| weight).sum();
        self.route
            .split
            .iter()
            .map(|(service, weight)| (service.as_str(), weight / total))
            .collect()
    }

    fn shares_text(&self) -> String {
        let shares: Vec<String> = self
            .service_shares()
            .iter()
            .map(|(service, share)| format!("{service} {:.1}%", share * 100.0))
            .collect();
        shares.join(", ")
    }

    /// The kind as the configuration writes it.
    fn kind_name(&self) -> &'static str {
        match self.route.kind {
            RouteKind::ReadOnly => "read_only",
            RouteKind::Mutating => "mutating",
            RouteKind::Streaming => "streaming",
        }
    }

    fn idempotence_text(&self) -> &'static str {
        if self.route.is_idempotent() {
            "may run more than once"
        } else {
            "runs at most once"
        }
    }

    fn regions_text(&self) -> String {
        match self.route.home_regions.as_slice() {
            [] => "any region".to_owned(),
            regions => format!("{} only", regions.join(", ")),
        }
    }
}
