//! The pool of engines, indexed so that a placement examines only a few of them.

use std::collections::BTreeMap;

use domain::digest;
use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::engine::Engine;

/// The number of sampled engines that a placement examines, besides those that the prefix selects.
const SAMPLE_SIZE: usize = 8;
/// The number of engines that a prefix selects.
const PREFIX_CANDIDATES: usize = 2;
/// The number of points that each engine has on the hash ring.
const RING_POINTS: u64 = 16;

/// All engines.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    engines: BTreeMap<String, Engine>,
    models: BTreeMap<String, Ring>,
}

/// The engines of one model, with a consistent-hash ring over them.
#[derive(Clone, Debug, Default)]
struct Ring {
    /// Engine names in an order that is the same in every entry instance. The first ones take long
    /// prompts.
    ranked: Vec<String>,
    /// Points in ascending order, each with an index into `ranked`.
    points: Vec<(u64, usize)>,
    capacity: Capacity,
}

/// The capacity of the engines of one model, whatever their state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// The number of engines.
    pub engines: usize,
    /// The KV memory of the largest engine, in tokens.
    pub largest_engine: u64,
    /// The memory that a gang of all engines could use, in tokens.
    pub gang_memory: u64,
}

impl Pool {
    /// Replaces the set of engines. Those that stay keep their load reports and health.
    pub fn replace(&mut self, engines: impl IntoIterator<Item = Engine>) {
        let mut old = std::mem::take(&mut self.engines);
        for mut engine in engines {
            if let Some(mut existing) = old.remove(&engine.name) {
                existing.models = std::mem::take(&mut engine.models);
                existing.memory_tokens = engine.memory_tokens;
                engine = existing;
            }
            self.engines.insert(engine.name.clone(), engine);
        }
        self.rebuild_rings();
    }

    /// Returns the engine called `name`.
    pub fn get(&self, name: &str) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// Returns a mutable reference to the engine called `name`.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Engine> {
        self.engines.get_mut(name)
    }

    /// Returns all engines, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// Returns the names of a model's engines, in the same order in every entry instance.
    pub fn ranked(&self, model: &str) -> &[String] {
        self.models.get(model).map_or(&[], |ring| &ring.ranked)
    }

    /// Returns the capacity of a model's engines.
    pub fn capacity(&self, model: &str) -> Capacity {
        self.models
            .get(model)
            .map(|ring| ring.capacity)
            .unwrap_or_default()
    }

    /// Returns the engines that the prefix selects among those of `range` in the ranking, the first
    /// choice first.
    pub fn by_prefix(
        &self,
        model: &str,
        range: std::ops::Range<usize>,
        prefix: u64,
    ) -> Vec<&Engine> {
        let Some(ring) = self.models.get(model) else {
            return Vec::new();
        };
        let start = ring.points.partition_point(|(point, _)| *point < prefix);
        let points = ring.points[start..].iter().chain(&ring.points[..start]);
        let mut selected: Vec<usize> = Vec::with_capacity(PREFIX_CANDIDATES);
        for (_, index) in points {
            if range.contains(index) && !selected.contains(index) {
                selected.push(*index);
            }
            if selected.len() == PREFIX_CANDIDATES {
                break;
            }
        }
        selected
            .into_iter()
            .filter_map(|index| self.engine_at(ring, index))
            .collect()
    }

    /// Returns a random sample of the engines of `range` in the ranking, in random order. A small
    /// range is returned whole.
    pub fn sample(
        &self,
        model: &str,
        range: std::ops::Range<usize>,
        random: &mut impl Rng,
    ) -> Vec<&Engine> {
        let Some(ring) = self.models.get(model) else {
            return Vec::new();
        };
        if range.len() <= SAMPLE_SIZE {
            let mut all: Vec<&Engine> = range.filter_map(|it| self.engine_at(ring, it)).collect();
            all.shuffle(random);
            return all;
        }
        let indices = (0..SAMPLE_SIZE).map(|_| random.random_range(range.clone()));
        indices
            .filter_map(|index| self.engine_at(ring, index))
            .collect()
    }

    fn engine_at(&self, ring: &Ring, index: usize) -> Option<&Engine> {
        self.engines.get(ring.ranked.get(index)?)
    }

    fn rebuild_rings(&mut self) {
        self.models.clear();
        for engine in self.engines.values() {
            for model in &engine.models {
                let ring = self.models.entry(model.clone()).or_default();
                ring.ranked.push(engine.name.clone());
                ring.capacity.engines += 1;
                ring.capacity.largest_engine =
                    ring.capacity.largest_engine.max(engine.memory_tokens);
                ring.capacity.gang_memory += engine.gang_memory();
            }
        }
        for (model, ring) in &mut self.models {
            let seed = digest::fast(model.as_bytes());
            ring.ranked
                .sort_by_key(|name| digest::seeded(name.as_bytes(), seed));
            for (index, name) in ring.ranked.iter().enumerate() {
                let points = (0..RING_POINTS).map(|it| digest::seeded(name.as_bytes(), it));
                ring.points.extend(points.map(|point| (point, index)));
            }
            ring.points.sort_unstable();
        }
    }
}
