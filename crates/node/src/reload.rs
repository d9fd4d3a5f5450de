//! Reloads the settings file while the process runs.

use {
    crate::settings::{NodeSettings, SettingsError, load_settings},
    std::{
        fs, io,
        path::PathBuf,
        time::{Duration, SystemTime},
    },
};

/// Time between two checks whether the file has changed without a signal.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Result of a reload.
#[derive(Debug)]
pub enum ReloadOutcome {
    /// The file has the same values as the settings in force.
    Unchanged,
    /// The file differs. The settings that can change at run time now have the file's values.
    Applied {
        /// Fields that differ and take effect only after a restart.
        needs_restart: Vec<&'static str>,
    },
    /// The file can't be used; the settings in force remain.
    Refused {
        /// Why the file can't be used.
        error: SettingsError,
    },
}

/// The settings file and the settings in force.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    in_force: NodeSettings,
    /// Modification time of the file at the last check; `None` if it could not be read.
    changed: Option<SystemTime>,
}

impl SettingsFile {
    /// Reads and validates a file.
    pub fn open(path: PathBuf) -> Result<Self, SettingsError> {
        let in_force = load_settings(&path)?;
        let changed = change_time(&path).ok();
        Ok(Self { path, in_force, changed })
    }

    /// The settings in force.
    pub fn settings(&self) -> &NodeSettings {
        &self.in_force
    }

    /// Whether the file has changed since the last check or reload.
    pub fn has_changed(&mut self) -> bool {
        // A file that is being replaced may be missing for a moment.
        let Ok(changed) = change_time(&self.path) else { return false };
        self.changed.replace(changed) != Some(changed)
    }

    /// Reads the file again and applies the settings that can change at run time: the limit on
    /// retries, the grace time, the admitted prompt parts and requests. All others need a restart.
    pub fn reload(&mut self) -> ReloadOutcome {
        self.changed = change_time(&self.path).ok();
        let loaded = match load_settings(&self.path) {
            Ok(loaded) => loaded,
            Err(error) => return ReloadOutcome::Refused { error },
        };
        if loaded == self.in_force {
            return ReloadOutcome::Unchanged;
        }
        self.in_force.retries = loaded.retries;
        self.in_force.grace_s = loaded.grace_s;
        self.in_force.admitted_parts.clone_from(&loaded.admitted_parts);
        self.in_force.admitted_requests.clone_from(&loaded.admitted_requests);
        ReloadOutcome::Applied { needs_restart: self.in_force.differing_fields(&loaded) }
    }
}

fn change_time(path: &std::path::Path) -> io::Result<SystemTime> {
    fs::metadata(path)?.modified()
}
