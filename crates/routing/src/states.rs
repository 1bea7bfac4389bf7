//! What an instance knows about upstreams: those in use, and others while requests run there.

use crate::state::State;
use config::Config;
use entity::Map;
use entity::Moment;
use entity::id;
use entity::name;

/// States by name, and by the dense id of the configuration in force.
#[derive(Debug, Default)]
pub struct States {
    /// By name.
    states: Vec<State>,
    /// Where the state of an upstream is, if it has one.
    places: Map<id::Upstream, Option<u32>>,
}

impl States {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// All states, by name.
    pub fn iter(&self) -> impl Iterator<Item = &State> {
        self.states.iter()
    }

    /// All states to change, by name.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut State> {
        self.states.iter_mut()
    }

    /// The state of an upstream by name.
    pub fn named(&self, name: &name::Upstream) -> Option<&State> {
        self.find(name).ok().map(|index| &self.states[index])
    }

    /// The state of an upstream by name, to change.
    pub fn named_mut(&mut self, name: &name::Upstream) -> Option<&mut State> {
        self.find(name).ok().map(|index| &mut self.states[index])
    }

    /// The state of an upstream, to change.
    pub fn get_mut(&mut self, upstream: id::Upstream) -> Option<&mut State> {
        let place = self.places.get(upstream).copied().flatten()?;
        Some(&mut self.states[place as usize])
    }

    /// The state of an upstream in use.
    pub fn used(&self, upstream: id::Upstream) -> &State {
        let place = self.places[upstream].expect("upstreams in use have a state");
        &self.states[place as usize]
    }

    /// The state of an upstream in use, to change.
    pub fn used_mut(&mut self, upstream: id::Upstream) -> &mut State {
        self.get_mut(upstream)
            .expect("upstreams in use have a state")
    }

    /// Adds states of upstreams that came into use, and drops those out of use but for those with
    /// unfinished choices. `used` is sorted.
    pub fn keep(&mut self, config: &Config, used: &[id::Upstream], now: Moment) {
        let in_use = |state: &State| {
            let id = config.upstream(state.name.as_str());
            id.is_some_and(|id| used.binary_search(&id).is_ok())
        };
        self.states.retain(|state| in_use(state) || !state.unused());
        for &id in used {
            let upstream = &config.upstreams[id];
            if let Err(index) = self.find(&upstream.name) {
                let reports = upstream.registration.is_none() && !upstream.versions.is_empty();
                let state = State::new(upstream.name.clone(), reports, now);
                self.states.insert(index, state);
            }
            let state = self.named_mut(&upstream.name);
            if let (Some(state), Some(registration)) = (state, &upstream.registration) {
                state.register(registration, now);
            }
        }
        self.places = Map::filled(None, config.upstreams.len());
        for (index, state) in self.states.iter().enumerate() {
            if let Some(id) = config.upstream(state.name.as_str()) {
                self.places[id] = Some(u32::try_from(index).expect("few upstreams"));
            }
        }
    }

    fn find(&self, name: &name::Upstream) -> Result<usize, usize> {
        self.states.binary_search_by(|state| state.name.cmp(name))
    }
}
