//! Hosts many balancers: translates the wire's events and actions, and decides nothing.
use crate::talk::Talk;
use crate::wire;
use sandtrack_balancer::interface::*;
use sandtrack_balancer::Balancer;
use sandtrack_settings::{identity, Checked, Names};
use std::collections::{HashMap, HashSet};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

/// Runs it; a panic becomes its message, so that the day ends with a word and the other instances' replies.
fn guarded(run: impl FnOnce()) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(run)).map_err(|panic| {
        let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = text.or_else(|| panic.downcast_ref::<String>().cloned());
        message.unwrap_or_else(|| "panic".to_owned())
    })
}

/// One balancer and the names it goes by; shares nothing with its neighbours but what goes over the wire.
struct Instance {
    name: String,
    balancer: Balancer,
    talk: Option<Talk>,
    classes: Vec<String>,
    tenants: Vec<String>,
    upstreams: Names,
    zones: Names,
    kinds: Names,
    wakes: HashSet<u64>,
    next_wake: u64,
}

#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    /// The numbered lists are the process's, as the wire has it: they are only read, at their event.
    pools: HashMap<usize, Rc<Vec<wire::Member>>>,
    noted_unknown: bool,
    scratch: Vec<Action>,
    /// Instances are members of a fleet, where the settings permit it.
    fleet: bool,
}

impl Host {
    pub fn new(fleet: bool) -> Self {
        Host {
            fleet,
            ..Host::default()
        }
    }

    /// Takes one line and gives its reply; an error says what is wrong with the line.
    pub fn batch(&mut self, line: &[u8]) -> Result<wire::Reply, String> {
        // serde would take an array for the object's fields in order.
        if line.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'[') {
            return Err(
                "not a batch: an array in place of an object with wall and events".to_owned(),
            );
        }
        let batch: wire::Batch = serde_json::from_slice(line).map_err(|e| e.to_string())?;
        let mut reply = wire::Reply::default();
        for event in batch.events {
            self.event(batch.wall, event, &mut reply)?;
        }
        Ok(reply)
    }

    fn event(
        &mut self,
        now: Millis,
        event: wire::Event,
        reply: &mut wire::Reply,
    ) -> Result<(), String> {
        let (sidecar, event) = match event {
            wire::Event::PowerOn {
                sidecar,
                prng,
                config,
            } => {
                let checked = config
                    .checked()
                    .map_err(|fault| format!("config.{fault}"))?;
                let zone = checked.zones.name(checked.settings.zone.0);
                let talk = self
                    .fleet
                    .then(|| Talk::new(&checked.settings, zone, prng, now))
                    .flatten();
                let instance = Instance::new(sidecar.clone(), prng, checked, talk);
                self.instances.insert(sidecar.clone(), instance);
                self.deliver(now, &sidecar, Event::Start, reply)?;
                return self.converse(now, &sidecar, reply);
            }
            wire::Event::Pool { list, members } => {
                self.pools.insert(list, Rc::new(members));
                return Ok(());
            }
            wire::Event::Destroy { sidecar } => {
                self.instances.remove(&sidecar);
                return Ok(());
            }
            wire::Event::Unknown => {
                if !std::mem::replace(&mut self.noted_unknown, true) {
                    eprintln!(
                        "sandtrack-simulator-adapter: an unknown event was skipped, and so will be any other"
                    );
                }
                return Ok(());
            }
            wire::Event::DirectoryUpdate {
                sidecar,
                scope,
                list,
            } => {
                let kind = match scope {
                    wire::Scope::Broken => {
                        return self.deliver(now, &sidecar, Event::ListFailed, reply)
                    }
                    wire::Scope::Patch => ListKind::Patch,
                    wire::Scope::Whole => ListKind::Whole,
                    wire::Scope::StaleCopy => ListKind::Stale,
                };
                let Some(instance) = self.instances.get_mut(&sidecar) else {
                    return Ok(());
                };
                let members = self.pools.get(&list).cloned();
                let members = members.ok_or_else(|| format!("list: no Pool numbered {list}"))?;
                let entries = members
                    .iter()
                    .map(|member| instance.entry(member))
                    .collect();
                (sidecar, Event::List { kind, entries })
            }
            wire::Event::JobIn {
                sidecar,
                call,
                not_after,
                class,
                project,
                retry,
                partition_key,
                cost_guess,
            } => {
                let Some(instance) = self.instances.get(&sidecar) else {
                    return Ok(());
                };
                let number = instance.classes.iter().position(|name| *name == class);
                let class =
                    number.ok_or_else(|| format!("class: {class:?} is not in the settings"))?;
                let tenant = match project {
                    Some(wire::Tenant::Name(name)) => {
                        instance.tenants.iter().position(|t| *t == name)
                    }
                    _ => None,
                };
                let arrival = Arrival {
                    request: RequestId(call.0),
                    class: ClassId(class),
                    tenant: tenant.map(TenantId),
                    not_after,
                    retry,
                    key: partition_key,
                    cost: cost_guess,
                };
                (sidecar, Event::Request(arrival))
            }
            wire::Event::Sampled {
                sidecar,
                elapsed,
                code,
                upstream,
                telemetry,
            } => {
                let Some(instance) = self.instances.get(&sidecar) else {
                    return Ok(());
                };
                let Some(number) = instance.upstreams.number(&upstream) else {
                    return Ok(());
                };
                let ok = matches!(code, wire::Code::Ok);
                let report = telemetry.map(report);
                (
                    sidecar,
                    Event::Probed {
                        upstream: UpstreamId(number),
                        elapsed,
                        ok,
                        report,
                    },
                )
            }
            wire::Event::Opened {
                sidecar,
                call,
                round_no,
            } => (
                sidecar,
                Event::ResponseStarted {
                    request: RequestId(call.0),
                    attempt: round_no,
                },
            ),
            wire::Event::Done {
                sidecar,
                call,
                round_no,
                code,
                elapsed,
                closed,
                telemetry,
            } => {
                let event = Event::Finished(Finished {
                    request: RequestId(call.0),
                    attempt: round_no,
                    outcome: outcome(code),
                    elapsed,
                    closed,
                    report: telemetry.map(report),
                });
                (sidecar, event)
            }
            wire::Event::ClientGone { sidecar, call } => {
                (sidecar, Event::ClientGone(RequestId(call.0)))
            }
            wire::Event::Memo {
                sidecar,
                origin_peer,
                content,
            } => {
                let content = bytes(&content).ok_or("content: not hex digits")?;
                let instance = self.instances.get_mut(&sidecar);
                if let Some(talk) = instance.and_then(|instance| instance.talk.as_mut()) {
                    talk.payload(origin_peer, &content, now);
                    return self.converse(now, &sidecar, reply);
                }
                (
                    sidecar,
                    Event::Message {
                        from: origin_peer,
                        content,
                    },
                )
            }
            wire::Event::Due { sidecar, nonce } => {
                let Some(instance) = self.instances.get_mut(&sidecar) else {
                    return Ok(());
                };
                if instance
                    .talk
                    .as_mut()
                    .is_some_and(|talk| talk.woken(nonce, now))
                {
                    return self.converse(now, &sidecar, reply);
                }
                if !instance.wakes.remove(&nonce) {
                    return Ok(());
                }
                (sidecar, Event::Wake)
            }
        };
        self.deliver(now, &sidecar, event, reply)
    }

    /// Carries on what its part in the fleet wants.
    fn converse(
        &mut self,
        now: Millis,
        sidecar: &str,
        reply: &mut wire::Reply,
    ) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(sidecar) else {
            return Ok(());
        };
        let Some(talk) = &mut instance.talk else {
            return Ok(());
        };
        let turn = talk.turn(now, &mut instance.next_wake);
        for (dest, bytes) in turn.payloads {
            let content = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            reply.decisions.push(wire::Decision::WritePeer {
                sidecar: sidecar.to_owned(),
                dest,
                content,
            });
        }
        if let Some((nonce, at)) = turn.wake {
            let (sidecar, instant) = (sidecar.to_owned(), at as Millis);
            reply.decisions.push(wire::Decision::Schedule {
                sidecar,
                instant,
                nonce,
            });
        }
        match turn.settings {
            Some(settings) => {
                self.deliver(now, sidecar, Event::Settings(Box::new(settings)), reply)
            }
            None => Ok(()),
        }
    }

    fn deliver(
        &mut self,
        now: Millis,
        sidecar: &str,
        event: Event,
        reply: &mut wire::Reply,
    ) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(sidecar) else {
            return Ok(());
        };
        let actions = &mut self.scratch;
        actions.clear();
        if let Err(message) = guarded(|| instance.balancer.handle(now, event, actions)) {
            reply.decisions.push(wire::Decision::GiveIn {
                sidecar: sidecar.to_owned(),
                message,
            });
            self.instances.remove(sidecar);
            return Ok(());
        }
        for action in self.scratch.drain(..) {
            reply.decisions.push(instance.decision(action));
        }
        Ok(())
    }
}

impl Instance {
    fn new(name: String, seed: u64, checked: Checked, talk: Option<Talk>) -> Self {
        Instance {
            name,
            talk,
            balancer: Balancer::new(checked.settings, seed),
            classes: checked.classes,
            tenants: checked.tenants,
            upstreams: Names::default(),
            zones: checked.zones,
            kinds: Names::default(),
            wakes: HashSet::new(),
            next_wake: 0,
        }
    }

    fn entry(&mut self, member: &wire::Member) -> Entry {
        Entry {
            upstream: UpstreamId(self.upstreams.intern(&member.upstream)),
            identity: identity(&member.upstream),
            readiness: match member.health {
                wire::Health::Ready => Readiness::Ready,
                wire::Health::Terminating => Readiness::Draining,
                wire::Health::Gone => Readiness::Removed,
            },
            cell: member.pod,
            machine_type: self.kinds.intern(&member.shape),
            scale: member.scale.unwrap_or(1.0),
            zone: ZoneId(self.zones.intern(&member.locality)),
            started_at: member.since.filter(|since| *since != 0.0),
        }
    }

    fn decision(&mut self, action: Action) -> wire::Decision {
        let sidecar = self.name.clone();
        let upstream = |id: UpstreamId| self.upstreams.name(id.0).to_owned();
        match action {
            Action::Send {
                request,
                upstream: to,
            } => wire::Decision::Issue {
                sidecar,
                call: wire::Call(request.0),
                upstream: upstream(to),
            },
            Action::Refuse {
                request,
                retry_after,
            } => wire::Decision::Refuse {
                sidecar,
                call: wire::Call(request.0),
                retry_after,
            },
            Action::Fail { request } => wire::Decision::GiveUp {
                sidecar,
                call: wire::Call(request.0),
            },
            Action::Cancel { request, attempt } => wire::Decision::Recall {
                sidecar,
                call: wire::Call(request.0),
                round_no: attempt,
            },
            Action::Probe { upstream: to } => wire::Decision::Check {
                sidecar,
                upstream: upstream(to),
            },
            Action::Subscribe => wire::Decision::Tail {
                sidecar,
                enable: true,
            },
            Action::Wake { at } => {
                self.next_wake += 1;
                self.wakes.insert(self.next_wake);
                wire::Decision::Schedule {
                    sidecar,
                    instant: at,
                    nonce: self.next_wake,
                }
            }
            Action::Log(message) => wire::Decision::Remark { sidecar, message },
        }
    }
}

fn bytes(hex: &str) -> Option<Vec<u8>> {
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).ok())
        .collect()
}

fn report(telemetry: wire::Telemetry) -> Report {
    Report {
        active: telemetry.active,
        waiting: telemetry.waiting,
        cpu: telemetry.cpu,
        service: telemetry.avg_ms,
    }
}

fn outcome(code: wire::Code) -> Outcome {
    match code {
        wire::Code::Ok => Outcome::Ok,
        wire::Code::Error => Outcome::Error,
        wire::Code::Full => Outcome::Full,
        wire::Code::Timeout => Outcome::Timeout,
        wire::Code::ConnectFailed => Outcome::ConnectFailed,
        wire::Code::Reset => Outcome::Reset,
        wire::Code::Cancelled => Outcome::Cancelled,
        wire::Code::Moot => Outcome::Moot,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_becomes_its_message_and_ends_nothing_else() {
        assert_eq!(guarded(|| panic!("plain")), Err("plain".to_owned()));
        assert_eq!(guarded(|| panic!("with {}", 7)), Err("with 7".to_owned()));
        assert_eq!(
            guarded(|| std::panic::panic_any(7)),
            Err("panic".to_owned())
        );
        assert_eq!(guarded(|| ()), Ok(()));
    }
}
