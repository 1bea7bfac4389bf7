//! Rulings that one instance writes to the store for all. [`quality::ruling`] decides when.

use super::Task;
use crate::forward::trial_log;
use entity::{Era, Offset, Span};
use forward::Source;
use forward::source::Topic;
use quality::release::Report;
use quality::ruling::Step;
use quality::trial::Ruling;
use timeline::Kind;

/// Time that each instance in the rendezvous order waits for the one before it to write a ruling.
const RANK_DELAY: Span = Span::from_millis(500);

impl<S: Source> Task<S> {
    /// Writes rulings whose waiting time for this instance's rank has passed.
    pub(super) async fn write_due_rulings(&mut self, reports: &[Report]) {
        let now = self.now();
        let era = self.parts.shared.freshness.era();
        for report in reports {
            let rank = self.rank(report.service.as_str(), now);
            let wait = Span::from_micros(RANK_DELAY.as_micros() * rank);
            match self.rulings.next(report, era, wait, now) {
                Step::Wait => {}
                Step::List => self.read_ruling(report).await,
                Step::Write(ruling, end) => self.write_ruling(report, ruling, (era, end)).await,
            }
        }
    }

    /// Asks the store for the ruling on an order, and adopts it if there is one.
    async fn read_ruling(&mut self, report: &Report) {
        let listing = match self.source.newest(Topic::Progress).await {
            Ok(listing) => listing,
            Err(error) => {
                // The next round retries.
                self.record_outage("store", &error.to_string());
                return;
            }
        };
        let Some(ruling) = listing.ruling(&report.service, release_of(report)) else {
            self.rulings.record_unruled(&report.service, listing.end);
            return;
        };
        let ruling = match ruling {
            config::Progress::Completed => Ruling::Good,
            config::Progress::RolledBack => Ruling::Bad,
            config::Progress::Running => return,
        };
        self.record_ruling(report, ruling, "store");
        self.end_trial(report, ruling, listing.era).await;
    }

    async fn write_ruling(&mut self, report: &Report, ruling: Ruling, (era, end): (Era, Offset)) {
        let progress = match ruling {
            Ruling::Good => config::Progress::Completed,
            Ruling::Bad => config::Progress::RolledBack,
        };
        let (service, release) = (&report.service, release_of(report));
        let written = self.source.report(service, release, progress, end);
        if let Err(error) = written.await {
            // The next round asks the store what has become of it.
            self.rulings.record_failure(service);
            self.record_outage("store", &error.to_string());
            return;
        }
        self.record_ruling(report, ruling, "own");
        self.end_trial(report, ruling, era).await;
    }

    fn record_ruling(&self, report: &Report, ruling: Ruling, by: &str) {
        let recorder = &self.parts.shared.core.recorder;
        recorder
            .event(Kind::Judged)
            .text("service", &report.service)
            .text("target", &report.target)
            .text("ruling", format!("{ruling:?}"))
            .text("by", by)
            .text("age", report.age)
            .text("evidence", trial_log::evidence(report.sum))
            .record();
    }

    async fn end_trial(&self, report: &Report, ruling: Ruling, era: Era) {
        let (service, target) = (report.service.clone(), report.target.clone());
        let decider = &self.parts.shared.core.decider;
        decider
            .record_written_ruling(service, target, ruling, era)
            .await;
    }
}

/// Returns the name of the release that an order names, as operators write it.
fn release_of(report: &Report) -> &str {
    let target = report.target.as_str();
    target.rsplit_once('/').map_or(target, |(_, last)| last)
}
