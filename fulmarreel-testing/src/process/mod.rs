//! Runs programs of this workspace as processes.

pub mod fleet;
mod mesh;
mod port;

pub use fleet::Fleet;
pub use mesh::{Instance, InstanceSpec, Mesh, eventually};
pub use port::free_address;

use anyhow::{Context, ensure};
use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

/// A running program. The process is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of the workspace or an example of this package.
    ///
    /// # Errors
    ///
    /// The program was not built, or cannot be started.
    pub fn start(program: &str, arguments: &[&str]) -> anyhow::Result<Self> {
        Self::start_with(program, arguments, &[])
    }

    /// As [`Process::start`], with additional environment variables.
    ///
    /// # Errors
    ///
    /// The program was not built, or cannot be started.
    pub fn start_with(
        program: &str,
        arguments: &[&str],
        variables: &[(&str, &str)],
    ) -> anyhow::Result<Self> {
        Self::spawn(program, arguments, variables, unread_output())
    }

    /// As [`Process::start_with`], with the standard output appended to a file.
    ///
    /// # Errors
    ///
    /// The program was not built or cannot be started, or the file cannot be written.
    pub fn start_logged(
        program: &str,
        arguments: &[&str],
        variables: &[(&str, &str)],
        log: &Path,
    ) -> anyhow::Result<Self> {
        let file = File::options().create(true).append(true).open(log);
        let file = file.with_context(|| format!("open {}", log.display()))?;
        Self::spawn(program, arguments, variables, file.into())
    }

    fn spawn(
        program: &str,
        arguments: &[&str],
        variables: &[(&str, &str)],
        output: Stdio,
    ) -> anyhow::Result<Self> {
        let path = locate(program)?;
        let child = Command::new(&path)
            .args(arguments)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(unread_output())
            .spawn()
            .with_context(|| format!("start {}", path.display()))?;
        Ok(Self { child })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// The signal is unknown or the process has ended.
    pub fn signal(&self, signal: &str) -> anyhow::Result<()> {
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.id().to_string()])
            .status()?;
        ensure!(status.success(), "kill -{signal} {}: {status}", self.id());
        Ok(())
    }

    /// Waits until the process ends by itself, with success.
    ///
    /// # Errors
    ///
    /// It did not end in time, or ended without success.
    pub fn wait(&mut self, timeout: Duration) -> anyhow::Result<()> {
        let status = self.wait_for_exit(timeout)?;
        ensure!(status.success(), "process {}: {status}", self.id());
        Ok(())
    }

    /// The exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// The operating system cannot report it.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits until the process ends by itself; returns its exit status.
    ///
    /// # Errors
    ///
    /// It did not end in time.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            ensure!(
                Instant::now() < deadline,
                "process {} still runs",
                self.id()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Either call fails only where the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Discards output that no test reads, unless FULMARREEL_TEST_LOG is set.
fn unread_output() -> Stdio {
    if std::env::var_os("FULMARREEL_TEST_LOG").is_none() {
        Stdio::null()
    } else {
        Stdio::inherit()
    }
}

/// Finds a built program next to the running one.
///
/// # Errors
///
/// The program was not built.
pub fn locate(program: &str) -> anyhow::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let candidates = current
        .ancestors()
        .skip(1)
        .take(2)
        .flat_map(|folder| [folder.join(program), folder.join("examples").join(program)]);
    candidates
        .into_iter()
        .find(|path| path.is_file())
        .with_context(|| format!("{program} is not built; run scripts/test"))
}
