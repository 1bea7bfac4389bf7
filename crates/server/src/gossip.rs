//! The task that exchanges digests with a few random peers every second or two.
//!
//! An update of one instance reaches `n` others in about `log n` rounds (Demers et al., "Epidemic
//! algorithms for replicated database maintenance", 1987), even during an outage of the log. The
//! cost for an instance does not depend on the number of instances.

use crate::context::Context;
use crate::decider::Update;
use crate::{digest, rendezvous};
use adoption::{Checkpoint, FORMAT};
use entity::{Generation, Offset, name};
use instances::{Instance, List, State};
use peer::message::{Body, Evidence, Pull, Verdicts};
use quality::Verdict;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Shortest and longest time between two rounds.
const ROUND_INTERVAL_RANGE: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(2000));
/// Number of peers in one round.
const PEERS_PER_ROUND: usize = 2;
/// Largest number of peers for which totals of ratings are sent to all of them.
const SMALL_SYSTEM_PEERS: usize = 16;
/// Number of instances that sum up the ratings of one rollout.
const OWNERS_PER_ROLLOUT: usize = 2;

/// Starts the task. A message on `wake` begins a round at once; one with a name exchanges digests
/// with that peer only.
pub fn spawn(
    context: Arc<Context>,
    wake: mpsc::Receiver<Option<name::Instance>>,
    cancel: CancellationToken,
) {
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = run(context, wake) => {}
        }
    });
}

async fn run(context: Arc<Context>, mut wake: mpsc::Receiver<Option<name::Instance>>) {
    loop {
        let period = rand::rng().random_range(ROUND_INTERVAL_RANGE.0..ROUND_INTERVAL_RANGE.1);
        let woken = tokio::time::timeout(period, wake.recv()).await;
        context.refresh_digest().await;
        let list = context.members.borrow().list.clone();
        match woken {
            Ok(Some(Some(name))) => {
                if let Some(peer) = list.get(&name) {
                    exchange(&context, peer).await;
                }
            }
            Ok(None) => return,
            Ok(Some(None)) | Err(_) => round(&context, &list).await,
        }
    }
}

async fn round(context: &Arc<Context>, list: &List) {
    let own = &context.settings.instance.name;
    let peers: Vec<&Instance> = list
        .instances
        .iter()
        .filter(|instance| instance.name != *own)
        .collect();
    let addresses: Vec<_> = list
        .instances
        .iter()
        .map(|instance| instance.address)
        .collect();
    context.links.retain(&addresses);
    let chosen: Vec<Instance> = peers
        .sample(&mut rand::rng(), PEERS_PER_ROUND)
        .map(|peer| (*peer).clone())
        .collect();
    let mut exchanges = tokio::task::JoinSet::new();
    for peer in chosen {
        let context = context.clone();
        exchanges.spawn(async move { exchange(&context, &peer).await });
    }
    while exchanges.join_next().await.is_some() {}
    send_evidence(context, list).await;
    send_totals(context, &peers).await;
}

/// Exchanges digests with a peer, then fetches its configuration if that is newer, and exchanges
/// verdicts if they differ.
async fn exchange(context: &Context, peer: &Instance) {
    let link = context.links.get(peer.address);
    let answer = link.request(Body::Digest(context.digest())).await;
    let Ok(Body::Digest(digest)) = answer else {
        context.contact.record_exchange(false);
        return;
    };
    context.contact.record_exchange(true);
    let Some(received) = digest::decode(&digest, context.core.clock.now()) else {
        return;
    };
    let newer = received.generation > context.generation();
    let verdicts_differ = received.verdicts_hash != context.digest().verdicts_hash;
    context.apply_digest(received).await;
    if newer && let Ok(Body::Text(text)) = link.request(pull(context.generation())).await {
        offer_configuration(context, text).await;
    }
    if !verdicts_differ {
        return;
    }
    let Ok(content) = context.core.decider.digest_content().await else {
        return;
    };
    let records = content.verdicts.iter().map(Verdict::to_record).collect();
    if let Ok(Body::Verdicts(verdicts)) = link.request(Body::Verdicts(Verdicts::new(records))).await
    {
        context
            .core
            .decider
            .apply_update(decode_verdicts(&verdicts))
            .await;
    }
}

fn pull(generation: Generation) -> Body {
    Body::Pull(Pull::new(generation.0 as i64))
}

/// Decodes verdicts of a peer; records that are malformed are left out.
pub fn decode_verdicts(message: &Verdicts) -> Update {
    let verdicts = message
        .records
        .iter()
        .filter_map(|record| Verdict::from_record(record).ok());
    Update {
        verdicts: verdicts.collect(),
        ..Update::default()
    }
}

/// Passes a configuration that a peer sent to the task that puts it in force.
async fn offer_configuration(context: &Context, text: peer::message::Text) {
    let checkpoint = Checkpoint {
        format: u32::try_from(text.format).unwrap_or(FORMAT + 1),
        generation: Generation(text.generation.max(0) as u64),
        read_through: Offset(text.generation.max(0) as u64),
        author: text.author.into(),
        text: text.text.into(),
    };
    let _ = context
        .configuration
        .peer_checkpoints
        .send(checkpoint)
        .await;
}

/// Sends this instance's sums of ratings to the instances that sum up those of each rollout.
async fn send_evidence(context: &Context, list: &List) {
    let Ok(content) = context.core.decider.digest_content().await else {
        return;
    };
    for rank in 0..OWNERS_PER_ROLLOUT {
        for summary in &content.summaries {
            let Some(owner) = owner(list, summary.rollout.service.as_str(), rank) else {
                continue;
            };
            if owner.name == context.settings.instance.name {
                continue;
            }
            let Ok(record) = serde_json::to_vec(summary) else {
                continue;
            };
            let body = Body::Evidence(Evidence::new(vec![record], Vec::new()));
            send_detached(context, owner, body);
        }
    }
}

/// Sends totals that have changed: to all peers in a small system, else to a few, since the ratings
/// of one instance matter less the more instances there are.
async fn send_totals(context: &Context, peers: &[&Instance]) {
    let Ok(totals) = context.core.decider.take_unsent_totals().await else {
        return;
    };
    if totals.is_empty() {
        return;
    }
    let records: Vec<_> = totals
        .iter()
        .filter_map(|total| serde_json::to_vec(total).ok())
        .collect();
    let count = if peers.len() <= SMALL_SYSTEM_PEERS {
        SMALL_SYSTEM_PEERS
    } else {
        PEERS_PER_ROUND
    };
    let chosen: Vec<_> = peers.sample(&mut rand::rng(), count).copied().collect();
    for peer in chosen {
        let evidence = Evidence::new(Vec::new(), records.clone());
        let body = Body::Evidence(evidence);
        send_detached(context, peer, body);
    }
}

/// Sends a message to a peer without waiting: an unreachable peer must not delay the rounds.
fn send_detached(context: &Context, peer: &Instance, body: Body) {
    let link = context.links.get(peer.address);
    tokio::spawn(async move { link.request(body).await });
}

/// Returns the live instance with a rank in the rendezvous order of a text; rank 0 is the owner.
pub fn owner<'a>(list: &'a List, text: &str, rank: usize) -> Option<&'a Instance> {
    let live = list
        .instances
        .iter()
        .filter(|instance| instance.state == State::Live);
    let ranked = rendezvous::ranked(live, |instance| &instance.name, text);
    ranked.get(rank).copied()
}
