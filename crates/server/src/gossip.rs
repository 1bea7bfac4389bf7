//! The task that exchanges digests with a few fellows, drawn at random, every second or two.
//!
//! What one instance knows reaches `n` others in about `log n` rounds (Demers et al., "Epidemic
//! algorithms for replicated database maintenance", 1987), also while the log is out. The cost of an
//! instance does not depend on how many there are.

use crate::context::Context;
use crate::decider::Update;
use crate::{digest, rendezvous};
use adoption::{Checkpoint, FORMAT};
use entity::{Generation, Offset, name};
use fellow::message::{Body, Evidence, Pull, Verdicts};
use instances::{Instance, List, State};
use quality::Verdict;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Shortest and longest time between two rounds.
const PERIOD: (Duration, Duration) = (Duration::from_millis(1000), Duration::from_millis(2000));
/// Fellows in one round.
const FANOUT: usize = 2;
/// Fellows up to which all are told totals of ratings.
const SMALL: usize = 16;
/// Instances that add up the ratings of one roll-out.
const JUDGES: usize = 2;

/// Starts the task. A message on `wake` begins a round at once; one with a name asks that fellow.
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
        let period = rand::rng().random_range(PERIOD.0..PERIOD.1);
        let woken = tokio::time::timeout(period, wake.recv()).await;
        context.refresh_digest().await;
        let list = context.members.borrow().list.clone();
        match woken {
            Ok(Some(Some(name))) => {
                if let Some(fellow) = list.get(&name) {
                    exchange(&context, fellow).await;
                }
            }
            Ok(None) => return,
            Ok(Some(None)) | Err(_) => round(&context, &list).await,
        }
    }
}

async fn round(context: &Arc<Context>, list: &List) {
    let own = &context.settings.instance.name;
    let fellows: Vec<&Instance> = list
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
    let chosen: Vec<Instance> = fellows
        .sample(&mut rand::rng(), FANOUT)
        .map(|fellow| (*fellow).clone())
        .collect();
    let mut exchanges = tokio::task::JoinSet::new();
    for fellow in chosen {
        let context = context.clone();
        exchanges.spawn(async move { exchange(&context, &fellow).await });
    }
    while exchanges.join_next().await.is_some() {}
    send_evidence(context, list).await;
    send_totals(context, &fellows).await;
}

/// Offers the own digest to a fellow and takes its in return, then what is newer there.
async fn exchange(context: &Context, fellow: &Instance) {
    let link = context.links.get(fellow.address);
    let answer = link.ask(Body::Digest(context.digest())).await;
    let Ok(Body::Digest(digest)) = answer else {
        context.contact.offered(false);
        return;
    };
    context.contact.offered(true);
    let Some(heard) = digest::read(&digest, context.core.clock.now()) else {
        return;
    };
    let newer = heard.generation > context.generation();
    let other_verdicts = heard.verdicts_hash != context.digest().verdicts_hash;
    context.apply_digest(heard).await;
    if newer && let Ok(Body::Text(text)) = link.ask(pull(context.generation())).await {
        learn(context, text).await;
    }
    if !other_verdicts {
        return;
    }
    let Ok(known) = context.core.decider.digest_content().await else {
        return;
    };
    let records = known.verdicts.iter().map(Verdict::to_record).collect();
    if let Ok(Body::Verdicts(told)) = link.ask(Body::Verdicts(Verdicts::new(records))).await {
        context.core.decider.update(read_verdicts(&told)).await;
    }
}

fn pull(generation: Generation) -> Body {
    Body::Pull(Pull::new(generation.0 as i64))
}

/// The verdicts that a fellow told; records that can't be read are left out.
pub fn read_verdicts(told: &Verdicts) -> Update {
    let verdicts = told
        .records
        .iter()
        .filter_map(|record| Verdict::from_record(record).ok());
    Update {
        verdicts: verdicts.collect(),
        ..Update::default()
    }
}

async fn learn(context: &Context, text: fellow::message::Text) {
    let checkpoint = Checkpoint {
        format: u32::try_from(text.format).unwrap_or(FORMAT + 1),
        generation: Generation(text.generation.max(0) as u64),
        read_through: Offset(text.generation.max(0) as u64),
        author: text.author.into(),
        text: text.text.into(),
    };
    let _ = context.configuration.peer_checkpoints.send(checkpoint).await;
}

/// Sends this instance's sums of ratings to the instances that add up those of each roll-out.
async fn send_evidence(context: &Context, list: &List) {
    let Ok(known) = context.core.decider.digest_content().await else {
        return;
    };
    for judge in 0..JUDGES {
        for summary in &known.summaries {
            let Some(home) = home(list, summary.rollout.service.as_str(), judge) else {
                continue;
            };
            if home.name == context.settings.instance.name {
                continue;
            }
            let Ok(record) = serde_json::to_vec(summary) else {
                continue;
            };
            let body = Body::Evidence(Evidence::new(vec![record], Vec::new()));
            tell(context, home, body);
        }
    }
}

/// Tells fellows the totals that have news: all of them in a small system, else a few, since what
/// one instance has rated matters the less the more there are.
async fn send_totals(context: &Context, fellows: &[&Instance]) {
    let Ok(totals) = context.core.decider.totals().await else {
        return;
    };
    if totals.is_empty() {
        return;
    }
    let records: Vec<_> = totals
        .iter()
        .filter_map(|telling| serde_json::to_vec(telling).ok())
        .collect();
    let count = if fellows.len() <= SMALL {
        SMALL
    } else {
        FANOUT
    };
    let chosen: Vec<_> = fellows.sample(&mut rand::rng(), count).copied().collect();
    for fellow in chosen {
        let evidence = Evidence::new(Vec::new(), records.clone());
        let body = Body::Evidence(evidence);
        tell(context, fellow, body);
    }
}

/// Tells a fellow something without waiting: one that is dead must not hold up the rounds.
fn tell(context: &Context, fellow: &Instance, body: Body) {
    let link = context.links.get(fellow.address);
    tokio::spawn(async move { link.ask(body).await });
}

/// The live instance of a rank in the rendezvous order of a text.
pub fn home<'a>(list: &'a List, text: &str, rank: usize) -> Option<&'a Instance> {
    let live = list
        .instances
        .iter()
        .filter(|instance| instance.state == State::Live);
    let ranked = rendezvous::ranked(live, |instance| &instance.name, text);
    ranked.get(rank).copied()
}
