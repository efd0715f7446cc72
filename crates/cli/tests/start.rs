//! Starts that can't succeed: one line on standard error, and an exit code.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingchute"));
    command.env_remove("LACEWINGCHUTE_CONFIG").env("RUST_BACKTRACE", "0");
    command
}

fn fails(command: &mut Command, code: i32, says: &str) {
    let Output { status, stderr, .. } = command.output().unwrap();
    let text = String::from_utf8_lossy(&stderr);
    assert_eq!(status.code(), Some(code), "{text}");
    assert!(text.contains(says), "{text}");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
}

fn settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lacewingchute-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn node_without_settings_file() {
    fails(program().arg("node"), 1, "LACEWINGCHUTE_CONFIG");
}

#[test]
fn node_with_missing_field() {
    let path = settings("missing", r#"{"node_name":"n","ip":"127.0.0.1"}"#);
    fails(program().arg("node").env("LACEWINGCHUTE_CONFIG", &path), 1, "missing field");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn node_with_field_of_wrong_type() {
    let path = settings("type", r#"{"node_name":"n","ip":17}"#);
    fails(program().arg("node").env("LACEWINGCHUTE_CONFIG", &path), 1, "ip");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn node_with_address_in_use() {
    let taken = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = taken.local_addr().unwrap();
    let text = format!(
        r#"{{"node_name":"n","ip":"127.0.0.1","zone":"z","bounds":{{}},
        "listen":{{"frontend":"{addr}","readiness":"127.0.0.1:0"}},
        "internal_ports":[0,0],"platform":{{"address":"127.0.0.1:1"}}}}"#
    );
    let path = settings("used", &text);
    fails(program().arg("node").env("LACEWINGCHUTE_CONFIG", &path), 1, &addr.to_string());
    std::fs::remove_file(path).unwrap();
}

#[test]
fn command_unknown() {
    let output = program().arg("fly").output().unwrap();
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn command_missing() {
    fails(&mut program(), 2, "name a command");
}
