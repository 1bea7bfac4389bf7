//! Connections to peers, one for each address, opened when they are first used.

use entity::Span;
use peer::{Link, Secret};
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio_util::sync::CancellationToken;

/// Longest time to wait for a peer's answer.
const ANSWER_TIMEOUT: Span = Span::from_millis(800);

/// Connections to peers.
#[derive(Debug)]
pub struct Links {
    secret: Secret,
    cancel: CancellationToken,
    /// Sorted by address.
    links: Mutex<Vec<Link>>,
}

impl Links {
    /// Creates an empty set of connections.
    pub fn new(secret: Secret, cancel: CancellationToken) -> Self {
        Self {
            secret,
            cancel,
            links: Mutex::default(),
        }
    }

    /// Returns the connection to an address, and opens it if there is none.
    pub fn get(&self, address: SocketAddr) -> Link {
        let mut links = self.links.lock().expect("the lock is never poisoned");
        match links.binary_search_by_key(&address, Link::address) {
            Ok(index) => links[index].clone(),
            Err(index) => {
                let link = Link::open(
                    address,
                    self.secret.clone(),
                    ANSWER_TIMEOUT,
                    self.cancel.child_token(),
                );
                links.insert(index, link.clone());
                link
            }
        }
    }

    /// Closes the connections to addresses that are not listed any more.
    pub fn retain(&self, listed: &[SocketAddr]) {
        let mut links = self.links.lock().expect("the lock is never poisoned");
        links.retain(|link| listed.contains(&link.address()));
    }
}
