//! Ways to upstreams: over the links of this instance, or by a peer.
//!
//! An upstream that this instance can't connect to may be down, or its own link may be cut. A peer that
//! connects to it tells the two apart. All decisions about a request stay with this instance; a peer
//! carries the bytes of a connection only, and only over its own links, so that a connection has one peer
//! in between at most.

use entity::{Moment, Span, sorted, work};
use std::net::SocketAddr;

/// Longest wait for an own link that may be cut: while others are known to be, where no peer can try, and for
/// a peer that asks.
pub const SHORT_PATIENCE: Span = Span::from_millis(150);
/// Interval at which a link that was cut is tried again.
const PROBE_INTERVAL: Span = Span::from_secs(1);
/// Time for which peers are not asked again for an upstream that they don't reach either.
const DOWN_TIME: Span = Span::from_millis(500);
/// Time after its last use for which a cut link tells something about others.
const RECENT_TIME: Span = Span::from_secs(10);
/// Number of cut links, with no connection over any link since, from which all links count as cut.
const CUT_OFF_COUNT: usize = 2;
/// Time after its last use for which what is known of an address is kept.
const ENTRY_TTL: Span = Span::from_secs(60);
/// Largest number of addresses that are kept.
const MAX_ENTRIES: usize = 1024;

/// How to connect to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Over the own link, and by a peer if that fails.
    Own {
        /// Longest wait for the own link; none for the usual one.
        patience: Option<Span>,
        /// Whether a peer is worth a try after it.
        then_peer: bool,
    },
    /// By a peer, and over the own link if no peer can try.
    Peer {
        /// Whether the own link is to be tried meanwhile, without a request.
        probes: bool,
    },
    /// Not at all, as neither the own link nor peers reach it.
    None,
}

/// What came of a try by a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerResult {
    /// A peer has connected.
    Connected,
    /// Peers tried, and the upstream refused the connection or was silent.
    Refused,
    /// No peer could try.
    NoPeer,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    used_at: Moment,
    /// Whether the own link failed at last.
    fails: bool,
    /// Whether a peer has connected since the own link failed.
    is_cut: bool,
    /// When the own link was tried last.
    tried_at: Moment,
    /// Until when peers are not asked.
    down_until: Moment,
}

/// What this instance knows of its links to upstreams.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    /// Sorted by address.
    entries: Vec<(SocketAddr, Entry)>,
    /// Links that were found to be cut since the last connection over any own link.
    cut_count: usize,
}

impl Paths {
    /// Returns how to connect to an upstream now.
    pub fn choose(&mut self, address: SocketAddr, now: Moment) -> Way {
        let is_cut_off = self.is_cut_off();
        let entry = self.entry(address, now);
        let is_down = now < entry.down_until;
        if !entry.is_cut && !is_cut_off {
            return Way::Own {
                patience: self.has_cuts(now).then_some(SHORT_PATIENCE),
                then_peer: !is_down,
            };
        }
        let probes = now.since(entry.tried_at) >= PROBE_INTERVAL;
        if is_down && !probes {
            return Way::None;
        }
        if probes {
            entry.tried_at = now;
        }
        Way::Peer { probes }
    }

    /// Records a try of an own link. Returns whether it changed what is known: that the link works
    /// again.
    pub fn record_own(&mut self, address: SocketAddr, connected: bool, now: Moment) -> bool {
        let entry = self.entry(address, now);
        entry.tried_at = now;
        entry.fails = !connected;
        if !connected {
            return false;
        }
        let was_cut = std::mem::take(&mut entry.is_cut);
        self.cut_count = 0;
        was_cut
    }

    /// Records a try by a peer. Returns whether it changed what is known: that the own link is cut.
    pub fn record_peer(&mut self, address: SocketAddr, result: PeerResult, now: Moment) -> bool {
        let entry = self.entry(address, now);
        match result {
            PeerResult::Connected => {
                entry.down_until = now;
                if !entry.fails || entry.is_cut {
                    return false;
                }
                entry.is_cut = true;
                self.cut_count += 1;
                true
            }
            PeerResult::Refused => {
                entry.down_until = now + DOWN_TIME;
                false
            }
            PeerResult::NoPeer => false,
        }
    }

    /// Returns whether all links seem to be cut, so that this instance can't carry anything for peers.
    pub fn is_cut_off(&self) -> bool {
        self.cut_count >= CUT_OFF_COUNT
    }

    /// Returns whether the own link to an upstream works, as far as is known.
    pub fn can_carry(&self, address: SocketAddr) -> bool {
        let found = self.entries.binary_search_by_key(&address, |(key, _)| *key);
        let is_cut = found.is_ok_and(|index| self.entries[index].1.is_cut);
        !is_cut && !self.is_cut_off()
    }

    /// Returns whether a link that was used lately is cut.
    fn has_cuts(&self, now: Moment) -> bool {
        work::count(self.entries.len());
        let mut entries = self.entries.iter().map(|(_, entry)| entry);
        entries.any(|entry| entry.is_cut && now.since(entry.used_at) < RECENT_TIME)
    }

    /// Drops the address that was used longest ago if there is no room for another one.
    fn make_room(&mut self, address: SocketAddr) {
        let found = self.entries.binary_search_by_key(&address, |(key, _)| *key);
        if found.is_ok() || self.entries.len() < MAX_ENTRIES {
            return;
        }
        let entries = self.entries.iter().enumerate();
        let oldest = entries.min_by_key(|(_, (_, entry))| entry.used_at);
        let index = oldest.map(|(index, _)| index).unwrap_or_default();
        self.entries.remove(index);
    }

    fn entry(&mut self, address: SocketAddr, now: Moment) -> &mut Entry {
        self.make_room(address);
        let new = || Entry {
            used_at: now,
            fails: false,
            is_cut: false,
            tried_at: Moment::default(),
            down_until: Moment::default(),
        };
        let entry = sorted::entry(&mut self.entries, &address, new);
        if now.since(entry.used_at) >= ENTRY_TTL {
            *entry = new();
        }
        entry.used_at = now;
        entry
    }
}
