//! Peers as holders of copies of usage records.

use crate::links::Links;
use crate::members::Reading;
use billing::copies::Peer;
use billing::usage::Record;
use entity::{name, request};
use instances::State;
use journal::usage::{Call, PeerClient, Unconfirmed};
use peer::Link;
use peer::message::{self, Body, Held, Hold};
use std::sync::Arc;
use tokio::sync::watch;

/// Peers, found through the instance list, that can hold usage records.
pub struct Peers {
    /// Name of this instance.
    pub own: name::Instance,
    /// Latest read of the instance list.
    pub members: watch::Receiver<Reading>,
    /// Connections to peers.
    pub links: Arc<Links>,
}

impl Peers {
    fn link(&self, name: &name::Instance) -> Option<Link> {
        let list = self.members.borrow().list.clone();
        list.get(name)
            .map(|instance| self.links.get(instance.address))
    }

    async fn request(&self, name: &name::Instance, body: Body) -> Result<(), Unconfirmed> {
        let link = self.link(name).ok_or(Unconfirmed)?;
        match link.request(body).await {
            Ok(Body::Done(_)) => Ok(()),
            _ => Err(Unconfirmed),
        }
    }

    /// Informs all peers that this instance leaves without having appended its records.
    pub async fn orphan(&self) {
        for peer in self.peers() {
            let orphan = message::Orphan::new(self.own.to_string());
            let _ = self.request(&peer.name, Body::Orphan(orphan)).await;
        }
    }
}

impl PeerClient for Peers {
    fn peers(&self) -> Vec<Peer> {
        let list = self.members.borrow().list.clone();
        let mut peers = Vec::new();
        for instance in &list.instances {
            if instance.name == self.own || instance.state != State::Live {
                continue;
            }
            peers.push(Peer {
                name: instance.name.clone(),
                zone: instance.zone.clone(),
            });
        }
        peers
    }

    fn hold<'a>(&'a self, peer: &'a name::Instance, records: &'a [Record]) -> Call<'a> {
        Box::pin(async move {
            let mut held = Vec::with_capacity(records.len());
            for record in records {
                let data = serde_json::to_vec(record).map_err(|_| Unconfirmed)?;
                held.push(Held::new(
                    self.own.to_string(),
                    record.request.to_string(),
                    data,
                ));
            }
            self.request(peer, Body::Hold(Hold::new(held))).await
        })
    }

    fn drop_held<'a>(&'a self, peer: &'a name::Instance, requests: &'a [request::Id]) -> Call<'a> {
        let requests = requests.iter().map(ToString::to_string).collect();
        let body = Body::Drop(message::Drop::new(self.own.to_string(), requests));
        Box::pin(self.request(peer, body))
    }
}
