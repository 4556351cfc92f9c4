//! An index of workers by their free processors.

use base::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The last bucket, which holds all workers with at least this many free cores.
const LARGEST_BUCKET: usize = 255;
/// Millicores in a core.
const CORE: u64 = 1000;

/// Workers that may get tasks, in buckets of their free whole cores.
#[derive(Debug, Default)]
pub(crate) struct FreeIndex {
    buckets: Vec<IndexSet<WorkerId>>,
    at: IndexMap<WorkerId, usize>,
    /// Workers with a free accelerator.
    accelerated: IndexSet<WorkerId>,
}

impl FreeIndex {
    /// Sets the free resources of a worker.
    pub(crate) fn set(&mut self, worker: &WorkerId, free: Resources) {
        let cores = usize::try_from(free.cpu_milli / CORE).unwrap_or(LARGEST_BUCKET);
        let bucket = cores.min(LARGEST_BUCKET);
        if free.accelerators > 0 {
            self.accelerated.insert(worker.clone());
        } else {
            self.accelerated.swap_remove(worker);
        }
        if self.at.get(worker) == Some(&bucket) {
            return;
        }
        self.detach(worker);
        if self.buckets.len() <= bucket {
            self.buckets.resize_with(bucket + 1, IndexSet::new);
        }
        self.buckets[bucket].insert(worker.clone());
        self.at.insert(worker.clone(), bucket);
    }

    /// Removes a worker that may get no tasks.
    pub(crate) fn remove(&mut self, worker: &WorkerId) {
        self.accelerated.swap_remove(worker);
        self.detach(worker);
    }

    fn detach(&mut self, worker: &WorkerId) {
        if let Some(bucket) = self.at.swap_remove(worker) {
            self.buckets[bucket].swap_remove(worker);
        }
    }

    /// Returns workers that may have enough free capacity: all if they are at most `most`, else
    /// `most` random draws, which may repeat.
    pub(crate) fn draw(
        &self,
        need: &Resources,
        most: usize,
        rng: &mut ChaCha8Rng,
    ) -> Vec<WorkerId> {
        if need.accelerators > 0 {
            return draw_from(&[&self.accelerated], most, rng);
        }
        let from = usize::try_from(need.cpu_milli / CORE).unwrap_or(LARGEST_BUCKET);
        let from = from.min(LARGEST_BUCKET).min(self.buckets.len());
        let fitting: Vec<_> = self.buckets[from..]
            .iter()
            .filter(|bucket| !bucket.is_empty())
            .collect();
        draw_from(&fitting, most, rng)
    }

    /// Returns workers regardless of their free capacity: all if they are at most `most`, else
    /// `most` random draws, which may repeat.
    pub(crate) fn draw_any(&self, most: usize, rng: &mut ChaCha8Rng) -> Vec<WorkerId> {
        if self.at.len() <= most {
            return self.at.keys().cloned().collect();
        }
        (0..most)
            .filter_map(|_| self.at.get_index(rng.random_range(0..self.at.len())))
            .map(|(worker, _)| worker.clone())
            .collect()
    }
}

fn draw_from(sets: &[&IndexSet<WorkerId>], most: usize, rng: &mut ChaCha8Rng) -> Vec<WorkerId> {
    let total: usize = sets.iter().map(|set| set.len()).sum();
    if total <= most {
        return sets.iter().flat_map(|set| set.iter().cloned()).collect();
    }
    (0..most)
        .filter_map(|_| nth(sets, rng.random_range(0..total)))
        .cloned()
        .collect()
}

fn nth<'a>(sets: &[&'a IndexSet<WorkerId>], mut at: usize) -> Option<&'a WorkerId> {
    for set in sets {
        if at < set.len() {
            return set.get_index(at);
        }
        at -= set.len();
    }
    None
}
