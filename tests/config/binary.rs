//! The command line of the `monsoontrestle` binary and its exit codes.

use std::path::PathBuf;
use std::process::{Command, Output};

use ops::Exit;

use crate::harness::{Cluster, wait_for_generation};

struct Cli {
    store: String,
    entry: String,
}

impl Cli {
    fn run(&self, example: &str, args: &[&str]) -> Output {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(example);
        Command::new(env!("CARGO_BIN_EXE_monsoontrestle"))
            .args(args)
            .current_dir(folder)
            .env("MONSOONTRESTLE_STORE", &self.store)
            .env("MONSOONTRESTLE_ENTRY", &self.entry)
            .output()
            .expect("run")
    }
}

fn exited_with(output: &Output, exit: Exit) -> bool {
    output.status.code() == Some(i32::from(exit.code()))
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn operator_checks_applies_diffs_and_reports_tables() {
    let cluster = Cluster::start();
    let entry = cluster.entry("first", &[]);
    let cli = Cli {
        store: cluster.server.addr().to_string(),
        entry: entry.http_addr().to_string(),
    };
    let run = |args: &[&str]| cli.run("vakaloloma", args);

    let check = run(&["check"]);
    let without_base = run(&["apply"]);
    let apply = run(&[
        "apply", "--base", "0", "--author", "ana", "--wait", "--json",
    ]);
    let same = run(&["diff"]);
    let other = cli.run("swan-river", &["diff"]);
    let stale_base = cli.run("swan-river", &["apply", "--base", "0"]);
    let status = run(&["status"]);
    let unknown = run(&["show", "--generation", "9"]);
    let report = run(&["report"]);

    assert!(exited_with(&check, Exit::Done));
    assert!(exited_with(&without_base, Exit::Usage));
    assert!(exited_with(&apply, Exit::Done), "{apply:?}");
    let applied: serde_json::Value = serde_json::from_str(&text(&apply)).expect("JSON");
    assert_eq!(applied["generation"], 1);
    assert_eq!(applied["in-force-on"], 1);
    assert!(exited_with(&same, Exit::Done));
    assert!(exited_with(&other, Exit::Differs));
    assert!(exited_with(&stale_base, Exit::Conflict));
    assert!(text(&status).starts_with("entry first in viti-suva, generation 1"));
    assert!(exited_with(&unknown, Exit::Refused));
    assert!(text(&report).contains("style-check"), "{report:?}");
    wait_for_generation(entry.http_addr(), cluster.stored_generation());
    entry.kill();
}

#[test]
fn unreachable_store_and_entry_are_reported_by_the_exit_code() {
    let cluster = Cluster::start();
    let cli = Cli {
        store: cluster.server.addr().to_string(),
        entry: cluster.server.addr().to_string(),
    };
    cluster.server.stop();

    let history = cli.run("vakaloloma", &["history"]);
    let apply = cli.run("vakaloloma", &["apply", "--base", "0"]);
    let status = cli.run("vakaloloma", &["status"]);

    assert!(exited_with(&history, Exit::Unreachable), "{history:?}");
    assert!(exited_with(&apply, Exit::Unreachable), "{apply:?}");
    assert!(exited_with(&status, Exit::Unreachable), "{status:?}");
}
