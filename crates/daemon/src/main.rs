//! The daemon of an entry host.

use std::fs;
use std::path;
use std::process;

use anyhow::Context as _;
use wharflane_daemon::host;
use wharflane_daemon::settings;

/// The exit code for settings with faults.
const BAD_SETTINGS: u8 = 2;

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<path::PathBuf>("config") else {
        return process::ExitCode::from(BAD_SETTINGS);
    };
    let settings = match read(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let _writer = log(&settings);
    match start(settings, path) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("wharflaned: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}

/// Returns the command line.
fn command() -> clap::Command {
    let config = clap::Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(path::PathBuf))
        .help("The settings of this host");
    clap::Command::new("wharflaned")
        .version(env!("CARGO_PKG_VERSION"))
        .about("An entry host of wharflane")
        .arg(config)
}

/// Reads the settings, or prints every fault with its line.
fn read(path: &path::Path) -> Result<settings::Settings, process::ExitCode> {
    let bad = process::ExitCode::from(BAD_SETTINGS);
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

/// Lines that may wait to be written; more are dropped, since nothing may wait for the log.
const LOG_LINES: usize = 8_192;

/// Starts the log on standard output; it ends, and writes what is left, with the returned guard.
fn log(settings: &settings::Settings) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(LOG_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    // Libraries' own lines are off unless the setting names them.
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

/// Runs the host; this thread carries control.
fn start(settings: settings::Settings, path: &path::Path) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't start the control thread")?;
    runtime.block_on(async {
        let reloads = tokio::spawn(reload(path.to_owned()));
        let ran = host::run(settings, asked_to_stop()).await;
        reloads.abort();
        ran
    })?;
    Ok(())
}

/// Reads the settings again at each hang-up, and tells what came of it.
///
/// Ports, peers and times stay as they were at the start: a host that is to take other ones is
/// stopped and started, which costs its callers nothing.
async fn reload(path: path::PathBuf) {
    use tokio::signal::unix;
    let Ok(mut hangup) = unix::signal(unix::SignalKind::hangup()) else {
        return tracing::warn!("hang-ups can't be heard");
    };
    let mut before = fs::read_to_string(&path).ok();
    while hangup.recv().await.is_some() {
        match fs::read_to_string(&path) {
            Err(err) => tracing::warn!(%err, "reload: the settings can't be read"),
            Ok(text) => {
                let faults = settings::parse(&text).err().unwrap_or_default().len();
                let changed = before.as_ref() != Some(&text);
                tracing::info!(changed, faults, "reload: in force from the next start on");
                before = Some(text);
            }
        }
    }
}

/// Ends when the process is asked to stop.
async fn asked_to_stop() {
    use tokio::signal::unix;
    let Ok(mut term) = unix::signal(unix::SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        // Without a handler for it, an interrupt ends the process at once.
        _ = tokio::signal::ctrl_c() => {}
    }
}
