//! The shipped binaries as real processes.
//!
//! The binaries are taken from the folder of the running test or example, so that both are of one
//! build. JSON log lines on standard output are kept in memory.

mod usage;

pub use usage::Usage;

use {
    derive_more::{Display, Error, From},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::Value,
    std::{
        env,
        io::{self, BufRead as _, BufReader, Read},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// How often the end of a process is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Why a process could not be started, signalled or waited for.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The binary has not been built.
    #[display("{} is missing; build it with `cargo build --workspace --bins{profile}`", path.display())]
    #[from(skip)]
    Missing {
        /// Where it was looked for.
        path: PathBuf,
        /// Flag that selects the profile of the running program.
        profile: &'static str,
    },
    /// The operating system refused.
    #[display("{_0}")]
    Io(io::Error),
    /// The process cannot be signalled.
    #[display("cannot signal the process: {_0}")]
    Signal(nix::Error),
    /// What was waited for did not happen in time.
    #[display("{name}: no {awaited} within {limit:?}; it wrote:\n{output}")]
    #[from(skip)]
    Timeout {
        /// Name of the process.
        name: String,
        /// What was waited for.
        awaited: String,
        /// How long.
        limit: Duration,
        /// The end of what the process wrote.
        output: String,
    },
}

/// A running process; killed and reaped on drop.
pub struct Process {
    name: String,
    child: Child,
    output: Arc<Output>,
    readers: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Output {
    state: Mutex<Lines>,
    changed: Condvar,
}

#[derive(Default)]
struct Lines {
    logs: Vec<Value>,
    others: Vec<String>,
    open: usize,
}

/// Path of one of the workspace's binaries, beside the running test or example.
///
/// # Errors
///
/// Fails when the binary has not been built.
pub fn binary(name: &str) -> Result<PathBuf, Fault> {
    let program = env::current_exe()?;
    // Tests run in `deps` and examples in `examples`, below the folder of the profile.
    let folder = program.parent().and_then(|folder| folder.parent());
    let path = folder.unwrap_or(&program).join(name);
    if path.is_file() {
        return Ok(path);
    }
    let is_release = path.components().any(|part| part.as_os_str() == "release");
    let profile = if is_release { " --release" } else { "" };
    Err(Fault::Missing { path, profile })
}

impl Process {
    /// Starts a binary of the workspace.
    ///
    /// # Errors
    ///
    /// Fails when the binary is missing or does not start.
    pub fn new(name: &str, binary_name: &str, arguments: &[String]) -> Result<Self, Fault> {
        Self::with_environment(name, binary_name, arguments, &[])
    }

    /// Starts a binary of the workspace with environment variables beside the inherited ones.
    ///
    /// # Errors
    ///
    /// Fails when the binary is missing or does not start.
    pub fn with_environment(
        name: &str,
        binary_name: &str,
        arguments: &[String],
        environment: &[(&str, &str)],
    ) -> Result<Self, Fault> {
        let mut child = Command::new(binary(binary_name)?)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = Arc::new(Output::default());
        output.lock().open = 2;
        let mut readers = Vec::new();
        if let Some(stdout) = child.stdout.take() {
            readers.push(read(stdout, Arc::clone(&output)));
        }
        if let Some(stderr) = child.stderr.take() {
            readers.push(read(stderr, Arc::clone(&output)));
        }
        Ok(Self {
            name: name.to_owned(),
            child,
            output,
            readers,
        })
    }

    /// Name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// JSON log lines written so far.
    pub fn logs(&self) -> Vec<Value> {
        self.output.lock().logs.clone()
    }

    /// Lines written so far that are not JSON, from both outputs.
    pub fn other_lines(&self) -> Vec<String> {
        self.output.lock().others.clone()
    }

    /// Waits for a log line.
    ///
    /// # Errors
    ///
    /// Fails when there is no such line within the limit, or the process ends without it.
    pub fn wait_for_log<F>(
        &self,
        awaited: &str,
        limit: Duration,
        matches: F,
    ) -> Result<Value, Fault>
    where
        F: Fn(&Value) -> bool,
    {
        let deadline = Instant::now() + limit;
        let mut lines = self.output.lock();
        loop {
            if let Some(line) = lines.logs.iter().find(|line| matches(line)) {
                return Ok(line.clone());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || lines.open == 0 {
                drop(lines);
                return Err(self.timeout(awaited, limit));
            }
            lines = self.output.wait(lines, left);
        }
    }

    /// Waits until the process listens, and gives the address of one of its listeners.
    ///
    /// # Errors
    ///
    /// Fails when it does not listen within the limit.
    pub fn wait_for_listener(&self, listener: &str, limit: Duration) -> Result<SocketAddr, Fault> {
        let line = self.wait_for_log(&format!("listener {listener}"), limit, |line| {
            line["message"] == "listening" && line["listener"] == listener
        })?;
        let address = line["address"].as_str().and_then(|text| text.parse().ok());
        address.ok_or_else(|| self.timeout(&format!("address of {listener}"), limit))
    }

    /// Ends the process at once (SIGKILL) and reaps it.
    ///
    /// # Errors
    ///
    /// Fails when the operating system refuses.
    pub fn kill(&mut self) -> Result<ExitStatus, Fault> {
        self.child.kill()?;
        Ok(self.child.wait()?)
    }

    /// Stops the process (SIGSTOP) until [`Self::resume_execution`].
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn pause(&self) -> Result<(), Fault> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a paused process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn resume_execution(&self) -> Result<(), Fault> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to shut down (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn terminate(&self) -> Result<(), Fault> {
        self.signal(Signal::SIGTERM)
    }

    /// Tells the process to read its settings again (SIGHUP).
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn hang_up(&self) -> Result<(), Fault> {
        self.signal(Signal::SIGHUP)
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// How the process ended, if it has.
    pub fn end(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Processor time and memory that the process has used.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn usage(&self) -> Result<Usage, Fault> {
        Ok(Usage::of(self.child.id())?)
    }

    /// Waits until the process has ended by itself. Other tasks of the same thread go on meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when it still runs after the limit.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Fault> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(self.timeout("end of the process", limit));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), Fault> {
        let pid = i32::try_from(self.child.id()).expect("process identifiers are positive i32");
        Ok(kill(Pid::from_raw(pid), signal)?)
    }

    fn timeout(&self, awaited: &str, limit: Duration) -> Fault {
        Fault::Timeout {
            name: self.name.clone(),
            awaited: awaited.to_owned(),
            limit,
            output: self.output.lock().tail(),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only when the process is already reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
        for reader in self.readers.drain(..) {
            let _ = reader.join();
        }
    }
}

impl Output {
    fn lock(&self) -> MutexGuard<'_, Lines> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, lines: MutexGuard<'a, Lines>, limit: Duration) -> MutexGuard<'a, Lines> {
        let waited = self.changed.wait_timeout(lines, limit);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

impl Lines {
    /// The last lines written, for an error.
    fn tail(&self) -> String {
        let logs = self.logs.iter().map(Value::to_string);
        let all: Vec<String> = logs.chain(self.others.iter().cloned()).collect();
        let from = all.len().saturating_sub(20);
        all[from..].join("\n")
    }

    fn push(&mut self, line: String) {
        match serde_json::from_str(&line) {
            Ok(log @ Value::Object(_)) => self.logs.push(log),
            _ => self.others.push(line),
        }
    }
}

fn read<R: Read + Send + 'static>(source: R, output: Arc<Output>) -> JoinHandle<()> {
    thread::spawn(move || {
        for line in BufReader::new(source).lines().map_while(Result::ok) {
            output.lock().push(line);
            output.changed.notify_all();
        }
        output.lock().open -= 1;
        output.changed.notify_all();
    })
}
