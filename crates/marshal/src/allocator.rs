//! How the system's allocator works in this process. It reads that from the environment before the program begins, so
//! the program starts itself once more with what it wants there; process id, files and signals stay as they are.

use std::os::unix::process::CommandExt;
use std::process::Command;

/// By default blocks of up to 128 KiB, and in time of 32 MiB, come from the heap, whose end is given back only when it is
/// free: after a flood of 40 KB commands resident size stood 2 MiB higher and rose by 33 KB a second over the next
/// ones. Blocks from 32 KiB on are mapped and given back one by one, and a free end of the heap early; a second arena
/// for the log's thread is not needed. Costs a page fault for each page of a large message.
const SETTINGS: [(&str, &str); 4] = [
    ("MALLOC_ARENA_MAX", "1"),
    ("MALLOC_MMAP_THRESHOLD_", "32768"),
    ("MALLOC_TRIM_THRESHOLD_", "65536"),
    ("MALLOC_TOP_PAD_", "16384"),
];

/// Starts the program again with these settings, unless the environment holds any of them already: who set one may set
/// them all. Where that can't be done, all goes on as it is.
pub fn apply_settings() {
    if SETTINGS.iter().any(|(name, _)| std::env::var_os(name).is_some()) {
        return;
    }
    let Ok(program) = std::env::current_exe() else { return };
    // Returns only where it failed.
    let _ = Command::new(program).args(std::env::args_os().skip(1)).envs(SETTINGS).exec();
}

#[cfg(test)]
mod tests {
    /// Where starting a program again is refused, `run` has to set the same.
    #[test]
    fn the_deploy_file_sets_what_the_program_would_start_itself_again_for() {
        let run =
            include_str!("../../../deploy/balancer.toml").lines().find(|l| l.starts_with("run")).unwrap();
        for (name, value) in super::SETTINGS {
            assert!(
                run.contains(&format!("{name}={value} ")) || run.contains(&format!("{name}={value};")),
                "{name}"
            );
        }
    }
}
