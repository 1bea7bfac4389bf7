//! Follows an upstream for a while after a whole answer, as a request may end it right after.

use crate::forward::run::Run;
use entity::{Span, name};
use timeline::Kind;
use tokio::time::Instant;
use upstream::close::{Fate, Watch};

/// Follows an upstream over the connection on which it has just given a whole answer.
pub fn follow(run: &Run, upstream: &name::Upstream, watch: Watch) {
    let (shared, id, labels) = (run.shared.clone(), run.id, run.labels());
    let (ended, upstream) = (Instant::now(), upstream.clone());
    tokio::spawn(async move {
        if watch.wait().await != Fate::Closed {
            return;
        }
        let draft = shared.core.recorder.event(Kind::Lost).request(id);
        let draft = labels.describe(draft.text("upstream", &upstream));
        draft.text("after", Span::from(ended.elapsed())).record();
    });
}
