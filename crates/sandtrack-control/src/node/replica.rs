//! The replica in a control node: inputs are handed to it, and its effects are carried out on the links, the disk and the
//! operators' calls.
use super::{ControlNode, Effect};
use crate::peers::{LinkAction, PeerFrame};
use crate::state_machine::Command;
use crate::Millis;
use sandtrack_protocol::{codes, schema};
use sandtrack_replication::{self as replication, CallError, Message, View};

/// The result of a call that the replica was given.
struct Answered {
    call: u64,
    result: Result<Vec<u8>, CallError>,
}

impl ControlNode {
    /// Hands an input to the replica and carries out what comes of it.
    pub(super) fn step_replica(
        &mut self,
        now: Millis,
        input: replication::Input,
        out: &mut Vec<Effect>,
    ) {
        let mut effects = Vec::new();
        let refused = self.replica.snapshots_rejected();
        self.replica.handle(now, input, &mut effects);
        if self.replica.snapshots_rejected() > refused {
            log::warn!(
                "{} a snapshot was refused: it is fetched anew",
                codes::SNAPSHOT_REFUSED
            );
        }
        self.carry_out_replica_effects(now, effects, out);
    }

    /// Carries out the replica's effects in order. The answers to calls come last, as they lead to further inputs of the
    /// replica.
    pub(super) fn carry_out_replica_effects(
        &mut self,
        now: Millis,
        effects: Vec<replication::Effect>,
        out: &mut Vec<Effect>,
    ) {
        let mut answers = Vec::new();
        let mut has_new_state = false;
        for effect in effects {
            match effect {
                replication::Effect::Send { to, message } => {
                    self.send_to_replica(&to, message, out);
                }
                replication::Effect::Write { ticket, records } => {
                    out.push(Effect::Write { ticket, records });
                }
                replication::Effect::Rewrite { ticket, records } => {
                    out.push(Effect::Rewrite { ticket, records });
                }
                replication::Effect::Applied {
                    number, command, ..
                } => {
                    has_new_state = true;
                    self.log_applied(number, &command);
                }
                replication::Effect::Restored { number } => {
                    has_new_state = true;
                    log::info!(
                        "restored to number {number}: version {}",
                        self.replica.machine().version()
                    );
                    self.log_fault();
                }
                replication::Effect::Answer { call, result } => {
                    answers.push(Answered { call, result });
                }
                replication::Effect::ViewChanged(view) => {
                    log_view(&view);
                    self.update_wanted_peers(now);
                }
            }
        }
        if has_new_state {
            self.enforce_rules(now, out);
        }
        for Answered { call, result } in answers {
            self.advance_calls(now, out, |calls, known| {
                calls.complete(now, call, result, known)
            });
        }
    }

    /// Sends a message to another replica; it is lost where there is no link.
    fn send_to_replica(&self, to: &str, message: Message, out: &mut Vec<Effect>) {
        if let Some(link) = self.peers.link_to(to) {
            let frame = PeerFrame::Replication(message);
            out.push(Effect::Link(LinkAction::Send { link, frame }));
        }
    }

    fn log_applied(&self, number: u64, command: &[u8]) {
        let version = self.replica.machine().version();
        match borsh::from_slice::<Command>(command) {
            Ok(command @ Command::Configure { .. }) => {
                let unread = self.replica.machine().unread_fields();
                let no_effect = schema::no_effect_text(&unread);
                log::info!("number {number}: version {version}, after {command}{no_effect}");
                self.log_fault();
            }
            Ok(command) => log::info!("number {number}: version {version}, after {command}"),
            Err(error) => log::warn!("number {number}: version {version}, unknown: {error}"),
        }
    }

    /// Operators are told of an invalid configuration in force, which an earlier program has accepted.
    fn log_fault(&self) {
        let control_state = self.replica.machine();
        if let Some(fault) = control_state.fault() {
            let version = control_state.version();
            log::warn!("version {version}, which is in force, is invalid: {fault}");
        }
    }
}

fn log_view(view: &View) {
    let chain: Vec<&str> = view
        .chain
        .iter()
        .map(|member| member.address.as_str())
        .collect();
    log::info!("view {}: chain {}", view.epoch, chain.join(" "));
}
