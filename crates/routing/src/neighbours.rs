//! What other instances have running at upstreams.

use crate::demand::{Loads, Work};
use config::Config;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::{Map, Moment};

/// How long what an instance told counts: work that waits is done within about a second.
const LIFE: Span = Span::from_millis(1500);

#[derive(Clone, Debug)]
struct Neighbour {
    name: name::Instance,
    heard: Moment,
    loads: Loads,
}

/// What other instances told of their loads.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    /// Sorted by name.
    known: Vec<Neighbour>,
    /// How many other instances there are.
    instances: usize,
}

impl Neighbours {
    /// Takes in what an instance told.
    pub fn hear(&mut self, name: &name::Instance, loads: Loads, instances: usize, heard: Moment) {
        self.instances = instances;
        let neighbour = Neighbour {
            name: name.clone(),
            heard,
            loads,
        };
        match self.known.binary_search_by(|one| one.name.cmp(name)) {
            Ok(index) => self.known[index] = neighbour,
            Err(index) => self.known.insert(index, neighbour),
        }
    }

    /// Their work at each upstream. Those that were not heard of lately are taken to be like the
    /// others.
    pub fn work(&self, config: &Config, now: Moment) -> Map<id::Upstream, Work> {
        let mut work = Map::filled(Work::default(), config.upstreams.len());
        let mut heard = 0;
        for neighbour in &self.known {
            if now.since(neighbour.heard) >= LIFE {
                continue;
            }
            heard += 1;
            for (upstream, load) in &neighbour.loads {
                let Some(id) = config.upstream(upstream.as_str()) else {
                    continue;
                };
                work[id].pending += load.pending;
                work[id].running += load.running;
            }
        }
        if heard == 0 {
            return work;
        }
        let factor = (self.instances as f64 / f64::from(heard)).max(1.0);
        for (_, load) in work.iter_mut() {
            load.pending *= factor;
            load.running *= factor;
        }
        work
    }
}
