//! The soak: real processes and real sockets under troubles that are drawn from a seed and overlap in time, with clients,
//! upstreams, a platform and operators that misbehave as the users' pages allow. Verdicts are by what these saw, and by the
//! invariants that the processes count themselves.
//!
//! [`plan`] draws the troubles, [`troubles`] brings them about; [`upstreams`], [`platform`], [`clients`] and [`operators`] are
//! the stand-ins, which write down what they see in [`records`]; [`judge`] looks at the records, and [`processes`] at what the
//! processes say of themselves.
pub mod clients;
pub mod judge;
pub mod operators;
pub mod plan;
pub mod platform;
pub mod processes;
pub mod records;
pub mod run;
pub mod tenants;
pub mod troubles;
pub mod upstreams;

/// Control nodes, on the first machines; each machine has a proxy, and is in a zone of its own.
pub const CONTROLS: usize = 3;
/// Machines with a proxy.
pub const MACHINES: usize = 6;
/// Addresses of upstreams.
pub const UPSTREAMS: usize = 8;

/// Figures of the rules in these runs, in s (see `system::settings`).
pub const IN_TOUCH_S: f64 = 5.0;
/// A draining upstream gets nothing after this.
pub const DRAIN_S: f64 = 5.0;
/// An evacuated zone gets nothing after this.
pub const EVACUATION_S: f64 = 5.0;
/// A configuration is in force everywhere after this.
pub const APPLY_S: f64 = 3.0;
/// A proxy never goes back to an older version when it showed a newer one so long before.
pub const DOWNGRADE_S: f64 = 0.25;
/// Requests that are repeated at upstreams: this part of those of a service, and so many more, in a window.
pub const RETRY_RATIO: f64 = 0.2;
/// See [`RETRY_RATIO`].
pub const RETRY_SLACK: f64 = 64.0;
/// See [`RETRY_RATIO`], in s.
pub const RETRY_WINDOW_S: f64 = 10.0;
/// Requests a second that a cold upstream bears.
pub const COLD_RATE: f64 = 10.0;
/// For how long a started upstream is cold, in s.
pub const COLD_S: f64 = 3.0;
/// More than this many in a second break the rule: `COLD_RATE` times `cold_overshoot`, and `cold_slack`.
pub const COLD_MOST: f64 = COLD_RATE * 1.5 + 5.0;
/// The routes' `attempts`.
pub const ATTEMPTS: usize = 3;
/// The routes' `timeout_ms`, in s.
pub const TIMEOUT_S: f64 = 1.5;
