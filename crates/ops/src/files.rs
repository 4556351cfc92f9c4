//! The two tables as files.

use std::fs;
use std::path::{Path, PathBuf};

use tables::{Checked, Problems, Source, parse};

use crate::{Exit, Failure};

/// Where the two tables are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFiles {
    /// The table of routes.
    pub routes: PathBuf,
    /// The table of pools.
    pub pools: PathBuf,
}

/// Both tables as read from their files.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The text of the routes.
    pub routes: Source,
    /// The text of the pools.
    pub pools: Source,
    /// Both, checked and joined.
    pub checked: Checked,
}

impl TableFiles {
    /// Reads, checks and joins both tables.
    ///
    /// # Errors
    ///
    /// Fails with every fault of both tables, or with the path that can't be read.
    pub fn load(&self) -> Result<Loaded, Failure> {
        let routes_bytes = read(&self.routes)?;
        let pools_bytes = read(&self.pools)?;
        let routes = Source::from_bytes(name(&self.routes), &routes_bytes);
        let pools = Source::from_bytes(name(&self.pools), &pools_bytes);
        let (routes, pools) = match (routes, pools) {
            (Ok(routes), Ok(pools)) => (routes, pools),
            (routes, pools) => return Err(both(routes.err(), pools.err()).into()),
        };
        let checked = parse(&routes, &pools)?;
        Ok(Loaded {
            routes,
            pools,
            checked,
        })
    }
}

fn both(first: Option<Problems>, second: Option<Problems>) -> Problems {
    let problems = first.into_iter().chain(second);
    Problems(problems.flat_map(|problems| problems.0).collect())
}

fn read(path: &Path) -> Result<Vec<u8>, Failure> {
    fs::read(path).map_err(|e| Failure::new(Exit::Usage, format!("{}: {e}", path.display())))
}

fn name(path: &Path) -> String {
    path.display().to_string()
}
