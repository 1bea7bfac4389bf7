//! Commits the usage record of a request; each request has exactly one.

use crate::context::Context;
use billing::usage::Record;
use caller::Refusal;
use entity::Span;
use hyper::StatusCode;
use timeline::{Counter, Kind};

/// Commits a usage record: to the log, or to peers in other availability zones while the log is
/// slow or out. The end of the answer may go to the caller only after that.
///
/// # Errors
///
/// Neither the log nor peers accepted the record. The request has run, and its answer must not be
/// completed.
pub async fn commit(context: &Context, record: Record) -> Result<(), Refusal> {
    let request = record.request;
    let cost = record.cost();
    let organisation = record.organisation.clone();
    context.usage.commit(record).await.map_err(|error| {
        let message = format!("the usage of this request could not be recorded: {error}");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal::may_have_run(status, "usage-unavailable", message)
            .with_retry_after(Span::from_secs(2))
    })?;
    context.core.metric.count(Counter::Usage);
    let draft = context.core.recorder.event(Kind::Billed).request(request);
    draft
        .text("organisation", organisation)
        .text("cost", cost)
        .record();
    Ok(())
}
