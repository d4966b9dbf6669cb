//! Discovery's part of the reducer: the watch, the list, and what upstreams it leaves. It must never judge an upstream:
//! the module does.
use super::*;

/// How a watch was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Broken {
    Ended,
    Silent,
}

impl Reducer {
    /// Upstreams are replaced all day long: one that is gone is forgotten when no connection, probe or attempt refers
    /// to it any more. Listed again, it is another, of which nothing is known.
    pub(super) fn forget_gone(&mut self) {
        let held: HashSet<u32> = self.links.values().map(|link| link.server).collect();
        let waits = |number: &u32| {
            let unserving = self.unserving.iter().flatten();
            held.contains(number)
                || self
                    .waiting
                    .iter()
                    .chain(unserving)
                    .any(|server| server == number)
        };
        let gone = self
            .servers
            .iter()
            .filter(|(number, s)| s.told.readiness == Readiness::Removed && !waits(number));
        let gone = gone.filter(|(number, _)| !self.is_open(**number));
        let gone: Vec<u32> = gone.map(|(number, _)| *number).collect();
        for server in gone.iter().filter_map(|number| self.servers.remove(number)) {
            self.numbers.remove(&server.name);
        }
    }

    /// New work may go there: it is listed so, or the module goes on with it though the list has it as gone.
    pub(super) fn is_open(&self, number: u32) -> bool {
        let standing = self.servers.get(&number).map(|server| server.standing);
        let kept =
            || self.settings.rules.soft_removal && self.balancer.fleet().offers(UpstreamId(number));
        standing == Some(Readiness::Ready) || standing == Some(Readiness::Removed) && kept()
    }

    pub(super) fn subscribe(&mut self) {
        if self.watch.is_none() {
            self.next_call += 1;
            self.watch = Some(self.next_call);
            (self.watch_called, self.watch_heard) = (self.now, false);
            self.timers.clear(Timer::Reopen);
            self.timers.set(Timer::WatchSilent, self.now + WATCH_FIRST);
            let (call, address) = (self.next_call, self.discovery);
            tracing::debug!(call, after = self.generation, "calling for the list");
            self.effects.push(Effect::Watch {
                call,
                address,
                after: self.generation,
            });
        }
    }

    /// New settings count for what comes from now on. Open requests keep the class that they came under, as numbers
    /// of classes and tenants stay what they are.
    pub(super) fn adopt(&mut self, mut checked: Checked) {
        checked.follow(&self.settings, &self.classes, &self.tenants);
        (self.conn_idle, self.connect_timeout, self.pushed) = on_sockets(&mut checked);
        let mut settings = checked.settings;
        settings.zone = ZoneId(self.zones.intern(checked.zones.name(settings.zone.0)));
        settings.balancer_count = self.siblings(settings.balancer_count);
        (self.classes, self.tenants) = (checked.classes, checked.tenants);
        self.settings = settings.clone();
        self.events.push_back(Event::Settings(Box::new(settings)));
    }

    /// Discovery has moved: its new address is asked at once, for the whole list, as versions of two addresses need
    /// not match. The old watch is given up; the list that it gave serves until the new one has come.
    pub(super) fn reload(&mut self, discovery: SocketAddr) {
        if discovery == self.discovery {
            return;
        }
        self.discovery = discovery;
        self.generation = None;
        if let Some(call) = self.watch.take() {
            self.effects.push(Effect::CloseWatch { call });
        }
        self.subscribe();
        self.timers
            .set(Timer::WatchSilent, self.now + WATCH_RELOADED);
    }

    pub(super) fn watch_line(&mut self, call: CallId, catalog: Catalog) {
        if self.watch != Some(call) {
            return;
        }
        self.watch_heard();
        self.generation = Some(catalog.generation);
        let kind = if catalog.reset {
            ListKind::Whole
        } else {
            ListKind::Patch
        };
        tracing::info!(
            generation = catalog.generation,
            entries = catalog.instances.len(),
            ?kind,
            "list"
        );
        self.list(kind, catalog.instances);
        self.now_ready();
    }

    pub(super) fn watch_heard(&mut self) {
        self.watch_heard = true;
        self.timers
            .set(Timer::WatchSilent, self.now + WATCH_SILENCE);
    }

    /// The list that it gave serves until another watch tells more. How soon one is opened follows from what counts as
    /// told meanwhile. A watch that fell silent: all that it misses, 6 s after that, so another is opened at once, whatever
    /// the module's gaps between calls are. A watch that told something may have ended in place of telling more, which counts
    /// as told soon, and discovery comes to a new call in turn: it is called in a moment. Where lists are pushed: all that the
    /// agent knows, so in a moment too, also if it turned the call away. Else the call failed: what is as old as the settings
    /// say, and the module keeps its gaps within that.
    pub(super) fn watch_ended(&mut self, call: CallId, how: Broken) {
        if self.watch != Some(call) {
            return;
        }
        self.watch = None;
        self.timers.clear(Timer::WatchSilent);
        let silent = how == Broken::Silent;
        tracing::warn!(
            how = if silent { "silent" } else { "ended" },
            "watch broken"
        );
        if silent && (self.watch_heard || self.pushed) {
            self.subscribe();
        } else if self.watch_heard || self.pushed {
            self.timers.set(Timer::Reopen, self.reopen_at());
        } else {
            self.events.push_back(Event::ListFailed);
        }
    }

    /// When a watch that ended is opened anew.
    fn reopen_at(&self) -> Millis {
        let rules = &self.settings.rules;
        let soon = self.now + (rules.drain_grace * REOPEN).clamp(REOPEN_RANGE[0], REOPEN_RANGE[1]);
        match self.pushed {
            true => soon,
            false => soon.max(self.watch_called + rules.list_retry_limit * CALLS_APART),
        }
    }

    pub(super) fn list(&mut self, kind: ListKind, instances: Vec<Instance>) {
        let mut before = Vec::new();
        if kind != ListKind::Patch {
            for (number, server) in &mut self.servers {
                server.standing = Readiness::Removed;
                if std::mem::replace(&mut server.told.readiness, Readiness::Removed)
                    != Readiness::Removed
                {
                    before.push(*number);
                }
            }
        }
        let entries = instances
            .into_iter()
            .map(|instance| self.entry(instance))
            .collect();
        for number in before {
            let left = self
                .servers
                .get(&number)
                .filter(|server| server.told.readiness == Readiness::Removed);
            if let Some(server) = left {
                tracing::info!(upstream = server.name, "left the list");
                self.drop_idle(number);
            }
        }
        self.events.push_back(Event::List { kind, entries });
    }

    pub(super) fn entry(&mut self, instance: Instance) -> Entry {
        let address: Option<SocketAddr> = instance.host_port.parse().ok();
        let standing = match instance.lifecycle {
            Lifecycle::Serving => Readiness::Ready,
            Lifecycle::Draining => Readiness::Draining,
            Lifecycle::Deleted => Readiness::Removed,
        };
        // Wall time is mapped to the clock by its zero alone, so that one start always gives one figure.
        let started = instance.started_at_ms;
        let since = Some(started - self.epoch).filter(|_| started.is_finite() && started != 0.0);
        let name = instance.instance_id;
        let told_as = identity(&name);
        let number = *self.numbers.entry(name.clone()).or_insert_with(|| {
            self.next_server += 1;
            self.next_server - 1
        });
        let before = self.servers.get(&number);
        // A weight that says nothing changes nothing.
        let scale = before.map_or(1.0, |server| server.told.scale);
        let told = Entry {
            upstream: UpstreamId(number),
            identity: told_as,
            readiness: standing,
            cell: instance.cell,
            machine_type: self.kinds.intern(&instance.machine_type),
            scale: instance
                .weight
                .filter(|w| w.is_finite() && *w > 0.0)
                .unwrap_or(scale),
            zone: ZoneId(self.zones.intern(&instance.zone)),
            started_at: since,
        };
        let kept = told.clone();
        let new = || Server {
            name,
            address,
            told,
            standing,
            since,
            back: None,
            idle: Vec::new(),
        };
        let server = self.servers.entry(number).or_insert_with(new);
        server.told = kept.clone();
        let address = address.or(server.address);
        let moved = std::mem::replace(&mut server.address, address) != address;
        if moved {
            self.drop_idle(number);
        }
        self.weigh(number).unwrap_or(kept)
    }

    /// What goes for a listed upstream: what discovery says of it, and the staff's orders before that. Out by hand it
    /// drains, whatever discovery says; taken back it started then, so that it is cold.
    pub(super) fn weigh(&mut self, number: u32) -> Option<Entry> {
        let server = self.servers.get_mut(&number)?;
        if let Some(back) = self.by_hand.back.get(&server.name) {
            server.back = Some(*back as f64 - self.epoch);
        }
        let standing = match server.told.readiness {
            Readiness::Ready if self.by_hand.out.contains(&server.name) => Readiness::Draining,
            told => told,
        };
        let since = [server.told.started_at, server.back]
            .into_iter()
            .flatten()
            .reduce(f64::max);
        let restarted = server.since != since;
        if server.standing != standing || restarted {
            tracing::info!(upstream = server.name, ?standing, restarted, "changed");
        }
        (server.since, server.standing) = (since, standing);
        let entry = Entry {
            readiness: standing,
            started_at: since,
            ..server.told.clone()
        };
        // Connections to a former process, or to one that takes nothing more, are of no use.
        if restarted || standing != Readiness::Ready {
            self.drop_idle(number);
        }
        Some(entry)
    }

    pub(super) fn drop_idle(&mut self, server: u32) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        std::mem::take(&mut server.idle)
            .into_iter()
            .for_each(|conn| self.hang_up(conn));
    }
}
