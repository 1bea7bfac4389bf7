//! Causes the faults of a plan.

use super::audit::Breach;
use super::balancer::Balancer;
use super::edit::{ALL, Publisher};
use super::plan::{Caused, ENGINES, Fault, PLAIN, Step};
use super::watch;
use crate::{Instance, Process, Signal, Standin, System};
use anyhow::Result;
use serde_json::{Value, json};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time between a death and its entry on the list.
const LIST_DELAY: Duration = Duration::from_millis(700);
/// Longest wait for a replacement to be ready; during an outage it may not be.
const READY_LIMIT: Duration = Duration::from_secs(4);
/// Time between two looks at a replacement.
const READY_POLL: Duration = Duration::from_millis(100);

/// How far apart two edits that race are among all edits; neighbours would take both zones of a
/// region out.
const RACE_STRIDE: usize = 2;

/// Owns the system while faults are caused.
pub(super) struct Driver {
    pub(super) system: System,
    pub(super) balancers: Vec<Balancer>,
    pub(super) publisher: Publisher,
    pub(super) breaches: UnboundedSender<Breach>,
    pub(super) cancel: CancellationToken,
    pub(super) caused: Vec<Caused>,
    /// Instances that were replaced and end by themselves.
    pub(super) ending: JoinSet<Option<Breach>>,
    /// Publications under way.
    pub(super) edits: JoinSet<bool>,
}

/// The time in milliseconds since the Unix epoch.
pub(super) fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Driver {
    /// Causes and lifts faults in the order of their times.
    pub(super) async fn drive(&mut self, steps: &[Step]) -> Result<()> {
        let begin = Instant::now();
        let mut moments = Vec::new();
        for (index, step) in steps.iter().enumerate() {
            moments.push((step.begin, index, true));
            moments.push((step.end, index, false));
        }
        moments.sort_unstable();
        let mut entries: Vec<Option<usize>> = vec![None; steps.len()];
        for (at, index, begins) in moments {
            tokio::time::sleep_until(begin + at).await;
            let fault = steps[index].fault;
            if begins {
                let instance = self.begin(fault).await?;
                entries[index] = Some(self.caused.len());
                self.caused.push(Caused {
                    begin: now_ms(),
                    end: u64::MAX,
                    fault,
                    instance,
                });
                continue;
            }
            let caused = entries[index].expect("a fault begins before it ends");
            let instance = self.caused[caused].instance.clone();
            self.lift(fault, instance.as_deref()).await?;
            self.caused[caused].end = now_ms();
        }
        Ok(())
    }

    async fn begin(&mut self, fault: Fault) -> Result<Option<String>> {
        match fault {
            Fault::Kill(slot) => return self.replace(slot, Signal::Kill).await.map(Some),
            Fault::Terminate(slot) => return self.replace(slot, Signal::Terminate).await.map(Some),
            Fault::Stop(slot) => {
                let process = &self.system.instances[slot].process;
                process.signal(Signal::Stop)?;
                return Ok(Some(process.name().to_owned()));
            }
            Fault::Edit(edit) => {
                self.race(edit, true);
                return Ok(None);
            }
            _ => {}
        }
        if let Some((standin, on, _)) = self.switches(fault) {
            self.system.fault(standin, &on).await?;
        }
        Ok(None)
    }

    async fn lift(&mut self, fault: Fault, instance: Option<&str>) -> Result<()> {
        if let Fault::Edit(edit) = fault {
            self.race(edit, false);
        }
        if matches!(fault, Fault::Stop(_)) {
            let mut instances = self.system.instances.iter();
            let frozen = instances.find(|entry| Some(entry.process.name()) == instance);
            if let Some(frozen) = frozen {
                frozen.process.signal(Signal::Continue)?;
            }
        }
        if let Some((standin, _, off)) = self.switches(fault) {
            self.system.fault(standin, &off).await?;
        }
        Ok(())
    }

    /// The stand-in of a fault, and its switches during the fault and after it.
    fn switches(&self, fault: Fault) -> Option<(&Standin, Value, Value)> {
        let system = &self.system;
        let engine = |index: usize| system.upstream(ENGINES[index]);
        let switches = match fault {
            Fault::LogDown => (&system.log, json!({"down": true}), json!({"down": false})),
            Fault::LogSlow => (
                &system.log,
                json!({"delay_ms": 600}),
                json!({"delay_ms": 0}),
            ),
            Fault::LogLosesReplies => (
                &system.log,
                json!({"lose_replies": 0.4}),
                json!({"lose_replies": 0.0}),
            ),
            Fault::LogRefuses => (
                &system.log,
                json!({"drop_appends": 0.6}),
                json!({"drop_appends": 0.0}),
            ),
            Fault::ListDown => (&system.list, json!({"down": true}), json!({"down": false})),
            Fault::ListLags => (&system.list, json!({"lag_ms": 4000}), json!({"lag_ms": 0})),
            Fault::WrongId(at) => (
                engine(at),
                json!({"wrong_id": 0.4}),
                json!({"wrong_id": 0.0}),
            ),
            Fault::EndEarly(at) => (
                engine(at),
                json!({"end_early": 0.4}),
                json!({"end_early": 0.0}),
            ),
            Fault::Refuse(at) => (engine(at), json!({"refuse": 0.5}), json!({"refuse": 0.0})),
            Fault::Cold(at) => (engine(at), json!({"cold": true}), json!({"cold": false})),
            Fault::LosesReplies(at) => (
                system.upstream(PLAIN[at]),
                json!({"lose_replies": 0.4}),
                json!({"lose_replies": 0.0}),
            ),
            Fault::RatingDown => (
                &system.rating,
                json!({"down": true}),
                json!({"down": false}),
            ),
            Fault::Kill(_) | Fault::Stop(_) | Fault::Terminate(_) | Fault::Edit(_) => return None,
        };
        Some(switches)
    }

    /// Two commands at once put an edit and another one in, or take both back.
    fn race(&mut self, edit: usize, on: bool) {
        let publisher = self.publisher.clone();
        self.edits
            .spawn(async move { publisher.set(edit, on).await });
        let other = (edit + RACE_STRIDE) % ALL.len();
        let publisher = self.publisher.clone();
        self.edits
            .spawn(async move { publisher.set(other, on).await });
    }

    /// Puts a new instance in a slot and ends the old one. Returns the old one's name.
    async fn replace(&mut self, slot: usize, signal: Signal) -> Result<String> {
        if signal == Signal::Kill {
            self.system.instances[slot].process.signal(signal)?;
        }
        let added = self.system.start_instance().await?;
        let old = self.system.instances.swap_remove(slot);
        debug_assert_eq!(added, self.system.instances.len(), "the new one was last");
        self.watch(slot);
        let name = old.process.name().to_owned();
        let ready = tokio::time::timeout(READY_LIMIT, self.system.wait_ready(slot)).await;
        // During an outage a replacement may not be ready; the balancer turns to it all the same.
        drop(ready);
        self.balancers[slot].point_to(self.system.instances[slot].caller);
        if signal == Signal::Kill {
            tokio::time::sleep(LIST_DELAY).await;
            self.system.take_off_list(&name).await?;
            self.ending.spawn(buried(old.process));
            return Ok(name);
        }
        tokio::time::sleep(READY_POLL).await;
        self.leave(old, &name).await?;
        Ok(name)
    }

    /// SIGTERM under load; the list follows.
    async fn leave(&mut self, old: Instance, name: &str) -> Result<()> {
        // It may be frozen by another fault, which would end with it.
        old.process.signal(Signal::Continue)?;
        old.process.signal(Signal::Terminate)?;
        self.system.take_off_list(name).await?;
        self.ending.spawn(ended(old.process));
        Ok(())
    }

    /// Begins to watch the instance of a slot.
    pub(super) fn watch(&self, slot: usize) {
        let instance = &self.system.instances[slot];
        let name = instance.process.name().to_owned();
        watch::spawn(name, instance.operator, self.breaches.clone(), &self.cancel);
    }
}

async fn buried(mut process: Process) -> Option<Breach> {
    // Killed processes have no exit code to look at.
    let _ = process.wait().await;
    None
}

/// Waits for an instance that got SIGTERM, and tells an exit code other than 0.
pub(super) async fn ended(mut process: Process) -> Option<Breach> {
    let status = process.wait().await;
    let detail = match status {
        Ok(status) if status.success() => return None,
        Ok(status) => format!("{} ended with {status}", process.name()),
        Err(error) => format!("{error:#}"),
    };
    Some(Breach {
        rule: "unclean-exit",
        detail,
    })
}
