//! The key that names the owner.

use std::net::SocketAddr;

use base::prelude::*;
use ports::store::Revision;
use serde::{Deserialize, Serialize};

use crate::progress::{decode, encode};

/// The key that names the owner, under its lease.
pub const OWNER_KEY: &str = "mt/owner";

/// The key that holds the epoch of the last owner.
pub const EPOCH_KEY: &str = "mt/epoch";

/// What [`OWNER_KEY`] holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The entry's name.
    pub name: Name,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// Its epoch.
    pub epoch: Epoch,
    /// Drawn for each claim, so that a claim of unknown outcome is recognised.
    pub nonce: Nonce,
}

/// The owner's key as a new owner has written it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Replacement {
    /// What the key holds.
    pub record: OwnerRecord,
    /// The revision of the key.
    pub revision: Revision,
}

impl OwnerRecord {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] where it cannot be encoded.
    pub fn encode(&self) -> Result<Arc<[u8]>> {
        encode(self)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] where the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(OWNER_KEY, bytes)
    }
}
