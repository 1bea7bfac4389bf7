//! Log lines about the trials of releases at this instance.

use entity::name;
use entity::unit::Share;
use quality::release::{Basis, Report};
use quality::trial::{Ruling, Tally};
use timeline::{EventBuilder, Kind, Recorder};

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
            recorder
                .event(Kind::Tried)
                .text("service", &report.service)
                .text("target", &report.target)
                .text("ruling", ruling(report.ruling))
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

/// Adds to an event by what the release of a request was chosen.
pub fn describe_choice<'a>(
    event: EventBuilder<'a>,
    session: Option<&str>,
    basis: Option<&Basis>,
) -> EventBuilder<'a> {
    let Some(basis) = basis else {
        return event;
    };
    let event = event
        .text("share", basis.share)
        .text("order-age", basis.order_age)
        .text("ruling", ruling(basis.ruling))
        .flag("recently-started", basis.recently_started);
    let Some(session) = session else {
        return event;
    };
    let event = event.text("session", session);
    match &basis.sighting {
        None => event.text("session-known", "no"),
        Some(sighting) => event
            .text("session-known", sighting.origin)
            .text("session-release", &sighting.version)
            .text("session-age", sighting.age),
    }
}

fn ruling(ruling: Option<Ruling>) -> &'static str {
    match ruling {
        None => "open",
        Some(Ruling::Good) => "good",
        Some(Ruling::Bad) => "bad",
    }
}
