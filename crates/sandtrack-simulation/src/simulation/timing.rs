//! Durations and limits that several modules of the simulation share. All are in simulated milliseconds.
use crate::plan::Millis;

/// A process starts again this long after its end.
pub(super) const RESTART_DELAY_MS: Millis = 300.0;
/// A WAL that can't be opened is opened again after this.
pub(super) const OPEN_RETRY_MS: Millis = 300.0;
/// The one-way delay between an operator and a machine.
pub(super) const CLIENT_LATENCY_MS: Millis = 3.0;
/// The duration of a call of the platform's API.
pub(super) const PLATFORM_LATENCY_MS: Millis = 8.0;
/// A process dials a connection for this long, as `program` of control does.
pub(super) const DIAL_TIMEOUT_MS: Millis = 900.0;
/// The interval of the observer and of the proxies' ticks.
pub(super) const OBSERVE_INTERVAL_MS: Millis = 50.0;
/// A proxy is connected to a control node after this (`in_touch_ms` of the specification).
pub(super) const CONNECTED_AFTER_MS: Millis = 5000.0;
/// A connected proxy applies a configuration within this (`configuration_apply_ms`).
pub(super) const CONFIGURATION_APPLY_LIMIT_MS: Millis = 3000.0;
/// A connected proxy applies an evacuation within this (`evacuation_ms`).
pub(super) const EVACUATION_LIMIT_MS: Millis = 5000.0;
/// A control node may give definite responses for this long after it was isolated from the majority: so long does it take to
/// notice, and so long does a call wait.
pub(super) const MAX_ISOLATION_MS: Millis = 1200.0;
