//! Discovery: one worker, calls in turn, late news. It owns the list as it knows it, the queue of calls and the watches, and
//! must never answer a call out of its turn or hold one longer than its time.
use crate::server::Micros;
use sandtrack_balancer::interface::Readiness;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub server: usize,
    pub standing: Readiness,
    pub since: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub instance: usize,
    pub call: u64,
    /// The version the caller has; `None`: it wants the whole list.
    pub after: Option<u64>,
    pub came: Micros,
    /// News for a watch that stands, not a call.
    pub news: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    pub ticket: Ticket,
    pub generation: u64,
    pub whole: bool,
    pub changes: Vec<Change>,
}

#[derive(Debug, Default)]
pub struct Discovery {
    pub down: bool,
    call_cost: f64,
    line_cost: f64,
    timeout: Micros,
    now_listed: BTreeMap<usize, Change>,
    /// What changed at each version, from 1 on.
    log: Vec<Change>,
    queue: VecDeque<Ticket>,
    busy: Option<Ticket>,
    /// Watches that stand: by instance, its call and the version it was told.
    watches: BTreeMap<usize, (u64, u64)>,
    pub calls: u64,
    pub failed: u64,
}

impl Discovery {
    pub fn new(call_cost: f64, line_cost: f64, timeout: Micros, listed: Vec<Change>) -> Self {
        let now_listed = listed
            .into_iter()
            .map(|change| (change.server, change))
            .collect();
        Discovery {
            call_cost,
            line_cost,
            timeout,
            now_listed,
            ..Discovery::default()
        }
    }

    pub fn generation(&self) -> u64 {
        self.log.len() as u64
    }

    /// The list as it stands, for an instance that starts with it.
    pub fn listed(&self) -> Vec<Change> {
        self.now_listed.values().copied().collect()
    }

    /// Takes a call; no when it is refused at once.
    pub fn call(&mut self, ticket: Ticket) -> bool {
        self.calls += 1;
        self.hang_up(ticket.instance);
        if self.down {
            self.failed += 1;
            return false;
        }
        self.queue.push_back(ticket);
        true
    }

    /// The instance's call and watch are over: it hung up, or was killed while its call was queued.
    pub fn hang_up(&mut self, instance: usize) {
        self.queue.retain(|ticket| ticket.instance != instance);
        self.watches.remove(&instance);
    }

    /// Calls that have waited too long.
    pub fn overdue(&mut self, now: Micros) -> Vec<Ticket> {
        let late = |ticket: &Ticket| !ticket.news && now >= ticket.came + self.timeout;
        let overdue: Vec<Ticket> = self.queue.iter().copied().filter(late).collect();
        self.queue.retain(|ticket| !late(ticket));
        self.failed += overdue.len() as u64;
        overdue
    }

    fn lines(&self, ticket: &Ticket) -> usize {
        match ticket.after {
            Some(after) => self.changed(after).len(),
            None => self.now_listed.len(),
        }
    }

    /// Entries that changed after a version, each once, as it stands.
    fn changed(&self, after: u64) -> Vec<Change> {
        let later = self.log.iter().skip(after as usize);
        let last: BTreeMap<usize, Change> = later.map(|change| (change.server, *change)).collect();
        last.into_values().collect()
    }

    /// Begins the next piece of work if it is free; the milliseconds it takes.
    pub fn begin(&mut self) -> Option<f64> {
        if self.busy.is_some() || self.down {
            return None;
        }
        let ticket = self.queue.pop_front()?;
        let lines = self.lines(&ticket) as f64;
        self.busy = Some(ticket);
        Some(lines * self.line_cost + if ticket.news { 0.0 } else { self.call_cost })
    }

    /// The piece is done: what is told. `None` when its caller hung up meanwhile or discovery went down.
    pub fn finish(&mut self) -> Option<Told> {
        let ticket = self.busy.take()?;
        if self.down {
            return None;
        }
        let generation = self.generation();
        let (whole, changes) = match ticket.after {
            Some(after) => (false, self.changed(after)),
            None => (true, self.listed()),
        };
        self.watches
            .insert(ticket.instance, (ticket.call, generation));
        Some(Told {
            ticket,
            generation,
            whole,
            changes,
        })
    }

    /// It learns of changes; each watch that stands gets them in turn.
    pub fn learn(&mut self, now: Micros, changes: &[Change]) {
        for change in changes {
            if change.standing == Readiness::Removed {
                self.now_listed.remove(&change.server);
            } else {
                self.now_listed.insert(change.server, *change);
            }
            self.log.push(*change);
        }
        for (&instance, &(call, told)) in &self.watches {
            let queued = |ticket: &Ticket| ticket.instance == instance && ticket.news;
            if !self.queue.iter().any(queued) {
                let ticket = Ticket {
                    instance,
                    call,
                    after: Some(told),
                    came: now,
                    news: true,
                };
                self.queue.push_back(ticket);
            }
        }
    }

    /// Down: every call and watch ends; gives whom to tell.
    pub fn go_down(&mut self) -> Vec<(usize, u64)> {
        self.down = true;
        self.failed += self.queue.iter().filter(|ticket| !ticket.news).count() as u64;
        let calls = self
            .queue
            .drain(..)
            .filter(|ticket| !ticket.news)
            .map(|t| (t.instance, t.call));
        let busy = self
            .busy
            .take()
            .map(|ticket| (ticket.instance, ticket.call));
        let mut ended: Vec<(usize, u64)> = calls.chain(busy).collect();
        ended.extend(
            std::mem::take(&mut self.watches)
                .into_iter()
                .map(|(instance, (call, _))| (instance, call)),
        );
        ended.sort_unstable();
        ended.dedup();
        ended
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(server: usize, standing: Readiness) -> Change {
        Change {
            server,
            standing,
            since: None,
        }
    }

    fn ticket(instance: usize, call: u64, after: Option<u64>, came: Micros) -> Ticket {
        Ticket {
            instance,
            call,
            after,
            came,
            news: false,
        }
    }

    #[test]
    fn calls_are_answered_in_turn_and_late_ones_fail() {
        let listed = vec![change(0, Readiness::Ready), change(1, Readiness::Ready)];
        let mut discovery = Discovery::new(5.0, 1.0, 1000, listed);
        assert!(discovery.call(ticket(0, 1, None, 0)) && discovery.call(ticket(1, 2, Some(0), 0)));
        assert!(discovery.call(ticket(2, 3, None, 500)));
        assert_eq!(discovery.begin(), Some(7.0));
        assert_eq!(discovery.begin(), None, "one at a time");
        assert_eq!(discovery.overdue(1000), [ticket(1, 2, Some(0), 0)]);
        let told = discovery.finish().expect("an answer");
        assert!(told.whole && told.changes.len() == 2 && told.ticket.instance == 0);
    }

    #[test]
    fn a_watch_is_told_what_changed_since_and_no_more() {
        let mut discovery = Discovery::new(5.0, 1.0, 1000, vec![change(0, Readiness::Ready)]);
        discovery.call(ticket(0, 1, Some(0), 0));
        discovery.begin();
        assert_eq!(discovery.finish().expect("an answer").changes, []);
        discovery.learn(
            1,
            &[change(0, Readiness::Draining), change(1, Readiness::Ready)],
        );
        discovery.learn(2, &[change(0, Readiness::Removed)]);
        assert_eq!(discovery.begin(), Some(2.0));
        let told = discovery.finish().expect("news");
        assert_eq!(
            told.changes,
            [change(0, Readiness::Removed), change(1, Readiness::Ready)]
        );
        assert_eq!(discovery.begin(), None);
    }

    /// An instance that restarts while its call is queued must not get the answer to its former life's call.
    #[test]
    fn a_call_is_dropped_with_its_caller_and_all_end_when_it_goes_down() {
        let mut discovery = Discovery::new(5.0, 1.0, 1000, Vec::new());
        discovery.call(ticket(0, 1, None, 0));
        discovery.hang_up(0);
        assert_eq!(discovery.begin(), None);
        discovery.call(ticket(0, 2, None, 0));
        discovery.begin();
        discovery.finish();
        discovery.call(ticket(1, 3, None, 0));
        assert_eq!(discovery.go_down(), [(0, 2), (1, 3)]);
        assert!(!discovery.call(ticket(0, 4, None, 0)));
    }
}
