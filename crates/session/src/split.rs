//! Selects the version of a session: from its token, or else from the split of the rollout.

use crate::token::Token;
use config::{Config, Rollout};
use entity::id::{self, Id};
use entity::unit::Share;
use sha2::{Digest, Sha256};

/// Number of positions in a split: one for each millionth of a share.
const POSITIONS: u64 = 1_000_000;

/// Returns the version on which a session without a token begins.
///
/// A session has a fixed position in the split of a rollout and is assigned to the candidate if and
/// only if the position is below the share. All instances with the same share therefore agree, and a
/// growing share moves sessions only from the baseline to the candidate. The position depends on
/// names, not on dense ids, so that unrelated edits of the configuration move no session.
///
/// `share` is the share in force: that of the configuration text, or a larger one up to the limit of
/// the rollout if ratings raised it.
pub fn assign(session: &str, config: &Config, rollout: &Rollout, share: Share) -> id::Version {
    if position(session, config, rollout) < u64::from(share.ppm()) {
        rollout.to
    } else {
        rollout.from
    }
}

/// Returns the position of a session in the split of a rollout, from 0 to 999,999.
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
    let (prefix, _) = digest.split_at(8);
    let number = u64::from_be_bytes(prefix.try_into().expect("eight bytes"));
    number % POSITIONS
}

/// Result of applying a session token to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The session keeps the version that the token names.
    Kept(id::Version),
    /// The token names a version that is withdrawn, not allowed or no longer configured. The session
    /// is assigned another version, and the response reports that.
    Lost,
    /// The token is for another service or another session and is ignored.
    Foreign,
}

/// Returns whether a session keeps the version of its token.
///
/// The token takes precedence over the split, and the configuration in force takes precedence over
/// the token.
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
