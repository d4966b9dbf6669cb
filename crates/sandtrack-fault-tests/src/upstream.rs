//! Stand-in upstreams: workers and a queue, cold starts, a cap on connections, and the troubles of the script. Each listens at
//! one address for each zone of processes. It owns its sockets, and must never run an effect without the book's knowing.
use crate::book::Book;
use crate::http::Wire;
use crate::plan::Plan;
use crate::scenario::{Class, How, Server};
use crate::tasks::Spawner;
use async_io::{Async, Timer};
use futures_lite::future;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;
use sandtrack_net::http::Side;
use sandtrack_sidecar_core::message;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Upstream {
    pub name: String,
    pub zone: usize,
    pub addresses: Vec<SocketAddrV4>,
    pub how: How,
    pub factor: f64,
    /// When it last started, Unix ms; 0: long ago. And the same by the run's clock.
    pub started_ms: u64,
    started: Option<Instant>,
    server: Server,
    classes: Vec<Class>,
    connections: usize,
    waiting: usize,
    working: usize,
    tokens: (async_channel::Sender<()>, async_channel::Receiver<()>),
    /// Closed when it refuses: its connections and listeners end by that.
    alive: (async_channel::Sender<()>, async_channel::Receiver<()>),
    rng: Pcg64,
}

pub type Shared = Rc<RefCell<Upstream>>;

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

impl Upstream {
    pub fn new(
        number: usize,
        zone: usize,
        zones: usize,
        plan: &Plan,
        server: &Server,
        classes: &[Class],
        seed: u64,
    ) -> Shared {
        let tokens = async_channel::bounded(server.workers.max(1));
        for _ in 0..server.workers.max(1) {
            let _ = tokens.0.try_send(());
        }
        Rc::new(RefCell::new(Upstream {
            name: format!("u{}", number + 1),
            zone,
            addresses: (0..zones).map(|zone| plan.upstream(number, zone)).collect(),
            how: How::Well,
            factor: 1.0,
            started_ms: 0,
            started: None,
            server: server.clone(),
            classes: classes.to_vec(),
            connections: 0,
            waiting: 0,
            working: 0,
            tokens,
            alive: async_channel::bounded(1),
            rng: Pcg64::seed_from_u64(seed),
        }))
    }

    /// Its speed beside a warm one's.
    fn speed(&self) -> f64 {
        let age = self
            .started
            .map_or(f64::INFINITY, |at| at.elapsed().as_secs_f64());
        let climb = (age / self.server.cold_s.max(1e-3)).min(1.0);
        let warmth = self.server.cold_share + (1.0 - self.server.cold_share) * climb;
        warmth
            * if self.how == How::Slow {
                self.factor.max(1e-3)
            } else {
                1.0
            }
    }

    /// What discovery can know of it: whether its process runs.
    pub fn lifecycle(&self) -> &'static str {
        match self.how {
            How::Refuse => "DELETED",
            How::Drain => "DRAINING",
            _ => "SERVING",
        }
    }
}

/// Listens at all of its addresses; a fault is the run's.
pub fn open(
    upstream: &Shared,
    book: &Rc<RefCell<Book>>,
    executor: &Spawner<'_>,
) -> std::io::Result<()> {
    let addresses = upstream.borrow().addresses.clone();
    for address in addresses {
        let listener = Async::<TcpListener>::bind(SocketAddr::V4(address))?;
        let (upstream, book, within) = (upstream.clone(), book.clone(), executor.clone());
        let alive = upstream.borrow().alive.1.clone();
        let accept = async move {
            let ended = async {
                let _ = alive.recv().await;
            };
            let listen = async {
                loop {
                    let Ok((stream, _)) = listener.accept().await else {
                        Timer::after(Duration::from_millis(5)).await;
                        continue;
                    };
                    let serve = connection(upstream.clone(), book.clone(), stream);
                    within.spawn(serve);
                }
            };
            future::or(ended, listen).await;
        };
        executor.spawn(accept);
    }
    Ok(())
}

/// Its trouble from now on.
pub fn turn(
    upstream: &Shared,
    how: How,
    factor: f64,
    book: &Rc<RefCell<Book>>,
    executor: &Spawner<'_>,
) -> std::io::Result<()> {
    let before = std::mem::replace(&mut upstream.borrow_mut().how, how);
    upstream.borrow_mut().factor = factor;
    if how == How::Refuse && before != How::Refuse {
        upstream.borrow().alive.0.close();
    } else if how != How::Refuse && before == How::Refuse {
        // A new process: cold.
        let mut here = upstream.borrow_mut();
        here.alive = async_channel::bounded(1);
        (here.started_ms, here.started) = (unix_ms(), Some(Instant::now()));
        drop(here);
        open(upstream, book, executor)?;
    }
    Ok(())
}

async fn connection(upstream: Shared, book: Rc<RefCell<Book>>, stream: Async<TcpStream>) {
    let alive = upstream.borrow().alive.1.clone();
    {
        let mut here = upstream.borrow_mut();
        if here.connections >= here.server.connections {
            return;
        }
        here.connections += 1;
    }
    let ended = async {
        let _ = alive.recv().await;
    };
    future::or(ended, serve(&upstream, &book, stream)).await;
    upstream.borrow_mut().connections -= 1;
}

async fn serve(upstream: &Shared, book: &Rc<RefCell<Book>>, stream: Async<TcpStream>) {
    let mut wire = Wire::new(stream, Side::Request);
    while let Some(request) = wire.read().await {
        let how = upstream.borrow().how;
        let probe = matches!(request.head.target.as_str(), "/_load" | "/ping");
        if how == How::Silent || how == How::Hang && !probe {
            return future::pending().await;
        }
        let answer = if probe {
            let here = upstream.borrow();
            let load = format!(
                "inflight={},queue={}",
                here.working + here.waiting,
                here.waiting
            );
            message::response(200, std::iter::empty(), load.as_bytes(), false)
        } else {
            let (status, body) = work(upstream, book, &request).await;
            let rejected = (status == 503).then_some(("X-Rejected", "1"));
            message::response(status, rejected.into_iter(), body.as_bytes(), false)
        };
        // Work that was begun when it fell silent is not answered any more.
        let how = upstream.borrow().how;
        if how == How::Silent || how == How::Hang && !probe {
            return future::pending().await;
        }
        if !wire.write(&answer).await {
            return;
        }
    }
}

async fn work(
    upstream: &Shared,
    book: &Rc<RefCell<Book>>,
    request: &message::Message,
) -> (u16, String) {
    let headers = &request.head.headers;
    let id = headers
        .get("X-Call-Id")
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    let class = headers.get("X-Call-Class").unwrap_or_default();
    let class = upstream
        .borrow()
        .classes
        .iter()
        .find(|known| known.name == class)
        .cloned();
    let (Some(id), Some(class)) = (id, class) else {
        return (400, "no such request".to_owned());
    };
    let turned_away = {
        let here = upstream.borrow();
        here.waiting >= here.server.queue || here.how == How::Drain
    };
    book.borrow_mut().attempt(turned_away);
    if turned_away {
        return (503, "full".to_owned());
    }
    let tokens = upstream.borrow().tokens.clone();
    upstream.borrow_mut().waiting += 1;
    let token = tokens.1.recv().await;
    upstream.borrow_mut().waiting -= 1;
    if token.is_err() {
        return (500, "gone".to_owned());
    }
    upstream.borrow_mut().working += 1;
    let _back = Back(upstream.clone());
    let repeat = book
        .borrow_mut()
        .runs(id, class.effect, class.window_ms / 1000.0);
    let (time, spoilt) = {
        let mut here = upstream.borrow_mut();
        let draw: f64 = Exp1.sample(&mut here.rng);
        let spoilt = here.how == How::Error && here.rng.gen::<f64>() < here.factor;
        (
            if repeat {
                0.0
            } else {
                class.work_ms * draw / here.speed()
            },
            spoilt,
        )
    };
    Timer::after(Duration::from_secs_f64(time / 1000.0)).await;
    if spoilt {
        (500, "spoilt".to_owned())
    } else {
        (200, format!("{id:x} by {}", upstream.borrow().name))
    }
}

/// Gives the worker back, also where the connection ends under the work.
struct Back(Shared);

impl Drop for Back {
    fn drop(&mut self) {
        let mut here = self.0.borrow_mut();
        here.working -= 1;
        let _ = here.tokens.0.try_send(());
    }
}
