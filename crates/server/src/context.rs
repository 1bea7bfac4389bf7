//! State that all parts of an instance share.

use crate::configuration;
use crate::contact::Tracker;
use crate::core::Core;
use crate::digest::{self, PeerDigest};
use crate::links::Links;
use crate::members::Reading;
use adoption::Snapshot;
use arc_swap::ArcSwap;
use entity::{Generation, name};
use journal::{claimer, committer, usage};
use peer::message;
use quality::Verdict;
use session::Signer;
use settings::Settings;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::watch;
use upstream::Pool;

/// The state that is announced to peers, kept ready so that their requests are answered without
/// waiting for the decider.
#[derive(Debug)]
pub struct Announcement {
    /// The digest; the age of the log, the generation and the clock are filled in when it is sent.
    pub digest: message::Digest,
    /// Known verdicts on rollouts.
    pub verdicts: Vec<Verdict>,
    /// Services whose rollout is braked, by the configuration in force and those verdicts.
    pub braked: Vec<name::Service>,
}

/// State that all parts of an instance share.
pub struct Context {
    /// Settings of the instance.
    pub settings: Settings,
    /// State that is common to all kinds of front.
    pub core: Core,
    /// Tracker of the contact to the log and to peers.
    pub contact: Arc<Tracker>,
    /// The configuration in force.
    pub configuration: configuration::Handle,
    /// The instance list.
    pub members: watch::Receiver<Reading>,
    /// Links to peers.
    pub links: Arc<Links>,
    /// Claims of requests that must not be repeated.
    pub claims: claimer::Handle<logs::Client>,
    /// Usage records of this instance and those held for peers.
    pub usage: usage::Handle,
    /// Appends of this instance, and of peers while it is a writer.
    pub committer: committer::Handle,
    /// Client of the rating service; none if there is no such service.
    pub rating: Option<rating::Client>,
    /// Channel for the scores of answers that are rated in the background.
    pub scores: tokio::sync::mpsc::Sender<rating::Score>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Signer of session tokens.
    pub signer: Signer,
    /// Set once load reports were requested; before that, all engines count as cold.
    pub loads_requested: Arc<AtomicBool>,
    /// State that is announced to peers.
    pub announcement: ArcSwap<Announcement>,
}

impl Context {
    /// Returns the configuration in force; none until one was received from the log or a peer.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.core.snapshot()
    }

    /// Returns the generation in force; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.core.generation()
    }

    /// Returns the digest to send to a peer now.
    pub fn digest(&self) -> message::Digest {
        let mut digest = self.announcement.load().digest.clone();
        // The age is read before the generation: a newer generation with an older age is true,
        // while a newer age with an older generation would announce that the older generation was
        // still the latest at that time.
        digest.log_age_ms = self
            .contact
            .log_age()
            .map(|age| (age.as_micros() / 1000) as i64);
        digest.generation = self.generation().0 as i64;
        digest.clock = self.core.recorder.timestamp().to_bits() as i64;
        digest
    }

    /// Returns the known verdicts.
    pub fn verdicts(&self) -> Vec<Verdict> {
        self.announcement.load().verdicts.clone()
    }

    /// Rebuilds the digest from the current state of the decider.
    pub async fn refresh_digest(&self) {
        let Ok(content) = self.core.decider.digest_content().await else {
            return;
        };
        let own = &self.settings.instance;
        let digest = digest::encode(
            &own.name,
            &own.zone,
            self.generation(),
            &content,
            self.core.clock,
        );
        self.announcement.store(Arc::new(Announcement {
            digest,
            verdicts: content.verdicts,
            braked: content.braked,
        }));
    }

    /// Applies the digest of a peer, except for the content that has to be requested separately.
    pub async fn apply_digest(&self, peer: PeerDigest) {
        // A peer's clock that is too far ahead is ignored; its update is applied anyway.
        let _ = self.core.recorder.observe(peer.clock);
        // A peer with a later generation shows that this instance has missed a part of the stream.
        let is_current = peer.generation <= self.generation();
        if let Some(read) = peer.log.filter(|_| is_current) {
            self.contact.record_log_read(read);
        }
        self.core.decider.apply_update(peer.update).await;
    }

    /// Returns whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.core.is_draining()
    }
}
