//! What goes out, and to whom: datagrams with rumours and facts, and draws among members. It must never decide what is true of one.
use super::*;

impl Fleet {
    pub(super) fn writer(&self, message: &Message) -> Writer {
        Writer::new(
            self.cluster,
            &self.identity,
            &self.process,
            self.incarnation,
            message,
        )
    }

    /// Sends a message with what news there is to tell.
    pub(super) fn send(&mut self, to: SocketAddrV4, message: &Message) {
        let writer = self.writer(message);
        self.send_with(to, writer, Self::add_rumours);
    }

    pub(super) fn send_with(
        &mut self,
        to: SocketAddrV4,
        mut writer: Writer,
        fill: impl FnOnce(&mut Self, &mut Writer),
    ) -> bool {
        if !self.out.take(self.now, 0.0) {
            self.counts.held_back += 1;
            return false;
        }
        fill(self, &mut writer);
        let bytes = writer.finish();
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.datagrams.push((to, bytes));
        true
    }

    pub(super) fn add_rumours(&mut self, writer: &mut Writer) {
        // Where much is to be told at once each is told less often: what a member misses it hears when tables are compared.
        let many = self.rumours.len() > timing::RUMOURS_MANY;
        let most = if many {
            timing::RETELL_FEW
        } else {
            timing::retell(self.table.present())
        };
        let mut rumours = std::mem::take(&mut self.rumours);
        rumours.take(most, |name, times| match self.rumour(name, times) {
            Some(record) => writer.record(&record),
            None => true,
        });
        self.rumours = rumours;
    }

    /// What there is to say of a member. The accusers of a suspect take turns: each counts.
    pub(super) fn rumour(&self, name: &SmolStr, times: u32) -> Option<Record> {
        if *name == self.identity.name {
            return Some(self.own_record());
        }
        let member = self.table.get(name)?;
        let mut record = member.record(self.now);
        let accusers = member.accusers();
        if record.state == State::Suspect && !accusers.is_empty() {
            record.by = accusers[times as usize % accusers.len()];
        }
        Some(record)
    }

    /// Own facts always, others' by turns: so all are told on at the same cost, however many there are.
    pub(super) fn add_facts(&mut self, writer: &mut Writer) {
        let end = writer.size() + timing::FACT_BYTES;
        let age = |at: Ms| self.now.saturating_sub(at);
        for (told, at) in &self.facts {
            let aged = Told {
                age: (age(*at) / 100).min(u64::from(u16::MAX)) as u16,
                ..told.clone()
            };
            if !writer.fact(&aged) {
                return;
            }
        }
        for _ in 0..self.table.len().min(32) {
            self.cursor = (self.cursor + 1) % self.table.len();
            let member = &self.table.members[self.cursor];
            for fact in member
                .facts
                .iter()
                .filter(|fact| age(fact.told) < FACT_AGE_MOST)
            {
                let told = Told {
                    teller: member.process.clone(),
                    kind: fact.kind,
                    number: fact.number,
                    age: (age(fact.told) / 100) as u16,
                    bytes: fact.bytes.to_vec(),
                };
                if writer.size() >= end || !writer.fact(&told) {
                    return;
                }
            }
        }
    }

    pub(super) fn add_record(&self, name: &SmolStr, writer: &mut Writer) {
        if let Some(member) = self.table.get(name) {
            writer.record(&member.record(self.now));
        }
    }

    /// One that is suspected, failed or superseded is told so first: it must be able to answer.
    pub(super) fn tell_of_itself(&self, name: &SmolStr, writer: &mut Writer) {
        let member = self.table.get(name);
        if member.is_some_and(|member| member.public_state() >= State::Suspect) {
            self.add_record(name, writer);
        }
    }

    /// Draws members at random, different ones, so many at most.
    pub(super) fn draw(&mut self, count: usize, fit: impl Fn(&Member) -> bool) -> Vec<usize> {
        let all = self.table.len();
        let mut drawn: Vec<usize> = Vec::new();
        if all == 0 {
            return drawn;
        }
        for _ in 0..count * 4 {
            let place = self.rng.gen_range(0..all);
            if drawn.len() < count && !drawn.contains(&place) && fit(&self.table.members[place]) {
                drawn.push(place);
            }
        }
        // Where few fit, all are looked at, from a random one on.
        let from = self.rng.gen_range(0..all);
        for n in 0..all {
            if drawn.len() >= count {
                break;
            }
            let place = (from + n) % all;
            if !drawn.contains(&place) && fit(&self.table.members[place]) {
                drawn.push(place);
            }
        }
        drawn
    }

    pub(super) fn gossip(&mut self) {
        if self.rumours.is_empty() || !matches!(self.own, Own::In) {
            return;
        }
        self.set(Timer::Gossip, timing::GOSSIP);
        for place in self.draw(timing::FANOUT, |member| member.state.is_present()) {
            let to = self.table.members[place].place.address;
            let writer = self.writer(&Message::Gossip);
            self.send_with(to, writer, Self::add_rumours);
        }
    }

    pub(super) fn news(&mut self, name: &SmolStr) {
        if !matches!(self.own, Own::Out { .. } | Own::Left) {
            self.rumours.push(name);
            let soon = self.rng.gen_range(0..timing::GOSSIP);
            self.bring(Timer::Gossip, soon);
        }
    }

    pub(super) fn next_seq(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }
}
