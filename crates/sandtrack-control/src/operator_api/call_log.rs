//! Log lines and metrics of operators' calls: what each was, how old it was when it was read, and its response.
use crate::operator_api::call_age::Arrival;
use crate::operator_api::Reply;
use crate::Millis;
use sandtrack_protocol::metrics::{MetricKind, MetricsText};
use sandtrack_sidecar_core::message::Message;
use std::collections::BTreeMap;

/// A caller goes elsewhere after a second of silence.
const CALLER_TIMEOUT_MS: Millis = 1000.0;

/// A call that was read and not answered yet.
#[derive(Clone, Debug)]
struct OpenCall {
    description: String,
    /// Target of an order without a body: one for a zone.
    bodyless_post_target: Option<String>,
    /// It changes something, if it is taken.
    is_change: bool,
    /// When it was read.
    read: Millis,
    /// How long its connection had been accepted when it was read, in ms.
    age_when_read: Millis,
}

/// A call that was answered, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The text.
    pub text: String,
    /// It changes something, or was rejected: logged at level info.
    pub is_notable: bool,
}

/// The calls under way, and how those before were answered.
#[derive(Clone, Debug, Default)]
pub struct CallLog {
    open: BTreeMap<u64, OpenCall>,
    /// By status and code (empty for a success).
    responses: BTreeMap<(u16, String), u64>,
    /// Calls whose caller left before they were made.
    abandoned: u64,
}

impl CallLog {
    /// A call was read completely.
    pub fn record_read(
        &mut self,
        now: Millis,
        call: u64,
        message: &Message,
        arrival: Option<Arrival>,
    ) {
        let head = &message.head;
        let based_on = head.headers.get("based-on-version");
        let based_on =
            based_on.map_or_else(String::new, |version| format!(" on version {version}"));
        let description = format!(
            "{} {}{based_on}, {} bytes",
            head.method,
            head.target,
            message.body.len()
        );
        let is_change = head.method == "POST";
        let bodyless_post_target =
            (is_change && message.body.is_empty()).then(|| head.target.clone());
        let age_when_read = arrival.map_or(0.0, |arrival| now - arrival.accepted);
        self.open.insert(
            call,
            OpenCall {
                description,
                bodyless_post_target,
                is_change,
                read: now,
                age_when_read,
            },
        );
    }

    /// The target of an order for a zone that was read so lately that its caller is_waiting for it still.
    pub fn bodyless_post_target(&self, now: Millis, call: u64) -> Option<&str> {
        let open = self.open.get(&call)?;
        let is_waiting = now - open.read + open.age_when_read <= CALLER_TIMEOUT_MS;
        open.bodyless_post_target.as_deref().filter(|_| is_waiting)
    }

    /// A call is answered; nothing where it was answered before.
    pub fn record_response(&mut self, now: Millis, call: u64, reply: &Reply) -> Option<LogLine> {
        let OpenCall {
            description,
            is_change,
            read,
            age_when_read,
            ..
        } = self.open.remove(&call)?;
        let code = reply.code.map_or_else(String::new, |code| code.to_string());
        *self
            .responses
            .entry((reply.status, code.clone()))
            .or_default() += 1;
        let error = match reply.code {
            Some(code) => format!(" {code} {}", code.meaning()),
            None => String::new(),
        };
        let line = format!(
            "call {call} ({description}; read {age_when_read:.0} ms after it was accepted) answered {}{error} after {:.0} ms",
            reply.status,
            now - read,
        );
        Some(LogLine {
            text: line,
            is_notable: is_change || reply.code.is_some(),
        })
    }

    /// A call was read whose caller has left: it is not made.
    pub fn record_abandoned(&mut self) {
        self.abandoned += 1;
    }

    /// Appends them to the figures of the process.
    pub fn write_metrics(&self, text: &mut MetricsText) {
        const CALLS: &str = "sandtrack_control_calls_total";
        text.family(
            CALLS,
            MetricKind::Counter,
            "Operators' calls by how they were answered",
        );
        for ((status, code), count) in &self.responses {
            text.sample(
                CALLS,
                &[("status", &status.to_string()), ("code", code)],
                count,
            );
        }
        let help = "Calls that were not made, as their caller had left";
        text.metric(
            "sandtrack_control_calls_left_total",
            MetricKind::Counter,
            help,
            self.abandoned,
        );
        let help = "Calls that are not answered yet";
        text.metric(
            "sandtrack_control_calls_open",
            MetricKind::Gauge,
            help,
            self.open.len(),
        );
    }
}
