//! Threads of a test that run until they are stopped.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// Threads that are asked to stop, and joined, when this is dropped.
#[derive(Default)]
pub struct BackgroundThreads {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BackgroundThreads {
    /// Starts a thread; its work ends soon after the flag that it is given is set.
    pub fn spawn(&mut self, work: impl FnOnce(&AtomicBool) + Send + 'static) {
        let stopping = self.stopping.clone();
        self.threads.push(std::thread::spawn(move || work(&stopping)));
    }

    /// Asks the threads to stop, and waits for them. Panics if one has panicked.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            if let Err(panic) = thread.join() {
                std::panic::resume_unwind(panic);
            }
        }
    }
}

impl Drop for BackgroundThreads {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}
