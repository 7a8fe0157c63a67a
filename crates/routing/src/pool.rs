//! The pool: all engines, arranged so that a placement looks at a few of them only.

use std::collections::BTreeMap;

use domain::digest;
use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::engine::Engine;

/// Engines that a placement looks at besides those that the prefix picks.
const SAMPLE: usize = 8;
/// Engines that a prefix picks.
const PREFIX_CANDIDATES: usize = 2;
/// Points of one engine on the ring.
const RING_POINTS: u64 = 16;

/// All engines.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    engines: BTreeMap<String, Engine>,
    models: BTreeMap<String, Ring>,
}

/// The engines of one model.
#[derive(Clone, Debug, Default)]
struct Ring {
    /// Engine names in an order that every entry agrees on. The first ones take long prompts.
    ranked: Vec<String>,
    /// Points in rising order, each with an index into `ranked`.
    points: Vec<(u64, usize)>,
    capacity: Capacity,
}

/// What the engines of one model hold, whatever state they are in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// The number of engines.
    pub engines: usize,
    /// The KV memory of the largest engine, in tokens.
    pub largest: u64,
    /// What a gang of all engines could hold, in tokens.
    pub gang: u64,
}

impl Pool {
    /// Replaces the set of engines. Those that stay keep what is known of them.
    pub fn replace(&mut self, engines: impl IntoIterator<Item = Engine>) {
        let mut old = std::mem::take(&mut self.engines);
        for mut engine in engines {
            if let Some(mut known) = old.remove(&engine.name) {
                known.models = std::mem::take(&mut engine.models);
                known.memory_tokens = engine.memory_tokens;
                engine = known;
            }
            self.engines.insert(engine.name.clone(), engine);
        }
        self.arrange();
    }

    /// Returns an engine.
    pub fn get(&self, name: &str) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// Returns an engine to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Engine> {
        self.engines.get_mut(name)
    }

    /// Returns all engines by name.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// Returns the names of a model's engines in an order that every entry agrees on.
    pub fn ranked(&self, model: &str) -> &[String] {
        self.models.get(model).map_or(&[], |ring| &ring.ranked)
    }

    /// Returns what the engines of a model hold.
    pub fn capacity(&self, model: &str) -> Capacity {
        self.models
            .get(model)
            .map(|ring| ring.capacity)
            .unwrap_or_default()
    }

    /// Returns the engines of `range` in the ranking that the prefix picks, the first choice first.
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
        let mut picked: Vec<usize> = Vec::with_capacity(PREFIX_CANDIDATES);
        for (_, index) in points {
            if range.contains(index) && !picked.contains(index) {
                picked.push(*index);
            }
            if picked.len() == PREFIX_CANDIDATES {
                break;
            }
        }
        picked
            .into_iter()
            .filter_map(|index| self.at(ring, index))
            .collect()
    }

    /// Returns a random sample of the engines of `range` in the ranking, in random order; all of
    /// them if few.
    pub fn sample(
        &self,
        model: &str,
        range: std::ops::Range<usize>,
        random: &mut impl Rng,
    ) -> Vec<&Engine> {
        let Some(ring) = self.models.get(model) else {
            return Vec::new();
        };
        if range.len() <= SAMPLE {
            let mut all: Vec<&Engine> = range.filter_map(|it| self.at(ring, it)).collect();
            all.shuffle(random);
            return all;
        }
        let picks = (0..SAMPLE).map(|_| random.random_range(range.clone()));
        picks.filter_map(|index| self.at(ring, index)).collect()
    }

    fn at(&self, ring: &Ring, index: usize) -> Option<&Engine> {
        self.engines.get(ring.ranked.get(index)?)
    }

    fn arrange(&mut self) {
        self.models.clear();
        for engine in self.engines.values() {
            for model in &engine.models {
                let ring = self.models.entry(model.clone()).or_default();
                ring.ranked.push(engine.name.clone());
                ring.capacity.engines += 1;
                ring.capacity.largest = ring.capacity.largest.max(engine.memory_tokens);
                ring.capacity.gang += engine.gang_memory();
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
