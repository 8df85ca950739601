//! The processes that this program has started. A run that takes too long ends them all and gives up.

use std::{
    process::{exit, Child, Command},
    sync::Mutex,
    thread,
    time::Duration,
};

static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records a process that was started.
pub fn started(child: &Child) {
    if let Ok(mut running) = RUNNING.lock() {
        running.push(child.id());
    }
}

/// Kills a process, waits for its end and forgets it.
pub fn end(mut child: Child) {
    let _ = child.kill();
    if let Ok(mut running) = RUNNING.lock() {
        // Until it is waited for, its id is not given to another process.
        running.retain(|id| *id != child.id());
        let _ = child.wait();
    }
}

/// Ends all processes and exits with 2 if the run is not over after `limit`.
pub fn give_up_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        crate::note!("the run has taken too long");
        if let Ok(running) = RUNNING.lock() {
            for id in running.iter() {
                let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
            }
            exit(2);
        }
    });
}
