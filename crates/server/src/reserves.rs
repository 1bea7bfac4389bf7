//! Reports how reserved capacity was used, so that idle capacity can be traced to the organisation
//! that reserved it.

use crate::context::Context;
use billing::usage::Interval;
use entity::{Moment, request};
use routing::reserve::Usage;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Interval of the reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// Reports the use of reserves in each interval. The last, incomplete interval is lost when the
/// instance ends.
pub async fn report(context: Arc<Context>) {
    let mut before: Vec<Usage> = Vec::new();
    let mut since = context.core.clock.now();
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let Ok(usages) = context.core.decider.reserve_usages().await else {
            return;
        };
        let now = context.core.clock.now();
        for usage in &usages {
            let earlier = before
                .iter()
                .find(|earlier| earlier.organisation == usage.organisation);
            let interval = interval(&context, usage, earlier, since, now);
            if interval.used_ms + interval.lent_ms + interval.idle_ms > 0 {
                let _ = context.usage.report(interval).await;
            }
        }
        before = usages;
        since = now;
    }
}

fn interval(
    context: &Context,
    usage: &Usage,
    earlier: Option<&Usage>,
    since: Moment,
    now: Moment,
) -> Interval {
    let length_ms = now.since(since).as_micros() / 1000;
    let millis = |seconds: f64| (seconds.max(0.0) * 1000.0).round() as u64;
    let (idle, lent) = earlier.map_or((0.0, 0.0), |earlier| (earlier.idle, earlier.lent));
    let (idle_ms, lent_ms) = (millis(usage.idle - idle), millis(usage.lent - lent));
    // Reserved capacity that was neither idle nor lent was used by its organisation.
    let reserved_ms = u64::from(usage.reserve) * length_ms;
    Interval {
        id: request::Id::random(SystemTime::now(), &mut rand::rng()),
        writer: context.settings.instance.name.clone(),
        organisation: usage.organisation.clone(),
        length_ms,
        used_ms: reserved_ms.saturating_sub(idle_ms + lent_ms),
        lent_ms,
        idle_ms,
    }
}
