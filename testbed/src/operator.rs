//! An operator's desk: the client's binary, a folder of files, a store and an instance list.

use {
    crate::{
        list::{Instance, List},
        peer::Peer,
        store::Store,
    },
    serde_json::Value,
    std::{
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Command, Output},
    },
    tempfile::TempDir,
};

/// A desk with stand-ins of its own.
pub struct Operator {
    /// The store.
    pub store: Store,
    /// The instance list.
    pub list: List,
    binary: PathBuf,
    folder: TempDir,
}

/// A finished run of the client.
#[derive(Clone, Debug)]
pub struct Run {
    /// Exit code; -1 if it was killed.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl Operator {
    /// A desk with an empty store and list, for the client at `binary`.
    ///
    /// # Errors
    ///
    /// No port, thread or folder is available.
    pub fn new(binary: &str) -> io::Result<Self> {
        Ok(Self {
            store: Store::start()?,
            list: List::start()?,
            binary: binary.into(),
            folder: TempDir::new()?,
        })
    }

    /// Writes a file into the folder and gives its path.
    ///
    /// # Errors
    ///
    /// The folder is not writable.
    pub fn file(&self, name: &str, text: &str) -> io::Result<String> {
        let path = self.folder.path().join(name);
        fs::write(&path, text)?;
        Ok(path.display().to_string())
    }

    /// Lists a peer as a router.
    pub fn list_router(&self, name: &str, address: SocketAddr) {
        self.list.set(Instance {
            name: name.to_owned(),
            address,
            service: String::new(),
            role: "router".to_owned(),
            data_centre: "vejle-a".to_owned(),
            leaving: false,
        });
    }

    /// Starts a peer and lists it as a router.
    ///
    /// # Errors
    ///
    /// No port or thread is available.
    pub fn start_router(&self, name: &str) -> io::Result<Peer> {
        let peer = Peer::start(name)?;
        self.list_router(name, peer.address());
        Ok(peer)
    }

    /// Runs the client with the desk's store and list.
    ///
    /// # Errors
    ///
    /// The binary cannot be run.
    pub fn run(&self, arguments: &[&str]) -> io::Result<Run> {
        let variables = [
            ("TAMARACKDALE_STORE", self.store.url()),
            ("TAMARACKDALE_INSTANCE_LIST", self.list.url()),
        ];
        self.run_with(arguments, &variables)
    }

    /// Runs the client with these environment variables only.
    ///
    /// # Errors
    ///
    /// The binary cannot be run.
    pub fn run_with(&self, arguments: &[&str], variables: &[(&str, String)]) -> io::Result<Run> {
        run(&self.binary, arguments, variables)
    }
}

/// Runs a client with these environment variables only.
///
/// # Errors
///
/// The binary cannot be run.
pub fn run(binary: &Path, arguments: &[&str], variables: &[(&str, String)]) -> io::Result<Run> {
    let output = Command::new(binary)
        .args(arguments)
        .env_clear()
        .envs(variables.iter().cloned())
        .output()?;
    Ok(output.into())
}

impl Run {
    /// Standard output as JSON; `Null` if it is not.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_default()
    }
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}
