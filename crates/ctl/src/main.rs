//! Runs `gfctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let environment = std::env::var(ctl::args::CONTROLLERS_VARIABLE).ok();
    let mut stdout = std::io::stdout();
    let mut stderr = std::io::stderr();
    ctl::run(arguments, environment.as_deref(), &mut stdout, &mut stderr).into()
}
