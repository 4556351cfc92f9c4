//! The operators' binary, as a volunteer or a script runs it.

use std::path::PathBuf;
use std::process::{Command, Output};

use ops::Exit;

use crate::rig::{Desk, wait_for_generation};

struct Volunteer {
    store: String,
    entry: String,
}

impl Volunteer {
    fn run(&self, desk: &str, args: &[&str]) -> Output {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(desk);
        Command::new(env!("CARGO_BIN_EXE_monsoontrestle"))
            .args(args)
            .current_dir(folder)
            .env("MONSOONTRESTLE_STORE", &self.store)
            .env("MONSOONTRESTLE_ENTRY", &self.entry)
            .output()
            .expect("run")
    }
}

fn is(output: &Output, exit: Exit) -> bool {
    output.status.code() == Some(i32::from(exit.code()))
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn first_evening_of_a_volunteer() {
    let desk = Desk::start();
    let entry = desk.entry("first", &[]);
    let volunteer = Volunteer {
        store: desk.server.addr().to_string(),
        entry: entry.http_addr().to_string(),
    };
    let run = |args: &[&str]| volunteer.run("vakaloloma", args);

    let check = run(&["check"]);
    let unsure = run(&["apply"]);
    let apply = run(&[
        "apply", "--base", "0", "--author", "ana", "--wait", "--json",
    ]);
    let same = run(&["diff"]);
    let other = volunteer.run("swan-river", &["diff"]);
    let late = volunteer.run("swan-river", &["apply", "--base", "0"]);
    let status = run(&["status"]);
    let unknown = run(&["show", "--generation", "9"]);
    let report = run(&["report"]);

    assert!(is(&check, Exit::Done));
    assert!(is(&unsure, Exit::Usage));
    assert!(is(&apply, Exit::Done), "{apply:?}");
    let told: serde_json::Value = serde_json::from_str(&text(&apply)).expect("JSON");
    assert_eq!(told["generation"], 1);
    assert_eq!(told["in-force-on"], 1);
    assert!(is(&same, Exit::Done));
    assert!(is(&other, Exit::Differs));
    assert!(is(&late, Exit::Conflict));
    assert!(text(&status).starts_with("entry first in viti-suva, generation 1"));
    assert!(is(&unknown, Exit::Refused));
    assert!(text(&report).contains("style-check"), "{report:?}");
    wait_for_generation(entry.http_addr(), desk.in_store());
    entry.kill();
}

#[test]
fn unreachable_store_and_entry_are_told_by_the_exit_code() {
    let desk = Desk::start();
    let volunteer = Volunteer {
        store: desk.server.addr().to_string(),
        entry: desk.server.addr().to_string(),
    };
    desk.server.stop();

    let history = volunteer.run("vakaloloma", &["history"]);
    let apply = volunteer.run("vakaloloma", &["apply", "--base", "0"]);
    let status = volunteer.run("vakaloloma", &["status"]);

    assert!(is(&history, Exit::Unreachable), "{history:?}");
    assert!(is(&apply, Exit::Unreachable), "{apply:?}");
    assert!(is(&status, Exit::Unreachable), "{status:?}");
}
