//! Checks that the generation in an instance's status never decreases.

use super::audit::Violation;
use serde_json::Value;
use standins::client::Client;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::sync::CancellationToken;

/// Time between two polls of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a status; the instance may be frozen.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the status of an instance until the token is cancelled, and sends the violations found.
pub(super) fn spawn(
    name: String,
    operator: SocketAddr,
    violations: UnboundedSender<Violation>,
    cancel: &CancellationToken,
) {
    let cancel = cancel.clone();
    tokio::spawn(async move {
        cancel
            .run_until_cancelled(watch(name, operator, violations))
            .await
    });
}

async fn watch(name: String, operator: SocketAddr, violations: UnboundedSender<Violation>) {
    let client = Client::default();
    let mut last = 0;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let reply = tokio::time::timeout(STATUS_TIMEOUT, client.get(operator, "/status")).await;
        let Ok(Ok((200, status))) = reply else {
            continue;
        };
        let Some(generation) = status["generation"].as_u64() else {
            continue;
        };
        if generation < last {
            // The receiver is dropped only at the end of the run.
            let _ = violations.send(reverted(&name, last, generation, &status));
        }
        last = generation;
    }
}

fn reverted(name: &str, last: u64, generation: u64, status: &Value) -> Violation {
    let author = &status["author"];
    Violation {
        rule: "reverted",
        detail: format!("{name}: generation {last}, then {generation} by {author}"),
    }
}
