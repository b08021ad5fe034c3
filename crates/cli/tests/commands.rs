//! Tests the exit codes and output of the command line, and of the daemon with invalid settings.

use std::fs;
use std::path;
use std::process;

use wharflane_stand_in::cases;

/// Runs a program of this workspace; returns its exit code, and its standard output followed by its
/// standard error.
fn run(name: &str, args: &[&str]) -> (Option<i32>, String) {
    let cli = path::Path::new(env!("CARGO_BIN_EXE_wharflane"));
    let output = process::Command::new(cli.with_file_name(name)).args(args).output();
    let output = output.unwrap_or_else(|err| panic!("{name}: {err}"));
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&printed).into_owned())
}

/// Writes a file for one test; returns its path and the folder that removes it on drop.
fn write_file(text: &str) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().expect("can't create a folder");
    let path = folder.path().join("file.toml");
    fs::write(&path, text).expect("can't write the file");
    let path = path.to_string_lossy().into_owned();
    (folder, path)
}

/// Returns the path of a file in `examples/`.
fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

cases! {
    the_examples_pass_the_check => {
        for name in ["verbeeck.toml", "chveni-tsigni.toml"] {
            assert_eq!(run("wharflane", &["check", &example(name)]).0, Some(0));
        }
    },
    check_reports_every_fault_with_its_line => {
        let (_folder, path) = write_file("[[team]]\nname = \"Ours\"\n[[job]]\ncpu = 3\n");
        let (code, printed) = run("wharflane", &["check", &path]);
        assert_eq!(code, Some(2));
        for part in [":2: `Ours` is no name", ":4: unknown key `cpu`", ":3: missing key `tasks`"] {
            assert!(printed.contains(part), "`{part}` is not in the output: {printed}");
        }
    },
    check_prints_faults_as_json => {
        let (_folder, path) = write_file("colour = 1\n");
        let (code, printed) = run("wharflane", &["check", &path, "--json"]);
        let faults: serde_json::Value = serde_json::from_str(&printed).expect("output is not JSON");
        assert_eq!((code, faults[0]["line"].as_u64()), (Some(2), Some(1)));
    },
    an_unreachable_host_is_a_failure => {
        let (code, _) = run("wharflane", &["status", "--host", "127.0.0.1:1"]);
        assert_eq!(code, Some(1));
    },
    an_apply_with_unknown_outcome_prints_how_to_repeat_it => {
        let path = example("verbeeck.toml");
        let args = ["apply", &path, "--host", "127.0.0.1:1", "--base", "7", "--apply-id", "x"];
        let (code, printed) = run("wharflane", &args);
        assert_eq!(code, Some(4));
        assert!(printed.contains("--apply-id x --base 7"), "{printed}");
    },
    the_daemon_refuses_invalid_settings_before_it_opens_a_port => {
        let (_folder, path) = write_file("host = \"h\"\n[listen]\ncaller = \"nowhere\"\nport = 1\n");
        let (code, printed) = run("wharflaned", &["--config", &path]);
        assert_eq!(code, Some(2));
        for part in [":3: `caller` must be", ":4: unknown key `port`", "missing key `hall`"] {
            assert!(printed.contains(part), "`{part}` is not in the output: {printed}");
        }
    },
    a_shell_completion_is_printed => {
        let (code, printed) = run("wharflane", &["completion", "bash"]);
        assert_eq!(code, Some(0));
        assert!(printed.contains("complete -F"), "{printed}");
    },
}
