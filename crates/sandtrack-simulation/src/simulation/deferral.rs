//! Deferral of events at machines that are frozen or slow, and their handling once the machine can go on.
use super::event_loop::Event;
use super::Simulation;
use std::collections::VecDeque;

impl Simulation {
    /// Defers the event if the machine is frozen or busy; gives it back if it can be handled now.
    pub(super) fn defer(&mut self, machine: usize, event: Event) -> Option<Event> {
        if self.machines[machine].frozen {
            self.deferred_events
                .entry(machine)
                .or_default()
                .push_back(event);
            return None;
        }
        if self.machines[machine].step_delay.step_ms == 0.0 {
            return Some(event);
        }
        self.defer_while_busy(machine, event)
    }

    pub(super) fn defer_while_busy(&mut self, machine: usize, event: Event) -> Option<Event> {
        let inbox = self.deferred_events.entry(machine).or_default();
        let step_delay = &mut self.machines[machine].step_delay;
        let is_next = std::mem::take(&mut step_delay.is_current)
            || inbox.is_empty() && step_delay.busy_until <= self.now;
        if is_next {
            step_delay.busy_until = self.now + step_delay.step_ms;
            return Some(event);
        }
        // One pending tick is enough.
        let is_tick = |event: &Event| matches!(event, Event::Tick { .. });
        if !is_tick(&event) || !inbox.iter().any(is_tick) {
            inbox.push_back(event);
        }
        self.schedule_step(machine);
        None
    }

    pub(super) fn schedule_step(&mut self, machine: usize) {
        let step_delay = &mut self.machines[machine].step_delay;
        if !std::mem::replace(&mut step_delay.is_scheduled, true) {
            let after = step_delay.busy_until - self.now;
            self.schedule(after, Event::Step { machine });
        }
    }

    /// Handles the next deferred event of a slow machine.
    pub(super) fn step(&mut self, machine: usize) {
        let mine = &mut self.machines[machine];
        mine.step_delay.is_scheduled = false;
        if mine.frozen || mine.step_delay.step_ms == 0.0 {
            return;
        }
        let Some(event) = self
            .deferred_events
            .get_mut(&machine)
            .and_then(VecDeque::pop_front)
        else {
            return;
        };
        mine.step_delay.is_current = true;
        self.handle_event(event);
        let mine = &mut self.machines[machine];
        mine.step_delay.is_current = false;
        if self
            .deferred_events
            .get(&machine)
            .is_some_and(|inbox| !inbox.is_empty())
        {
            self.schedule_step(machine);
        }
    }

    /// Handles all deferred events of a machine in their order.
    pub(super) fn handle_deferred_events(&mut self, machine: usize) {
        for event in self.deferred_events.remove(&machine).unwrap_or_default() {
            self.handle_event(event);
        }
    }

    pub(super) fn thaw(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        self.machines[machine].running_since = self.now;
        self.handle_deferred_events(machine);
        let (control, proxy) = (
            self.machines[machine].control_generation,
            self.machines[machine].proxy_generation,
        );
        for (generation, input) in self
            .deferred_disk_inputs
            .remove(&machine)
            .unwrap_or_default()
        {
            if generation == control {
                self.input(machine, input);
            }
        }
        self.schedule(
            0.0,
            Event::Tick {
                machine,
                generation: control,
            },
        );
        self.schedule(
            0.0,
            Event::ProxyTick {
                machine,
                generation: proxy,
            },
        );
    }
}
