//! The one usage record of a request.

use crate::context::Context;
use billing::usage::Record;
use caller::Refusal;
use entity::Span;
use hyper::StatusCode;
use timeline::{Counter, Kind};

/// Makes a record safe: on the log, or held by fellows in other zones while the log is slow or out.
/// Only then may the end of the answer go to the caller.
///
/// # Errors
///
/// Neither took it; the request has run and its answer must not be completed.
pub async fn commit(context: &Context, record: Record) -> Result<(), Refusal> {
    let request = record.request;
    let cost = record.cost();
    let organisation = record.organisation.clone();
    context.usage.commit(record).await.map_err(|error| {
        let message = format!("the usage of this request could not be recorded: {error}");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal::may_have_run(status, "usage-unavailable", message).after(Span::from_secs(2))
    })?;
    context.core.metric.count(Counter::Usage);
    let draft = context.core.recorder.event(Kind::Billed).request(request);
    draft
        .text("organisation", organisation)
        .text("cost", cost)
        .record();
    Ok(())
}
