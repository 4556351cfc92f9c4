//! Connections to companions, in generations that are retired together.

use std::net::SocketAddr;

use base::prelude::*;
use parking_lot::RwLock;
use ureq::Agent;
use wire::hop::hop_agent;

/// How many idle connections to one companion are kept.
const IDLE_PER_COMPANION: usize = 64;

/// How many companions' connections are kept; beyond it, the cache is cleared.
const MAX_COMPANIONS: usize = 4_096;

/// The current generation of connections to one companion.
#[derive(Clone, Debug)]
pub(super) struct CompanionConnections {
    pub(super) agent: Agent,
    generation: u64,
}

/// The connections to all companions.
#[derive(Debug, Default)]
pub(super) struct ConnectionCache {
    current: RwLock<IndexMap<SocketAddr, CompanionConnections>>,
}

impl ConnectionCache {
    /// Returns the connections to a companion, adding them if there are none.
    pub(super) fn get(&self, addr: SocketAddr) -> CompanionConnections {
        if let Some(connections) = self.current.read().get(&addr) {
            return connections.clone();
        }
        let mut current = self.current.write();
        if current.len() >= MAX_COMPANIONS {
            current.clear();
        }
        current
            .entry(addr)
            .or_insert_with(|| CompanionConnections::new(0))
            .clone()
    }

    /// Retires all connections of a generation after one was unresponsive, since all may be broken.
    ///
    /// Requests in progress continue on them; later ones use new connections.
    pub(super) fn retire(&self, addr: SocketAddr, connections: &CompanionConnections) {
        let mut current = self.current.write();
        if let Some(known) = current.get_mut(&addr)
            && known.generation == connections.generation
        {
            *known = CompanionConnections::new(connections.generation + 1);
        }
    }
}

impl CompanionConnections {
    fn new(generation: u64) -> Self {
        Self {
            agent: hop_agent(IDLE_PER_COMPANION),
            generation,
        }
    }
}
