//! The short soak, against the program as it is and against two that leak.

use std::path::{Path, PathBuf};
use std::process::Command;
use stonescale_lab::soak::Scenario;

const SCENARIO: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/soak-short.ini");

/// The laboratory's program, built beside the marshal's.
fn laboratory() -> PathBuf {
    let status = Command::new(env!("CARGO"))
        .args(["build", "-q", "--locked", "-p", "stonescale-lab", "--bins"])
        .status();
    assert!(status.unwrap().success());
    Path::new(env!("CARGO_BIN_EXE_stonescale")).with_file_name("stonescale-lab")
}

/// The marshal with deliberate faults in it, in a folder of its own.
fn mutants() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("mutants");
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args([
        "build",
        "-q",
        "--locked",
        "-p",
        "stonescale-marshal",
        "--features",
        "mutants",
        "--target-dir",
    ]);
    assert!(cargo.arg(&folder).status().unwrap().success());
    folder.join("debug/stonescale")
}

#[test]
fn a_soak_passes_and_catches_what_leaks() {
    Scenario::read(Path::new(SCENARIO)).unwrap();
    let (laboratory, mutants) = (laboratory(), mutants());
    let soak = |marshal: &Path, mutant: &str| {
        let mut run = Command::new(&laboratory);
        run.arg("soak").arg(SCENARIO).arg("--marshal").arg(marshal).env("STONESCALE_MUTANT", mutant);
        std::thread::spawn(move || run.output().unwrap())
    };
    let runs = [
        (0, "", soak(Path::new(env!("CARGO_BIN_EXE_stonescale")), "")),
        (3, "resident grows", soak(&mutants, "leak-hit")),
        (3, "descriptors", soak(&mutants, "leak-connection")),
    ];
    for (code, word, run) in runs {
        let out = run.join().unwrap();
        let told = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(out.status.code() == Some(code) && told.contains(word), "{told}");
    }
}
