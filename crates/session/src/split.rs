//! Which version a session runs on: its token, else the split of the roll-out.

use crate::token::Token;
use config::{Config, Rollout};
use entity::id::{self, Id};
use entity::unit::Share;
use sha2::{Digest, Sha256};

/// Positions of sessions, in parts per million of the split.
const POSITIONS: u64 = 1_000_000;

/// The version that a session without a token begins on.
///
/// A session has one position in the split of a roll-out and is on the new version exactly if the
/// position is below the share. So all instances with the same share agree, and a growing share
/// moves sessions only from the old version to the new one. The position depends on names, not on
/// dense ids, so that unrelated edits of the configuration move no session.
///
/// `share` is the share in force: the text's own or, where ratings raised it, one up to its limit.
pub fn assign(session: &str, config: &Config, rollout: &Rollout, share: Share) -> id::Version {
    if position(session, config, rollout) < u64::from(share.ppm()) {
        rollout.to
    } else {
        rollout.from
    }
}

/// The position of a session in the split of a roll-out, below a million.
pub fn position(session: &str, config: &Config, rollout: &Rollout) -> u64 {
    let names = [
        config.services[rollout.service].name.as_str(),
        config.versions[rollout.from].name.as_str(),
        config.versions[rollout.to].name.as_str(),
    ];
    let mut hash = Sha256::new();
    for name in names {
        hash.update(name.as_bytes());
        hash.update([0]);
    }
    hash.update(session.as_bytes());
    let digest: [u8; 32] = hash.finalize().into();
    let (head, _) = digest.split_at(8);
    let number = u64::from_be_bytes(head.try_into().expect("eight bytes"));
    number % POSITIONS
}

/// What a session's token decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The session keeps the version that its token names.
    Kept(id::Version),
    /// The token names a version that is withdrawn, not allowed or no longer configured: the
    /// session needs another version, and the answer says so.
    Lost,
    /// The token is for another service or another session: it decides nothing.
    Foreign,
}

/// Whether a session keeps the version of its token.
///
/// The token wins over the split, and the configuration in force wins over the token.
pub fn resolve(
    token: &Token,
    session: Option<&str>,
    config: &Config,
    organisation: id::Organisation,
    service: id::Service,
) -> Resolution {
    debug_assert!(service.index() < config.services.len());
    let other_session = session.is_some_and(|session| session != &*token.session);
    if other_session || token.service != config.services[service].name {
        return Resolution::Foreign;
    }
    let Some(version) = config.version(token.version.as_str()) else {
        return Resolution::Lost;
    };
    if !config.allows(organisation, service, version) {
        return Resolution::Lost;
    }
    Resolution::Kept(version)
}
