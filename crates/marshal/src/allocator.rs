//! Configures the C library's allocator. It reads its settings from the environment before `main`, so the program
//! executes itself once more with them set; process id, open files and signals stay the same.

use std::os::unix::process::CommandExt;
use std::process::Command;

/// By default blocks of up to 128 KiB, a threshold that grows up to 32 MiB, come from the heap, of which only a free
/// end is returned to the system: after a flood of 40 KB commands resident size stayed 2 MiB higher, and rose by 33 KB
/// a second over the next floods. With these settings blocks from 32 KiB on are mapped and returned one by one, the
/// free end of the heap is returned early, and the log's thread gets no arena of its own. The cost is a page fault for
/// each page of a large message.
const SETTINGS: [(&str, &str); 4] = [
    ("MALLOC_ARENA_MAX", "1"),
    ("MALLOC_MMAP_THRESHOLD_", "32768"),
    ("MALLOC_TRIM_THRESHOLD_", "65536"),
    ("MALLOC_TOP_PAD_", "16384"),
];

/// Executes the program again with these settings, unless the environment holds any of them: whoever set one of them
/// decides on all. If that fails, the program goes on without them.
pub fn apply_settings() {
    if SETTINGS.iter().any(|(name, _)| std::env::var_os(name).is_some()) {
        return;
    }
    let Ok(program) = std::env::current_exe() else { return };
    // Returns only on failure.
    let _ = Command::new(program).args(std::env::args_os().skip(1)).envs(SETTINGS).exec();
}

#[cfg(test)]
mod tests {
    /// `run` has to set the same values, for systems where the program can't execute itself.
    #[test]
    fn the_deploy_file_sets_the_same_allocator_settings() {
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
