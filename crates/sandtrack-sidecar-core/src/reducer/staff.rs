//! The staff's part of the reducer: calls at the second address, upstreams out by hand, the drain by hand, and what the
//! figures say of now. It must never keep a caller waiting on anything but the change that it asked for.
use super::*;
use crate::metrics::Levels;
use percent_encoding::percent_decode_str;

/// Callers that may be connected at a time: they are few, and more make room for each other.
pub const ADMIN_MOST: usize = 16;
/// A call is due whole this long after its connection was opened.
const ADMIN_PATIENCE: Millis = 900.0;
/// No list has come after this long: what is known serves, as discovery may be out of reach.
pub(super) const READY_ANYWAY: Millis = 4000.0;

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

/// A caller at the second address.
pub(super) struct Caller {
    since: Millis,
    /// Its call has come, or its time was over: it gets no second one.
    asked: bool,
}

/// What a call asks for.
enum Call {
    Ready,
    Metrics,
    Members,
    Change(Change),
}

impl Reducer {
    pub(super) fn admin_opened(&mut self, conn: ConnId) {
        if self.callers.len() >= ADMIN_MOST {
            // Those that say nothing must not keep out those that do.
            let waiting = self.callers.iter().filter(|(_, caller)| !caller.asked);
            let eldest = waiting
                .min_by(|a, b| a.1.since.total_cmp(&b.1.since))
                .map(|(conn, _)| *conn);
            let close = eldest.unwrap_or(conn);
            self.timers.clear(Timer::Call(close));
            self.callers
                .entry(close)
                .and_modify(|caller| caller.asked = true);
            self.effects.push(Effect::CloseAdmin { conn: close });
        }
        self.callers.insert(
            conn,
            Caller {
                since: self.now,
                asked: false,
            },
        );
        self.timers
            .set(Timer::Call(conn), self.now + ADMIN_PATIENCE);
    }

    pub(super) fn admin_closed(&mut self, conn: ConnId) {
        self.timers.clear(Timer::Call(conn));
        self.callers.remove(&conn);
    }

    pub(super) fn admin_answer(&mut self, conn: ConnId, status: u16, text: &str) {
        self.admin_reply(conn, status, TEXT, None, text);
    }

    /// Its one answer.
    fn admin_reply(
        &mut self,
        conn: ConnId,
        status: u16,
        kind: &str,
        header: Option<(&str, &str)>,
        text: &str,
    ) {
        let Some(caller) = self.callers.get_mut(&conn) else {
            return;
        };
        caller.asked = true;
        self.timers.clear(Timer::Call(conn));
        let headers = [("Content-Type", kind), ("Cache-Control", "no-store")];
        let bytes = message::response(
            status,
            headers.into_iter().chain(header),
            text.as_bytes(),
            true,
        );
        self.effects.push(Effect::AnswerAdmin { conn, bytes });
    }

    pub(super) fn admin_call(&mut self, conn: ConnId, message: &Message) {
        let Some(caller) = self.callers.get_mut(&conn).filter(|caller| !caller.asked) else {
            return;
        };
        caller.asked = true;
        match self.call(&message.head) {
            Err((405, method)) => self.admin_reply(
                conn,
                405,
                TEXT,
                Some(("Allow", method)),
                "no: another method\n",
            ),
            Err((status, wrong)) => self.admin_answer(conn, status, &format!("no: {wrong}\n")),
            Ok(Call::Ready) if self.draining.is_some() => {
                self.admin_answer(conn, 503, "no: it ends\n");
            }
            Ok(Call::Ready) if !self.ready => {
                self.admin_answer(conn, 503, "no: it waits for the list of upstreams\n");
            }
            Ok(Call::Ready) => self.admin_answer(conn, 200, "yes\n"),
            Ok(Call::Metrics) => {
                let text = self.figures.text(&self.classes, &self.levels());
                self.admin_answer(conn, 200, &text);
            }
            Ok(Call::Members) => match self.members_text() {
                Some(text) => self.admin_reply(conn, 200, JSON, None, &text),
                None => self.admin_answer(conn, 404, "no: this sidecar is in no fleet\n"),
            },
            Ok(Call::Change(change)) => {
                tracing::info!(?change, "ordered by hand");
                self.effects.push(Effect::Change { conn, change });
            }
        }
    }

    /// What is asked for, or the status and what is wrong; with 405, the method that it takes.
    fn call(&self, head: &Head) -> Result<Call, (u16, &'static str)> {
        let target = message::origin_form(&head.target);
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let words: Vec<&str> = path.split('/').collect();
        let (method, call) = match words.as_slice() {
            ["", "-", "ready"] => ("GET", Call::Ready),
            ["", "-", "metrics"] => ("GET", Call::Metrics),
            ["", "-", "members"] => ("GET", Call::Members),
            ["", "-", "drain"] => ("POST", Call::Change(Change::Drain)),
            ["", "-", "resume"] => ("POST", Call::Change(Change::Resume)),
            ["", "-", "upstreams", id, order @ ("disable" | "enable")] => {
                let id = percent_decode_str(id)
                    .decode_utf8()
                    .map_err(|_| (400, "the id is no text"))?;
                let id = id.into_owned();
                let known = self.numbers.contains_key(&id) || self.by_hand.out.contains(&id);
                if head.method == "POST" && !known {
                    return Err((404, "no upstream has this id"));
                }
                let at = (self.epoch + self.now).round() as i64;
                let out = *order == "disable";
                (
                    "POST",
                    Call::Change(if out {
                        Change::Out(id)
                    } else {
                        Change::Back { id, at }
                    }),
                )
            }
            _ => return Err((404, "no such call")),
        };
        if head.method == method {
            Ok(call)
        } else {
            Err((405, method))
        }
    }

    /// The change that a caller asked for was noted, or could not be.
    pub(super) fn changed(&mut self, conn: ConnId, noted: Result<ByHand, String>) {
        match noted {
            Ok(by_hand) => {
                self.follow(by_hand);
                self.admin_answer(conn, 200, "yes\n");
            }
            Err(error) => {
                tracing::error!(error, "an order by hand can't be noted: it does not hold");
                self.admin_answer(conn, 500, "no: it can't be noted\n");
            }
        }
    }

    /// From now on these orders hold, whichever process they were given to.
    pub(super) fn follow(&mut self, by_hand: ByHand) {
        let before = std::mem::replace(&mut self.by_hand, by_hand);
        let turned = before.out.symmetric_difference(&self.by_hand.out);
        // One called back by the other process, and out again since it was looked at, is cold all the same.
        let back = self
            .by_hand
            .back
            .iter()
            .filter(|(id, at)| before.back.get(*id) != Some(*at));
        let turned: BTreeSet<String> = turned.chain(back.map(|(id, _)| id)).cloned().collect();
        let numbers: Vec<u32> = turned
            .iter()
            .filter_map(|id| self.numbers.get(id).copied())
            .collect();
        let entries: Vec<Entry> = numbers
            .into_iter()
            .filter_map(|number| self.weigh(number))
            .collect();
        if !entries.is_empty() {
            self.events.push_back(Event::List {
                kind: ListKind::Patch,
                entries,
            });
        }
        match (before.drained, self.by_hand.drained) {
            (false, true) => self.drain_by_hand(),
            (true, false) => {
                tracing::info!("clients are taken again");
                self.drained = None;
            }
            _ => {}
        }
    }

    fn levels(&self) -> Levels {
        let listed = || {
            self.servers
                .iter()
                .filter(|(_, server)| server.told.readiness != Readiness::Removed)
        };
        let avoided = |number: u32| self.balancer.fleet().avoids(UpstreamId(number), self.now);
        Levels {
            pending: self
                .requests
                .values()
                .filter(|request| request.client.is_some())
                .count(),
            members: listed().count(),
            members_unavailable: listed().filter(|(number, _)| avoided(**number)).count(),
            fleet: self.fleet_levels(),
        }
    }

    /// This process can serve: the list is current, or what is known has to do.
    pub(super) fn now_ready(&mut self) {
        self.timers.clear(Timer::Ready);
        if !std::mem::replace(&mut self.ready, true) {
            tracing::info!(upstreams = self.servers.len(), "ready");
        }
        self.accept();
    }

    /// Takes clients, once: beside another process not before this one is ready, as that one serves them meanwhile.
    pub(super) fn accept(&mut self) {
        if (self.ready || !self.other_lives || !self.ways.inherited) && !self.accepting {
            self.accepting = true;
            self.effects.push(Effect::Accept);
        }
    }

    /// Another process of this sidecar has come or gone: what both hold stays within one limit.
    pub(super) fn other_lives(&mut self, lives: bool) {
        if lives == self.other_lives {
            return;
        }
        tracing::info!(lives, "another process of this sidecar");
        self.other_lives = lives;
        self.share_sockets();
        self.accept();
    }
}
