//! Follows an upstream for a while after a whole answer, as a request may end it right after.

use crate::forward::holds::{self, Subject};
use crate::forward::run::Run;
use entity::Span;
use quarantine::{Closing, Extent};
use routing::Choice;
use timeline::Kind;
use tokio::time::Instant;
use upstream::close::{Fate, Watch};

/// Follows the upstream of a choice over the connection on which it has just given a whole answer, whose head had
/// arrived at `begun`.
pub fn follow(run: &Run, choice: &Choice, begun: Instant, watch: Watch) {
    let (shared, id) = (run.shared.clone(), run.id);
    let (parts, fingerprint) = (run.parts.clone(), run.fingerprint.get().copied());
    let (ended, upstream) = (Instant::now(), choice.upstream.clone());
    let victim = choice.incarnation().map(|one| holds::victim(&one));
    tokio::spawn(async move {
        let (core, holds) = (&shared.core, &shared.holds);
        let subject = Subject {
            parts: &parts,
            fingerprint,
        };
        match watch.wait().await {
            Fate::Unknown => {}
            Fate::Open => holds.record_sound(core, subject, Extent::Outlived),
            Fate::Closed => {
                let draft = core.recorder.event(Kind::Lost).request(id);
                let draft = subject.describe(draft.text("upstream", &upstream));
                draft.text("after", Span::from(ended.elapsed())).record();
                let Some(victim) = victim else {
                    return;
                };
                holds.record_closing(Closing {
                    victim,
                    parts,
                    fingerprint,
                    since_head: Span::from(begun.elapsed()),
                    at: core.clock.now(),
                });
            }
        }
    });
}
