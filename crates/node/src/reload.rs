//! Taking a changed settings file in while the process runs.

use {
    crate::settings::{NodeSettings, SettingsError, load_settings},
    std::{
        fs, io,
        path::PathBuf,
        time::{Duration, SystemTime},
    },
};

/// Time between two looks at whether the file changed without a signal.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// What became of a changed file.
#[derive(Debug)]
pub enum ReloadOutcome {
    /// Nothing differs from the settings in force.
    Unchanged,
    /// The settings that can change while the process runs are in force.
    Applied {
        /// Fields that differ and need a restart.
        needs_restart: Vec<&'static str>,
    },
    /// The file can't be used; the settings in force stay.
    Refused {
        /// Why.
        error: SettingsError,
    },
}

/// The settings file and what of it is in force.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    in_force: NodeSettings,
    /// When the file was last changed, as of the last look; none when it could not be told.
    changed: Option<SystemTime>,
}

impl SettingsFile {
    /// Reads and checks a file.
    pub fn open(path: PathBuf) -> Result<Self, SettingsError> {
        let in_force = load_settings(&path)?;
        let changed = change_time(&path).ok();
        Ok(Self { path, in_force, changed })
    }

    /// The settings in force.
    pub fn settings(&self) -> &NodeSettings {
        &self.in_force
    }

    /// Whether the file was changed since the last look or read.
    pub fn has_changed(&mut self) -> bool {
        // A file that is being replaced may be missing for a moment.
        let Ok(changed) = change_time(&self.path) else { return false };
        self.changed.replace(changed) != Some(changed)
    }

    /// Reads the file again and takes in what can change while the process runs: the bound on
    /// repeats and the grace time. What it listens on and where the store is need a restart.
    pub fn reload(&mut self) -> ReloadOutcome {
        self.changed = change_time(&self.path).ok();
        let read = match load_settings(&self.path) {
            Ok(read) => read,
            Err(error) => return ReloadOutcome::Refused { error },
        };
        if read == self.in_force {
            return ReloadOutcome::Unchanged;
        }
        self.in_force.retries = read.retries;
        self.in_force.grace_s = read.grace_s;
        ReloadOutcome::Applied { needs_restart: self.in_force.differing_fields(&read) }
    }
}

fn change_time(path: &std::path::Path) -> io::Result<SystemTime> {
    fs::metadata(path)?.modified()
}
