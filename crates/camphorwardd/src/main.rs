//! Starts the daemon of one entry host.

fn main() -> eyre::Result<std::process::ExitCode> {
    camphorwardd::cli::run_from_env()
}
