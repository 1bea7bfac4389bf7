//! Versions of sessions, kept at the instance that owns each session.
//!
//! A caller that returns its session token doesn't need them. For a caller that returns only its
//! session id, the owner of the session, found by rendezvous hashing, keeps the version for a
//! while, so that concurrent first requests get the same version and a change of the traffic split
//! moves no session.

use entity::{Moment, Span};
use peer::message::Assign;
use std::sync::Mutex;

/// Time for which a session is kept after its last request.
const SESSION_TTL: Span = Span::from_secs(3600);
/// Largest number of sessions that are kept, at about 100 bytes each.
const MAX_SESSIONS: usize = 50_000;
/// Number of sorted vectors that the sessions are spread over, which bounds the cost of an insert.
const BUCKET_COUNT: usize = 256;

#[derive(Debug)]
struct Session {
    key: Box<str>,
    version: Box<str>,
    last: Moment,
}

/// The versions of sessions.
#[derive(Debug)]
pub struct Assignments {
    /// Sessions by the hash of their key, each bucket sorted by key.
    buckets: Vec<Mutex<Vec<Session>>>,
}

impl Default for Assignments {
    fn default() -> Self {
        let mut buckets = Vec::new();
        buckets.resize_with(BUCKET_COUNT, Mutex::default);
        Self { buckets }
    }
}

impl Assignments {
    /// Returns the version of a session: the one that it started on, or the requested one if the
    /// session is new or has lost its version.
    pub fn assign(&self, assign: &Assign, now: Moment) -> Box<str> {
        let key = format!(
            "{}\n{}\n{}",
            assign.organisation, assign.service_name, assign.session
        );
        let bucket = routing::hash::text(&key) as usize % BUCKET_COUNT;
        let mut sessions = self.buckets[bucket]
            .lock()
            .expect("the lock is never poisoned");
        match sessions.binary_search_by(|session| (*session.key).cmp(&key)) {
            Ok(index) => {
                let session = &mut sessions[index];
                session.last = now;
                if *session.version == *assign.lost {
                    session.version = assign.version.as_str().into();
                }
                session.version.clone()
            }
            Err(index) => {
                let version: Box<str> = assign.version.as_str().into();
                let session = Session {
                    key: key.into(),
                    version: version.clone(),
                    last: now,
                };
                sessions.insert(index, session);
                if sessions.len() > MAX_SESSIONS / BUCKET_COUNT {
                    evict(&mut sessions, now);
                }
                version
            }
        }
    }
}

/// Removes expired sessions, or else the one whose last request is the oldest.
fn evict(sessions: &mut Vec<Session>, now: Moment) {
    let before = sessions.len();
    sessions.retain(|session| now.since(session.last) <= SESSION_TTL);
    if sessions.len() < before {
        return;
    }
    let oldest = sessions
        .iter()
        .enumerate()
        .min_by_key(|(_, session)| session.last);
    if let Some((index, _)) = oldest {
        sessions.remove(index);
    }
}
