//! The status as lines of text.
use super::{ControlNodeStatus, ProxyStatus, ServiceStatus, Status};

impl Status {
    /// The evacuated zones as text.
    pub fn evacuated_zones_text(&self) -> String {
        join_or_none(&self.evacuated_zones, ", ")
    }

    /// The status as lines of text.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![
            format!("told by     {} {}", self.node, self.address),
            format!(
                "version     {} (change {})",
                self.version, self.change_number
            ),
            format!("view        {}", self.epoch),
            format!("chain       {}", self.chain_text()),
            format!("voters      {}", self.voters_text()),
            format!("reader      {}", self.endpoint_poller_text()),
            format!("evacuated   {}", self.evacuated_zones_text()),
        ];
        if !self.configuration_fault.is_empty() {
            lines.push(format!("invalid     {}", self.configuration_fault));
        }
        if let Some(warning) = self.staleness_warning() {
            lines.push(format!("warning     {warning}"));
        }
        lines.extend(self.control_nodes.iter().map(ControlNodeStatus::line));
        lines.push(self.proxies_summary());
        lines.extend(self.proxies.iter().map(ProxyStatus::line));
        for service in &self.services {
            lines.push(format!(
                "service     {}: {}",
                service.service,
                service.counts()
            ));
        }
        lines
    }

    pub(super) fn chain_text(&self) -> String {
        join_or_none(&self.chain, " > ")
    }

    pub(super) fn voters_text(&self) -> String {
        join_or_none(&self.voters, " ")
    }

    pub(super) fn endpoint_poller_text(&self) -> &str {
        if self.endpoint_poller.is_empty() {
            "none"
        } else {
            &self.endpoint_poller
        }
    }

    fn proxies_summary(&self) -> String {
        let version = self.version;
        let count = self.proxies.len();
        let ready = self.proxies.iter().filter(|proxy| proxy.ready).count();
        let current = self
            .proxies
            .iter()
            .filter(|proxy| proxy.version == version)
            .count();
        format!("proxies    {count}: {ready} ready, {current} with version {version}")
    }
}

impl ProxyStatus {
    fn line(&self) -> String {
        format!(
            "proxy     {} in {} at {}: {}, {} requests in hand",
            self.node,
            self.zone,
            self.listen_address,
            self.state(),
            self.open_requests
        )
    }

    pub(super) fn state(&self) -> String {
        let state = match (self.draining, self.ready) {
            (true, _) => "leaving",
            (false, true) => "ready",
            (false, false) => "not ready",
        };
        format!("{state}, version {}", self.version)
    }
}

impl ControlNodeStatus {
    fn line(&self) -> String {
        let node = if self.node.is_empty() {
            "of unknown name"
        } else {
            &self.node
        };
        let link = link_text(self.linked);
        format!("control node  {} {node}, {link}", self.address)
    }
}

impl ServiceStatus {
    pub(super) fn counts(&self) -> String {
        format!("{} upstreams, {} draining", self.upstreams, self.draining)
    }
}

pub(super) fn link_text(linked: bool) -> &'static str {
    if linked {
        "linked"
    } else {
        "not linked"
    }
}

fn join_or_none(words: &[String], separator: &str) -> String {
    if words.is_empty() {
        "none".to_owned()
    } else {
        words.join(separator)
    }
}
