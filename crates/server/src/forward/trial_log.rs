//! Log lines about the trials of releases at this instance.

use entity::unit::Share;
use entity::{Span, name};
use quality::release::{Basis, Report};
use quality::trial::{Ruling, Tally};
use timeline::{EventBuilder, Kind, Recorder};

/// Logs trials whose share or ruling has changed.
#[derive(Debug, Default)]
pub struct Log {
    /// Target, share with the number of announced steps, and ruling of the trials logged last.
    logged: Vec<(name::Version, (Share, usize), Option<Ruling>)>,
}

impl Log {
    /// Logs the trials that have changed, with the evidence that is known here.
    pub fn record(&mut self, recorder: &Recorder, reports: &[Report]) {
        let states: Vec<_> = reports
            .iter()
            .map(|report| {
                let announced = report.schedule.len();
                (
                    report.target.clone(),
                    (report.share, announced),
                    report.ruling,
                )
            })
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
                .text("steps", steps(&report.schedule))
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

/// Returns the ages of the order from which each step of the share holds, as text.
fn steps(schedule: &[Span]) -> String {
    let ages: Vec<String> = schedule.iter().map(Span::to_string).collect();
    ages.join(",")
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
        .text("position", basis.position)
        .text("order-age", basis.order_age)
        .count("steps", basis.announced as u64)
        .text("old", &basis.old)
        .text("ruling", ruling(basis.ruling));
    match session {
        Some(session) => event.text("session", session),
        None => event,
    }
}

fn ruling(ruling: Option<Ruling>) -> &'static str {
    match ruling {
        None => "open",
        Some(Ruling::Good) => "good",
        Some(Ruling::Bad) => "bad",
    }
}
