//! Tests of parsing, validation and comparison of the tables.

use std::fs;
use std::path::Path;

use base::prelude::*;
use proptest::prelude::*;
use tables::{Checked, Problems, RouteKind, Source, TablesDoc, Weights, diff, parse};

fn source(path: &str, text: &str) -> Source {
    Source {
        path: path.into(),
        text: text.into(),
    }
}

fn parse_texts(routes: &str, pools: &str) -> Result<Checked, Problems> {
    parse(&source("routes.toml", routes), &source("pools.toml", pools))
}

fn sample(desk: &str, file: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(root.join(desk).join(file)).expect("sample table")
}

fn sample_tables(desk: &str) -> Checked {
    parse_texts(&sample(desk, "routes.toml"), &sample(desk, "pools.toml")).expect("valid sample")
}

const POOL: &str = "[pools.desk]\nworkers = [\"runner-*\"]\n";
const ROUTE: &str = "[routes.check]\npath = \"/check\"\nkind = \"request\"\npool = \"desk\"\n";

#[test]
fn samples_of_both_desks_are_valid_without_warnings() {
    let vakaloloma = sample_tables("vakaloloma");
    let swan_river = sample_tables("swan-river");

    assert_eq!(vakaloloma.warnings, []);
    assert_eq!(swan_river.warnings, []);
    let settlement = &swan_river.tables.routes[&RouteName::from("settlement")];
    assert!(!settlement.idempotent);
    let proof = &vakaloloma.tables.routes[&RouteName::from("proof")];
    assert_eq!(proof.kind, RouteKind::Batch);
    assert_eq!(proof.resources, Resources::new(4, 8192, 0));
    let pool = &vakaloloma.tables.pools[&PoolName::from("manuscript-desk")];
    assert_eq!(pool.weights, Weights::MANUSCRIPT);
    assert_eq!(pool.outage_grace, Duration::from_secs(1800));
}

#[test]
fn minimal_tables_get_the_defaults() {
    let checked = parse_texts(ROUTE, POOL).expect("valid");

    let route = &checked.tables.routes[0];
    assert_eq!(route.team.as_str(), "desk");
    assert_eq!(route.class.as_str(), "check");
    assert_eq!(
        checked.tables.pools[0].outage_grace,
        Duration::from_secs(900)
    );
    assert_eq!(checked.warnings, []);
}

#[test]
fn all_errors_are_reported_with_positions() {
    let routes = "[routes.check]\npath = \"check\"\nkind = \"requets\"\npool = \"dekс\"\ndeadlin = \"2s\"\n\
                  rate = { burst = 0 }\nhedge = true\nmax-body = \"8\"\ndeadline = 2\n\
                  [routes.\"a b\"]\npath = \"/v1/x\"\nkind = \"batch\"\npool = \"desk\"\n\
                  [routes.c]\npath = \"/c\"\nkind = \"batch\"\npool = \"dek\"\nteam = \"x\"\n\
                  [routes.d]\npath = \"/c/\"\nkind = \"batch\"\npool = \"desk\"\nteam = \"x\"\n";
    let pools = "[pools.desk]\nworkers = [\"runner-*\", 4]\npreset = \"trade\"\noutage-grace = \"15 moons\"\n\
                 weights = { tail = 0 }\nteams = { a = 0.7, b = { share = 0.7, borow = true } }\n\
                 [pools.other]\nworkers = [\"*-7\"]\n";

    let problems = parse_texts(routes, pools).expect_err("invalid");

    insta::assert_snapshot!(problems);
}

#[test]
fn syntax_errors_are_reported_with_positions() {
    let other = format!("{ROUTE}retries = 2\n");

    let problems = parse_texts("[routes.check\npath = ", "pools = 3").expect_err("invalid");
    let alone = parse_texts(&other, "[pools.desk\n").expect_err("invalid");

    insta::assert_snapshot!(format!("{problems}\n{alone}"));
}

#[test]
fn empty_tables_are_valid_with_a_warning() {
    let checked = parse_texts("", "").expect("valid");

    assert_eq!(
        checked.warnings[0].to_string(),
        "routes.toml:1:1: there are no routes"
    );
}

#[test]
fn invalid_utf8_is_reported_with_its_position() {
    let problems =
        Source::from_bytes("pools.toml", b"[pools.x]\nwork\xff").expect_err("invalid UTF-8");

    assert_eq!(
        problems.to_string(),
        "pools.toml:2:5: expected UTF-8 text, found other bytes"
    );
}

#[test]
fn probable_mistakes_are_reported_as_warnings() {
    let routes =
        format!("{ROUTE}run-time = \"5m\"\nobjective = {{ within = \"20s\", share = 0.9 }}\n");
    let pools = "[pools.desk]\nworkers = []\n[pools.idle]\nworkers = [\"spare\"]\n";

    let checked = parse_texts(&routes, pools).expect("valid");

    insta::assert_snapshot!(Problems(checked.warnings));
}

#[test]
fn worker_patterns_may_overlap_in_different_zones() {
    let apart = "[pools.desk]\nworkers = [\"runner-*\"]\nzones = [\"a\"]\n\
                 [pools.other]\nworkers = [\"*\"]\nzones = [\"b\"]\n";

    let checked = parse_texts(ROUTE, apart).expect("valid");

    assert_eq!(checked.tables.pools.len(), 2);
}

#[test]
fn differences_name_rows_and_fields() {
    let old = sample_tables("vakaloloma").tables;
    let text = sample("vakaloloma", "routes.toml")
        .replace("deadline = \"2s\"", "deadline = \"3s\"")
        .replace("routes.style-watch", "routes.watch");
    let new = parse_texts(&text, &sample("vakaloloma", "pools.toml"))
        .expect("valid")
        .tables;

    let lines = diff(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>();

    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn stored_tables_keep_their_generation() {
    let doc = TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(7),
        routes: ROUTE.into(),
        pools: POOL.into(),
        author: "a volunteer".into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(1),
    };

    let tables = doc.tables().expect("valid");

    assert_eq!(tables.generation, Generation(7));
    assert_eq!(tables.routes.len(), 1);
}

/// Returns a valid text in which a range of characters is replaced.
fn damaged(text: &'static str) -> impl Strategy<Value = String> {
    (0..text.len(), 0..12_usize, ".{0,8}").prop_map(move |(at, len, patch)| {
        let end = (at + len).min(text.len());
        format!("{}{patch}{}", &text[..at], &text[end..])
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn malformed_tables_never_panic_and_every_error_has_a_position(
        routes in prop_oneof![damaged(ROUTE), "\\PC{0,60}"],
        pools in prop_oneof![damaged(POOL), "\\PC{0,60}"],
    ) {
        if let Err(problems) = parse_texts(&routes, &pools) {
            prop_assert!(!problems.0.is_empty());
            for problem in &problems.0 {
                let text = if &*problem.path == "routes.toml" { &routes } else { &pools };
                prop_assert!(problem.line >= 1 && problem.line <= text.matches('\n').count() + 1);
                prop_assert!(problem.column >= 1);
                prop_assert!(!problem.message.is_empty());
            }
        }
    }
}
