//! One real process of the system: settings file, start, signals, end, disk. It owns the child, and never leaves one behind.
use super::settings::{node_name, Role};
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::{json, Value};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Which builds of the programs are started.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The rig itself, which is all of them under their names.
    pub rig: PathBuf,
    /// A folder with other builds.
    pub builds: Option<PathBuf>,
}

impl Programs {
    /// The builds of the rig itself.
    pub fn own(&self) -> Programs {
        Programs {
            rig: self.rig.clone(),
            builds: None,
        }
    }

    /// The command that starts a program; the kernel ends it with the rig. A file that is too long for its limit is an error
    /// to it, as a full disk is, and no signal.
    fn command(&self, role: Role, folder: &Path) -> io::Result<Command> {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]);
        match &self.builds {
            None => {
                // The rig is all of the programs under their names.
                let named = folder.join(role.program());
                if !named.exists() {
                    std::os::unix::fs::symlink(&self.rig, &named)?;
                }
                command.arg(named);
            }
            Some(builds) => {
                command
                    .arg(&self.rig)
                    .args(["program", "--build"])
                    .arg(builds.join(role.program()));
            }
        }
        Ok(command)
    }
}

/// A way for a process to be gone that nobody ordered.
#[derive(Debug, thiserror::Error)]
#[error("{name} ended by itself: {status}")]
pub struct EndedByItself {
    name: String,
    status: ExitStatus,
}

pub struct Process {
    pub role: Role,
    pub machine: usize,
    name: String,
    folder: PathBuf,
    settings: Value,
    programs: Programs,
    child: Option<Child>,
    /// It was told to end.
    leaving: bool,
}

impl Process {
    pub fn new(
        role: Role,
        machine: usize,
        settings: Value,
        folder: &Path,
        programs: &Programs,
    ) -> Process {
        Process {
            role,
            machine,
            name: node_name(role, machine),
            folder: folder.to_owned(),
            settings,
            programs: programs.clone(),
            child: None,
            leaving: false,
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// The folder of a process's disk.
    pub fn data(folder: &Path, role: Role, machine: usize) -> PathBuf {
        folder.join(format!("{}.data", node_name(role, machine)))
    }

    fn file(&self, end: &str) -> PathBuf {
        self.folder.join(format!("{}.{end}", self.name))
    }

    /// Changes the settings file; a running process looks at it again at SIGHUP, or after a while.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.settings);
        // Whole or not at all, as the process may read it at any moment.
        let new = self.file("settings.new");
        std::fs::write(&new, self.settings.to_string())?;
        std::fs::rename(new, self.file("settings.json"))
    }

    /// From its next start on it is of these builds.
    pub fn use_programs(&mut self, programs: &Programs) {
        self.programs = programs.clone();
    }

    /// # Errors
    /// Where files or the process can't be made.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        std::fs::create_dir_all(Process::data(&self.folder, self.role, self.machine))?;
        self.reconfigure(|_| {})?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.file("log"))?;
        let mut command = self.programs.command(self.role, &self.folder)?;
        command.env("SANDTRACK_BOOT", self.file("settings.json"));
        // Through a pipe, as a limit on files is meant for the disk alone.
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let told = child.stderr.take();
        self.child = Some(child);
        std::thread::spawn(move || told.map(|mut told| io::copy(&mut told, &mut &log)));
        self.leaving = false;
        // Only the very first start of the whole system is one.
        self.settings["first_start"] = json!(false);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().map(Pid::from_child);
        // It fails only where the process has ended, which is found out when it is reaped.
        let _ = id.map(|id| kill_process(id, signal));
    }

    /// SIGKILL; it is gone when this returns. Its disk stays.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Its disk is empty from now on; it must not run.
    ///
    /// # Errors
    /// Where the disk's folder can't be removed.
    pub fn wipe(&self) -> io::Result<()> {
        let data = Process::data(&self.folder, self.role, self.machine);
        std::fs::remove_dir_all(&data)?;
        std::fs::create_dir_all(data)
    }

    /// SIGSTOP: it stands still with all its sockets open.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// SIGTERM.
    pub fn terminate(&mut self) {
        self.leaving = true;
        self.signal(Signal::TERM);
    }

    /// SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Its id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether it was told to end and has not yet.
    pub fn is_leaving(&self) -> bool {
        self.leaving && self.child.is_some()
    }

    /// From now on its files can't get longer than this; `None`: as long as they like.
    pub fn limit_files(&self, most: Option<u64>) {
        let id = self.child.as_ref().map(Pid::from_child);
        let limit = Rlimit {
            current: most,
            maximum: None,
        };
        // It fails only where the process has ended, which is found out when it is reaped.
        let _ = id.map(|id| prlimit(Some(id), Resource::Fsize, limit));
    }

    /// Whether it runs; finds out if it has ended.
    ///
    /// # Errors
    /// Where it ended without having been told to, or not in order.
    pub fn is_running(&mut self) -> Result<bool, EndedByItself> {
        let status = self
            .child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        let Some(status) = status else {
            return Ok(self.child.is_some());
        };
        self.child = None;
        match self.leaving && status.success() {
            true => Ok(false),
            false => Err(EndedByItself {
                name: self.name.clone(),
                status,
            }),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
