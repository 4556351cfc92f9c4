//! The store record that names the owner.

use std::net::SocketAddr;

use base::prelude::*;
use ports::store::Revision;
use serde::{Deserialize, Serialize};

use crate::progress::{decode, encode};

/// The key that names the owner, bound to its lease.
pub const OWNER_KEY: &str = "mt/owner";

/// The key that holds the epoch of the last owner.
pub const EPOCH_KEY: &str = "mt/epoch";

/// The value of [`OWNER_KEY`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The entry's name.
    pub name: Name,
    /// The address at which it takes calls.
    pub addr: SocketAddr,
    /// Its epoch.
    pub epoch: Epoch,
    /// Random for each claim, so that a claim of unknown outcome can be recognised.
    pub nonce: Nonce,
}

/// The owner's key as written by a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Replacement {
    /// The value of the key.
    pub record: OwnerRecord,
    /// The revision of the key.
    pub revision: Revision,
}

impl OwnerRecord {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the record cannot be encoded.
    pub fn encode(&self) -> Result<Arc<[u8]>> {
        encode(self)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(OWNER_KEY, bytes)
    }
}
