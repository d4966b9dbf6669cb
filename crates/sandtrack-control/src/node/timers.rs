//! What is due in a control node, and the detection of pauses of the process.
use super::{ControlNode, Effect};
use crate::endpoint_poller::HOLDER_TIMEOUT_MS;
use crate::Millis;
use sandtrack_replication as replication;

/// Shortest gap between two inputs that counts as a freeze of the process, in ms.
const MIN_FREEZE_MS: Millis = 700.0;
/// What is due is looked for at least this often, in ms.
const TICK_MS: Millis = 50.0;

impl ControlNode {
    /// When it has to be given a tick, on the clock of `now`.
    pub fn next_due(&self) -> Millis {
        let calls = self.calls.next_due().into_iter();
        let reader = self
            .poller
            .next_due()
            .filter(|_| self.election.should_poll(self.last_input));
        let prompts = self.prompts.next_due().into_iter();
        let due = calls
            .chain(reader)
            .chain(prompts)
            .fold(self.last_input + TICK_MS, Millis::min);
        due.min(self.replica.next_tick()).max(self.last_input)
    }

    /// Notices a freeze, as an input comes: what the others said meanwhile is still to be read, and what was believed
    /// before it no longer counts.
    pub(super) fn notice_freeze(&mut self, now: Millis) {
        let gap = now - self.last_input;
        self.last_input = now;
        if gap <= MIN_FREEZE_MS {
            return;
        }
        log::warn!("this process did not run for {gap:.0} ms");
        self.peers.resumed(now);
        self.quorum_lease.invalidate(now);
        self.sessions.resumed(now);
        self.last_caught_up = None;
        if gap > HOLDER_TIMEOUT_MS {
            self.election.reset_after_pause(now);
        }
    }

    /// Does what is due.
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.step_replica(now, replication::Input::Tick, out);
        if self.replica.is_caught_up() {
            self.last_caught_up = Some(now);
        }
        self.complete_in_epoch = self
            .complete_in_epoch
            .max(self.replica.fully_applied_epoch());
        self.tick_peers(now, out);
        self.propose_rules(now, out);
        self.tick_sessions(now, out);
        self.membership.tick(now);
        self.fetch_page_if_due(now, out);
        for step in self.calls.expire(now) {
            self.carry_out_step(now, step, out);
        }
        self.exit_if_left(now, out);
    }

    /// Opens and closes links, and sends the heartbeats that are due.
    fn tick_peers(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.update_wanted_peers(now);
        let mut actions = Vec::new();
        let (lost, heartbeat_due) = self.peers.tick(now, &mut actions);
        out.extend(actions.into_iter().map(Effect::Link));
        for lost in lost {
            self.peer_link_event(now, Some(lost), out);
        }
        self.take_over_polling(now);
        if heartbeat_due {
            self.announce_to_all(now, out);
            self.send_heartbeats(now, out);
        }
    }
}
