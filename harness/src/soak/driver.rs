//! Injects the faults of a plan.

use super::audit::Violation;
use super::balancer::Balancer;
use super::edit::{EDITS, Publisher};
use super::plan::{ENGINES, Fault, InjectedFault, PLAIN_SERVICES, Step};
use super::watch;
use crate::{Instance, Process, Signal, Standin, System};
use anyhow::Result;
use serde_json::{Value, json};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time between the death of an instance and its removal from the instance list.
const LIST_REMOVAL_DELAY: Duration = Duration::from_millis(700);
/// Longest wait for a replacement to be ready, which it may not be during an outage.
const READY_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between pointing the balancer to a replacement and terminating the replaced instance.
const TERMINATE_DELAY: Duration = Duration::from_millis(100);

/// Distance between the indices of two edits that race. With adjacent edits, both zones of a region
/// would be out.
const RACE_STRIDE: usize = 2;

/// Owns the system while faults are injected.
pub(super) struct Driver {
    pub(super) system: System,
    pub(super) balancers: Vec<Balancer>,
    pub(super) publisher: Publisher,
    pub(super) violations: UnboundedSender<Violation>,
    pub(super) cancel: CancellationToken,
    pub(super) injected: Vec<InjectedFault>,
    /// Tasks that wait for signalled instances to exit.
    pub(super) exiting: JoinSet<Option<Violation>>,
    /// Publications in progress.
    pub(super) edits: JoinSet<bool>,
}

/// Returns the time in milliseconds since the Unix epoch.
pub(super) fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Driver {
    /// Injects and clears the planned faults at their times.
    pub(super) async fn run_plan(&mut self, steps: &[Step]) -> Result<()> {
        let begin = Instant::now();
        let mut transitions = Vec::new();
        for (index, step) in steps.iter().enumerate() {
            transitions.push((step.begin, index, true));
            transitions.push((step.end, index, false));
        }
        transitions.sort_unstable();
        let mut indices: Vec<Option<usize>> = vec![None; steps.len()];
        for (at, index, begins) in transitions {
            tokio::time::sleep_until(begin + at).await;
            let fault = steps[index].fault;
            if begins {
                let instance = self.inject(fault).await?;
                indices[index] = Some(self.injected.len());
                self.injected.push(InjectedFault {
                    begin: now_ms(),
                    end: u64::MAX,
                    fault,
                    instance,
                });
                continue;
            }
            let position = indices[index].expect("a fault ends after it begins");
            let instance = self.injected[position].instance.clone();
            self.clear(fault, instance.as_deref()).await?;
            self.injected[position].end = now_ms();
        }
        Ok(())
    }

    async fn inject(&mut self, fault: Fault) -> Result<Option<String>> {
        match fault {
            Fault::Kill(slot) => return self.replace(slot, Signal::Kill).await.map(Some),
            Fault::Terminate(slot) => return self.replace(slot, Signal::Terminate).await.map(Some),
            Fault::Stop(slot) => {
                let process = &self.system.instances[slot].process;
                process.signal(Signal::Stop)?;
                return Ok(Some(process.name().to_owned()));
            }
            Fault::Edit(edit) => {
                self.race_edits(edit, true);
                return Ok(None);
            }
            _ => {}
        }
        if let Some((standin, on, _)) = self.fault_settings(fault) {
            self.system.set_faults(standin, &on).await?;
        }
        Ok(None)
    }

    async fn clear(&mut self, fault: Fault, instance: Option<&str>) -> Result<()> {
        if let Fault::Edit(edit) = fault {
            self.race_edits(edit, false);
        }
        if matches!(fault, Fault::Stop(_)) {
            let mut instances = self.system.instances.iter();
            let frozen = instances.find(|entry| Some(entry.process.name()) == instance);
            if let Some(frozen) = frozen {
                frozen.process.signal(Signal::Continue)?;
            }
        }
        if let Some((standin, _, off)) = self.fault_settings(fault) {
            self.system.set_faults(standin, &off).await?;
        }
        Ok(())
    }

    /// Returns the stand-in of a fault, and its fault settings during the fault and after it.
    fn fault_settings(&self, fault: Fault) -> Option<(&Standin, Value, Value)> {
        let system = &self.system;
        let engine = |index: usize| system.upstream(ENGINES[index]);
        let settings = match fault {
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
                system.upstream(PLAIN_SERVICES[at]),
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
        Some(settings)
    }

    /// Applies two edits with two concurrent commands, or removes both.
    fn race_edits(&mut self, edit: usize, on: bool) {
        let publisher = self.publisher.clone();
        self.edits
            .spawn(async move { publisher.set_edit(edit, on).await });
        let other = (edit + RACE_STRIDE) % EDITS.len();
        let publisher = self.publisher.clone();
        self.edits
            .spawn(async move { publisher.set_edit(other, on).await });
    }

    /// Starts a new instance in a slot, ends the old one and returns the old one's name.
    async fn replace(&mut self, slot: usize, signal: Signal) -> Result<String> {
        if signal == Signal::Kill {
            self.system.instances[slot].process.signal(signal)?;
        }
        let added = self.system.start_instance().await?;
        let old = self.system.instances.swap_remove(slot);
        debug_assert_eq!(
            added,
            self.system.instances.len(),
            "the new instance is the last one"
        );
        self.watch_instance(slot);
        let name = old.process.name().to_owned();
        let ready = tokio::time::timeout(READY_TIMEOUT, self.system.wait_ready(slot)).await;
        // The replacement may not be ready during an outage; the balancer sends it requests anyway.
        drop(ready);
        self.balancers[slot].set_target(self.system.instances[slot].caller);
        if signal == Signal::Kill {
            tokio::time::sleep(LIST_REMOVAL_DELAY).await;
            self.system.remove_from_list(&name).await?;
            self.exiting.spawn(reap_killed(old.process));
            return Ok(name);
        }
        tokio::time::sleep(TERMINATE_DELAY).await;
        self.terminate(old, &name).await?;
        Ok(name)
    }

    /// Sends SIGTERM under load and removes the instance from the instance list.
    async fn terminate(&mut self, old: Instance, name: &str) -> Result<()> {
        // A frozen instance would not handle SIGTERM until the fault that froze it ends.
        old.process.signal(Signal::Continue)?;
        old.process.signal(Signal::Terminate)?;
        self.system.remove_from_list(name).await?;
        self.exiting.spawn(wait_for_clean_exit(old.process));
        Ok(())
    }

    /// Starts the task that checks the status of the instance of a slot.
    pub(super) fn watch_instance(&self, slot: usize) {
        let instance = &self.system.instances[slot];
        let name = instance.process.name().to_owned();
        watch::spawn(
            name,
            instance.operator,
            self.violations.clone(),
            &self.cancel,
        );
    }
}

async fn reap_killed(mut process: Process) -> Option<Violation> {
    // A killed process has no exit code to check.
    let _ = process.wait().await;
    None
}

/// Waits for an instance that got SIGTERM to exit. Returns a violation unless its exit code is 0.
pub(super) async fn wait_for_clean_exit(mut process: Process) -> Option<Violation> {
    let status = process.wait().await;
    let detail = match status {
        Ok(status) if status.success() => return None,
        Ok(status) => format!("{} exited with {status}", process.name()),
        Err(error) => format!("{error:#}"),
    };
    Some(Violation {
        rule: "unclean-exit",
        detail,
    })
}
