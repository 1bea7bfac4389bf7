//! Watches the generation that an instance says is in force.

use super::audit::Breach;
use serde_json::Value;
use standins::client::Client;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::sync::CancellationToken;

/// Time between two looks.
const POLL: Duration = Duration::from_millis(200);
/// Longest wait for one look; an instance may be frozen.
const WAIT: Duration = Duration::from_secs(1);

/// Watches an instance until the token is cancelled, and sends what is wrong.
pub(super) fn spawn(
    name: String,
    operator: SocketAddr,
    breaches: UnboundedSender<Breach>,
    cancel: &CancellationToken,
) {
    let cancel = cancel.clone();
    tokio::spawn(async move {
        cancel
            .run_until_cancelled(watch(name, operator, breaches))
            .await
    });
}

async fn watch(name: String, operator: SocketAddr, breaches: UnboundedSender<Breach>) {
    let client = Client::default();
    let mut last = 0;
    loop {
        tokio::time::sleep(POLL).await;
        let reply = tokio::time::timeout(WAIT, client.get(operator, "/status")).await;
        let Ok(Ok((200, status))) = reply else {
            continue;
        };
        let Some(generation) = status["generation"].as_u64() else {
            continue;
        };
        if generation < last {
            // The receiver lives as long as the run.
            let _ = breaches.send(reverted(&name, last, generation, &status));
        }
        last = generation;
    }
}

fn reverted(name: &str, last: u64, generation: u64, status: &Value) -> Breach {
    let author = &status["author"];
    Breach {
        rule: "reverted",
        detail: format!("{name}: generation {last}, then {generation} by {author}"),
    }
}
