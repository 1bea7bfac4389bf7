//! Merged events of many processes.

use crate::event::Event;
use entity::request::Id;

/// Events of many processes, ordered so that no effect precedes its cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    events: Vec<Event>,
    /// Pairs of a request and the index of one of its events, sorted.
    by_request: Vec<(Id, usize)>,
}

impl Timeline {
    /// Creates a timeline of events, ordered by timestamp and then by the name of the instance.
    ///
    /// Events with equal timestamps are from different instances, and neither caused the other.
    pub fn new(mut events: Vec<Event>) -> Self {
        events.sort_by(|a, b| (a.clock, &a.instance).cmp(&(b.clock, &b.instance)));
        let mut by_request = Vec::new();
        for (index, event) in events.iter().enumerate() {
            let Some(request) = event.request else {
                continue;
            };
            by_request.push((request, index));
        }
        by_request.sort_unstable();
        Self { events, by_request }
    }

    /// Returns all events in order.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the events of a request at all instances, in order.
    pub fn path(&self, request: Id) -> Vec<&Event> {
        let begin = self.by_request.partition_point(|entry| entry.0 < request);
        let mut path = Vec::new();
        for (id, index) in &self.by_request[begin..] {
            if *id != request {
                break;
            }
            path.push(&self.events[*index]);
        }
        path
    }

    /// Returns the names of the instances, sorted.
    pub fn instances(&self) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for event in &self.events {
            names.push(event.instance.as_str());
        }
        names.sort_unstable();
        names.dedup();
        names
    }
}
