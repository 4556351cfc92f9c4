//! The table files.

use std::fs;
use std::path::{Path, PathBuf};

use tables::{Checked, Problems, Source, parse};

use crate::{Exit, Failure};

/// The paths of the two table files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFiles {
    /// The path of the routes table.
    pub routes: PathBuf,
    /// The path of the pools table.
    pub pools: PathBuf,
}

/// Both tables, as read from their files.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The source of the routes table.
    pub routes: Source,
    /// The source of the pools table.
    pub pools: Source,
    /// The validated tables and their warnings.
    pub checked: Checked,
}

impl TableFiles {
    /// Reads and validates both tables.
    ///
    /// # Errors
    ///
    /// Fails with all errors of both tables, or with the path that can't be read.
    pub fn load(&self) -> Result<Loaded, Failure> {
        let routes_bytes = read(&self.routes)?;
        let pools_bytes = read(&self.pools)?;
        let routes = Source::from_bytes(name(&self.routes), &routes_bytes);
        let pools = Source::from_bytes(name(&self.pools), &pools_bytes);
        let (routes, pools) = match (routes, pools) {
            (Ok(routes), Ok(pools)) => (routes, pools),
            (routes, pools) => return Err(merge_problems(routes.err(), pools.err()).into()),
        };
        let checked = parse(&routes, &pools)?;
        Ok(Loaded {
            routes,
            pools,
            checked,
        })
    }
}

fn merge_problems(first: Option<Problems>, second: Option<Problems>) -> Problems {
    let problems = first.into_iter().chain(second);
    Problems(problems.flat_map(|problems| problems.0).collect())
}

fn read(path: &Path) -> Result<Vec<u8>, Failure> {
    fs::read(path).map_err(|e| Failure::new(Exit::Usage, format!("{}: {e}", path.display())))
}

fn name(path: &Path) -> String {
    path.display().to_string()
}
