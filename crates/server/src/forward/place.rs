//! Places at other upstreams for silent streams.

use crate::forward::run::{Resolved, Run};
use crate::tries::{self, History};
use entity::name;
use routing::{Choice, Outcome};
use std::sync::Arc;
use timeline::Kind;

/// A place at another upstream, and what goes on there.
pub struct Place {
    /// The request, resolved against the configuration in force.
    pub resolved: Resolved,
    /// Results of the tries so far, the silent one included.
    pub history: History,
    /// The chosen upstream.
    pub reserved: Reserved,
}

/// A choice that is given back when it is dropped.
pub struct Reserved {
    run: Arc<Run>,
    choice: Option<Choice>,
}

impl Reserved {
    /// Returns the choice, which must be finished.
    pub fn take(mut self) -> Option<Choice> {
        self.choice.take()
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let Some(choice) = self.choice.take() else {
            return;
        };
        let run = self.run.clone();
        tokio::spawn(async move {
            let decider = &run.shared.core.decider;
            decider.finish(choice, Outcome::Cancelled).await;
        });
    }
}

/// Result of a search.
pub enum Sought {
    /// A place, and the permission to send the request once more.
    Found(Box<Place>),
    /// No upstream has a place now, or the bound on repeats allows none.
    NoPlace,
    /// No other try is left, or the instance is being shut down.
    Last,
}

/// Seeks a place for a stream after the tries in `history`. Nothing is sent.
pub async fn seek(run: Arc<Run>, model: Option<name::Model>, history: History) -> Sought {
    let core = &run.shared.core;
    if core.is_closing() {
        return Sought::Last;
    }
    let Some(resolved) = run.resolve_again().await else {
        return Sought::NoPlace;
    };
    let job = run.job(&resolved, model.as_ref());
    if !history.can_try(&job) {
        return Sought::Last;
    }
    let Ok(choice) = tries::choose(core, &job, &history).await else {
        return Sought::NoPlace;
    };
    let reserved = Reserved {
        run: run.clone(),
        choice: Some(choice),
    };
    if !matches!(
        tries::retry_delay(core, &job, &history, true).await,
        Ok(Some(_))
    ) {
        let draft = core.recorder.event(Kind::Refused).request(run.id);
        let why = "the stream is silent, and no repeat is left";
        draft.text("why", why).record();
        return Sought::NoPlace;
    }
    Sought::Found(Box::new(Place {
        resolved,
        history,
        reserved,
    }))
}
