//! A child process of the system under test, and the signals that tests send it.

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use base::prelude::{Arc, Name};
use parking_lot::{Condvar, Mutex};
use rustix::process::{Pid, Signal, kill_process};

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: Name,
    child: Child,
    log: Arc<Log>,
}

/// What a process wrote to standard output and error, line by line.
#[derive(Debug, Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

impl Process {
    /// Starts `program` with `args`.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start(name: &str, program: &Path, args: &[String]) -> Self {
        Self::start_with(name, program, args, &[])
    }

    /// Starts `program` with `args` and additional environment variables.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start_with(
        name: &str,
        program: &Path,
        args: &[String],
        vars: &[(&str, String)],
    ) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .envs(vars.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("start {}: {e}", program.display()));
        let log = Arc::new(Log::default());
        if let Some(out) = child.stdout.take() {
            collect(out, &log);
        }
        if let Some(err) = child.stderr.take() {
            collect(err, &log);
        }
        Self {
            name: name.into(),
            child,
            log,
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Kills the process, as the loss of its VM does, and waits for its end.
    pub fn kill(&mut self) {
        self.send(Signal::KILL);
        self.child.wait().expect("wait for a killed process");
    }

    /// Suspends the process.
    pub fn pause(&mut self) {
        self.send(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&mut self) {
        self.send(Signal::CONT);
    }

    /// Asks the process to shut down gracefully.
    pub fn terminate(&mut self) {
        self.send(Signal::TERM);
    }

    /// Waits up to `timeout` for the process to exit; returns `None` if it did not.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let ended = self.child.try_wait().expect("wait for a process");
            if ended.is_some() || Instant::now() >= deadline {
                return ended;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns true if the process has not ended; a suspended one is alive.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("wait for a process").is_none()
    }

    /// Waits up to `timeout` for a line that contains `text`; returns `None` if there was none.
    pub fn wait_for_line(&self, text: &str, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        let mut lines = self.log.lines.lock();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Some(line.clone());
            }
            if self
                .log
                .line_added
                .wait_until(&mut lines, deadline)
                .timed_out()
            {
                return None;
            }
        }
    }

    /// Returns everything that the process wrote so far.
    pub fn output(&self) -> String {
        self.log.lines.lock().join("\n")
    }

    fn send(&mut self, signal: Signal) {
        // The id of a process that was waited for may have been reused.
        if !self.is_alive() {
            return;
        }
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.expect("a process has an id");
        kill_process(pid, signal).expect("signal a process of this test");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_alive() {
            self.kill();
        }
        if thread::panicking() {
            eprintln!("--- output of {}:\n{}", self.name, self.output());
        }
    }
}

fn collect(from: impl Read + Send + 'static, log: &Arc<Log>) {
    let log = Arc::clone(log);
    thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            log.lines.lock().push(line);
            log.line_added.notify_all();
        }
    });
}
