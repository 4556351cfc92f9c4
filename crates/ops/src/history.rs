//! The tables in the store: those in force and the history.

use base::prelude::*;
use ports::store::{Expect, KeyValue, Revision, Store, StoreCall, StoreReply};
use tables::TablesDoc;

/// How many earlier generations the history keeps.
pub const HISTORY_KEPT: u64 = 50;

const HISTORY_PREFIX: &str = "config/history/";
const LIST_PAGE: usize = 8;
const MAX_READ_ATTEMPTS: u32 = 3;

/// The tables in force, and the revision of their key.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredTables {
    /// The tables.
    pub doc: TablesDoc,
    /// The revision for a compare-and-swap.
    pub revision: Revision,
}

/// Reads and writes the tables in the store.
#[derive(Clone, Copy, Debug)]
pub struct TablesStore<'a> {
    store: &'a dyn Store,
}

impl<'a> TablesStore<'a> {
    /// Wraps a store.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Reads the tables in force; returns `None` if the store has none.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or its value can't be decoded.
    pub fn current(&self) -> Result<Option<StoredTables>> {
        let found = self.get(TablesDoc::KEY)?;
        found.as_ref().map(decode).transpose()
    }

    /// Reads an earlier generation; returns `None` if the history does not have it.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or its value can't be decoded.
    pub fn earlier(&self, generation: Generation) -> Result<Option<TablesDoc>> {
        let found = self.get(&history_key(generation))?;
        let found = found.as_ref().map(decode).transpose()?;
        Ok(found.map(|in_force| in_force.doc))
    }

    /// Reads a generation, in force or earlier.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::NotFound`] if the store does not have the generation. Fails if the
    /// store can't be read or its value can't be decoded.
    pub fn at(&self, generation: Generation) -> Result<TablesDoc> {
        if let Some(current) = self.current()?
            && current.doc.generation == generation
        {
            return Ok(current.doc);
        }
        self.earlier(generation)?.ok_or_else(|| {
            Error::new(
                ErrorKind::NotFound,
                "read history",
                "store",
                format!("generation {generation} is not kept"),
            )
        })
    }

    /// Reads all generations in the store, the one in force included, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or its value can't be decoded.
    pub fn all(&self) -> Result<Vec<TablesDoc>> {
        let mut docs = self.all_earlier()?;
        if let Some(current) = self.current()? {
            docs.retain(|doc| doc.generation != current.doc.generation);
            docs.push(current.doc);
        }
        docs.sort_by_key(|doc| doc.generation);
        Ok(docs)
    }

    fn all_earlier(&self) -> Result<Vec<TablesDoc>> {
        let mut docs = Vec::new();
        let mut after = None;
        loop {
            let call = StoreCall::List {
                prefix: HISTORY_PREFIX.into(),
                after: after.clone(),
                limit: LIST_PAGE,
            };
            let StoreReply::Listed(page) = self.read(&call)? else {
                return Err(unexpected(&call));
            };
            for found in &page {
                docs.push(decode(found)?.doc);
            }
            match page.last() {
                Some(last) if page.len() == LIST_PAGE => after = Some(Arc::clone(&last.key)),
                _ => return Ok(docs),
            }
        }
    }

    /// Returns the highest generation in the store, the history included; 0 if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or its value can't be decoded.
    pub fn highest(&self) -> Result<Generation> {
        let docs = self.all()?;
        Ok(docs.last().map_or(Generation(0), |doc| doc.generation))
    }

    /// Adds a generation to the history, before another one replaces it.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be written. The call is idempotent.
    pub fn archive(&self, doc: &TablesDoc) -> Result<()> {
        let call = StoreCall::Put {
            key: history_key(doc.generation),
            value: encode(doc)?,
            expect: Expect::Absent,
            lease: None,
        };
        match self.store.call(&call)? {
            StoreReply::Done { .. } | StoreReply::Conflict { .. } => Ok(()),
            _ => Err(unexpected(&call)),
        }
    }

    /// Deletes the generations that exceed [`HISTORY_KEPT`].
    ///
    /// # Errors
    ///
    /// Fails if the store can't be written. The call is idempotent.
    pub fn trim(&self, in_force: Generation) -> Result<()> {
        let oldest = in_force.0.saturating_sub(HISTORY_KEPT);
        let call = StoreCall::DeleteRange {
            from: history_key(Generation(0)),
            to: history_key(Generation(oldest)),
        };
        self.store.call(&call).map(drop)
    }

    /// Replaces the tables if their key is in the state `expect`, and returns the conflict if not.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be written. After an error of unknown outcome, the swap may have
    /// taken effect.
    pub fn swap(&self, doc: &TablesDoc, expect: Expect) -> Result<Swap> {
        let call = StoreCall::Put {
            key: TablesDoc::KEY.into(),
            value: encode(doc)?,
            expect,
            lease: None,
        };
        match self.store.call(&call)? {
            StoreReply::Done { .. } => Ok(Swap::Done),
            StoreReply::Conflict { current } => {
                let current = current.as_ref().map(decode).transpose()?;
                Ok(Swap::Conflict(current))
            }
            _ => Err(unexpected(&call)),
        }
    }

    /// Makes a call that only reads, and retries it if the response is lost.
    fn read(&self, call: &StoreCall) -> Result<StoreReply> {
        let mut response = self.store.call(call);
        for _ in 1..MAX_READ_ATTEMPTS {
            match &response {
                Err(e) if e.kind().is_outcome_unknown() => response = self.store.call(call),
                _ => break,
            }
        }
        response.map_err(|e| match e.kind() {
            kind if kind.is_outcome_unknown() => {
                Error::new(ErrorKind::Unreachable, e.step(), e.peer(), e.message())
            }
            _ => e,
        })
    }

    fn get(&self, key: &str) -> Result<Option<KeyValue>> {
        let call = StoreCall::Get { key: key.into() };
        match self.read(&call)? {
            StoreReply::Got(found) => Ok(found),
            _ => Err(unexpected(&call)),
        }
    }
}

/// The result of [`TablesStore::swap`].
#[derive(Clone, Debug, PartialEq)]
pub enum Swap {
    /// The tables were replaced.
    Done,
    /// Nothing changed; the store has this instead.
    Conflict(Option<StoredTables>),
}

/// Returns the key of an earlier generation; keys sort in the order of generations.
fn history_key(generation: Generation) -> Name {
    format!("{HISTORY_PREFIX}{:020}", generation.0).into()
}

fn encode(doc: &TablesDoc) -> Result<Arc<[u8]>> {
    let bytes = serde_json::to_vec(doc)
        .map_err(|e| Error::new(ErrorKind::Internal, "write tables", "store", e.to_string()))?;
    if bytes.len() > ports::store::MAX_VALUE_BYTES {
        let message = format!(
            "the tables take {} bytes together; the store holds {} at most",
            bytes.len(),
            ports::store::MAX_VALUE_BYTES
        );
        return Err(Error::new(
            ErrorKind::Invalid,
            "write tables",
            "store",
            message,
        ));
    }
    Ok(bytes.into())
}

fn decode(found: &KeyValue) -> Result<StoredTables> {
    let malformed = |message: String| {
        let message = format!("key {}: {message}", found.key);
        Error::new(ErrorKind::Malformed, "read tables", "store", message)
    };
    let doc =
        serde_json::from_slice::<TablesDoc>(&found.value).map_err(|e| malformed(e.to_string()))?;
    if doc.version > TablesDoc::VERSION {
        return Err(malformed(format!(
            "written by a newer program (format {}, this one knows {})",
            doc.version,
            TablesDoc::VERSION
        )));
    }
    Ok(StoredTables {
        doc,
        revision: found.revision,
    })
}

fn unexpected(call: &StoreCall) -> Error {
    let message = format!("unexpected answer to {}", call.kind());
    Error::new(ErrorKind::Malformed, "read tables", "store", message)
}
