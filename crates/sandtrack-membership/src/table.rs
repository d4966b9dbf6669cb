//! What is known of each member: plain data, the rule on which record goes before which, and hashes to compare by. It owns
//! the entries and their bound, and must never send anything or look at a clock.
use crate::config::NAME_MOST;
use crate::wire::{hash, name_tag, Place, Process, Record, Site, State, Told, BUCKETS};
use crate::Ms;
use hashbrown::HashTable;
use std::sync::Arc;

/// More members than these are not taken in: whoever invents names must not fill the memory.
pub const MEMBERS_MOST: usize = 16_384;
/// Accusers beyond the first that shorten a suspicion; more are not told on.
pub const CONFIRM: usize = 3;
/// An incarnation this far past the one known is nonsense: a member would have had to refute once a second for days. Of itself a
/// member may say any.
const JUMP: u64 = 1 << 20;
/// A process is vouched for by its own datagrams for this long.
const VOUCHED: Ms = 60_000;
/// One that left is remembered for so long: longer than any datagram is late.
pub const LEFT_KEPT: Ms = 300_000;
/// What ended is told on, and taken in, for this part of the time that it is kept, or it would be taught anew for ever.
const TOLD_PART: f64 = 0.8;
/// Kinds of facts that are kept of one member.
pub const KINDS_MOST: usize = 12;

/// Why one is suspected, and since when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    pub since: Ms,
    /// Who accuses, by tags of names.
    pub by: Vec<u32>,
    /// When this member asked it for its last word.
    pub asked: Option<Ms>,
}

impl Suspicion {
    fn new(since: Ms, by: Vec<u32>) -> Self {
        Suspicion {
            since,
            by,
            asked: None,
        }
    }
}

/// A fact as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    pub kind: u16,
    pub number: u32,
    /// When it was told by its teller, as far as ages on the way tell.
    pub told: Ms,
    pub bytes: Box<[u8]>,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub process: Process,
    pub incarnation: u64,
    pub state: State,
    pub place: Place,
    pub speaks: u8,
    /// Since when it is in this state.
    pub since: Ms,
    /// When a datagram of this very process came last; `NEVER` where none did.
    heard: Ms,
    suspicion: Option<Box<Suspicion>>,
    /// It failed by this member's judgement alone, at a time when that doubted itself: nobody else is told.
    pub private: bool,
    pub facts: Vec<Fact>,
    /// Too old to be told on.
    faded: bool,
}

const NEVER: Ms = Ms::MAX;
/// Zones and regions that are kept once for all members that are there; whoever invents more pays for them.
const SITES: usize = 256;

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing that was not known, or known better.
    None,
    /// Nonsense, or no room for it.
    Refused,
    New,
    /// From this state; `other`: it is another process under the name.
    Changed {
        from: State,
        other: bool,
    },
    /// Another accuser of one that is suspected already.
    Confirmed,
}

#[derive(Debug, Default)]
pub struct Table {
    pub members: Vec<Member>,
    /// Places of members by their names.
    places: HashTable<u32>,
    sites: Vec<Arc<Site>>,
    hashes: Vec<u32>,
    counts: [usize; 5],
    /// Counts changes of who is there.
    version: u64,
    /// How many failed by this member's judgement alone.
    privates: usize,
}

/// The bucket of a name, of so many.
pub fn bucket(name: &str, buckets: usize) -> usize {
    name_tag(name) as usize % buckets.max(1)
}

/// Which process of a name goes before another one: the later life, one that is in before one that only asks to come in, and
/// by the draw at last, so that all come to the same.
pub fn rank(incarnation: u64, state: State, nonce: u32) -> (u64, bool, u32) {
    (incarnation, state != State::Joining, nonce)
}

fn name_hash(name: &str) -> u64 {
    hash(&[name.as_bytes()])
}

impl Member {
    fn new(record: &Record, site: Arc<Site>, now: Ms) -> Self {
        let place = Place {
            address: record.address(),
            site,
        };
        let mut member = Member {
            process: record.process.clone(),
            incarnation: record.incarnation,
            state: record.state,
            place,
            speaks: record.speaks,
            since: now.saturating_sub(u64::from(record.age_s) * 1000),
            heard: NEVER,
            suspicion: None,
            private: false,
            facts: Vec::new(),
            faded: false,
        };
        if record.state == State::Suspect {
            member.suspicion = Some(Box::new(Suspicion::new(now, vec![record.by])));
        }
        member
    }

    /// When a datagram of this very process came last.
    pub fn heard(&self) -> Option<Ms> {
        Some(self.heard).filter(|at| *at != NEVER)
    }

    /// A datagram of it came.
    pub fn hear(&mut self, now: Ms) {
        self.heard = now;
    }

    /// Why it is suspected; plain data that means nothing in other states.
    pub fn suspicion(&mut self) -> &mut Suspicion {
        self.suspicion.get_or_insert_with(Box::default)
    }

    /// Who accuses it, by tags of names.
    pub fn accusers(&self) -> &[u32] {
        self.suspicion
            .as_ref()
            .map_or(&[], |suspicion| &suspicion.by)
    }

    /// What others are told of its state.
    pub fn public_state(&self) -> State {
        if self.private {
            State::Alive
        } else {
            self.state
        }
    }

    pub fn record(&self, now: Ms) -> Record {
        let state = self.public_state();
        let mut record = Record::new(
            self.process.clone(),
            self.incarnation,
            state,
            &self.place,
            self.speaks,
        );
        record.by = self
            .accusers()
            .first()
            .copied()
            .filter(|_| state == State::Suspect)
            .unwrap_or(0);
        if !state.is_present() {
            record.age_s = (now.saturating_sub(self.since) / 1000).min(u64::from(u32::MAX)) as u32;
        }
        record
    }

    fn hash(&self) -> u32 {
        // Suspicions come and go: they are spread as rumours, and no reason to compare tables.
        let class = match self.public_state() {
            State::Failed => 1,
            State::Left => 2,
            _ => 0,
        };
        let (nonce, incarnation) = (
            self.process.nonce.to_le_bytes(),
            self.incarnation.to_le_bytes(),
        );
        hash(&[self.process.name.as_bytes(), &nonce, &incarnation, &[class]]) as u32
    }
}

impl Table {
    pub fn new() -> Self {
        Table {
            hashes: vec![0; BUCKETS],
            ..Table::default()
        }
    }

    pub fn place(&self, name: &str) -> Option<usize> {
        let is = |place: &u32| self.members[*place as usize].process.name == name;
        self.places
            .find(name_hash(name), is)
            .map(|place| *place as usize)
    }

    /// Where a record says that its member is, kept once for all that are there.
    fn site(&mut self, record: &Record) -> Arc<Site> {
        let is = |site: &&Arc<Site>| site.zone == record.zone && site.region == record.region;
        if let Some(site) = self.sites.iter().find(is) {
            return site.clone();
        }
        let site = Arc::new(Site {
            zone: record.zone.clone(),
            region: record.region.clone(),
        });
        if self.sites.len() < SITES {
            self.sites.push(site.clone());
        }
        site
    }

    fn insert(&mut self, member: Member) {
        let (place, hash) = (self.members.len() as u32, name_hash(&member.process.name));
        self.members.push(member);
        let members = &self.members;
        self.places.insert_unique(hash, place, |place| {
            name_hash(&members[*place as usize].process.name)
        });
    }

    fn remove(&mut self, place: usize) -> Member {
        let mut point = |name: &str, from: usize, to: Option<usize>| {
            let found = self
                .places
                .find_entry(name_hash(name), |place| *place as usize == from);
            if let Ok(mut found) = found {
                match to {
                    Some(to) => *found.get_mut() = to as u32,
                    None => drop(found.remove()),
                }
            }
        };
        let last = self.members.len() - 1;
        point(&self.members[place].process.name, place, None);
        if place != last {
            point(&self.members[last].process.name, last, Some(place));
        }
        self.members.swap_remove(place)
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.place(name).map(|place| &self.members[place])
    }

    /// The member, if it is this very process.
    pub fn process(&self, process: &Process) -> Option<usize> {
        self.place(&process.name)
            .filter(|place| self.members[*place].process.nonce == process.nonce)
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// How many are in a state.
    pub fn count(&self, state: State) -> usize {
        self.counts[state as usize]
    }

    /// How many failed by this member's judgement alone.
    pub fn privates(&self) -> usize {
        self.privates
    }

    /// How many count as there, whatever is suspected of them.
    pub fn present(&self) -> usize {
        self.count(State::Joining) + self.count(State::Alive) + self.count(State::Suspect)
    }

    /// Hashes of what is known by buckets of names, so many: a power of two.
    pub fn hashes(&self, buckets: usize) -> Vec<u32> {
        let mut folded = vec![0; buckets.clamp(1, BUCKETS)];
        let count = folded.len();
        self.hashes
            .iter()
            .enumerate()
            .for_each(|(n, hash)| folded[n % count] ^= hash);
        folded
    }

    fn toggle_hash(&mut self, place: usize) {
        let member = &self.members[place];
        if !member.faded {
            let hash = member.hash();
            self.hashes[bucket(&member.process.name, BUCKETS)] ^= hash;
        }
    }

    /// Another figure whenever somebody else is there than before.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The next one that is there in the ring of all by hashes of names, after this name.
    pub fn next_in_ring(&self, name: &str) -> Option<&Process> {
        let own = name_tag(name);
        let there = self
            .members
            .iter()
            .filter(|member| member.state.is_present());
        let next = there.min_by_key(|member| {
            let tag = name_tag(&member.process.name);
            (tag.wrapping_sub(own).wrapping_sub(1), &member.process.name)
        });
        next.map(|member| &member.process)
    }

    /// Changes a member; hashes and counts follow.
    pub fn change<T>(&mut self, place: usize, change: impl FnOnce(&mut Member) -> T) -> T {
        self.toggle_hash(place);
        let (before, private) = (self.members[place].state, self.members[place].private);
        self.counts[before as usize] -= 1;
        self.privates -= usize::from(private);
        let done = change(&mut self.members[place]);
        let after = self.members[place].state;
        self.counts[after as usize] += 1;
        self.privates += usize::from(self.members[place].private);
        self.version += u64::from(before.is_present() != after.is_present());
        self.toggle_hash(place);
        done
    }

    /// The time for which a state that ended is kept.
    fn kept(state: State, forget: Ms) -> Ms {
        match state {
            State::Left => LEFT_KEPT,
            _ => forget,
        }
    }

    fn is_told(state: State, age: Ms, forget: Ms) -> bool {
        state.is_present() || (age as f64) < Self::kept(state, forget) as f64 * TOLD_PART
    }

    /// Takes in what a record says, if it goes before what is known. A member that is known as alive does not fail by a word:
    /// it is suspected, as strongly as can be, and has its time to refute.
    /// `direct`: the member's own datagram says so.
    pub fn apply(&mut self, record: &Record, now: Ms, forget: Ms, direct: bool) -> News {
        debug_assert!(record.process.name.len() <= NAME_MOST);
        let age = u64::from(record.age_s) * 1000;
        let Some(place) = self.place(&record.process.name) else {
            let told = Self::is_told(record.state, age, forget);
            if !told || self.members.len() >= MEMBERS_MOST {
                return News::Refused;
            }
            let site = self.site(record);
            self.insert(Member::new(record, site, now));
            self.counts[record.state as usize] += 1;
            self.version += 1;
            self.toggle_hash(self.members.len() - 1);
            return News::New;
        };
        let known = &self.members[place];
        // One that this member never heard, or not for long, may be an invention: what is known of it protects nothing.
        let vouched = known
            .heard()
            .is_some_and(|at| now < at.saturating_add(VOUCHED));
        if vouched && !direct && record.incarnation > known.incarnation.saturating_add(JUMP) {
            return News::Refused;
        }
        let (from, public) = (known.state, known.public_state());
        let other = known.process.nonce != record.process.nonce;
        let newer = if other {
            let known = rank(known.incarnation, known.state, known.process.nonce);
            rank(record.incarnation, record.state, record.process.nonce) > known
        } else {
            record.incarnation > known.incarnation
        };
        if !newer && (other || record.incarnation < known.incarnation || record.state < public) {
            return News::None;
        }
        if !newer && record.state == public {
            return if public == State::Suspect {
                self.confirm(place, record.by)
            } else {
                News::None
            };
        }
        if !newer && known.private && record.state < from {
            // It failed here already, for this member alone; the others come to it in their own time.
            return News::None;
        }
        let believed = record.state != State::Failed || !from.is_present();
        let site = self.site(record);
        self.change(place, |member| {
            let suspicion = member.suspicion.take();
            let (since, heard, facts) = (
                member.since,
                member.heard,
                std::mem::take(&mut member.facts),
            );
            *member = Member::new(record, site, now);
            if !other {
                (member.heard, member.facts) = (heard, facts);
            }
            if !believed {
                member.state = State::Suspect;
                member.since = now;
                *member.suspicion() = Suspicion::new(now, vec![record.by; CONFIRM + 1]);
                if let Some(before) = suspicion.filter(|_| from == State::Suspect && !newer) {
                    // Its time runs already.
                    member.since = since;
                    let now = member.suspicion();
                    (now.since, now.asked) = (before.since, before.asked);
                }
            }
        });
        if !believed && from == State::Suspect {
            return News::Confirmed;
        }
        News::Changed { from, other }
    }

    /// One more accuses one that is suspected.
    fn confirm(&mut self, place: usize, by: u32) -> News {
        let accusers = &mut self.members[place].suspicion().by;
        if accusers.contains(&by) || accusers.len() > CONFIRM {
            return News::None;
        }
        accusers.push(by);
        News::Confirmed
    }

    /// Moves one to a state by this member's own judgement.
    pub fn judge(&mut self, place: usize, state: State, now: Ms) {
        self.change(place, |member| {
            if state == State::Suspect && member.state != State::Suspect {
                *member.suspicion() = Suspicion::new(now, Vec::new());
            } else if state != State::Suspect {
                member.suspicion = None;
            }
            member.state = state;
            member.since = now;
            member.private = false;
        });
    }

    /// Members of some buckets, a bit each, of so many; those that are too old are left out.
    pub fn of_buckets(&self, want: u64, buckets: usize) -> impl Iterator<Item = usize> + '_ {
        let wanted = move |member: &Member| want >> bucket(&member.process.name, buckets) & 1 == 1;
        (0..self.members.len()).filter(move |place| {
            let member = &self.members[*place];
            !member.faded && wanted(member)
        })
    }

    /// Lets go of what ended long ago; gives the names.
    pub fn sweep(&mut self, now: Ms, forget: Ms) -> Vec<Process> {
        for place in 0..self.members.len() {
            let member = &self.members[place];
            let age = now.saturating_sub(member.since);
            let told = Self::is_told(member.public_state(), age, forget);
            if !told && !member.faded {
                self.toggle_hash(place);
                self.members[place].faded = true;
            }
        }
        let over = |member: &Member| {
            !member.state.is_present()
                && now.saturating_sub(member.since) >= Self::kept(member.state, forget)
        };
        let mut gone = Vec::new();
        let mut place = 0;
        while place < self.members.len() {
            if !over(&self.members[place]) {
                place += 1;
                continue;
            }
            self.toggle_hash(place);
            let member = self.remove(place);
            self.counts[member.state as usize] -= 1;
            self.privates -= usize::from(member.private);
            gone.push(member.process);
        }
        gone
    }

    /// Takes in a fact of a process that is known, if it is news.
    pub fn learn(&mut self, told: &Told, now: Ms) -> bool {
        let Some(place) = self.process(&told.teller) else {
            return false;
        };
        let facts = &mut self.members[place].facts;
        let at = now.saturating_sub(u64::from(told.age) * 100);
        let fact = Fact {
            kind: told.kind,
            number: told.number,
            told: at,
            bytes: told.bytes.as_slice().into(),
        };
        let known = facts.iter().position(|known| known.kind == told.kind);
        match known {
            // Numbers may come round: what is half the range ahead is older.
            Some(n) if (told.number.wrapping_sub(facts[n].number) as i32) <= 0 => return false,
            Some(n) => facts[n] = fact,
            None if facts.len() < KINDS_MOST => facts.push(fact),
            None => return false,
        }
        true
    }
}
