//! Parses both tables into the validated model and collects all errors.

use base::prelude::*;
use toml::de::{DeTable, DeValue};

use crate::check;
use crate::pools;
use crate::problem::{Problem, Problems};
use crate::reader::{Reader, Row, in_file_order};
use crate::routes;
use crate::{Pool, Route, Tables, TablesDoc};

/// The text of a table and its path as shown in messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The path of the file.
    pub path: Name,
    /// The text of the file.
    pub text: Name,
}

/// Valid tables and the warnings about them.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    /// The tables, under generation 0.
    pub tables: Tables,
    /// Valid settings that are probably mistakes.
    pub warnings: Vec<Problem>,
}

/// A row of a table with the byte offset of its name in the source.
#[derive(Debug)]
pub(crate) struct Located<T> {
    pub(crate) row: Arc<T>,
    pub(crate) offset: usize,
}

impl Source {
    /// Decodes the bytes of a file as UTF-8.
    ///
    /// # Errors
    ///
    /// Returns the position of the first byte that is not valid UTF-8.
    pub fn from_bytes(path: impl Into<Name>, bytes: &[u8]) -> Result<Self, Problems> {
        let path = path.into();
        match std::str::from_utf8(bytes) {
            Ok(text) => Ok(Self {
                path,
                text: text.into(),
            }),
            Err(error) => {
                let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
                let source = Self {
                    path,
                    text: valid.as_ref().into(),
                };
                let offset = source.text.len();
                let message = "expected UTF-8 text, found other bytes";
                Err(Problems(vec![Problem::at(&source, offset, message)]))
            }
        }
    }
}

/// Parses and validates both tables, including the references between them.
///
/// # Errors
///
/// Returns all errors of both tables with their positions.
pub fn parse(routes: &Source, pools: &Source) -> Result<Checked, Problems> {
    let mut routes_reader = Reader::new(routes);
    let mut pools_reader = Reader::new(pools);
    let routes = read_rows(&mut routes_reader, "routes", routes::read);
    let pools = read_rows(&mut pools_reader, "pools", pools::read);
    let declared = declared_pools(&pools_reader);
    check::cross_references(
        &mut routes_reader,
        &mut pools_reader,
        &routes,
        &pools,
        declared.as_ref(),
    );
    let problems = sorted(routes_reader.problems, pools_reader.problems);
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    Ok(Checked {
        tables: Tables {
            generation: Generation(0),
            routes: route_map(&routes),
            pools: pool_map(&pools),
        },
        warnings: sorted(routes_reader.warnings, pools_reader.warnings),
    })
}

impl TablesDoc {
    /// Parses and validates these tables, and sets their generation.
    ///
    /// # Errors
    ///
    /// Returns all errors of both tables with their positions.
    pub fn tables(&self) -> Result<Tables, Problems> {
        let routes = Source {
            path: "routes.toml".into(),
            text: Arc::clone(&self.routes),
        };
        let pools = Source {
            path: "pools.toml".into(),
            text: Arc::clone(&self.pools),
        };
        let mut tables = parse(&routes, &pools)?.tables;
        tables.generation = self.generation;
        Ok(tables)
    }
}

fn route_map(routes: &[Located<Route>]) -> IndexMap<RouteName, Arc<Route>> {
    routes
        .iter()
        .map(|route| (route.row.name.clone(), Arc::clone(&route.row)))
        .collect()
}

fn pool_map(pools: &[Located<Pool>]) -> IndexMap<PoolName, Arc<Pool>> {
    pools
        .iter()
        .map(|pool| (pool.row.name.clone(), Arc::clone(&pool.row)))
        .collect()
}

fn sorted(mut first: Vec<Problem>, mut second: Vec<Problem>) -> Vec<Problem> {
    first.sort_by_key(|problem| (problem.line, problem.column));
    second.sort_by_key(|problem| (problem.line, problem.column));
    first.append(&mut second);
    first
}

/// Reads the rows `[key.NAME]` and reports anything else in the file as an error.
fn read_rows<T>(
    reader: &mut Reader<'_>,
    key: &'static str,
    read: fn(&mut Reader<'_>, &str, &Row<'_>) -> Option<T>,
) -> Vec<Located<T>> {
    let (document, errors) = DeTable::parse_recoverable(reader.text());
    let has_syntax_errors = !errors.is_empty();
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        reader.problem(offset, error.message().to_owned());
    }
    if has_syntax_errors {
        return Vec::new();
    }
    let row = Row::new(reader, document.get_ref(), 0, &[key]);
    let Some(rows) = row.table(reader, key) else {
        return Vec::new();
    };
    let mut located = Vec::new();
    for (name, value) in in_file_order(rows.fields()) {
        let offset = name.span().start;
        reader.check_name(offset, name.get_ref());
        let DeValue::Table(table) = value.get_ref() else {
            reader.problem(
                offset,
                format!("expected a table [{key}.{}]", name.get_ref()),
            );
            continue;
        };
        let row = Row::unchecked(table, offset);
        if let Some(row) = read(reader, name.get_ref(), &row) {
            let row = Arc::new(row);
            located.push(Located { row, offset });
        }
    }
    located
}

/// Returns the names of all pools, or `None` if the file or its `pools` can't be read.
///
/// Invalid pools are included, so that routes to them are not reported as errors, too.
fn declared_pools(reader: &Reader<'_>) -> Option<IndexSet<Name>> {
    let document = DeTable::parse(reader.text()).ok()?;
    let Some(pools) = document.get_ref().get("pools") else {
        return Some(IndexSet::new());
    };
    let DeValue::Table(pools) = pools.get_ref() else {
        return None;
    };
    let names = pools.keys().map(|name| name.get_ref().as_ref().into());
    Some(names.collect())
}
