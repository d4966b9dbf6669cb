//! How a member comes in, and whose its name is: seeds, first answers, former lives and rivals. It must never take a name from
//! a process that lives.
use super::*;

impl Fleet {
    /// Addresses of seeds, but for its own.
    pub(super) fn seeds(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.identity
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.identity.advertise)
    }

    pub(super) fn join(&mut self) {
        let joining = matches!(self.own, Own::Joining { .. });
        let mut seeds: Vec<SocketAddrV4> = self.seeds().collect();
        let cut_off = self.standing.view() == View::CutOff;
        if !joining && !cut_off {
            // Where a seed is nobody's address, there may be members there that this part of the fleet never met.
            let known = |seed: &SocketAddrV4| {
                let at =
                    |member: &Member| member.state.is_present() && member.place.address == *seed;
                self.table.members.iter().any(at)
            };
            seeds.retain(|seed| !known(seed));
        }
        if joining && self.rival.is_some() {
            return self.set(Timer::Join, timing::JOIN);
        }
        if joining && !self.welcome.is_empty() {
            // An answer has begun to come; what is lost of it the next exchange will tell.
            return self.joined();
        }
        let count = if joining || cut_off { timing::SEEDS } else { 1 };
        for n in 0..count.min(seeds.len()) {
            let other = self.rng.gen_range(n..seeds.len());
            seeds.swap(n, other);
            self.ask_seed(seeds[n]);
        }
        // Who is cut off asks them all, whatever it believes of their addresses.
        let gap = match (joining, cut_off) {
            (true, _) => self.join_gap,
            (false, true) => timing::JOIN_MOST,
            (false, false) => timing::SEED_AGAIN,
        };
        self.join_gap = (self.join_gap * 2).min(timing::JOIN_MOST);
        let gap = self.scattered(gap);
        self.set(Timer::Join, gap);
    }

    pub(super) fn ask_seed(&mut self, to: SocketAddrV4) {
        let writer = self.writer(&Message::Join);
        self.send_with(to, writer, |fleet, writer| {
            writer.record(&fleet.own_record());
        });
    }

    /// It knows who is there, and says that it is.
    pub(super) fn joined(&mut self) {
        self.own = Own::In;
        self.own_since = self.now;
        self.welcome.clear();
        let name = self.identity.name.clone();
        self.news(&name);
        self.notes.push(Note::Joined {
            members: self.table.present() + 1,
        });
        self.bring(Timer::Compare, timing::COMPARE / 2);
        let again = self.scattered(timing::SEED_AGAIN);
        self.set(Timer::Join, again);
        self.look();
    }

    /// Who asks is told of some, drawn at random where there are many: it will hear of the others from those.
    pub(super) fn welcome_one(&mut self, to: SocketAddrV4, name: &SmolStr, newcomer: bool) {
        let again = |exchange: &Exchange| {
            exchange.to == to && matches!(exchange.message, Message::Welcome { .. })
        };
        if self.exchanges.len() >= timing::EXCHANGES || self.exchanges.iter().any(again) {
            return;
        }
        // What is known of its own name first: it may have lived before.
        let mut records: Vec<Record> = self
            .table
            .get(name)
            .map(|member| member.record(self.now))
            .into_iter()
            .collect();
        records.push(self.own_record());
        let most = timing::WELCOME_PIECES * self.identity.datagram / 30;
        for place in self.draw(most.min(self.table.len()), |member| {
            member.process.name != *name
        }) {
            records.push(self.table.members[place].record(self.now));
        }
        // The pieces are counted before the first goes out.
        let mut pieces: Vec<VecDeque<SmolStr>> = vec![VecDeque::new()];
        let mut writer = self.writer(&Message::Welcome {
            pieces: 0,
            piece: 0,
        });
        for record in records {
            if !writer.record(&record) {
                if pieces.len() == timing::WELCOME_PIECES {
                    break;
                }
                pieces.push(VecDeque::new());
                writer = self.writer(&Message::Welcome {
                    pieces: 0,
                    piece: 0,
                });
                writer.record(&record);
            }
            if let Some(piece) = pieces.last_mut() {
                piece.push_back(record.process.name);
            }
        }
        let count = pieces.len() as u16;
        for (piece, names) in (0..).zip(pieces) {
            let message = Message::Welcome {
                pieces: count,
                piece,
            };
            self.exchanges.push_back(Exchange {
                to,
                names,
                message,
                newcomer,
            });
        }
        self.bring(Timer::Piece, 0);
    }

    pub(super) fn welcomed(&mut self, pieces: u16, piece: u16) {
        if !matches!(self.own, Own::Joining { .. })
            || pieces == 0
            || usize::from(pieces) > timing::WELCOME_PIECES
        {
            return;
        }
        self.welcome.resize(usize::from(pieces), false);
        if let Some(came) = self.welcome.get_mut(usize::from(piece)) {
            *came = true;
        }
        if self.rival.is_some() {
            return;
        }
        if self.welcome.iter().all(|came| *came) {
            self.joined();
        } else {
            self.bring(Timer::Join, timing::WELCOME);
        }
    }

    /// Others say something of this member's name.
    pub(super) fn about_me(&mut self, record: &Record) {
        if matches!(self.own, Own::Left) {
            return;
        }
        if record.process.nonce == self.process.nonce {
            let held = record.state;
            let over = held >= State::Suspect && record.incarnation >= self.incarnation;
            if over && record.incarnation < INCARNATION_MOST {
                self.incarnation = record.incarnation + 1;
                self.counts.refutations += 1;
                self.doubt.refuted();
                self.notes.push(Note::Refuted {
                    held,
                    incarnation: self.incarnation,
                });
                let name = self.identity.name.clone();
                self.news(&name);
            } else {
                self.incarnation = self.incarnation.max(record.incarnation);
            }
            return;
        }
        let theirs = rank(record.incarnation, record.state, record.process.nonce);
        let mine = rank(self.incarnation, self.own_state(), self.process.nonce);
        let live = record.state.is_present() && record.address() != self.identity.advertise;
        let newcomer = matches!(self.own, Own::Joining { .. }) && record.state >= State::Alive;
        if !(theirs > mine || newcomer && live) {
            return;
        }
        let rival = Rival {
            process: record.process.clone(),
            address: record.address(),
            incarnation: record.incarnation,
            pings: 0,
            seqs: VecDeque::new(),
        };
        if matches!(self.own, Own::Out { .. }) || self.rival.is_some() {
            return;
        }
        // Nobody else can have this address; anywhere else another process may go by this name, which is asked.
        if record.address() == self.identity.advertise || record.state == State::Left {
            self.succeed(&rival);
        } else {
            self.rival = Some(rival);
            self.bring(Timer::Claim, 0);
        }
    }

    /// The name's former process is gone: this one goes before it.
    pub(super) fn succeed(&mut self, former: &Rival) {
        self.incarnation = self
            .incarnation
            .max(former.incarnation + 1)
            .min(INCARNATION_MOST);
        let name = self.identity.name.clone();
        self.news(&name);
        if matches!(self.own, Own::In) {
            // Some may know that other one's address alone by now: they are told at once.
            self.bring(Timer::Join, 0);
        } else if !self.welcome.is_empty() {
            self.bring(Timer::Join, timing::WELCOME);
        }
    }

    /// Asks whether another process of this name lives.
    pub(super) fn claim(&mut self) {
        let seq = self.next_seq();
        if let Own::Out { rival, silent } = &mut self.own {
            if *silent >= timing::CLAIMS {
                let former = rival.clone();
                self.own = Own::Joining { since: self.now };
                self.notes.push(Note::NameFree);
                self.join_gap = timing::JOIN;
                self.set(Timer::Join, 0);
                return self.succeed(&former);
            }
            *silent += 1;
            rival.pinged(seq);
            let (process, address) = (rival.process.clone(), rival.address);
            self.ping_rival(seq, process, address);
            return self.set(Timer::Claim, timing::CLAIM_AGAIN);
        }
        let Some(rival) = &mut self.rival else { return };
        if rival.pings >= timing::CLAIMS {
            if let Some(former) = self.rival.take() {
                self.succeed(&former);
            }
            return;
        }
        rival.pings += 1;
        rival.pinged(seq);
        let (process, address) = (rival.process.clone(), rival.address);
        self.ping_rival(seq, process, address);
        self.set(Timer::Claim, timing::CLAIM * self.doubt.scale());
    }

    fn ping_rival(&mut self, seq: u32, to: Process, address: SocketAddrV4) {
        let writer = self.writer(&Message::Ping { seq, to });
        self.send_with(address, writer, |_, _| ());
    }

    /// A datagram of another process that goes by this member's name.
    pub(super) fn namesake(&mut self, from: &Sender, message: &Message) {
        let answers = |rival: &Rival| {
            rival.process == from.process
                && matches!(message, Message::Ack { seq } if rival.seqs.contains(seq))
        };
        if self.rival.as_ref().is_some_and(answers) {
            return self.stand_down();
        }
        if let Own::Out { rival, silent } = &mut self.own {
            if answers(rival) {
                *silent = 0;
                rival.incarnation = rival.incarnation.max(from.incarnation);
            }
        }
        if self.may_say(2) {
            self.notes.push(Note::NameShared {
                address: from.address(),
            });
        }
        if let Message::Ping { seq, .. } = message {
            let writer = self.writer(&Message::Ack { seq: *seq });
            self.send_with(from.address(), writer, |_, _| ());
        }
    }

    /// Another process of this name lives: this one stays out of the fleet until that is gone.
    fn stand_down(&mut self) {
        let Some(rival) = self.rival.take() else {
            return;
        };
        self.notes.push(Note::NameTaken {
            address: rival.address,
        });
        self.own = Own::Out { rival, silent: 0 };
        self.own_since = self.now;
        self.rumours.clear();
        self.probes.clear();
        self.exchanges.clear();
        self.due[Timer::Join as usize] = None;
        self.set(Timer::Claim, timing::CLAIM_AGAIN);
        self.look();
    }
}
