//! Brings the troubles of a plan about, and writes down when each began and was over.
use super::plan::{Kind, Plan, Trouble};
use super::platform::Platform;
use super::records::{Records, Seconds, Span};
use super::upstreams::{Upstreams, PRINTER};
use super::{CONTROLS, MACHINES};
use crate::system::cluster::Cluster;
use crate::system::documents::SERVICE;
use crate::system::links::{End, Passage};
use crate::system::process::Process;
use crate::system::report::Stopped;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How often it is looked what is due.
const LOOK: Duration = Duration::from_millis(15);
/// A killed process is started again after so long at least, in s.
const RESTART: Seconds = 0.3;
/// A process that was told to stop and has not ended after its grace is killed, in s.
const GRACE: Seconds = 8.0;
/// Bytes that a full disk's files may have: less than any has.
const FULL: u64 = 512;

/// What has still to be done.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: Seconds,
    act: Act,
}

#[derive(Clone, Copy, Debug)]
enum Act {
    Begin(Trouble),
    End(Trouble),
    /// A process that was killed is started again.
    Start(Which),
    /// Whether a process that was told to stop has ended: then it is started again.
    Await(Which, Seconds),
    /// A drained upstream is gone.
    UpstreamGone(usize),
    /// Somebody has the address from now on.
    UpstreamStarts(usize, &'static str),
}

/// A process by its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Which {
    Control(usize),
    Proxy(usize),
}

pub struct Troubles<'a> {
    pub cluster: &'a mut Cluster,
    pub records: Rc<Records>,
    pub upstreams: Rc<Upstreams>,
    pub platform: Rc<Platform>,
    due: Vec<Due>,
    spans: Vec<(Trouble, usize)>,
}

impl<'a> Troubles<'a> {
    pub fn new(
        cluster: &'a mut Cluster,
        records: Rc<Records>,
        upstreams: Rc<Upstreams>,
        platform: Rc<Platform>,
    ) -> Troubles<'a> {
        Troubles {
            cluster,
            records,
            upstreams,
            platform,
            due: Vec::new(),
            spans: Vec::new(),
        }
    }

    /// Plays the whole plan, and returns when all is over and every process runs.
    ///
    /// # Errors
    /// Where a process ends by itself, or can't be started.
    pub async fn play(&mut self, plan: &Plan, began: Seconds) -> Result<(), Stopped> {
        for trouble in &plan.troubles {
            let at = began + trouble.from;
            let trouble = Trouble {
                from: at,
                until: began + trouble.until,
                ..*trouble
            };
            self.due.push(Due {
                at,
                act: Act::Begin(trouble),
            });
        }
        while !self.due.is_empty() || self.records.now() < began + plan.lasts {
            self.cluster.look()?;
            let now = self.records.now();
            let (due, later) = std::mem::take(&mut self.due)
                .into_iter()
                .partition(|due: &Due| due.at <= now);
            self.due = later;
            for Due { act, .. } in due {
                self.act(act)?;
            }
            Timer::after(LOOK).await;
        }
        Ok(())
    }

    fn later(&mut self, after: Seconds, act: Act) {
        self.due.push(Due {
            at: self.records.now() + after,
            act,
        });
    }

    fn process(&mut self, which: Which) -> &mut Process {
        match which {
            Which::Control(at) => &mut self.cluster.controls[at],
            Which::Proxy(at) => &mut self.cluster.proxies[at],
        }
    }

    fn act(&mut self, act: Act) -> Result<(), Stopped> {
        match act {
            Act::Begin(trouble) => {
                self.open_span(trouble);
                self.begin(trouble)?;
                if !matches!(
                    trouble.kind,
                    Kind::ProxyStop(_) | Kind::ControlStop(_) | Kind::MachineStop(_)
                ) {
                    self.due.push(Due {
                        at: trouble.until,
                        act: Act::End(trouble),
                    });
                }
            }
            Act::End(trouble) => {
                self.end(trouble)?;
                self.close_span(|kind| kind == trouble.kind);
            }
            Act::Start(which) => self.start(which)?,
            Act::Await(which, since) => self.await_end(which, since)?,
            Act::UpstreamGone(place) => {
                self.upstreams.crash(place);
                let occupant = if place % 4 == 3 { PRINTER } else { SERVICE };
                self.later(0.4, Act::UpstreamStarts(place, occupant));
            }
            Act::UpstreamStarts(place, service) => self.upstreams.start(place, service, true),
        }
        Ok(())
    }

    fn open_span(&mut self, trouble: Trouble) {
        let mut spans = self.records.spans.borrow_mut();
        self.spans.push((trouble, spans.len()));
        spans.push(Span {
            what: format!("{:?}", trouble.kind),
            proxies: trouble.kind.proxy().into_iter().collect(),
            core: trouble.kind.is_of_core(),
            planned: trouble.kind.is_planned(),
            from: self.records.now(),
            until: f64::INFINITY,
        });
    }

    fn close_span(&mut self, is_it: impl Fn(Kind) -> bool) {
        let now = self.records.now();
        let mut spans = self.records.spans.borrow_mut();
        self.spans.retain(|(trouble, at)| {
            let closes = is_it(trouble.kind);
            if closes {
                spans[*at].until = now;
            }
            !closes
        });
    }

    fn start(&mut self, which: Which) -> Result<(), Stopped> {
        if let Which::Proxy(at) = which {
            self.records.proxy_starts(at);
        }
        self.process(which).start()?;
        Ok(())
    }

    fn kill(&mut self, which: Which) {
        if let Which::Proxy(at) = which {
            self.records.proxy_ended(at);
        }
        self.process(which).kill();
    }

    fn stop(&mut self, which: Which) {
        self.process(which).terminate();
        let now = self.records.now();
        self.later(0.05, Act::Await(which, now));
    }

    fn await_end(&mut self, which: Which, since: Seconds) -> Result<(), Stopped> {
        if self.process(which).is_running()? {
            if self.records.now() - since > GRACE {
                self.kill(which);
            }
            self.later(0.05, Act::Await(which, since));
            return Ok(());
        }
        self.later(RESTART, Act::Start(which));
        let (at, is_control) = match which {
            Which::Control(at) => (at, true),
            Which::Proxy(at) => {
                self.records.proxy_ended(at);
                (at, false)
            }
        };
        let other_runs = match which {
            Which::Control(at) => self.cluster.proxies[at].is_leaving(),
            Which::Proxy(at) => at < CONTROLS && self.cluster.controls[at].is_leaving(),
        };
        self.close_span(|kind| match kind {
            Kind::ControlStop(machine) => is_control && machine == at,
            Kind::ProxyStop(machine) => !is_control && machine == at,
            Kind::MachineStop(machine) => machine == at && !other_runs,
            _ => false,
        });
        Ok(())
    }

    fn begin(&mut self, trouble: Trouble) -> Result<(), Stopped> {
        let length = trouble.until - trouble.from;
        match trouble.kind {
            Kind::ControlKill(at) => self.kill(Which::Control(at)),
            Kind::ControlWipe(at) => {
                self.kill(Which::Control(at));
                self.cluster.controls[at].wipe()?;
            }
            Kind::ControlFreeze(at) => self.cluster.controls[at].freeze(),
            Kind::ControlStop(at) => self.stop(Which::Control(at)),
            Kind::ControlReload(at) => self.cluster.controls[at].hang_up(),
            Kind::AllControlsKilled => (0..CONTROLS).for_each(|at| self.kill(Which::Control(at))),
            Kind::ProxyKill(at) => self.kill(Which::Proxy(at)),
            Kind::ProxyFreeze(at) => self.cluster.proxies[at].freeze(),
            Kind::ProxyStop(at) => self.stop(Which::Proxy(at)),
            Kind::ProxyReload(at) => self.cluster.proxies[at].hang_up(),
            Kind::MachineStop(at) => {
                self.stop(Which::Proxy(at));
                if at < CONTROLS {
                    self.stop(Which::Control(at));
                }
            }
            Kind::ControlCut(at) => self.cluster.links.borrow_mut().cut_off(at, 0..CONTROLS),
            Kind::ControlMute(at) => self.set_links(at, |own, other| (own, other)),
            Kind::ControlDeaf(at) => self.set_links(at, |own, other| (other, own)),
            Kind::SessionCut(at) => self.cluster.links.borrow_mut().cut_off(at, 0..CONTROLS),
            Kind::SessionReset(at) => {
                let mut links = self.cluster.links.borrow_mut();
                (0..CONTROLS).for_each(|other| links.reset(End::Machine(at), End::Machine(other)));
            }
            Kind::AnswersLost(at) => {
                self.cluster
                    .links
                    .borrow_mut()
                    .set(End::Machine(at), End::Operator, Passage::Lost);
            }
            Kind::SlowLinks(ms) => {
                let mut links = self.cluster.links.borrow_mut();
                for one in 0..MACHINES {
                    for other in 0..CONTROLS {
                        links.delay(
                            End::Machine(one),
                            End::Machine(other),
                            Duration::from_millis(ms),
                        );
                    }
                }
            }
            Kind::DiskFull(at) => self.cluster.controls[at].limit_files(Some(FULL)),
            Kind::UpstreamCrash(place) => {
                self.upstreams.crash(place);
                let service = if place % 4 == 3 { PRINTER } else { SERVICE };
                self.later(length, Act::UpstreamStarts(place, service));
            }
            Kind::UpstreamReplace(place) => {
                self.upstreams.drain(place);
                self.later(super::DRAIN_S + 2.5, Act::UpstreamGone(place));
            }
            Kind::AddressReuse(place) => {
                self.upstreams.crash(place);
                let others = if place % 4 == 3 { SERVICE } else { PRINTER };
                self.later(2.0, Act::UpstreamStarts(place, others));
            }
            Kind::UpstreamTrouble(share) => self.upstreams.make_trouble(share),
            Kind::PlatformTrouble => self.platform.make_trouble(true),
        }
        Ok(())
    }

    /// Holds up one direction between a control machine and the others.
    fn set_links(&mut self, at: usize, direction: impl Fn(End, End) -> (End, End)) {
        let mut links = self.cluster.links.borrow_mut();
        for other in (0..CONTROLS).filter(|other| *other != at) {
            let (from, to) = direction(End::Machine(at), End::Machine(other));
            links.set(from, to, Passage::Held);
        }
    }

    fn open_links(&mut self, at: usize) {
        let mut links = self.cluster.links.borrow_mut();
        for other in (0..CONTROLS).filter(|other| *other != at) {
            links.set(End::Machine(at), End::Machine(other), Passage::Open);
            links.set(End::Machine(other), End::Machine(at), Passage::Open);
        }
    }

    fn end(&mut self, trouble: Trouble) -> Result<(), Stopped> {
        match trouble.kind {
            Kind::ControlKill(at) | Kind::ControlWipe(at) => self.start(Which::Control(at))?,
            Kind::AllControlsKilled => {
                for at in 0..CONTROLS {
                    self.start(Which::Control(at))?;
                }
            }
            Kind::ProxyKill(at) => self.start(Which::Proxy(at))?,
            Kind::ControlFreeze(at) => self.cluster.controls[at].thaw(),
            Kind::ProxyFreeze(at) => self.cluster.proxies[at].thaw(),
            Kind::ControlCut(at)
            | Kind::ControlMute(at)
            | Kind::ControlDeaf(at)
            | Kind::SessionCut(at) => {
                self.open_links(at);
            }
            Kind::AnswersLost(at) => {
                self.cluster
                    .links
                    .borrow_mut()
                    .set(End::Machine(at), End::Operator, Passage::Open);
            }
            Kind::SlowLinks(_) => {
                let mut links = self.cluster.links.borrow_mut();
                for one in 0..MACHINES {
                    for other in 0..CONTROLS {
                        links.delay(End::Machine(one), End::Machine(other), Duration::ZERO);
                    }
                }
            }
            Kind::DiskFull(at) => self.cluster.controls[at].limit_files(None),
            Kind::UpstreamTrouble(_) => self.upstreams.make_trouble(0.0),
            Kind::PlatformTrouble => self.platform.make_trouble(false),
            Kind::ControlStop(_)
            | Kind::ControlReload(_)
            | Kind::ProxyStop(_)
            | Kind::ProxyReload(_)
            | Kind::MachineStop(_)
            | Kind::SessionReset(_)
            | Kind::UpstreamCrash(_)
            | Kind::UpstreamReplace(_)
            | Kind::AddressReuse(_) => {}
        }
        Ok(())
    }
}
