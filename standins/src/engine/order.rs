//! Orders to load and unload versions, with fencing tokens.

use crate::server::{self, Reply};
use hyper::StatusCode;
use serde::Deserialize;

/// The loaded versions and the largest fencing token that was received.
pub(super) struct Orders {
    versions: Vec<Box<str>>,
    fenced: bool,
    fence: u64,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    order: Kind,
    version: Option<Box<str>>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Load,
    Unload,
    Role,
}

impl Orders {
    pub(super) fn new(mut versions: Vec<Box<str>>, fenced: bool) -> Self {
        versions.sort();
        versions.dedup();
        Self {
            versions,
            fenced,
            fence: 0,
        }
    }

    /// Returns whether a version is loaded.
    pub(super) fn is_loaded(&self, version: &str) -> bool {
        self.versions
            .binary_search_by(|loaded| (**loaded).cmp(version))
            .is_ok()
    }

    pub(super) fn versions(&self) -> &[Box<str>] {
        &self.versions
    }

    /// Applies an order; if fencing is checked, an order with an outdated fencing token is refused.
    pub(super) fn apply(&mut self, body: &[u8]) -> Reply {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return server::change_reply(Err(error)),
        };
        if self.fenced && order.fence < self.fence {
            return server::error(StatusCode::CONFLICT, "old_fence");
        }
        self.fence = self.fence.max(order.fence);
        match (order.order, order.version) {
            (Kind::Load, Some(version)) => {
                if let Err(index) = self.versions.binary_search(&version) {
                    self.versions.insert(index, version);
                }
            }
            (Kind::Unload, Some(version)) => self.versions.retain(|loaded| *loaded != version),
            (Kind::Role, _) => {}
            (Kind::Load | Kind::Unload, None) => {
                return server::error(StatusCode::BAD_REQUEST, "invalid");
            }
        }
        server::change_reply(Ok(()))
    }
}
