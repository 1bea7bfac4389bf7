//! What all parts of an instance share.

use crate::configuration;
use crate::contact::Tracker;
use crate::core::Core;
use crate::digest::{self, Heard};
use crate::links::Links;
use crate::members::Reading;
use adoption::Snapshot;
use arc_swap::ArcSwap;
use entity::{Generation, name};
use fellow::message;
use journal::{claimer, committer, usage};
use quality::Verdict;
use session::Signer;
use settings::Settings;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::watch;
use upstream::Pool;

/// What is told to fellows, kept ready so that their questions are answered without a wait.
#[derive(Debug)]
pub struct Told {
    /// The digest, without the age of the log.
    pub digest: message::Digest,
    /// Verdicts on roll-outs that are known.
    pub verdicts: Vec<Verdict>,
    /// Services whose roll-out is braked, by the text in force and those verdicts.
    pub braked: Vec<name::Service>,
}

/// What all parts of an instance share.
pub struct Context {
    /// Its settings.
    pub settings: Settings,
    /// What it shares with every other kind of front.
    pub core: Core,
    /// Whom it has heard from.
    pub contact: Arc<Tracker>,
    /// The configuration in force.
    pub configuration: configuration::Handle,
    /// The instance list.
    pub members: watch::Receiver<Reading>,
    /// Links to fellows.
    pub links: Arc<Links>,
    /// Claims of requests that must not be repeated.
    pub claims: claimer::Handle<logs::Client>,
    /// Usage records, its own and those held for fellows.
    pub usage: usage::Handle,
    /// Appends of this instance, and of others while it is a writer.
    pub committer: committer::Handle,
    /// Ratings of answers, where there is a rating service.
    pub rating: Option<rating::Client>,
    /// Takes scores of answers rated in the background.
    pub scores: tokio::sync::mpsc::Sender<rating::Score>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Signs session tokens.
    pub signer: Signer,
    /// Set once load reports were asked for: before that, all engines count as cold.
    pub loads_asked: Arc<AtomicBool>,
    /// What is told to fellows.
    pub told: ArcSwap<Told>,
}

impl Context {
    /// What is in force; none until the log or a fellow told.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.core.snapshot()
    }

    /// The generation in force; 0 where none is.
    pub fn generation(&self) -> Generation {
        self.core.generation()
    }

    /// The digest to tell a fellow now.
    pub fn digest(&self) -> message::Digest {
        let mut digest = self.told.load().digest.clone();
        // The age is read first: a later generation with an older age is true, the other way round
        // would tell a fellow that this generation was the last one a moment ago.
        digest.log_age_ms = self
            .contact
            .log_age()
            .map(|age| (age.as_micros() / 1000) as i64);
        digest.generation = self.generation().0 as i64;
        digest.clock = self.core.recorder.timestamp().to_bits() as i64;
        digest
    }

    /// Verdicts that are known.
    pub fn verdicts(&self) -> Vec<Verdict> {
        self.told.load().verdicts.clone()
    }

    /// Makes the digest anew from what is known.
    pub async fn refresh_digest(&self) {
        let Ok(known) = self.core.decider.knowledge().await else {
            return;
        };
        let own = &self.settings.instance;
        let digest = digest::write(
            &own.name,
            &own.zone,
            self.generation(),
            &known,
            self.core.clock,
        );
        self.told.store(Arc::new(Told {
            digest,
            verdicts: known.verdicts,
            braked: known.braked,
        }));
    }

    /// Takes in a digest of a fellow, but for what has to be asked for.
    pub async fn take(&self, heard: Heard) {
        // A fellow whose clock is far ahead is not followed; its news count all the same.
        let _ = self.core.recorder.observe(heard.clock);
        // A fellow with a later generation knows that this instance has missed something.
        let known = heard.generation <= self.generation();
        if let Some(read) = heard.log.filter(|_| known) {
            self.contact.heard_log(read);
        }
        self.core.decider.news(heard.news).await;
    }

    /// Whether the instance is being shut down.
    pub fn is_draining(&self) -> bool {
        self.core.is_draining()
    }
}
