//! Carries out what the control node asks for: on sockets, the disk and the platform.
use super::listeners::run_link;
use super::runtime::Runtime;
use crate::disk;
use crate::node::{Effect, Input};
use crate::peers::LinkOrder;
use crate::platform::Fetch;
use crate::sessions::SessionOrder;
use crate::socket;
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::frames;
use sandtrack_replication::Address;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// Opening a link may take this long.
const DIAL_PATIENCE: Duration = Duration::from_millis(900);

/// Carries out effects in order; `Break` when the process is to end.
pub(super) fn perform(runtime: &Rc<Runtime<'_>>, effects: Vec<Effect>) -> ControlFlow<()> {
    let mut flow = ControlFlow::Continue(());
    for effect in effects {
        match effect {
            Effect::Reply { call, reply } => {
                let caller = runtime.calls.borrow_mut().remove(&call);
                check(Invariant::CallAnsweredOnce, caller.is_some(), || {
                    format!("call {call}: {}", reply.status)
                });
                if let Some(caller) = caller {
                    // The caller's task may be over.
                    let _ = caller.try_send(reply);
                }
            }
            Effect::Link(order) => perform_link_order(runtime, order),
            Effect::Session(order) => perform_session_order(runtime, order),
            Effect::Write { ticket, records } => {
                order_disk(runtime, disk::Order::Append { ticket, records });
            }
            Effect::Rewrite { ticket, records } => {
                order_disk(runtime, disk::Order::Rewrite { ticket, records });
            }
            Effect::Fetch { token } => {
                let address = runtime.platform.borrow().clone();
                // It fails only when the process is on its way out.
                let _ = runtime.fetches.try_send(Fetch { address, token });
            }
            Effect::Exit => flow = ControlFlow::Break(()),
        }
    }
    flow
}

fn order_disk(runtime: &Runtime<'_>, order: disk::Order) {
    if let Some(disk) = &runtime.disk {
        // It fails only when the process is on its way out.
        let _ = disk.try_send(order);
    }
}

fn perform_session_order(runtime: &Runtime<'_>, order: SessionOrder) {
    let mut sessions = runtime.sessions.borrow_mut();
    match order {
        SessionOrder::Send { session, bytes } => {
            if sessions.get(&session).is_some_and(|way| !way.send(bytes)) {
                sessions.remove(&session);
            }
        }
        SessionOrder::Close { session } => {
            sessions.remove(&session);
        }
    }
}

fn perform_link_order(runtime: &Rc<Runtime<'_>>, order: LinkOrder) {
    match order {
        LinkOrder::Dial { link, address } => dial(runtime, link, address),
        LinkOrder::Send { link, frame } => {
            let mut links = runtime.links.borrow_mut();
            if links
                .get(&link)
                .is_some_and(|way| !way.send(frames::encode(&frame).into()))
            {
                log::warn!("a link takes nothing: it is given up");
                links.remove(&link);
            }
        }
        LinkOrder::Close { link } => {
            runtime.links.borrow_mut().remove(&link);
        }
    }
}

fn dial(runtime: &Rc<Runtime<'_>>, link: u64, address: Address) {
    let (way, outgoing) = socket::way();
    runtime.links.borrow_mut().insert(link, way);
    let here = runtime.clone();
    let run = async move {
        match socket::connect(&address, DIAL_PATIENCE).await {
            Ok(stream) => run_link(&here, link, &stream, &outgoing).await,
            Err(error) => {
                log::debug!("no link with {address}: {error}");
                here.links.borrow_mut().remove(&link);
                here.tell(Input::LinkClosed { link });
            }
        }
    };
    runtime.executor.spawn(run).detach();
}
