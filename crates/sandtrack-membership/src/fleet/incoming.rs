//! What comes from the network, and what it changes. It must never take a word for more than it is: who sent it may be wrong,
//! late or lying.
use super::*;

/// How a record came.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Word {
    /// The member's own datagram says so.
    Own,
    /// Another tells it on.
    Rumour,
    /// In an exchange, where most is news to one side.
    Exchange,
}

impl Fleet {
    /// A datagram came. `source`: where the network says that it is from, for the log alone: who sent it stands in it.
    pub fn datagram(&mut self, source: SocketAddrV4, bytes: &[u8], now: Ms) {
        self.advance(now);
        self.counts.datagrams_in += 1;
        self.counts.bytes_in += bytes.len() as u64;
        if matches!(self.own, Own::Left) {
            return;
        }
        if !self.into.take(self.now, 0.0) {
            return self.refuse(3, source);
        }
        let datagram = match wire::read(self.cluster, bytes) {
            Ok(datagram) => datagram,
            Err(refused) => {
                let why = match refused {
                    Refused::Garbage => 0,
                    Refused::Foreign => 1,
                    Refused::Later => 2,
                };
                return self.refuse(why, source);
            }
        };
        let from = datagram.from;
        if from.process == self.process {
            return;
        }
        if from.process.name == self.process.name {
            return self.namesake(&from, &datagram.message);
        }
        self.heard = self.now;
        let known = self.hear(&from);
        let exchange = matches!(
            datagram.message,
            Message::Welcome { .. } | Message::Table { .. }
        );
        let word = if exchange {
            Word::Exchange
        } else {
            Word::Rumour
        };
        let mut changed = false;
        for record in &datagram.records {
            let own = record.process == from.process;
            changed |= self.record(record, if own { Word::Own } else { word });
        }
        for told in &datagram.facts {
            self.table.learn(told, self.now);
        }
        if !known && self.table.process(&from.process).is_none() {
            self.stranger(&from);
        }
        self.message(&from, datagram.message, &datagram.records, known, changed);
        self.fire();
    }

    pub(super) fn refuse(&mut self, why: usize, source: SocketAddrV4) {
        self.counts.refused += 1;
        self.refused_last = source;
        self.refused[why] += 1;
    }

    pub(super) fn say_refused(&mut self) {
        if self.refused.iter().any(|count| *count > 0) && self.may_say(0) {
            let [garbage, foreign, later, over] = std::mem::take(&mut self.refused);
            let last = self.refused_last;
            self.notes.push(Note::Refused {
                garbage,
                foreign,
                later,
                over,
                last,
            });
        }
    }

    pub(super) fn may_say(&mut self, line: usize) -> bool {
        let may = self.said[line].is_none_or(|said| self.now >= said + timing::SAY);
        if may {
            self.said[line] = Some(self.now);
        }
        may
    }

    /// A datagram of this very process came: it lives, whatever it was held for. Gives whether it is known, and what has to be
    /// told to it: that others hold it for suspect, failed or gone.
    pub(super) fn hear(&mut self, from: &Sender) -> bool {
        let Some(place) = self.table.process(&from.process) else {
            return false;
        };
        self.table.members[place].hear(self.now);
        let member = &self.table.members[place];
        if member.private && from.incarnation >= member.incarnation {
            // It was held for failed here alone: nobody else has to hear that it is not.
            let (name, address) = (member.process.name.clone(), member.place.address);
            self.table.judge(place, State::Alive, self.now);
            self.note_member(name, address, Some(State::Failed), State::Alive, true);
        } else if from.incarnation > member.incarnation {
            // Its own record is on its way, and this says as much.
            let mut record = member.record(self.now);
            (record.incarnation, record.state, record.age_s) = (from.incarnation, State::Alive, 0);
            self.record(&record, Word::Own);
        }
        true
    }

    /// Takes in what a record says; yes if that was news.
    pub(super) fn record(&mut self, record: &Record, word: Word) -> bool {
        if record.process.name == self.identity.name {
            self.about_me(record);
            return false;
        }
        let before = self
            .table
            .get(&record.process.name)
            .map(|member| (member.place.address, member.heard()));
        let news = self
            .table
            .apply(record, self.now, self.identity.forget, word == Word::Own);
        let name = record.process.name.clone();
        let now_held = self
            .table
            .get(&name)
            .map(|member| (member.state, member.place.address));
        let Some((state, address)) = now_held else {
            return false;
        };
        let from = match news {
            News::None | News::Refused => return false,
            News::Confirmed => {
                self.news(&name);
                return true;
            }
            News::New => None,
            News::Changed { from, other } => {
                if from == State::Failed {
                    // Back from wherever it was: more may have changed there, and here.
                    self.compare_gap = timing::COMPARE;
                    self.bring(Timer::Compare, timing::COMPARE);
                }
                if let Some((first, heard)) = before.filter(|_| other && from.is_present()) {
                    let lately = heard.is_some_and(|at| self.now < at + timing::SAY);
                    if lately && first != address && self.may_say(1) {
                        self.notes.push(Note::NameDoubled {
                            name: name.clone(),
                            first,
                            second: address,
                        });
                    }
                }
                Some(from)
            }
        };
        if from != Some(state) {
            self.note_member(name.clone(), address, from, state, false);
        }
        if !(word == Word::Exchange && from.is_none()) {
            self.news(&name);
        }
        if state == State::Suspect {
            self.suspected(&name);
            self.second_opinion(&name);
        }
        true
    }

    pub(super) fn message(
        &mut self,
        from: &Sender,
        message: Message,
        records: &[Record],
        known: bool,
        changed: bool,
    ) {
        let to = from.address();
        match message {
            Message::Gossip => {}
            Message::Ping { seq, .. } => {
                let writer = self.writer(&Message::Ack { seq });
                let name = from.process.name.clone();
                self.send_with(to, writer, |fleet, writer| {
                    fleet.tell_of_itself(&name, writer);
                    fleet.add_rumours(writer);
                    fleet.add_facts(writer);
                });
            }
            Message::Ack { seq } => self.acked(from, seq),
            Message::Reached { seq } => {
                if let Some(n) = self.probes.iter().position(|probe| probe.seq == seq) {
                    let probe = self.probes.swap_remove(n);
                    self.late.push_back((probe.seq, probe.sent));
                    self.doubt.answered();
                }
            }
            Message::Nack { seq } => {
                let probe = self.probes.iter_mut().find(|probe| probe.seq == seq);
                if let Some(probe) = probe.filter(|_| known) {
                    probe.nacks += 1;
                    // All that were asked have said so: there is nothing more to wait for.
                    if probe.asked.is_some_and(|asked| probe.nacks >= asked) {
                        probe.due = self.now;
                    }
                }
            }
            Message::Ask {
                seq,
                target,
                address,
            } => {
                if known && self.errands.len() < timing::ERRANDS && matches!(self.own, Own::In) {
                    let address = SocketAddrV4::new(address.0.into(), address.1);
                    let own = self.next_seq();
                    let usual = self
                        .table
                        .process(&target)
                        .map_or(0, |place| self.usual(place));
                    let due = self.now + timing::ASKED.max(usual);
                    let errand = Errand {
                        seq: own,
                        target: target.clone(),
                        origin: to,
                        origin_seq: seq,
                        due,
                    };
                    self.errands.push(errand);
                    let ping = Message::Ping {
                        seq: own,
                        to: target.clone(),
                    };
                    let writer = self.writer(&ping);
                    self.send_with(address, writer, |fleet, writer| {
                        fleet.tell_of_itself(&target.name, writer);
                        fleet.add_rumours(writer);
                    });
                }
            }
            Message::Join => {
                // Also one that is new itself: where all of a fleet start at once, somebody has to answer first.
                if !matches!(self.own, Own::Out { .. }) {
                    let joins = |told: &Record| {
                        told.process == from.process && told.state == State::Joining
                    };
                    let newcomer = records.iter().any(joins);
                    self.welcome_one(to, &from.process.name, newcomer);
                }
            }
            Message::Welcome { pieces, piece } => self.welcomed(pieces, piece),
            Message::Compare { hashes } => self.compared(from, &hashes),
            Message::Table { want, buckets } => {
                if want != 0 {
                    self.exchange(to, want, buckets, Message::Table { want: 0, buckets });
                }
                if changed {
                    self.compare_gap = timing::COMPARE;
                    self.bring(Timer::Compare, timing::COMPARE);
                }
            }
        }
    }
}
