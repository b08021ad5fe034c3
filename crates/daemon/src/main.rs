//! The `wharflaned` binary: reads the settings, starts logging and runs one host.

use std::fs;
use std::path;
use std::process;

use anyhow::Context as _;
use wharflane_daemon::host;
use wharflane_daemon::settings;

/// Exit code for settings that can't be read or contain faults.
const EXIT_BAD_SETTINGS: u8 = 2;

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<path::PathBuf>("config") else {
        return process::ExitCode::from(EXIT_BAD_SETTINGS);
    };
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let _writer = init_logging(&settings);
    log_build();
    match run_host(settings, path) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("wharflaned: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}

/// Builds the command line parser.
fn command() -> clap::Command {
    let config = clap::Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(path::PathBuf))
        .help("The settings of this host");
    clap::Command::new("wharflaned")
        .version(wharflane_build::DESCRIPTION)
        .about("An entry host of wharflane")
        .arg(config)
}

/// Reads and checks the settings file; prints every fault with its line on failure.
fn load_settings(path: &path::Path) -> Result<settings::Settings, process::ExitCode> {
    let bad = process::ExitCode::from(EXIT_BAD_SETTINGS);
    let text = fs::read_to_string(path).map_err(|err| {
        eprintln!("{}: {err}", path.display());
        bad
    })?;
    settings::parse(&text).map_err(|faults| {
        for fault in faults {
            eprintln!("{}:{}: {}", path.display(), fault.line, fault.kind);
        }
        bad
    })
}

/// Log lines that may be buffered; further ones are dropped, so that no thread blocks on the log.
const LOG_BUFFER_LINES: usize = 8_192;

/// Starts logging to standard output; dropping the returned guard flushes buffered lines.
fn init_logging(settings: &settings::Settings) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(LOG_BUFFER_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    // Log lines of the RPC library are off unless `log_level` names it.
    let level = format!("tarpc=off,{}", settings.log_level);
    let filter = tracing_subscriber::EnvFilter::try_new(level)
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    match settings.log_format {
        settings::LogFormat::Text => builder.with_ansi(false).init(),
        settings::LogFormat::Json => {
            builder.json().with_current_span(false).with_span_list(false).init();
        }
    }
    guard
}

/// Logs which build runs, before anything can fail.
fn log_build() {
    tracing::info!(
        version = wharflane_build::VERSION,
        sources = wharflane_build::SOURCES,
        target_triple = wharflane_build::TARGET_TRIPLE,
        "wharflaned starting"
    );
}

/// Runs the host on a single-threaded runtime, which becomes the control thread.
fn run_host(settings: settings::Settings, path: &path::Path) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't start the control thread")?;
    runtime.block_on(async {
        let reloads = tokio::spawn(watch_reloads(path.to_owned()));
        let result = host::run(settings, shutdown_signal()).await;
        reloads.abort();
        result
    })?;
    Ok(())
}

/// Checks the settings file again at each SIGHUP and logs the result.
///
/// Ports, peers and times are fixed at start. To apply changed settings, restart the host; callers
/// are not affected by a restart.
async fn watch_reloads(path: path::PathBuf) {
    use tokio::signal::unix;
    let Ok(mut hangups) = unix::signal(unix::SignalKind::hangup()) else {
        return tracing::warn!("can't listen for SIGHUP");
    };
    let mut before = fs::read_to_string(&path).ok();
    while hangups.recv().await.is_some() {
        match fs::read_to_string(&path) {
            Err(err) => tracing::warn!(%err, "reload: the settings can't be read"),
            Ok(text) => {
                let faults = settings::parse(&text).err().unwrap_or_default().len();
                let changed = before.as_ref() != Some(&text);
                tracing::info!(
                    changed,
                    faults,
                    "reload: settings checked, in force after a restart"
                );
                before = Some(text);
            }
        }
    }
}

/// Completes when the process receives SIGTERM or an interrupt.
async fn shutdown_signal() {
    use tokio::signal::unix;
    let Ok(mut term) = unix::signal(unix::SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        // Without a handler, an interrupt would end the process at once.
        _ = tokio::signal::ctrl_c() => {}
    }
}
