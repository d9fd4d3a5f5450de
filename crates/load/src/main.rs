//! Runs `gf-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    load::main_with(std::env::args_os().skip(1).collect())
}
