//! Log lines about the trials of releases at this instance.

use entity::name;
use entity::unit::Share;
use quality::release::Report;
use quality::trial::{Ruling, Tally};
use timeline::{Kind, Recorder};

/// Logs trials whose share or ruling has changed.
#[derive(Debug, Default)]
pub struct Log {
    /// Target, share and ruling of the trials that were logged last.
    logged: Vec<(name::Version, Share, Option<Ruling>)>,
}

impl Log {
    /// Logs the trials that have changed, with the evidence that is known here.
    pub fn record(&mut self, recorder: &Recorder, reports: &[Report]) {
        let states: Vec<_> = reports
            .iter()
            .map(|report| (report.target.clone(), report.share, report.ruling))
            .collect();
        for (report, state) in reports.iter().zip(&states) {
            if self.logged.contains(state) {
                continue;
            }
            let ruling = match report.ruling {
                None => "open",
                Some(Ruling::Good) => "good",
                Some(Ruling::Bad) => "bad",
            };
            recorder
                .event(Kind::Tried)
                .text("service", &report.service)
                .text("target", &report.target)
                .text("ruling", ruling)
                .text("share", report.share)
                .text("age", report.age)
                .text("evidence", evidence(report.sum))
                .record();
        }
        self.logged = states;
    }
}

/// Returns the answers of both releases and how many of them were bad, as text.
pub fn evidence(sum: Tally) -> String {
    let Tally {
        old,
        old_bad,
        new,
        new_bad,
    } = sum;
    format!("old {old_bad} bad of {old}, new {new_bad} bad of {new}")
}
