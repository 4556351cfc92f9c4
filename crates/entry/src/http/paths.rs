//! The connections to companions, in generations that are retired together.

use std::net::SocketAddr;

use base::prelude::*;
use parking_lot::RwLock;
use ureq::Agent;
use wire::hop::hop_agent;

/// How many idle connections to one companion are kept.
const IDLE_PER_COMPANION: usize = 64;

/// How many companions' connections are kept; beyond it, all are dropped and made again.
const MAX_COMPANIONS: usize = 4_096;

/// The connections to one companion that are believed to work.
#[derive(Clone, Debug)]
pub(super) struct Path {
    pub(super) agent: Agent,
    generation: u64,
}

/// The paths to all companions.
#[derive(Debug, Default)]
pub(super) struct Paths {
    current: RwLock<IndexMap<SocketAddr, Path>>,
}

impl Paths {
    /// Returns the path to a companion.
    pub(super) fn to(&self, addr: SocketAddr) -> Path {
        if let Some(path) = self.current.read().get(&addr) {
            return path.clone();
        }
        let mut current = self.current.write();
        if current.len() >= MAX_COMPANIONS {
            current.clear();
        }
        current.entry(addr).or_insert_with(|| Path::new(0)).clone()
    }

    /// Retires all connections of a path: one of them was silent, so that all are in doubt.
    ///
    /// Requests that wait on them go on; later ones use new connections.
    pub(super) fn retire(&self, addr: SocketAddr, path: &Path) {
        let mut current = self.current.write();
        if let Some(known) = current.get_mut(&addr)
            && known.generation == path.generation
        {
            *known = Path::new(path.generation + 1);
        }
    }
}

impl Path {
    fn new(generation: u64) -> Self {
        Self {
            agent: hop_agent(IDLE_PER_COMPANION),
            generation,
        }
    }
}
