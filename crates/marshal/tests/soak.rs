//! Runs the short soak against the marshal and against two variants with a deliberate leak: it must pass the first and
//! detect both leaks.

use std::path::{Path, PathBuf};
use std::process::Command;
use stonescale_lab::soak::Scenario;

const SCENARIO: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/soak-short.ini");

/// Builds the laboratory's binary beside the marshal's and returns its path.
fn build_laboratory() -> PathBuf {
    let status = Command::new(env!("CARGO"))
        .args(["build", "-q", "--locked", "-p", "stonescale-lab", "--bins"])
        .status();
    assert!(status.unwrap().success());
    Path::new(env!("CARGO_BIN_EXE_stonescale")).with_file_name("stonescale-lab")
}

/// Builds the marshal with the feature `mutants` in a target directory of its own and returns its path.
fn build_mutants() -> PathBuf {
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
fn the_soak_passes_and_detects_leaks() {
    Scenario::read(Path::new(SCENARIO)).unwrap();
    let (laboratory, mutants) = (build_laboratory(), build_mutants());
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
    for (code, pattern, run) in runs {
        let out = run.join().unwrap();
        let stdout = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(out.status.code() == Some(code) && stdout.contains(pattern), "{stdout}");
    }
}
