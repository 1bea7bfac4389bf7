//! The versions that sessions began on, at the home of each session.
//!
//! A caller that returns its token needs none of this. For one that returns only its session id,
//! the session's home, found by rendezvous hashing, remembers the version for a while, so that
//! concurrent first requests agree and a change of split moves nothing.

use entity::{Moment, Span};
use fellow::message::Assign;
use std::sync::Mutex;

/// How long a session is remembered after its last request.
const LIFE: Span = Span::from_secs(3600);
/// Most sessions that are remembered; at about 100 bytes each.
const CAPACITY: usize = 50_000;
/// Sorted vectors that the sessions are spread over, which bounds the cost of an insert.
const BUCKETS: usize = 256;

#[derive(Debug)]
struct Session {
    key: Box<str>,
    version: Box<str>,
    last: Moment,
}

/// Sessions and their versions.
#[derive(Debug)]
pub struct Assignments {
    /// Each sorted by key.
    buckets: Vec<Mutex<Vec<Session>>>,
}

impl Default for Assignments {
    fn default() -> Self {
        let mut buckets = Vec::new();
        buckets.resize_with(BUCKETS, Mutex::default);
        Self { buckets }
    }
}

impl Assignments {
    /// The version that a session is on: the one it began on, or the one that the asker wants if
    /// the session is new or may not stay where it was.
    pub fn assign(&self, assign: &Assign, now: Moment) -> Box<str> {
        let key = format!(
            "{}\n{}\n{}",
            assign.organisation, assign.service_name, assign.session
        );
        let bucket = routing::hash::text(&key) as usize % BUCKETS;
        let mut sessions = self.buckets[bucket]
            .lock()
            .expect("no holder of this lock panics");
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
                if sessions.len() > CAPACITY / BUCKETS {
                    forget(&mut sessions, now);
                }
                version
            }
        }
    }
}

/// Drops sessions that have ended, or else the one that was silent for the longest time.
fn forget(sessions: &mut Vec<Session>, now: Moment) {
    let before = sessions.len();
    sessions.retain(|session| now.since(session.last) <= LIFE);
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
