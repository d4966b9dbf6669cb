//! The reducer's sweep, and the end of the process: what has waited long enough goes. It must never close on a request that
//! was read.
use super::*;

impl Reducer {
    /// Ends what has waited long enough. It retires idle connections well before their upstreams may close them.
    pub(super) fn sweep(&mut self) {
        if self
            .servers
            .values()
            .any(|server| server.standing == Readiness::Removed)
        {
            self.forget_gone();
        }
        while let Some(conn) = self.idle.eldest((), self.now - self.conn_idle * RETIRE) {
            self.hang_up(conn);
        }
        self.trim_idle();
        self.give_way();
        // The clients' turn: silence is closed, half a request is answered, and what idles is given back.
        for (wait, patience) in [(Wait::First, REQUEST_PATIENCE), (Wait::Idle, REST_PATIENCE)] {
            while let Some(conn) = self.waits.eldest(wait, self.now - patience) {
                self.retire_client(conn);
            }
        }
        for (wait, patience) in [(Wait::Rest, REQUEST_PATIENCE), (Wait::Body, BODY_PATIENCE)] {
            while let Some(conn) = self.waits.eldest(wait, self.now - patience) {
                self.plain(conn, 408, true);
            }
        }
        self.sweep_uploads();
    }

    /// Clients are to go elsewhere: the process ends, or staff sent them away.
    pub(super) fn leaving(&self) -> bool {
        self.draining.is_some() || self.drained.is_some()
    }

    /// Staff send clients away: health says no, answers close, and what idles is closed; all that comes is still served.
    pub(super) fn drain_by_hand(&mut self) {
        tracing::info!(
            requests = self.requests.len(),
            clients = self.clients.len(),
            "clients are sent away"
        );
        self.drained = Some(self.now);
        self.timers
            .bring_forward(Timer::Drain, self.now + DRAIN_EVERY);
    }

    /// SIGTERM: connections are closed between requests, and new ones are taken while they still come; where another
    /// process takes them, they are left to that at once.
    pub(super) fn terminate(&mut self) {
        if self.draining.is_some() {
            return;
        }
        tracing::info!(
            requests = self.requests.len(),
            clients = self.clients.len(),
            "terminating"
        );
        self.draining = Some(self.now);
        self.leave_fleet();
        if self.ways.inherited && self.other_lives {
            self.stop_accepting(true);
        }
        self.timers.set(Timer::Drain, self.now + DRAIN_EVERY);
    }

    fn stop_accepting(&mut self, leave: bool) {
        if !std::mem::replace(&mut self.exiting, true) {
            // Where it has not begun, there is nothing to end.
            self.stopped = !std::mem::replace(&mut self.accepting, true);
            self.effects.push(Effect::StopAccepting { leave });
        }
    }

    pub(super) fn drain(&mut self) {
        let Some(since) = [self.draining, self.drained]
            .into_iter()
            .flatten()
            .reduce(f64::min)
        else {
            return;
        };
        self.timers.set(Timer::Drain, self.now + DRAIN_EVERY);
        if self.now - since >= SOFT {
            let quiet =
                |client: &Client| client.request.is_none() && self.now - client.since >= QUIET;
            let quiet = self.clients.iter().filter(|(_, client)| quiet(client));
            let quiet: Vec<ConnId> = quiet.map(|(conn, _)| *conn).collect();
            quiet.into_iter().for_each(|conn| self.retire_client(conn));
        }
        if let Some(since) = self.draining {
            self.end(self.now - since);
        }
    }

    /// By when what is taken has to be answered, once the process ends: SIGKILL may come right after.
    pub(super) fn last_moment(&self) -> Option<Millis> {
        self.draining
            .map(|since| since + LAST_CALL_MOST + self.longest() - KILL_MARGIN)
    }

    fn longest(&self) -> Millis {
        self.settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max)
    }

    /// Some time after SIGTERM.
    fn end(&mut self, past: Millis) {
        let quiet = past >= LAST_CALL && self.now - self.last_opened >= QUIET;
        if quiet || past >= LAST_CALL_MOST {
            self.stop_accepting(false);
        }
        if past >= LAST_CALL_MOST {
            self.refuse_uploads();
        }
        // What is left by then are streams, or clients that neither ask nor read.
        let owed = self
            .requests
            .values()
            .any(|request| request.client.is_some() && request.stream.is_none());
        let flows = |request: &Request| {
            request.client.is_some()
                && request.stream.is_some()
                && !self.settings.classes[request.class].stream
        };
        let flows = past < FLOWS_MOST && self.requests.values().any(flows);
        // What was answered in this very moment is not written yet, and the tasks that write it end with the process.
        let written = self.now - self.last_answer >= FLUSH;
        let late = past >= LAST_CALL_MOST + self.longest() + QUIET && !owed && !flows && written;
        if self.stopped && (self.clients.is_empty() || late) {
            tracing::info!(clients = self.clients.len(), "exit");
            self.timers.clear(Timer::Drain);
            self.effects.push(Effect::Exit);
        }
    }
}
