//! Graceful shutdown of a control node: it hands over its roles, and ends once the others no longer need it.
use super::{ControlNode, Effect};
use crate::Millis;
use sandtrack_replication as replication;

/// Told to stop, it waits for the calls under way for this long, in ms.
const CALLS_GRACE_MS: Millis = 1200.0;
/// Told to stop, and needed by the others, it ends this long before the platform would kill it, in ms.
const GRACE_MARGIN_MS: Millis = 1000.0;

impl ControlNode {
    /// Told to stop: the reading of the list goes to another, the proxies go elsewhere, and calls under way are finished.
    pub(super) fn leave(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leaving_since.is_some() {
            return;
        }
        log::info!("told to stop");
        self.leaving_since = Some(now);
        self.step_replica(now, replication::Input::Leave, out);
        self.hand_over_polling(now);
        self.send_heartbeats(now, out);
        self.close_proxy_sessions(out);
    }

    /// Ends the process if it was told to stop and may.
    pub(super) fn exit_if_left(&self, now: Millis, out: &mut Vec<Effect>) {
        if self
            .leaving_since
            .is_some_and(|since| self.may_exit_after(now - since))
        {
            out.push(Effect::Exit);
        }
    }

    /// Whether it may end so many ms after it was told to stop: calls under way are finished, and the others hold what it
    /// holds; or its grace is over.
    fn may_exit_after(&self, elapsed: Millis) -> bool {
        let grace_over = elapsed > self.settings.bounds.grace_s * 1000.0 - GRACE_MARGIN_MS;
        let calls_over = self.calls.is_empty() || elapsed > CALLS_GRACE_MS;
        grace_over || calls_over && !self.replica.is_needed()
    }
}
