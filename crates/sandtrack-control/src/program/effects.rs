//! Carries out what the control node asks for: on sockets, the disk and the platform.
use super::listeners::run_link;
use super::runtime::Runtime;
use crate::frame_connection;
use crate::node::{Effect, Input};
use crate::peers::LinkAction;
use crate::platform_client::Fetch;
use crate::sessions::SessionAction;
use crate::wal_writer;
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
                request_write(runtime, wal_writer::WalRequest::Append { ticket, records });
            }
            Effect::Rewrite { ticket, records } => {
                request_write(runtime, wal_writer::WalRequest::Rewrite { ticket, records });
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

fn request_write(runtime: &Runtime<'_>, order: wal_writer::WalRequest) {
    if let Some(disk) = &runtime.disk {
        // It fails only when the process is on its way out.
        let _ = disk.try_send(order);
    }
}

fn perform_session_order(runtime: &Runtime<'_>, order: SessionAction) {
    let mut sessions = runtime.sessions.borrow_mut();
    match order {
        SessionAction::Send { session, bytes } => {
            if sessions.get(&session).is_some_and(|way| !way.send(bytes)) {
                sessions.remove(&session);
            }
        }
        SessionAction::Close { session } => {
            sessions.remove(&session);
        }
    }
}

fn perform_link_order(runtime: &Rc<Runtime<'_>>, order: LinkAction) {
    match order {
        LinkAction::Dial { link, address } => dial(runtime, link, address),
        LinkAction::Send { link, frame } => {
            let mut links = runtime.links.borrow_mut();
            if links
                .get(&link)
                .is_some_and(|way| !way.send(frames::encode(&frame).into()))
            {
                log::warn!("a link takes nothing: it is given up");
                links.remove(&link);
            }
        }
        LinkAction::Close { link } => {
            runtime.links.borrow_mut().remove(&link);
        }
    }
}

fn dial(runtime: &Rc<Runtime<'_>>, link: u64, address: Address) {
    let (way, outgoing) = frame_connection::frame_channel();
    runtime.links.borrow_mut().insert(link, way);
    let here = runtime.clone();
    let run = async move {
        match frame_connection::connect(&address, DIAL_PATIENCE).await {
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
