//! What each process says of the others, asked again and again at its second address. It owns what was seen and when, and must
//! never conclude from silence: who does not answer was not seen.
use crate::http::call;
use crate::process::Processes;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Deserialize)]
pub struct Told {
    pub view: String,
    pub reason: String,
    pub siblings: u32,
    pub members: Vec<Member>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub name: String,
    pub state: String,
    pub incarnation: u64,
}

/// What one process said last.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When it was asked.
    pub at: Instant,
    pub view: String,
    pub reason: String,
    pub siblings: u32,
    pub states: BTreeMap<String, String>,
    pub figures: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Change {
    pub at: f64,
    pub by: String,
    pub of: String,
    pub from: String,
    pub to: String,
}

pub struct Watch {
    start: Instant,
    pub seen: Vec<Option<Seen>>,
    /// Each change of what one holds of another, as far as it was seen; and of views, under the member's own name.
    pub changes: Vec<Change>,
}

pub type Shared = Rc<RefCell<Watch>>;

/// A process that does not answer within this is not seen this time.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Figures are asked for with every so many looks.
const FIGURES: u32 = 8;
/// More lines would be read by nobody.
const CHANGES_MOST: usize = 200_000;

impl Watch {
    pub fn new(processes: usize) -> Shared {
        Rc::new(RefCell::new(Watch {
            start: Instant::now(),
            seen: vec![None; processes],
            changes: Vec::new(),
        }))
    }

    fn note(&mut self, number: usize, name: &str, seen: Seen) {
        let at = self.start.elapsed().as_secs_f64();
        let before = self.seen[number].as_ref();
        let mut changes = Vec::new();
        let mut change = |of: &str, from: &str, to: &str| {
            if from != to {
                let (by, of) = (name.to_owned(), of.to_owned());
                changes.push(Change {
                    at,
                    by,
                    of,
                    from: from.to_owned(),
                    to: to.to_owned(),
                });
            }
        };
        let unknown = "unknown".to_owned();
        for (of, state) in &seen.states {
            let known = before
                .and_then(|before| before.states.get(of))
                .unwrap_or(&unknown);
            change(of, known, state);
        }
        change(
            name,
            before.map_or("unknown", |before| &before.view),
            &seen.view,
        );
        if self.changes.len() < CHANGES_MOST {
            self.changes.extend(changes);
        }
        self.seen[number] = Some(seen);
    }

    /// Forgets what a process said: it does not run any more.
    fn gone(&mut self, number: usize) {
        self.seen[number] = None;
    }
}

async fn ask(admin: SocketAddrV4, figures: bool) -> Option<(Told, BTreeMap<String, u64>)> {
    let (status, body) = call(admin, "GET", "/-/members", PATIENCE).await?;
    if status != 200 {
        return None;
    }
    let told = serde_json::from_slice(&body).ok()?;
    let mut read = BTreeMap::new();
    if figures {
        let (_, body) = call(admin, "GET", "/-/metrics", PATIENCE).await?;
        let text = String::from_utf8_lossy(&body).into_owned();
        for (name, value) in text.lines().filter_map(|line| line.split_once('=')) {
            if let Ok(value) = value.parse() {
                read.insert(name.trim_start_matches("node.").to_owned(), value);
            }
        }
    }
    Some((told, read))
}

/// Looks at one process for as long as the run lasts.
pub async fn look(
    watch: Shared,
    processes: Rc<RefCell<Processes>>,
    number: usize,
    admin: SocketAddrV4,
    every: Duration,
) {
    let name = processes.borrow().all[number].name.clone();
    let mut looks = 0;
    loop {
        let at = Instant::now();
        if !processes.borrow().runs(number) {
            watch.borrow_mut().gone(number);
        } else if let Some((told, figures)) = ask(admin, looks % FIGURES == 0).await {
            // Started anew meanwhile, or ended: what was asked of the former one says nothing.
            let same = processes.borrow().all[number]
                .started
                .is_some_and(|started| started <= at);
            if same && processes.borrow().runs(number) {
                let states = told
                    .members
                    .into_iter()
                    .filter(|member| member.name != name);
                let states = states.map(|member| (member.name, member.state)).collect();
                let before = watch.borrow().seen[number]
                    .as_ref()
                    .map(|seen| seen.figures.clone());
                let figures = if figures.is_empty() {
                    before.unwrap_or_default()
                } else {
                    figures
                };
                let (view, reason, siblings) = (told.view, told.reason, told.siblings);
                let seen = Seen {
                    at,
                    view,
                    reason,
                    siblings,
                    states,
                    figures,
                };
                watch.borrow_mut().note(number, &name, seen);
            }
            looks += 1;
        }
        async_io::Timer::after(every).await;
    }
}
