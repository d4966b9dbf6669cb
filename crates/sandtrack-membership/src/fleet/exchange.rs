//! How two members come to know the same: hashes are compared, and what differs is told in pieces. It must never tell more at a
//! time than its pace allows.
use super::*;

impl Fleet {
    /// Compares what is known with another, drawn at random.
    pub(super) fn compare(&mut self) {
        if !matches!(self.own, Own::In) {
            return;
        }
        for place in self.draw(1, |member| member.state == State::Alive) {
            let to = self.table.members[place].place.address;
            self.compare_with(to);
        }
        let gap = self.scattered(self.compare_gap);
        self.compare_gap = (self.compare_gap * 2).min(timing::COMPARE_MOST);
        self.set(Timer::Compare, gap);
    }

    pub(super) fn compare_with(&mut self, to: SocketAddrV4) {
        let mut hashes = self.table.hashes(self.buckets());
        self.add_own_hash(&mut hashes);
        self.send(to, &Message::Compare { hashes });
    }

    /// Hashes have to fit into a datagram beside a header.
    pub(super) fn buckets(&self) -> usize {
        if self.identity.datagram >= 600 {
            BUCKETS
        } else {
            BUCKETS / 4
        }
    }

    /// Others have this member in their tables; it is not in its own.
    pub(super) fn add_own_hash(&self, hashes: &mut [u32]) {
        if matches!(self.own, Own::In) {
            let mut own = Table::new();
            own.apply(&self.own_record(), self.now, self.identity.forget, true);
            own.hashes(hashes.len())
                .iter()
                .zip(hashes)
                .for_each(|(own, hash)| *hash ^= own);
        }
    }

    pub(super) fn compared(&mut self, from: &Sender, hashes: &[u32]) {
        let mut own = self.table.hashes(hashes.len());
        self.add_own_hash(&mut own);
        let differ = own
            .iter()
            .zip(hashes)
            .enumerate()
            .filter(|(_, (own, other))| own != other);
        let want = differ.fold(0u64, |want, (n, _)| want | 1 << n);
        if want != 0 {
            let buckets = hashes.len() as u8;
            self.exchange(
                from.address(),
                want,
                buckets,
                Message::Table { want, buckets },
            );
        }
    }

    /// Begins to tell one what is known of some buckets.
    pub(super) fn exchange(&mut self, to: SocketAddrV4, of: u64, buckets: u8, message: Message) {
        let again = |exchange: &Exchange| exchange.to == to && exchange.message == message;
        if self.exchanges.len() >= timing::EXCHANGES || self.exchanges.iter().any(again) {
            return;
        }
        let count = usize::from(buckets);
        let name = |place: usize| self.table.members[place].process.name.clone();
        let mut names: VecDeque<SmolStr> = self.table.of_buckets(of, count).map(name).collect();
        if of >> bucket(&self.identity.name, count) & 1 == 1 {
            names.push_front(self.identity.name.clone());
        }
        self.exchanges.push_back(Exchange {
            to,
            names,
            message,
            newcomer: false,
        });
        self.bring(Timer::Piece, 0);
    }

    /// A newcomer has not heard those that failed for this member alone: it is told that they are suspected, and finds out.
    fn doubted(&self, mut record: Record, newcomer: bool) -> Record {
        let private = self
            .table
            .get(&record.process.name)
            .is_some_and(|member| member.private);
        if newcomer && private {
            (record.state, record.by) = (State::Suspect, name_tag(&self.identity.name));
        }
        record
    }

    /// The next piece of the first exchange in turn.
    pub(super) fn piece(&mut self) {
        let Some(mut exchange) = self.exchanges.pop_front() else {
            return;
        };
        let writer = self.writer(&exchange.message);
        let (before, to) = (exchange.names.len(), exchange.to);
        let newcomer = exchange.newcomer;
        let sent = self.send_with(to, writer, |fleet, writer| {
            while let Some(name) = exchange.names.front() {
                let record = fleet
                    .rumour(name, 0)
                    .map(|record| fleet.doubted(record, newcomer));
                if record.is_some_and(|record| !writer.record(&record)) {
                    break;
                }
                exchange.names.pop_front();
            }
        });
        if !sent {
            // Too much was due at once: later.
            self.exchanges.push_front(exchange);
            return self.set(Timer::Piece, timing::PIECE);
        }
        if let Message::Table { want, .. } = &mut exchange.message {
            // It is asked for once; the other pieces only tell.
            *want = 0;
        }
        let done = exchange.names.is_empty() || matches!(exchange.message, Message::Welcome { .. });
        if !done && exchange.names.len() < before {
            self.exchanges.push_front(exchange);
        }
        if !self.exchanges.is_empty() {
            self.set(Timer::Piece, timing::PIECE);
        }
    }

    /// One that is not known here, or by another process of its name: there is more to tell each other. What is held of its name it
    /// must hear, to go past that.
    pub(super) fn stranger(&mut self, from: &Sender) {
        if !matches!(self.own, Own::In) || !self.strangers.take(self.now, 0.0) {
            return;
        }
        if self.table.get(&from.process.name).is_none() {
            return self.compare_with(from.address());
        }
        let writer = self.writer(&Message::Gossip);
        let name = from.process.name.clone();
        self.send_with(from.address(), writer, |fleet, writer| {
            fleet.add_record(&name, writer);
        });
    }
}
