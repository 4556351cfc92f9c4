//! Checks that the reference pages cover every table field, command, flag, exit code and metric.

use std::fs;
use std::path::Path;
use std::process::Command;

use ops::Exit;
use tables::{Field, POOL_FIELDS, ROUTE_FIELDS};

fn page(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    fs::read_to_string(folder.join(name)).expect("page")
}

fn row(field: &Field) -> String {
    let Field {
        name,
        value,
        default,
        summary,
    } = field;
    format!("| `{name}` | {value} | {default} | {summary} |")
}

fn help(args: &[&str]) -> String {
    let binary = env!("CARGO_BIN_EXE_monsoontrestle");
    let output = Command::new(binary)
        .args(args)
        .arg("--help")
        .output()
        .expect("help");
    String::from_utf8(output.stdout).expect("text")
}

/// Returns the first word of each line of a help text.
fn first_words(help: &str) -> impl Iterator<Item = &str> {
    help.lines()
        .filter_map(|line| line.split_whitespace().next())
}

#[test]
fn every_field_of_the_tables_is_described() {
    let page = page("CONFIG.md");

    for field in ROUTE_FIELDS.iter().chain(POOL_FIELDS) {
        assert!(
            page.contains(&row(field)),
            "docs/CONFIG.md lacks\n{}",
            row(field)
        );
    }
}

#[test]
fn every_command_flag_and_exit_code_is_described() {
    let page = page("CLI.md");
    let overview = help(&[]);
    let (_, commands) = overview
        .split_once("Available commands:")
        .expect("commands");
    let (commands, _) = commands.split_once("Exit codes:").expect("exit codes");
    let names = commands
        .lines()
        .filter(|line| line.starts_with("    ") && !line.starts_with("     "));

    for name in names.filter_map(|line| line.split_whitespace().next()) {
        assert!(
            page.contains(&format!("## {name}\n")),
            "docs/CLI.md lacks {name}"
        );
        let help = help(&[name]);
        for flag in first_words(&help).filter(|word| word.starts_with("--")) {
            let flag = flag.split('=').next().unwrap_or(flag);
            assert!(page.contains(flag), "docs/CLI.md lacks {flag} of {name}");
        }
    }
    for exit in Exit::ALL {
        let row = format!("| {} | {} |", exit.code(), exit.meaning());
        assert!(page.contains(&row), "docs/CLI.md lacks\n{row}");
    }
}

#[test]
fn help_never_shows_the_secret() {
    let binary = env!("CARGO_BIN_EXE_monsoontrestle");

    let output = Command::new(binary)
        .args(["status", "--help"])
        .env("MONSOONTRESTLE_TOKEN", "hush-hush")
        .output()
        .expect("help");

    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("--token-file"));
    assert!(!text.contains("hush-hush"));
}

#[test]
fn every_metric_is_described() {
    let page = page("OPERATORS.md");
    let metrics = report::Metrics::new();
    metrics.request("check", "answered", std::time::Duration::ZERO);
    metrics.store_call("get", true, std::time::Duration::ZERO);
    let text = metrics.encode().expect("metrics");

    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    for name in names.filter_map(|line| line.split_whitespace().next()) {
        assert!(
            page.contains(&format!("`{name}")),
            "docs/OPERATORS.md lacks {name}"
        );
    }
}
