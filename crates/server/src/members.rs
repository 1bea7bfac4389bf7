//! The task that polls the instance list.

use crate::clock::Clock;
use entity::{Moment, Span};
use instances::{Client, List};
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Result of one read of the list.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// Instance list; empty before the first read.
    pub list: Arc<List>,
    /// Time at which the read began.
    pub begun: Moment,
    /// Time at which the read ended.
    pub ended: Moment,
}

/// Starts the task, which reads the list at an interval of `poll` and skips failed reads.
pub fn spawn(
    client: Client,
    poll: Span,
    clock: Clock,
    cancel: CancellationToken,
) -> watch::Receiver<Reading> {
    let (sender, readings) = watch::channel(Reading::default());
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = run(client, poll, clock, sender) => {}
        }
    });
    readings
}

async fn run(client: Client, poll: Span, clock: Clock, readings: watch::Sender<Reading>) {
    let mut ticks = tokio::time::interval(poll.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let begun = clock.now();
        let Ok(list) = client.read().await else {
            continue;
        };
        let reading = Reading {
            list: Arc::new(list),
            begun,
            ended: clock.now(),
        };
        readings.send_replace(reading);
    }
}
