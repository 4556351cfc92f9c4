//! Snapshots: the state of a shard in chunks, and the pointer that names them.

use std::collections::VecDeque;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use wire::Claim;

use crate::Job;

/// The size at which a chunk is full, in bytes; the store's limit for values is above it.
const CHUNK_BYTES: usize = 768 * 1024;

/// The version of the encoding.
const VERSION: u16 = 1;

/// Names the current snapshot and its chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Pointer {
    /// The last record that the snapshot covers.
    pub(crate) seq: Seq,
    /// The epoch of that record.
    pub(crate) epoch: Epoch,
    /// The epoch in which the snapshot was written; part of the keys of its chunks.
    pub(crate) written_in: Epoch,
    /// The number of chunks.
    pub(crate) chunks: u32,
    /// The total size of the chunks, in bytes.
    pub(crate) bytes: u64,
}

/// One item of a shard's state in a snapshot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Item {
    /// A job; ended jobs are written in the order in which they ended.
    Job(Box<Job>),
    /// A claim and its time, in milliseconds since 1970.
    Claim(Box<Claim>, u64),
    /// The last wall time recorded, in milliseconds since 1970.
    Clock(u64),
    /// How long owners may keep tasks after the lease expired while the store is unreachable.
    Grace(Duration),
}

impl Pointer {
    pub(crate) fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(&(VERSION, self))
            .unwrap_or_default()
            .into()
    }

    pub(crate) fn decode(buf: &[u8]) -> Result<Self> {
        let (version, value): (u16, serde_json::Value) =
            serde_json::from_slice(buf).map_err(|e| malformed(e.to_string()))?;
        check_version(version)?;
        serde_json::from_value(value).map_err(|e| malformed(e.to_string()))
    }
}

/// Encodes items into chunks that are smaller than the store's limit for values.
pub(crate) fn encode_chunks(items: impl Iterator<Item = Item>) -> Result<VecDeque<Arc<[u8]>>> {
    let mut chunks = VecDeque::new();
    let mut buf = VERSION.to_le_bytes().to_vec();
    for item in items {
        buf = postcard::to_extend(&item, buf).map_err(|e| {
            Error::new(ErrorKind::Internal, "encode snapshot", "log", e.to_string())
        })?;
        if buf.len() >= CHUNK_BYTES {
            let full = std::mem::replace(&mut buf, VERSION.to_le_bytes().to_vec());
            chunks.push_back(full.into());
        }
    }
    chunks.push_back(buf.into());
    Ok(chunks)
}

/// Decodes the items of one chunk.
pub(crate) fn decode_chunk(buf: &[u8]) -> Result<Vec<Item>> {
    let Some((version, mut rest)) = buf.split_first_chunk::<2>() else {
        return Err(malformed("too short to hold a version".to_owned()));
    };
    check_version(u16::from_le_bytes(*version))?;
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, left) = postcard::take_from_bytes(rest).map_err(|e| malformed(e.to_string()))?;
        items.push(item);
        rest = left;
    }
    Ok(items)
}

fn check_version(version: u16) -> Result<()> {
    if version == VERSION {
        return Ok(());
    }
    Err(malformed(format!("unsupported version {version}")))
}

fn malformed(message: String) -> Error {
    Error::new(ErrorKind::Malformed, "decode snapshot", "log", message)
}
