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

/// Sends a signal such as `TERM` to a process that this program has started, by the shell's own `kill`.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("bash").args(["-c", &format!("kill -{name} {id}")]).status();
}

/// Ends all processes and exits with 2 if the run is not over after `limit`.
pub fn give_up_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        crate::note!("the run has taken too long");
        if let Ok(running) = RUNNING.lock() {
            for id in running.iter() {
                signal(*id, "KILL");
            }
            exit(2);
        }
    });
}
