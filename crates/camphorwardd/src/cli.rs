//! The daemon's command line.

use crate::daemon::StartError;
use crate::daemon::{Daemon, DrainEnd};
use argh::FromArgs;
use eyre::WrapErr;
use gateway::settings::GatewaySettings;
use settings::process::{LogLevel, ProcessSettings};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit code for invalid arguments or settings.
const EXIT_INVALID_INPUT: u8 = 2;
/// The exit code for a listener or socket that cannot be opened.
const EXIT_CANNOT_START: u8 = 4;
/// The exit code for a drain that aborted requests.
const EXIT_DRAIN_INCOMPLETE: u8 = 6;

/// Runs the daemon of one entry host.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// the settings, JSON with comments
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// the settings of a gateway on the platform, JSON with comments; in place of --settings
    #[argh(option)]
    pub gateway: Option<PathBuf>,
    /// check the settings, print them with all defaults, and exit with 0 or 2
    #[argh(switch)]
    pub check: bool,
}

/// Parses the command line and runs the daemon.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub fn run_from_env() -> eyre::Result<ExitCode> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Arguments::from_args(&args[..1], &args[1..]) {
        Ok(arguments) => run(&arguments),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            Ok(ExitCode::SUCCESS)
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            Ok(ExitCode::from(EXIT_INVALID_INPUT))
        }
    }
}

/// Runs the daemon until a signal or a drain request ends it.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    match (&arguments.settings, &arguments.gateway) {
        (Some(settings), None) => run_daemon(arguments, settings),
        (None, Some(settings)) => run_gateway(arguments, settings),
        _ => {
            eprintln!("camphorwardd: give either --settings or --gateway");
            Ok(ExitCode::from(EXIT_INVALID_INPUT))
        }
    }
}

fn run_gateway(arguments: &Arguments, path: &Path) -> eyre::Result<ExitCode> {
    let settings = match GatewaySettings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return Ok(ExitCode::from(EXIT_INVALID_INPUT));
        }
    };
    if arguments.check {
        println!("{settings:#?}");
        return Ok(ExitCode::SUCCESS);
    }
    gateway::logs::start(settings.log).wrap_err("cannot start the log")?;
    let mut builder = match settings.worker_threads {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = builder.worker_threads(settings.worker_threads).enable_all().build()?;
    if let Err(error) = runtime.block_on(gateway::daemon::run(settings, path)) {
        eprintln!("camphorwardd: {error}");
        return Ok(ExitCode::from(EXIT_CANNOT_START));
    }
    runtime.shutdown_background();
    Ok(ExitCode::SUCCESS)
}

fn run_daemon(arguments: &Arguments, path: &Path) -> eyre::Result<ExitCode> {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{}: {message}", path.display());
            return Ok(ExitCode::from(EXIT_INVALID_INPUT));
        }
    };
    if arguments.check {
        println!("{}", serde_json::to_string_pretty(&settings)?);
        return Ok(ExitCode::SUCCESS);
    }
    start_log(settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads as usize)
        .enable_all()
        .build()?;
    let code = runtime.block_on(serve_until_signal(settings))?;
    // Tasks of finished requests may still be notifying other hosts; there is no need to wait.
    runtime.shutdown_background();
    Ok(code)
}

fn read_settings(path: &Path) -> Result<ProcessSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    settings::parse_process_settings(&text).map_err(|report| report.to_string())
}

async fn serve_until_signal(settings: ProcessSettings) -> eyre::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot watch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot watch SIGINT")?;
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => return Ok(report_start_error(&error)),
    };
    println!("{}", serde_json::to_string(&daemon.addresses())?);
    tokio::select! {
        () = next_signal(&mut terminate, &mut interrupt) => {}
        () = daemon.drain_requested() => {}
    }
    log::info!("draining; another signal exits immediately");
    let end = tokio::select! {
        end = daemon.drain() => end,
        () = next_signal(&mut terminate, &mut interrupt) => {
            log::warn!("signal received while draining; exiting immediately");
            return Ok(ExitCode::from(EXIT_DRAIN_INCOMPLETE));
        }
    };
    Ok(match end {
        DrainEnd::Finished => ExitCode::SUCCESS,
        DrainEnd::BoundPassed { .. } => ExitCode::from(EXIT_DRAIN_INCOMPLETE),
    })
}

fn report_start_error(error: &StartError) -> ExitCode {
    eprintln!("camphorwardd: {error}");
    ExitCode::from(EXIT_CANNOT_START)
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn start_log(level: LogLevel) -> eyre::Result<()> {
    let config =
        ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("camphorwardd").build();
    WriteLogger::init(to_filter(level), config, std::io::stderr()).wrap_err("cannot start the log")
}

const fn to_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
