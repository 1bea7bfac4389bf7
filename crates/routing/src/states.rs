//! The states of the upstreams that an instance uses, and of others while its requests run on them.

use crate::state::State;
use config::Config;
use entity::Map;
use entity::Moment;
use entity::id;
use entity::name;

/// States, accessible by name and by the dense id of the configuration in force.
#[derive(Debug, Default)]
pub struct States {
    /// Sorted by name.
    states: Vec<State>,
    /// Index of the state of each upstream, if it has one.
    indices: Map<id::Upstream, Option<u32>>,
}

impl States {
    /// Returns the number of states.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether there are no states.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns all states, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &State> {
        self.states.iter()
    }

    /// Returns all states for modification, sorted by name.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut State> {
        self.states.iter_mut()
    }

    /// Returns the state of an upstream by its name.
    pub fn by_name(&self, name: &name::Upstream) -> Option<&State> {
        self.find(name).ok().map(|index| &self.states[index])
    }

    /// Returns the state of an upstream by its name, for modification.
    pub fn by_name_mut(&mut self, name: &name::Upstream) -> Option<&mut State> {
        self.find(name).ok().map(|index| &mut self.states[index])
    }

    /// Returns the state of an upstream, for modification.
    pub fn get_mut(&mut self, upstream: id::Upstream) -> Option<&mut State> {
        let index = self.indices.get(upstream).copied().flatten()?;
        Some(&mut self.states[index as usize])
    }

    /// Returns the state of an upstream that is in use.
    pub fn in_use(&self, upstream: id::Upstream) -> &State {
        let index = self.indices[upstream].expect("upstreams in use have a state");
        &self.states[index as usize]
    }

    /// Returns the state of an upstream that is in use, for modification.
    pub fn in_use_mut(&mut self, upstream: id::Upstream) -> &mut State {
        self.get_mut(upstream)
            .expect("upstreams in use have a state")
    }

    /// Adds states of upstreams that came into use, and drops those of upstreams out of use unless
    /// they have unfinished choices. `used` is sorted.
    pub fn sync(&mut self, config: &Config, used: &[id::Upstream], now: Moment) {
        let in_use = |state: &State| {
            let id = config.upstream(state.name.as_str());
            id.is_some_and(|id| used.binary_search(&id).is_ok())
        };
        self.states
            .retain(|state| in_use(state) || !state.is_unused());
        for &id in used {
            let upstream = &config.upstreams[id];
            if let Err(index) = self.find(&upstream.name) {
                let reports = upstream.registration.is_none() && !upstream.versions.is_empty();
                let state = State::new(upstream.name.clone(), reports, now);
                self.states.insert(index, state);
            }
            let state = self.by_name_mut(&upstream.name);
            if let (Some(state), Some(registration)) = (state, &upstream.registration) {
                state.register(registration, now);
            }
        }
        self.indices = Map::filled(None, config.upstreams.len());
        for (index, state) in self.states.iter().enumerate() {
            if let Some(id) = config.upstream(state.name.as_str()) {
                self.indices[id] =
                    Some(u32::try_from(index).expect("the number of upstreams fits into 32 bits"));
            }
        }
    }

    fn find(&self, name: &name::Upstream) -> Result<usize, usize> {
        self.states.binary_search_by(|state| state.name.cmp(name))
    }
}
