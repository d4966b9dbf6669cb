//! Who is there: probes by the round and the ring, help, suspicions and their end. It must never accuse without a witness, nor
//! while this member has reason to doubt itself.
use super::*;

impl Fleet {
    /// The next in a random order of all that are there; a new order when all have been probed.
    pub(super) fn round(&mut self) {
        for _ in 0..2 {
            while let Some(name) = self.order.pop() {
                let target = self
                    .table
                    .place(&name)
                    .filter(|at| self.table.members[*at].state.is_present());
                let Some(place) = target else { continue };
                let target = self.table.members[place].process.clone();
                if !self.probes.iter().any(|probe| probe.target == target) {
                    return self.probe(place, Why::Round);
                }
            }
            let present = self
                .table
                .members
                .iter()
                .filter(|member| member.state.is_present());
            self.order = present.map(|member| member.process.name.clone()).collect();
            for n in (1..self.order.len()).rev() {
                let other = self.rng.gen_range(0..=n);
                self.order.swap(n, other);
            }
        }
    }

    /// The next one in the ring: whoever fails is missed by one at least within a second.
    pub(super) fn ring(&mut self) {
        if self.ring.0 != self.table.version() {
            self.ring = (
                self.table.version(),
                self.table.next_in_ring(&self.identity.name).cloned(),
            );
        }
        let Some(target) = self.ring.1.clone() else {
            return;
        };
        if let Some(place) = self.table.process(&target) {
            if !self.probes.iter().any(|probe| probe.target == target) {
                self.probe(place, Why::Ring);
            }
        }
    }

    /// Each that failed is tried by a few a second, and each member does its part of that; one that failed for this member
    /// alone is tried by nobody else.
    pub(super) fn reach_some(&mut self) {
        if self.table.privates() > 0 {
            return self.reach(1, true);
        }
        let wanted =
            self.table.count(State::Failed) as f64 * timing::REACHED * timing::PROBE as f64
                / 1000.0;
        let part = wanted / (self.table.present() + 1) as f64;
        if self.rng.gen::<f64>() < part {
            self.reach(1, false);
        }
    }

    /// One that failed is tried now and then: who was cut off or stopped is found again by that.
    pub(super) fn reach(&mut self, count: usize, private: bool) {
        let room = timing::REACH_MOST.saturating_sub(self.probes.len());
        if self.table.count(State::Failed) == 0 || room == 0 {
            return;
        }
        for place in self.draw(count.min(room), |member| {
            member.state == State::Failed && (member.private || !private)
        }) {
            let target = &self.table.members[place].process;
            if !self.probes.iter().any(|probe| probe.target == *target) {
                self.probe(place, Why::Reach);
            }
        }
    }

    pub(super) fn probe(&mut self, place: usize, why: Why) {
        let member = &self.table.members[place];
        let (target, to) = (member.process.clone(), member.place.address);
        let suspected =
            !member.public_state().is_present() || member.public_state() == State::Suspect;
        let seq = self.next_seq();
        let due = self.now + self.patience(place);
        self.counts.probes += 1;
        let sent = self.now;
        self.probes.push(Probe {
            seq,
            why,
            target: target.clone(),
            sent,
            due,
            asked: None,
            nacks: 0,
        });
        let writer = self.writer(&Message::Ping {
            seq,
            to: target.clone(),
        });
        self.send_with(to, writer, |fleet, writer| {
            if suspected {
                // It must be able to refute that.
                fleet.add_record(&target.name, writer);
            }
            fleet.add_rumours(writer);
            if why == Why::Round {
                fleet.add_facts(writer);
            }
        });
    }

    /// How long a member and this one are used to wait for answers, together: as that one told, and as this one met.
    pub(super) fn usual(&self, place: usize) -> Ms {
        let facts = &self.table.members[place].facts;
        let told = facts
            .iter()
            .find(|fact| fact.kind == HEALTH)
            .map(|fact| Fact::read(HEALTH, &fact.bytes));
        let theirs = match told {
            Some(Fact::Health(health)) => Ms::from(health.rtt),
            _ => 0,
        };
        ((theirs + self.doubt.usual()) * timing::ACK_HALVES / 2).min(timing::ACK_MOST)
    }

    /// How long its answer may take: longer if this one doubts itself, and if either is far from all or slow.
    pub(super) fn patience(&self, place: usize) -> Ms {
        (timing::ACK * self.doubt.scale())
            .max(self.usual(place))
            .min(timing::ACK_MOST)
    }

    /// Steps of probes and errands that are due.
    pub(super) fn overdue(&mut self) {
        let mut n = 0;
        while n < self.probes.len() {
            if self.probes[n].due > self.now {
                n += 1;
                continue;
            }
            if self.probes[n].asked.is_none() && !self.probes[n].why.is_single() {
                self.ask_for_help(n);
                n += 1;
            } else {
                let probe = self.probes.swap_remove(n);
                self.late.push_back((probe.seq, probe.sent));
                if self.late.len() > timing::LATE_MOST {
                    self.late.pop_front();
                }
                self.probe_failed(&probe);
            }
        }
        let due: Vec<Errand> = self
            .errands
            .iter()
            .filter(|errand| errand.due <= self.now)
            .cloned()
            .collect();
        self.errands.retain(|errand| errand.due > self.now);
        for errand in due {
            self.send(
                errand.origin,
                &Message::Nack {
                    seq: errand.origin_seq,
                },
            );
        }
    }

    /// Others are asked to try, of other zones each where there are several: a cut link between two is no failure.
    pub(super) fn ask_for_help(&mut self, n: usize) {
        let (seq, target) = (self.probes[n].seq, self.probes[n].target.clone());
        let target_at = self.table.place(&target.name);
        let address = target_at.map(|place| self.table.members[place].place.address);
        let usual = target_at.map_or(0, |place| self.usual(place));
        let fit =
            |member: &Member| member.state == State::Alive && member.process.name != target.name;
        let mut helpers = self.draw(timing::HELPERS * 8, fit);
        let mut zones: Vec<SmolStr> = Vec::new();
        let zone = |fleet: &Self, place: usize| fleet.table.members[place].place.site.zone.clone();
        helpers.sort_by_cached_key(|place| {
            let zone = zone(self, *place);
            let before = zones.iter().filter(|other| **other == zone).count();
            zones.push(zone);
            before
        });
        helpers.truncate(timing::HELPERS);
        let probe = &mut self.probes[n];
        probe.asked = Some(helpers.len());
        probe.due = self.now + timing::ASK * self.doubt.scale() + usual;
        let Some(address) = address else { return };
        for place in helpers {
            let to = self.table.members[place].place.address;
            self.send(to, &Message::ask(seq, target.clone(), address));
        }
    }

    pub(super) fn probe_failed(&mut self, probe: &Probe) {
        if probe.why.is_single() {
            return;
        }
        self.counts.probes_failed += 1;
        let alone = probe.asked == Some(0);
        let witnessed = probe.nacks > 0;
        if !alone {
            self.doubt.failed(witnessed);
        }
        // Without a word of anybody it may as well be this member that can't be reached. Where there is nobody else to
        // ask, it is suspected all the same, and the view says what that is worth.
        let heard = self
            .table
            .process(&probe.target)
            .and_then(|place| self.table.members[place].heard());
        let silent = heard.is_none_or(|at| at < probe.sent);
        if (witnessed || alone) && silent && !self.doubt.is_quiet(self.now) {
            self.accuse(&probe.target);
        }
    }

    pub(super) fn accuse(&mut self, target: &Process) {
        let Some(place) = self.table.process(target) else {
            return;
        };
        let own = name_tag(&self.identity.name);
        let member = &self.table.members[place];
        let (from, address) = (member.state, member.place.address);
        if !from.is_present() {
            return;
        }
        if from != State::Suspect {
            self.counts.suspicions += 1;
            self.table.judge(place, State::Suspect, self.now);
            self.note_member(
                target.name.clone(),
                address,
                Some(from),
                State::Suspect,
                false,
            );
            self.suspected(&target.name);
        }
        let by = &mut self.table.members[place].suspicion().by;
        if !by.contains(&own) && by.len() <= CONFIRM {
            by.push(own);
            self.news(&target.name);
        }
    }

    pub(super) fn suspected(&mut self, name: &SmolStr) {
        if !self.suspects.contains(name) {
            self.suspects.push(name.clone());
        }
        self.bring(Timer::Judge, timing::JUDGE);
    }

    /// Another suspects it: some look for themselves, about as many in any fleet.
    pub(super) fn second_opinion(&mut self, name: &SmolStr) {
        let chance = timing::OPINIONS / self.table.present().max(1) as f64;
        let Some(place) = self.table.place(name) else {
            return;
        };
        let target = &self.table.members[place].process;
        let probed = self.probes.iter().any(|probe| probe.target == *target);
        let (asked, beside) = (
            self.rng.gen::<f64>() < chance,
            self.rng.gen::<f64>() < chance,
        );
        if !matches!(self.own, Own::In) || self.probes.len() >= timing::PROBES {
            return;
        }
        let zone = self.table.members[place].place.site.zone.clone();
        if asked && !probed {
            self.probe(place, Why::Opinion);
        }
        if beside {
            let fit =
                |member: &Member| member.state == State::Alive && member.place.site.zone == zone;
            for place in self.draw(1, fit) {
                self.probe(place, Why::Opinion);
            }
        }
    }

    pub(super) fn acked(&mut self, from: &Sender, seq: u32) {
        if let Some(n) = self.errands.iter().position(|errand| errand.seq == seq) {
            let errand = self.errands.swap_remove(n);
            let reached = errand.target == from.process;
            let seq = errand.origin_seq;
            return self.send(
                errand.origin,
                &if reached {
                    Message::Reached { seq }
                } else {
                    Message::Nack { seq }
                },
            );
        }
        let Some(n) = self.probes.iter().position(|probe| probe.seq == seq) else {
            if let Some(n) = self.late.iter().position(|late| late.0 == seq) {
                let (_, sent) = self.late.remove(n).unwrap_or((seq, self.now));
                if self.now < sent + timing::LATE {
                    self.doubt.took(self.now - sent);
                }
            }
            return;
        };
        let probe = self.probes.swap_remove(n);
        self.doubt.took(self.now.saturating_sub(probe.sent));
        if probe.target != from.process {
            // Another process has its address: that one is a witness that it is gone from there.
            if probe.why == Why::Reach {
                return self.compare_with(from.address());
            }
            return self.accuse(&probe.target);
        }
        self.doubt.answered();
        if probe.why == Why::Reach {
            // Back, or never gone: what else each side missed is compared at once, and others may be back with it.
            self.compare_with(from.address());
            self.reach(timing::REACH, false);
        }
    }

    /// What failed for this member alone, while it was cut off, and has not been reached since it is not: the others are told, and
    /// it has its time to refute.
    pub(super) fn own_up(&mut self) {
        let back = self.standing.view() != View::CutOff
            && self.now >= self.standing.since() + timing::OWN_UP;
        if !back || self.table.privates() == 0 {
            return;
        }
        let private = |member: &&Member| member.private;
        let whom: Vec<Process> = self
            .table
            .members
            .iter()
            .filter(private)
            .map(|member| member.process.clone())
            .collect();
        for process in whom {
            if let Some(place) = self.table.process(&process) {
                self.table.judge(place, State::Alive, self.now);
                self.accuse(&process);
            }
        }
    }

    /// Suspects whose time is over have failed, once this member has asked them itself for their last word. Who is cut off takes
    /// longer, and tells nobody.
    pub(super) fn judge(&mut self) {
        let members = self.table.present() + 1;
        let cut_off = self.standing.view() == View::CutOff;
        let patience = if cut_off { CUT_OFF } else { 1 };
        for name in std::mem::take(&mut self.suspects) {
            let suspect = self
                .table
                .place(&name)
                .filter(|at| self.table.members[*at].state == State::Suspect);
            let Some(place) = suspect else { continue };
            let answer = self.patience(place);
            let &mut Suspicion {
                since,
                ref by,
                asked,
            } = self.table.members[place].suspicion();
            let over = since + timing::suspicion(members, by.len()) * patience;
            if asked.is_none() && self.now + answer >= over {
                self.table.members[place].suspicion().asked = Some(self.now);
                self.probe(place, Why::LastWord);
            }
            let heard_out = asked.is_some_and(|asked| self.now >= asked + answer);
            if self.now < over || !heard_out || self.doubt.is_quiet(self.now) {
                self.suspects.push(name);
                continue;
            }
            let address = self.table.members[place].place.address;
            self.counts.failures += 1;
            self.table.judge(place, State::Failed, self.now);
            self.table.change(place, |member| member.private = cut_off);
            self.note_member(
                name.clone(),
                address,
                Some(State::Suspect),
                State::Failed,
                cut_off,
            );
            if !cut_off {
                self.news(&name);
            }
        }
        if !self.suspects.is_empty() {
            self.set(Timer::Judge, timing::JUDGE);
        }
    }
}
