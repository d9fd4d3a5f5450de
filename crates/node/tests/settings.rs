//! Reading and reloading the settings file.

use {
    node::{
        load_settings,
        reload::{ReloadOutcome, SettingsFile},
    },
    poison::SuspectId,
    std::{
        fs,
        path::PathBuf,
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    yare::parameterized,
};

const GOOD: &str = "\
node: n1
ip: 127.0.0.1
failure_domain: z1
region: r1
peer_port: 7340
listen:
  callers: 127.0.0.1:8227
  addresses: 127.0.0.1:8224
  ready: 127.0.0.1:8220
store:
  address: 127.0.0.2:8223
repeats:
  ratio: 0.2
  slack: 260
  window_s: 10
first_start: true
grace_s: 8
";

/// Writes a settings file with a unique path, because tests run in parallel.
fn file(text: &str) -> PathBuf {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("gypsumfork-{}-{number}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn a_valid_file_is_loaded() {
    let path = file(GOOD);
    let settings = load_settings(&path).unwrap();
    assert_eq!(settings.peer_address(), "127.0.0.1:7340".parse().unwrap());
    assert!(settings.first_start);
    fs::remove_file(path).unwrap();
}

/// The memory of the process is what its platform says, also among other limits, or the default.
#[parameterized(
    named = { "limits: {\"cpus\": 1, \"memory_mb\": 182}\n", 182_000_000 },
    absent = { "", 160_000_000 },
    empty = { "limits: \"\"\n", 160_000_000 },
    nothing = { "limits:\n", 160_000_000 },
)]
fn the_memory_limit_is_read(line: &str, bytes: u64) {
    let path = file(&format!("{GOOD}{line}"));
    let settings = load_settings(&path).unwrap();
    assert_eq!(settings.memory().limit.0, bytes);
    fs::remove_file(path).unwrap();
}

/// Members of a head that is out of reach wait as long as the platform's engines do before they break
/// a group; a constant was too short for some platforms and too long for others.
#[parameterized(
    shorter = { "engines:\n  stall_ms: 5000.0\n", 5_000 },
    longer = { "engines: {stall_ms: 8000}\n", 8_000 },
    absent = { "", 6_000 },
    nothing = { "engines:\n  stall_ms: \n", 6_000 },
)]
fn the_stall_time_of_engines_is_read(lines: &str, ms: u64) {
    let path = file(&format!("{GOOD}{lines}"));
    let settings = load_settings(&path).unwrap();
    assert_eq!(settings.staged().stall_time, Duration::from_millis(ms));
    fs::remove_file(path).unwrap();
}

/// Whether engines check terms decides how long a new owner reckons with orders of the one before. Unnamed, they
/// may ignore them.
#[parameterized(
    checked = { "engines: {terms_checked: true}\n", true },
    ignored = { "engines: {terms_checked: false}\n", false },
    absent = { "", false },
    nothing = { "engines:\n  terms_checked: \n", false },
)]
fn whether_engines_check_terms_is_read(lines: &str, terms_checked: bool) {
    let path = file(&format!("{GOOD}{lines}"));
    let settings = load_settings(&path).unwrap();
    assert_eq!(settings.staged().terms_checked, terms_checked);
    fs::remove_file(path).unwrap();
}

/// So are the descriptors, which were left out before.
#[parameterized(
    named = { "limits: {\"max_fds\": 400, \"memory_mb\": 182}\n", 400 },
    absent = { "limits: {\"memory_mb\": 182}\n", 2_870 },
)]
fn the_descriptor_limit_is_read(line: &str, limit: usize) {
    let path = file(&format!("{GOOD}{line}"));
    let settings = load_settings(&path).unwrap();
    assert_eq!(settings.descriptors().limit, limit);
    fs::remove_file(path).unwrap();
}

#[parameterized(
    missing_field = { "peer_port: 7340\n", "", "peer_port" },
    port_zero = { "peer_port: 7340", "peer_port: 0", "peer_port" },
    no_memory = { "first_start: true", "limits: {memory_mb: 0}", "limits.memory_mb" },
    no_descriptors = { "first_start: true", "limits: {max_fds: 0}", "limits.max_fds" },
    negative = { "ratio: 0.2", "ratio: -1", "repeats.ratio" },
    no_window = { "window_s: 10", "window_s: 0", "repeats.window_s" },
    endless_stall_time = { "first_start: true", "engines: {stall_ms: 1e300}", "engines.stall_ms" },
    no_stall_time = { "first_start: true", "engines: {stall_ms: 0}", "engines.stall_ms" },
    no_answer_to_terms = {
        "first_start: true", "engines: {terms_checked: maybe}", "engines.terms_checked"
    },
    no_grace = { "grace_s: 8", "grace_s: 0", "grace_s" },
    no_address = { "callers: 127.0.0.1:8227", "callers: nowhere", "callers" },
    no_name = { "node: n1", "node: ''", "node" },
)]
fn an_invalid_value_is_reported_with_its_field(old: &str, new: &str, field: &str) {
    let path = file(&GOOD.replace(old, new));
    let error = load_settings(&path).unwrap_err().to_string();
    assert!(error.contains(field), "{error}");
    assert!(error.contains(".yaml"), "the file is named: {error}");
    fs::remove_file(path).unwrap();
}

#[test]
fn a_changed_retry_limit_applies_without_a_restart() {
    let path = file(GOOD);
    let mut settings = SettingsFile::open(path.clone()).unwrap();
    assert!(!settings.has_changed());
    assert!(matches!(settings.reload(), ReloadOutcome::Unchanged));
    fs::write(&path, GOOD.replace("slack: 260", "slack: 30").replace("grace_s: 8", "grace_s: 5"))
        .unwrap();
    let ReloadOutcome::Applied { needs_restart } = settings.reload() else { panic!("not taken") };
    assert!(needs_restart.is_empty(), "{needs_restart:?}");
    assert_eq!(settings.settings().retry_limits().slack, 30.0);
    assert_eq!(settings.settings().grace().as_secs(), 5);
    fs::remove_file(path).unwrap();
}

/// An operator lifts the refusal of a prompt part without a restart.
#[test]
fn admitted_parts_apply_without_a_restart() {
    let path = file(GOOD);
    let mut settings = SettingsFile::open(path.clone()).unwrap();
    assert!(settings.settings().admitted().is_empty());
    fs::write(&path, format!("{GOOD}admitted_parts: [\"91bd3f06\", e4402b7d]\n")).unwrap();
    let ReloadOutcome::Applied { needs_restart } = settings.reload() else { panic!("not taken") };
    assert!(needs_restart.is_empty(), "{needs_restart:?}");
    let expected = [SuspectId::part(0x91bd_3f06), SuspectId::part(0xe440_2b7d)];
    assert_eq!(settings.settings().admitted(), expected.into());
    fs::remove_file(path).unwrap();
}

/// An operator lifts the refusal of a request, whose id stands in the logs.
#[test]
fn admitted_requests_apply_without_a_restart() {
    let path = file(GOOD);
    let mut settings = SettingsFile::open(path.clone()).unwrap();
    let request = SuspectId::request(0x91bd_3f06);
    fs::write(&path, format!("{GOOD}admitted_requests: [\"{request}\"]\n")).unwrap();
    let ReloadOutcome::Applied { needs_restart } = settings.reload() else { panic!("not taken") };
    assert!(needs_restart.is_empty(), "{needs_restart:?}");
    assert_eq!(settings.settings().admitted(), [request].into());
    fs::write(&path, format!("{GOOD}admitted_requests: [\"91bd3f06\"]\n")).unwrap();
    let ReloadOutcome::Refused { error } = settings.reload() else {
        panic!("a part is no request")
    };
    assert!(error.to_string().contains("admitted_requests"), "{error}");
    fs::remove_file(path).unwrap();
}

#[test]
fn a_changed_address_needs_a_restart() {
    let path = file(GOOD);
    let mut settings = SettingsFile::open(path.clone()).unwrap();
    fs::write(&path, GOOD.replace("peer_port: 7340", "peer_port: 7341")).unwrap();
    let ReloadOutcome::Applied { needs_restart } = settings.reload() else { panic!("not taken") };
    assert_eq!(needs_restart, ["peer_port"]);
    assert_eq!(settings.settings().peer_port, 7340);
    fs::remove_file(path).unwrap();
}

/// A partly written file must not stop the process.
#[test]
fn an_invalid_file_leaves_the_settings_in_force() {
    let path = file(GOOD);
    let mut settings = SettingsFile::open(path.clone()).unwrap();
    fs::write(&path, "node: n1\n").unwrap();
    assert!(matches!(settings.reload(), ReloadOutcome::Refused { .. }));
    fs::remove_file(&path).unwrap();
    assert!(matches!(settings.reload(), ReloadOutcome::Refused { .. }));
    assert!(!settings.has_changed());
    assert_eq!(settings.settings().retry_limits().slack, 260.0);
}
