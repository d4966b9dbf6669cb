//! An upstream: cores, a bounded queue, warmth, connections. It owns its work and its counters, and must never know who
//! decides, nor tell anybody more than an upstream would: the world asks, and it answers.
use std::collections::VecDeque;

pub type Micros = u64;

pub fn millis(at: Micros) -> f64 {
    at as f64 / 1000.0
}

pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Its process is gone: connects are refused.
    Dead,
    /// It takes all and answers nothing.
    Silent,
    /// Finishes what it has and turns the rest away.
    Draining,
}

#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub token: u64,
    pub instance: usize,
    pub request: u64,
    /// Work of one core that is warm and of speed 1.
    pub work: f64,
    pub came: Micros,
}

/// Turned away: its queue is full, or it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

#[derive(Debug)]
pub struct Server {
    pub zone: usize,
    pub cores: usize,
    pub queue: usize,
    pub speed: f64,
    pub slow: f64,
    pub cold_share: f64,
    pub cold: Micros,
    /// Its last start; `None`: long past.
    pub since: Option<Micros>,
    pub state: State,
    /// Went down under work it could not do while cold.
    pub fallen: bool,
    /// Counts starts: what belongs to an earlier one is void.
    pub epoch: u32,
    pub running: Vec<Job>,
    pub waiting: VecDeque<Job>,
    pub connections: u32,
    /// For Little's law: requests held, integrated; and sojourns of those that left.
    held_at: Micros,
    pub held_time: f64,
    pub sojourns: f64,
    pub left: u64,
    pub arrived: u64,
    /// Milliseconds of work spent on probes and handshakes, and of cores that were busy.
    pub probe_work: f64,
    pub handshake_work: f64,
    pub busy: f64,
    pub probes: u64,
    pub most_connections: u32,
}

impl Server {
    pub fn new(
        zone: usize,
        cores: usize,
        queue: usize,
        speed: f64,
        cold_share: f64,
        cold: Micros,
    ) -> Self {
        Server {
            zone,
            cores,
            queue,
            speed,
            slow: 1.0,
            cold_share,
            cold,
            since: None,
            state: State::Up,
            fallen: false,
            epoch: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            connections: 0,
            held_at: 0,
            held_time: 0.0,
            sojourns: 0.0,
            left: 0,
            arrived: 0,
            probe_work: 0.0,
            handshake_work: 0.0,
            busy: 0.0,
            probes: 0,
            most_connections: 0,
        }
    }

    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(since) = self.since.filter(|_| self.cold > 0) else {
            return 1.0;
        };
        let climb = (now.saturating_sub(since) as f64 / self.cold as f64).min(1.0);
        self.cold_share + (1.0 - self.cold_share) * climb
    }

    /// Cores' worth of work that it does at this moment.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.cores as f64 * self.speed * self.warmth(now)
    }

    /// Brings the integrals up to now; to be called before any change of what is held.
    pub fn settle(&mut self, now: Micros) {
        let passed = millis(now.saturating_sub(self.held_at));
        self.held_time += passed * self.held() as f64;
        self.busy += passed * self.running.len() as f64;
        self.held_at = now;
    }

    /// The warm-up is over: figures begin here.
    pub fn begin(&mut self, now: Micros) {
        self.settle(now);
        (
            self.held_time,
            self.busy,
            self.sojourns,
            self.left,
            self.arrived,
        ) = (0.0, 0.0, 0.0, 0, 0);
        (self.probe_work, self.handshake_work, self.probes) = (0.0, 0.0, 0);
    }

    /// Takes the job, or turns it away; the time after which it is done, if it begins at once.
    pub fn offer(&mut self, now: Micros, job: Job) -> Result<Option<(Job, Micros)>, Full> {
        self.settle(now);
        if self.state == State::Draining
            || self.waiting.len() >= self.queue && self.running.len() >= self.cores
        {
            return Err(Full);
        }
        self.arrived += 1;
        self.waiting.push_back(job);
        Ok(self.next(now))
    }

    /// Begins the next job, if a core is free; a silent one begins and never ends.
    pub fn next(&mut self, now: Micros) -> Option<(Job, Micros)> {
        if self.running.len() >= self.cores {
            return None;
        }
        let job = self.waiting.pop_front()?;
        self.running.push(job);
        let speed = self.speed * self.slow * self.warmth(now);
        Some((job, micros(job.work / speed).max(1)))
    }

    /// The job has been done; no when it was called off or lost before.
    pub fn done(&mut self, now: Micros, token: u64) -> Option<Job> {
        self.settle(now);
        let place = self.running.iter().position(|job| job.token == token)?;
        Some(self.leave(now, place))
    }

    fn leave(&mut self, now: Micros, place: usize) -> Job {
        let job = self.running.swap_remove(place);
        self.sojourns += millis(now - job.came);
        self.left += 1;
        job
    }

    /// Called off: it stops at once, or, where calling off frees nothing, goes on for nobody.
    pub fn call_off(&mut self, now: Micros, token: u64, frees: bool) -> bool {
        self.settle(now);
        if !frees {
            return false;
        }
        if let Some(place) = self.running.iter().position(|job| job.token == token) {
            self.leave(now, place);
            return true;
        }
        if let Some(place) = self.waiting.iter().position(|job| job.token == token) {
            self.sojourns += self
                .waiting
                .remove(place)
                .map_or(0.0, |job| millis(now - job.came));
            self.left += 1;
        }
        false
    }

    /// Dies with all it holds.
    pub fn die(&mut self, now: Micros) -> Vec<Job> {
        self.settle(now);
        self.epoch += 1;
        (self.state, self.connections) = (State::Dead, 0);
        let lost: Vec<Job> = self
            .running
            .drain(..)
            .chain(self.waiting.drain(..))
            .collect();
        self.sojourns += lost.iter().map(|job| millis(now - job.came)).sum::<f64>();
        self.left += lost.len() as u64;
        lost
    }

    /// Starts anew, cold.
    pub fn start(&mut self, now: Micros) {
        self.settle(now);
        (self.state, self.since) = (State::Up, Some(now));
    }
}
