//! The platform's list as a stand-in keeps it: upstreams in pages, and calls that are too many turned away. Pure.
use crate::document::MODELS;

/// Calls a second with a second's worth of burst, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    held: f64,
    at: f64,
}

impl Bucket {
    pub fn new(rate: f64) -> Bucket {
        Bucket { rate, held: rate, at: 0.0 }
    }

    /// Whether a call at this moment (s) is taken.
    pub fn takes(&mut self, now: f64) -> bool {
        self.held = (self.held + (now - self.at).max(0.0) * self.rate).min(self.rate);
        self.at = now;
        let takes = self.held >= 1.0;
        if takes {
            self.held -= 1.0;
        }
        takes
    }
}

/// The list.
#[derive(Clone, Debug)]
pub struct Listing {
    pub count: usize,
    pub page: usize,
    pub zones: Vec<String>,
    /// Where upstreams are reached: all at one address, told apart by identifier.
    pub address: String,
    pub draining: Option<usize>,
}

impl Listing {
    pub fn identifier(at: usize) -> String {
        format!("i-{:08x}", at.wrapping_mul(2_654_435_761) & 0xffff_ffff)
    }

    /// The body of a call for the page that begins at `from`.
    pub fn body(&self, from: usize) -> String {
        let end = self.count.min(from.saturating_add(self.page));
        let entries: Vec<String> = (from..end).map(|at| self.entry(at)).collect();
        let next = if end < self.count { format!(",\"next_token\":\"p-{end}\"") } else { String::new() };
        format!("{{\"instances\":[{}]{next}}}", entries.join(","))
    }

    fn entry(&self, at: usize) -> String {
        let state = if self.draining == Some(at) { "draining" } else { "ready" };
        let zone = self.zones.get(at % self.zones.len().max(1)).map_or("", String::as_str);
        format!(
            "{{\"service\":\"m-{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version_number\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\
             \"version_number\":1,\"adapters\":[]}}],\"identifier\":\"{}\"}}",
            at % MODELS, self.address, Listing::identifier(at)
        )
    }

    /// Where the page of a call's target begins.
    pub fn page_of(target: &str) -> usize {
        let token = target.split_once("page_token=").map_or("", |(_, token)| token);
        let token = token.split('&').next().unwrap_or_default();
        token.strip_prefix("p-").and_then(|from| from.parse().ok()).unwrap_or(0)
    }
}
