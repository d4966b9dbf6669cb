//! Open-loop clients: one generator for each process, which asks whether or not it is answered. It owns its connections, and
//! must never wait for one answer before the next request is due.
use crate::book::{Asked, Book, End};
use crate::http::{within, Wire};
use crate::process::Processes;
use crate::scenario::{Class, Effect};
use crate::tasks::Spawner;
use async_io::Timer;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;
use sandtrack_sidecar_core::message::{self, Message};
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// After its time a client waits this much longer before it is sure that no answer comes: the rig's machine may be slow.
const SURE: Duration = Duration::from_secs(3);
/// Connections kept for the next request.
const POOL: usize = 8;
/// An unsafe request goes on no connection that has rested for longer: the process closes one that rests for 3 s
/// (`REST_PATIENCE` of its reducer), and a request that crosses the close can't be sent again.
const RESTED: Duration = Duration::from_millis(1500);

/// Connections on which the process answered, kept for the next request; that which was used last is used next.
#[derive(Default)]
pub struct Pool {
    kept: Vec<Kept>,
}

struct Kept {
    wire: Wire,
    /// When its last answer had come.
    since: Instant,
}

impl Pool {
    /// Keeps a connection whose last answer had come by then.
    pub fn keep(&mut self, wire: Wire, since: Instant) {
        if self.kept.len() < POOL {
            self.kept.push(Kept { wire, since });
        }
    }

    /// A connection for such a request: one that the process has not closed, as far as can be known.
    fn take(&mut self, effect: Effect) -> Option<Wire> {
        self.kept.retain(|kept| !kept.wire.is_over());
        let is_fit = |kept: &mut Kept| effect != Effect::Unsafe || kept.since.elapsed() < RESTED;
        self.kept.pop_if(is_fit).map(|kept| kept.wire)
    }

    fn clear(&mut self) {
        self.kept.clear();
    }
}

pub struct Client {
    pub process: usize,
    pub address: SocketAddrV4,
    pub classes: Vec<Class>,
    pub rps: f64,
    pub seed: u64,
}

/// Asks for as long as the run lasts, while its process runs.
pub async fn ask(
    client: Client,
    book: Rc<RefCell<Book>>,
    processes: Rc<RefCell<Processes>>,
    executor: Spawner<'_>,
) {
    let mut rng = Pcg64::seed_from_u64(client.seed);
    let client = Rc::new(client);
    let pool: Rc<RefCell<Pool>> = Rc::default();
    let mut next = Instant::now();
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        next += Duration::from_secs_f64(gap / client.rps.max(1e-6));
        Timer::at(next).await;
        if !processes.borrow().serves(client.process) {
            pool.borrow_mut().clear();
            next = Instant::now();
            continue;
        }
        let draw: f64 = rng.gen();
        let mut sum = 0.0;
        let class = client.classes.iter().find(|class| {
            sum += class.share;
            draw < sum
        });
        let Some(class) = class.or(client.classes.last()).cloned() else {
            return;
        };
        let one = once(
            client.clone(),
            class,
            pool.clone(),
            book.clone(),
            processes.clone(),
        );
        executor.spawn(one);
    }
}

async fn once(
    client: Rc<Client>,
    class: Class,
    pool: Rc<RefCell<Pool>>,
    book: Rc<RefCell<Book>>,
    processes: Rc<RefCell<Processes>>,
) {
    // It was told to ask before its process was killed, and runs only now.
    if !processes.borrow().serves(client.process) {
        return;
    }
    let (id, sent) = {
        let mut book = book.borrow_mut();
        book.asked();
        (book.id(), book.now())
    };
    let began = Instant::now();
    let bytes = request(id, &class, client.address);
    let patience = Duration::from_secs_f64(class.deadline_ms / 1000.0) + SURE;
    let answer = within(
        patience,
        exchange(client.address, class.effect, &bytes, &pool),
    )
    .await;
    let took = began.elapsed().as_secs_f64() * 1000.0;
    let excused = processes.borrow().was_impaired(client.process, began);
    let end = match &answer {
        Some((answer, _)) if answer.head.status == 200 => {
            let mine = format!("{id:x} by ");
            if !String::from_utf8_lossy(&answer.body).starts_with(&mine) {
                book.borrow_mut()
                    .amiss(format!("request {id} was served with another's answer"));
            }
            if took <= class.aim_ms {
                End::Served
            } else {
                End::Late
            }
        }
        Some((answer, _)) if matches!(answer.head.status, 429 | 503) => End::Refused,
        Some(_) => End::Failed,
        None if excused => End::Gone,
        None => End::Lost,
    };
    let asked = Asked {
        process: client.process,
        class: &class.name,
        id,
        sent,
    };
    book.borrow_mut().ended(&asked, end, took);
    if let Some((_, wire)) = answer.filter(|(answer, _)| answer.head.keep_alive) {
        pool.borrow_mut().keep(wire, Instant::now());
    }
}

/// One request and its answer, on a kept connection that still stands or else on a new one. A kept connection may end while
/// the request is on its way: what may be repeated then goes once more, on a new connection. An unsafe request does not, as
/// the process may have passed it on before it ended; `None` then says that its outcome is not known.
pub async fn exchange(
    to: SocketAddrV4,
    effect: Effect,
    bytes: &[u8],
    pool: &RefCell<Pool>,
) -> Option<(Message, Wire)> {
    let kept = pool.borrow_mut().take(effect);
    if let Some(wire) = kept {
        let answered = send(wire, bytes).await;
        if answered.is_some() || effect == Effect::Unsafe {
            return answered;
        }
    }
    send(Wire::connect(to).await?, bytes).await
}

async fn send(mut wire: Wire, bytes: &[u8]) -> Option<(Message, Wire)> {
    if !wire.write(bytes).await {
        return None;
    }
    let answer = wire.read().await?;
    Some((answer, wire))
}

fn request(id: u64, class: &Class, host: SocketAddrV4) -> Vec<u8> {
    let (host, id, budget) = (
        host.to_string(),
        format!("{id:016x}"),
        format!("{}", class.deadline_ms as u64),
    );
    let method = if class.effect == Effect::Repeatable {
        "GET"
    } else {
        "POST"
    };
    let mut headers = vec![
        ("Host", host.as_str()),
        ("X-Call-Id", id.as_str()),
        ("X-Call-Class", class.name.as_str()),
        ("X-Caller", "rig"),
        ("X-Budget-Ms", budget.as_str()),
    ];
    if class.effect == Effect::Keyed {
        headers.push(("Idempotency-Key", id.as_str()));
    }
    message::request(method, "/work", headers.into_iter(), b"")
}
