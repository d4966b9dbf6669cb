//! Bodies that flow through, requests' and answers': each piece waits for the one before to be written, so that no more
//! than one is held. It must never hold a whole body, send a request whose body is not at hand, nor end a cut one as if
//! it were whole.
use super::*;
use crate::message::Flow;

/// An upstream that gives nothing of an answer for this long, while it is wanted, gives no more.
const STALL: Millis = 5000.0;
/// An answer whose length is not told may be a small one, which is due whole in its time and lost half a second later: if no
/// more than this of it has come, it is cut once its time is over by so long, and nothing came for as long.
const SMALL: usize = 64 * 1024;
const SMALL_STALL: Millis = 300.0;
/// A client has to send so much of a large body in each so long that it is waited for: an honest one sends 64 kB a second.
const PACE_BYTES: usize = 16 * 1024;
const PACE_OVER: Millis = 2000.0;
/// What a flow holds at most: a piece that was read, one that is handed on, one that is written, and their tables.
const FLOW_BYTES: usize = 32 * 1024;
/// All flows together may hold this part of the memory.
const FLOWS_PART: usize = 4;

impl Reducer {
    /// The attempt on this connection and its request, if that still has a client.
    pub(super) fn carried(&mut self, conn: ConnId) -> Option<(RequestId, u32, &mut Request)> {
        let Stage::Busy(Job::Attempt(id, n)) = self.links.get(&conn)?.stage else {
            return None;
        };
        let request = self
            .requests
            .get_mut(&id)
            .filter(|request| request.client.is_some())?;
        Some((id, n, request))
    }

    /// Whether one more body may flow.
    pub(super) fn may_flow(&self) -> bool {
        let own = self.ways.memory / if self.other_lives { 2 } else { 1 };
        let flows = |request: &&Request| request.upload.is_some() || request.stream.is_some();
        self.requests.values().filter(flows).count() < own / FLOWS_PART / FLOW_BYTES
    }

    // Requests.

    /// The request of this client, while its body flows.
    fn uploading(&mut self, conn: ConnId) -> Option<(RequestId, &mut Upload)> {
        let id = self.clients.get(&conn)?.request?;
        let upload = self
            .requests
            .get_mut(&id)?
            .upload
            .as_mut()
            .filter(|upload| !upload.over)?;
        Some((id, upload))
    }

    /// An upstream took a part of a request: the next is wanted. From the first on the body is not at hand any more, so
    /// the request is this attempt's alone, and has no deadline before its last byte has come.
    pub(super) fn upstream_took(&mut self, conn: ConnId) {
        let now = self.now;
        let Some((id, n, request)) = self.carried(conn) else {
            return;
        };
        let Some(upload) = request.upload.as_mut().filter(|upload| !upload.over) else {
            return;
        };
        upload.asked = Some(now);
        let first = upload.link.is_none();
        upload.link = Some((n, conn));
        let client = request.client;
        self.effects
            .extend(client.map(|conn| Effect::MoreClient { conn }));
        if first {
            self.timers.clear(Timer::Deadline(id));
            self.events.push_back(Event::ResponseStarted {
                request: id,
                attempt: n,
            });
        }
    }

    pub(super) fn client_piece(&mut self, conn: ConnId, at: Millis, bytes: &[u8], last: bool) {
        let now = self.now;
        let Some((_, upload)) = self.uploading(conn) else {
            return;
        };
        upload.waited += now - upload.asked.take().unwrap_or(now);
        upload.bytes += bytes.len();
        let Some((_, link)) = upload.link else { return };
        let bytes = upload.flow.piece(bytes);
        self.effects.push(Effect::Pass {
            conn: link,
            bytes,
            last,
        });
        if last {
            self.upload_over(conn, at);
        }
    }

    /// The last byte of a body in chunks has come.
    pub(super) fn client_over(&mut self, conn: ConnId, at: Millis) {
        let Some((_, upload)) = self.uploading(conn) else {
            return;
        };
        let Some((_, link)) = upload.link else { return };
        let bytes = upload.flow.end();
        self.effects.push(Effect::Pass {
            conn: link,
            bytes,
            last: true,
        });
        self.upload_over(conn, at);
    }

    /// The request's time counts from here, and so does its attempt's.
    fn upload_over(&mut self, conn: ConnId, at: Millis) {
        let now = self.now;
        let Some((id, upload)) = self.uploading(conn) else {
            return;
        };
        (upload.over, upload.asked) = (true, None);
        let (budget, link) = (upload.budget, upload.link);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.not_after = at.min(now) + budget;
        let attempt = link.and_then(|(n, _)| request.attempts.get_mut(n as usize));
        attempt.into_iter().for_each(|attempt| attempt.sent = now);
        self.timers.set(Timer::Deadline(id), request.not_after);
    }

    /// The attempt that had the body failed, and no other can have it: an end before the last byte never ran.
    pub(super) fn upload_failed(&mut self, id: RequestId, n: u32, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(upload) = request
            .upload
            .as_ref()
            .filter(|u| u.link.is_some_and(|(own, _)| own == n))
        else {
            return;
        };
        let status = if outcome.never_ran() || !upload.over {
            503
        } else {
            502
        };
        self.bare_answer(id, status);
    }

    /// The rest of the request can't be read, or does not come: it is answered, and what is out of it called back.
    pub(super) fn break_off(&mut self, id: RequestId, status: u16) {
        self.bare_answer(id, status);
        self.events.push_back(Event::ClientGone(id));
        self.call_back(id);
    }

    /// This process ends: a body whose last byte came later could not be answered in time. What is not whole never ran.
    pub(super) fn refuse_uploads(&mut self) {
        let uploads = self
            .requests
            .iter()
            .filter(|(_, r)| r.client.is_some() && !r.is_whole());
        let uploads: Vec<RequestId> = uploads.map(|(id, _)| *id).collect();
        uploads.into_iter().for_each(|id| self.break_off(id, 503));
    }

    /// What an upstream has of a request that is not whole never ran, and is of no use to it.
    pub(super) fn call_back(&mut self, id: RequestId) {
        let upload = self
            .requests
            .get(&id)
            .and_then(|request| request.upload.as_ref());
        let link = upload
            .filter(|upload| !upload.over)
            .and_then(|upload| upload.link);
        link.into_iter().for_each(|(n, _)| self.cancel(id, n));
    }

    /// Clients whose body comes too slowly are not waited for.
    pub(super) fn sweep_uploads(&mut self) {
        let now = self.now;
        let mut slow = Vec::new();
        for (id, request) in &mut self.requests {
            let Some(upload) = request.upload.as_mut().filter(|_| request.client.is_some()) else {
                continue;
            };
            let Some(asked) = &mut upload.asked else {
                continue;
            };
            upload.waited += now - std::mem::replace(asked, now);
            if upload.waited >= PACE_OVER {
                if upload.bytes < PACE_BYTES {
                    slow.push(*id);
                }
                (upload.waited, upload.bytes) = (0.0, 0);
            }
        }
        slow.into_iter().for_each(|id| self.break_off(id, 408));
    }

    // Answers.

    /// An answer has begun that is passed on as it comes: its first bytes go on now. For the module the attempt ends
    /// with that, unless its class is one of streams.
    pub(super) fn began(&mut self, conn: ConnId, at: Millis, head: &Head, length: Option<usize>) {
        let leaving = self.leaving();
        let Some(Stage::Busy(Job::Attempt(id, n))) = self.links.get(&conn).map(|link| link.stage)
        else {
            return;
        };
        let fit = |request: &Request| request.stream.is_none() && request.is_whole();
        let Some((.., request)) = self.carried(conn).filter(|(.., request)| fit(request)) else {
            // Nobody is left to pass it on to, or the upstream has not read all of the request.
            return self.cancel(id, n);
        };
        let flow = match length {
            Some(length) => Flow::Length(length),
            None if request.message.head.chunks => Flow::Chunks,
            None => Flow::UntilEnd,
        };
        request.stream = Some(Stream {
            attempt: n,
            link: conn,
            flow,
            passed: 0,
        });
        request.keep_alive &= !leaving && flow != Flow::UntilEnd;
        let bytes =
            message::response_head(head.status, answer_headers(head), flow, !request.keep_alive);
        let (client, class) = (request.client, request.class);
        self.effects
            .extend(client.map(|conn| Effect::Relay { conn, bytes }));
        self.timers.clear(Timer::Answer(conn));
        self.timers.clear(Timer::Hold(conn));
        if self.settings.classes[class].stream {
            self.events.push_back(Event::ResponseStarted {
                request: id,
                attempt: n,
            });
        } else {
            let told = head.headers.get("X-Load-Report").and_then(links::report);
            let begun = self.answer_began(conn, at);
            self.attempt_ended(id, n, Outcome::Ok, begun, told);
        }
    }

    /// The request whose answer flows on this connection.
    fn flowing(&mut self, conn: ConnId) -> Option<(&mut Stream, Option<ConnId>)> {
        let (.., request) = self.carried(conn)?;
        let client = request.client;
        request
            .stream
            .as_mut()
            .filter(|stream| stream.link == conn)
            .map(|stream| (stream, client))
    }

    pub(super) fn piece(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some((stream, client)) = self.flowing(conn) else {
            return;
        };
        stream.passed += bytes.len();
        let bytes = stream.flow.piece(bytes);
        self.timers.clear(Timer::Answer(conn));
        self.effects
            .extend(client.map(|conn| Effect::Relay { conn, bytes }));
    }

    pub(super) fn client_wrote(&mut self, conn: ConnId) {
        let request = self.clients.get(&conn).and_then(|client| client.request);
        let Some(request) = request.and_then(|id| self.requests.get(&id)) else {
            return;
        };
        let Some(stream) = &request.stream else {
            return;
        };
        let link = stream.link;
        if !self.settings.classes[request.class].stream {
            let small = !matches!(stream.flow, Flow::Length(_)) && stream.passed <= SMALL;
            let stall = request.not_after.max(self.now) + SMALL_STALL;
            self.timers.set(
                Timer::Answer(link),
                if small { stall } else { self.now + STALL },
            );
        }
        self.effects.push(Effect::More { conn: link });
    }

    pub(super) fn over(&mut self, conn: ConnId, at: Millis, keep_alive: bool) {
        let Some((Job::Attempt(id, n), _)) = self.free(conn, keep_alive) else {
            return;
        };
        let flow = self
            .requests
            .get(&id)
            .and_then(|request| request.stream.as_ref())
            .map(|stream| stream.flow);
        let Some(flow) = flow else { return };
        self.give(id, End::Completed, |request| {
            (flow.end(), !request.keep_alive)
        });
        self.attempt_ended(id, n, Outcome::Ok, at, None);
    }

    /// An answer that flows and can't be finished: its client is shown that it is not whole.
    pub(super) fn cut_short(&mut self, id: RequestId, n: u32) {
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|request| request.streams(n))
        else {
            return;
        };
        let Some(conn) = request.client.take() else {
            return;
        };
        self.figures.ended(request.class, End::Failed);
        self.close_client(conn);
        self.request_closed(id);
    }
}
