//! The metrics of a process in the Prometheus text exposition format, version 0.0.4, and where they are served.
use crate::settings::Settings;
use sandtrack_net::log_output::lost_lines;
use std::fmt::{Display, Write};

/// HTTP path of the metrics.
pub const PATH: &str = "/metrics";
/// Port of a proxy's metrics where the settings name none (`listen_addresses.metrics`).
pub const PROXY_PORT: u16 = 9464;
/// The same of a control node.
pub const CONTROL_PORT: u16 = 9465;

/// Where a process serves its metrics, `IP:PORT`.
#[must_use]
pub fn address(settings: &Settings, port: u16) -> String {
    let told = settings.listen.get("metrics").cloned();
    told.unwrap_or_else(|| format!("{}:{port}", settings.ip_address))
}

/// Type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It only rises, from 0 at the start of the process.
    Counter,
    /// It rises and falls.
    Gauge,
}

/// Builds the text, one metric family after the other.
#[derive(Clone, Debug, Default)]
pub struct MetricsText(String);

impl MetricsText {
    /// Begins a metric family, with its help and type lines.
    pub fn family(&mut self, name: &str, kind: MetricKind, help: &str) {
        let kind = match kind {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
        };
        // Writing into memory can't fail.
        let _ = write!(self.0, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
    }

    /// A sample of the family begun last. Label values are escaped.
    pub fn sample(&mut self, name: &str, labels: &[(&str, &str)], value: impl Display) {
        let escape = |value: &str| {
            value
                .replace('\\', "\\\\")
                .replace('"', "\\\"")
                .replace('\n', "\\n")
        };
        let pair = |(label, value): &(&str, &str)| format!("{label}=\"{}\"", escape(value));
        let pairs: Vec<String> = labels.iter().map(pair).collect();
        let labels = if pairs.is_empty() {
            String::new()
        } else {
            format!("{{{}}}", pairs.join(","))
        };
        let _ = writeln!(self.0, "{name}{labels} {value}");
    }

    /// A family of one sample without labels.
    pub fn metric(&mut self, name: &str, kind: MetricKind, help: &str, value: impl Display) {
        self.family(name, kind, help);
        self.sample(name, &[], value);
    }

    /// How many lines of the log were lost.
    pub fn lost_log_lines(&mut self) {
        const HELP: &str = "Lines that the log did not take when they were written";
        self.metric(
            "sandtrack_log_lines_lost_total",
            MetricKind::Counter,
            HELP,
            lost_lines(),
        );
    }

    /// How often each invariant was violated in this process.
    pub fn invariant_violations(&mut self) {
        const NAME: &str = "sandtrack_invariant_violations_total";
        self.family(
            NAME,
            MetricKind::Counter,
            "Violations of each invariant; any is a fault of the program",
        );
        for invariant in sandtrack_invariants::Invariant::ALL {
            self.sample(
                NAME,
                &[("invariant", invariant.name())],
                invariant.violations(),
            );
        }
    }

    /// All of it.
    #[must_use]
    pub fn into_text(self) -> String {
        self.0
    }
}
