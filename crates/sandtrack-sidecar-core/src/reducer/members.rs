//! The other sidecars' part of the reducer: the fleet's protocol is fed, its datagrams and notes are carried on, and the number
//! of siblings that budgets are shared by follows it. It must never let that number fall because members are not heard, nor
//! touch a request.
use super::*;
use sandtrack_membership::budget::Budget;
use sandtrack_membership::digest::{Fact, Load};
use sandtrack_membership::wire::State;
use sandtrack_membership::{Fleet, Identity, Note, View};
use std::net::SocketAddrV4;

/// Its own figures are told, and the siblings counted, this often; what changes who is there counts at once.
const COUNT_EVERY: Millis = 1000.0;

pub(super) struct Members {
    fleet: Fleet,
    budget: Budget,
    /// Its socket is open: until then another process of this sidecar is the member.
    open: bool,
    /// Requests that came since they were told last.
    pub(super) came: u32,
    counted: Millis,
}

/// The fleet's clock is in whole milliseconds.
fn whole(at: Millis) -> u64 {
    at.max(0.0) as u64
}

impl Reducer {
    /// It is a member of a fleet. `identity` was checked.
    pub fn with_fleet(mut self, identity: Identity, seed: u64) -> Self {
        let now = whole(self.now);
        let budget = Budget::new(self.settings.balancer_count, now);
        let fleet = Fleet::new(identity, seed, now);
        self.members = Some(Members {
            fleet,
            budget,
            open: false,
            came: 0,
            counted: self.now,
        });
        self
    }

    /// Its socket is there: it is this process that is the member from now on.
    pub(super) fn fleet_opened(&mut self) {
        if self.draining.is_some() {
            return self.effects.push(Effect::CloseFleet);
        }
        let Some(members) = &mut self.members else {
            return;
        };
        tracing::info!(name = members.fleet.name(), "joining the fleet");
        members.open = true;
        members.fleet.start(whole(self.now));
        self.fleet_settle();
    }

    pub(super) fn datagram(&mut self, source: SocketAddrV4, bytes: &[u8]) {
        let Some(members) = self.members.as_mut().filter(|members| members.open) else {
            return;
        };
        members.fleet.datagram(source, bytes, whole(self.now));
        self.fleet_settle();
    }

    pub(super) fn fleet_due(&mut self) {
        let Some(members) = self.members.as_mut().filter(|members| members.open) else {
            return;
        };
        let now = whole(self.now);
        members.fleet.tick(now);
        if self.now - members.counted >= COUNT_EVERY {
            members.counted = self.now;
            let open = self
                .requests
                .values()
                .filter(|request| request.client.is_some())
                .count() as u32;
            let load = Load {
                open,
                per_second: std::mem::take(&mut members.came),
            };
            members.fleet.tell(&Fact::Load(load), now);
            self.count_members();
        }
        self.fleet_settle();
    }

    /// The process ends. Where another one of this sidecar lives it is the member from now on, and nobody leaves.
    pub(super) fn leave_fleet(&mut self) {
        let Some(members) = self.members.as_mut().filter(|members| members.open) else {
            return;
        };
        members.open = false;
        self.timers.clear(Timer::Fleet);
        if !(self.ways.inherited && self.other_lives) {
            members.fleet.leave(whole(self.now));
            self.fleet_carry_on();
        }
        self.effects.push(Effect::CloseFleet);
    }

    fn fleet_settle(&mut self) {
        let changed = self.fleet_carry_on();
        if changed {
            self.count_members();
        }
        let Some(members) = &self.members else { return };
        let count = members.counted + COUNT_EVERY;
        let due = members
            .fleet
            .next_due()
            .map_or(count, |due| (due as f64).min(count));
        self.timers.set(Timer::Fleet, due);
    }

    /// Sends and says what the protocol wants; yes where somebody else is there than before.
    fn fleet_carry_on(&mut self) -> bool {
        let Some(members) = &mut self.members else {
            return false;
        };
        let datagrams = members.fleet.take_datagrams();
        self.effects.extend(
            datagrams
                .into_iter()
                .map(|(to, bytes)| Effect::Datagram { to, bytes }),
        );
        let mut changed = false;
        for note in members.fleet.take_notes() {
            changed |= matches!(
                note,
                Note::Member { .. } | Note::View { .. } | Note::Forgotten { .. }
            );
            say(&note);
        }
        changed
    }

    /// Budgets are shared by all that are there, or may be.
    fn count_members(&mut self) {
        let Some(members) = &mut self.members else {
            return;
        };
        let siblings = members.budget.follow(&members.fleet, whole(self.now));
        if siblings != self.settings.balancer_count {
            tracing::info!(
                siblings,
                before = self.settings.balancer_count,
                "members counted"
            );
            self.settings.balancer_count = siblings;
            self.events
                .push_back(Event::Settings(Box::new(self.settings.clone())));
        }
    }

    /// The number of siblings that goes, whatever the settings say of it.
    pub(super) fn siblings(&self, told: u32) -> u32 {
        self.members
            .as_ref()
            .map_or(told, |members| members.budget.figure())
    }

    /// Who is there, as JSON; `None` where it is in no fleet.
    pub(super) fn members_text(&self) -> Option<String> {
        let members = self.members.as_ref()?;
        let (view, reason, since) = members.fleet.view();
        let list: Vec<serde_json::Value> =
            members.fleet.members().iter().map(member_json).collect();
        let text = serde_json::json!({
            "me": members.fleet.name(),
            "view": view.word(),
            "reason": reason,
            "view_since_ms": since,
            "siblings": self.settings.balancer_count,
            "members": list,
        });
        Some(text.to_string() + "\n")
    }

    /// Figures of the fleet, by name.
    pub(super) fn fleet_levels(&self) -> Vec<(&'static str, u64)> {
        let Some(members) = &self.members else {
            return Vec::new();
        };
        let fleet = &members.fleet;
        let counts = fleet.counts();
        let state = |state: State| fleet.count(state) as u64;
        let view = match fleet.view().0 {
            View::Whole => 0,
            View::Doubtful => 1,
            View::CutOff => 2,
        };
        vec![
            ("fleet_alive", state(State::Alive) + state(State::Joining)),
            ("fleet_suspect", state(State::Suspect)),
            ("fleet_failed", state(State::Failed)),
            ("fleet_left", state(State::Left)),
            ("fleet_view", view),
            ("fleet_siblings", u64::from(self.settings.balancer_count)),
            ("fleet_doubt", u64::from(fleet.score())),
            ("fleet_datagrams_in", counts.datagrams_in),
            ("fleet_datagrams_out", counts.datagrams_out),
            ("fleet_bytes_in", counts.bytes_in),
            ("fleet_bytes_out", counts.bytes_out),
            ("fleet_refused", counts.refused),
            ("fleet_probes", counts.probes),
            ("fleet_probes_failed", counts.probes_failed),
            ("fleet_suspicions", counts.suspicions),
            ("fleet_failures", counts.failures),
            ("fleet_refutations", counts.refutations),
            ("fleet_pauses", counts.pauses),
        ]
    }
}

fn member_json(seen: &sandtrack_membership::Seen<'_>) -> serde_json::Value {
    let mut member = serde_json::json!({
        "name": seen.name,
        "address": seen.place.address.to_string(),
        "zone": seen.place.site.zone.as_str(),
        "region": seen.place.site.region.as_str(),
        "state": seen.state.word(),
        "incarnation": seen.incarnation,
        "since_ms": seen.since,
    });
    for (fact, age) in &seen.facts {
        match fact {
            Fact::Load(load) => {
                member["open"] = load.open.into();
                member["per_second"] = load.per_second.into();
                member["told_ms"] = (*age).into();
            }
            Fact::Health(health) => {
                let view = [View::Whole, View::Doubtful, View::CutOff]
                    .get(usize::from(health.view))
                    .copied();
                member["view"] = view.map_or("unknown", View::word).into();
            }
            Fact::Other(..) => {}
        }
    }
    member
}

/// A line for each change.
fn say(note: &Note) {
    match note {
        Note::Member {
            name,
            address,
            from,
            to,
            alone,
        } => {
            let (name, from) = (name.as_str(), from.map_or("unknown", State::word));
            let to = to.word();
            if *alone {
                tracing::info!(name, %address, from, to, "member changed, as seen from here alone");
            } else {
                tracing::info!(name, %address, from, to, "member changed");
            }
        }
        Note::Forgotten { name } => tracing::info!(name = name.as_str(), "member forgotten"),
        Note::View { from, to, reason } => {
            let (worse, from, to) = (to > from, from.word(), to.word());
            if worse {
                tracing::warn!(from, to, reason, "view of the fleet changed");
            } else {
                tracing::info!(from, to, reason, "view of the fleet changed");
            }
        }
        Note::Joined { members } => tracing::info!(members, "joined the fleet"),
        Note::Refuted { held, incarnation } => {
            tracing::info!(
                held = held.word(),
                incarnation,
                "others held this member for gone, and are told otherwise"
            );
        }
        Note::NameTaken { address } => {
            tracing::error!(%address, "another live process has this member's name: this one stays out of the fleet");
        }
        Note::NameShared { address } => {
            tracing::error!(%address, "another process goes by this member's name");
        }
        Note::NameDoubled {
            name,
            first,
            second,
        } => {
            let name = name.as_str();
            tracing::error!(name, %first, %second, "two live processes go by one name");
        }
        Note::NameFree => {
            tracing::info!("the other process of this member's name is gone: joining again");
        }
        Note::Paused { lasted } => {
            tracing::warn!(
                lasted_ms = lasted,
                "this process stood still, or its clock jumped"
            );
        }
        Note::Refused {
            garbage,
            foreign,
            later,
            over,
            last,
        } => {
            tracing::warn!(garbage, foreign, later, over, %last, "datagrams that are none of this fleet's");
        }
    }
}
