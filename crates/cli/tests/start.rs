//! Tests that a failing start prints a single line to standard error and exits with
//! the expected code.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingchute"));
    command.env_remove("LACEWINGCHUTE_CONFIG").env("RUST_BACKTRACE", "0");
    command
}

fn assert_fails(command: &mut Command, code: i32, expected_message: &str) {
    let Output { status, stderr, .. } = command.output().unwrap();
    let text = String::from_utf8_lossy(&stderr);
    assert_eq!(status.code(), Some(code), "{text}");
    assert!(text.contains(expected_message), "{text}");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lacewingchute-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn node_without_settings_file() {
    assert_fails(program().arg("node"), 1, "LACEWINGCHUTE_CONFIG");
}

#[test]
fn node_with_missing_field() {
    let path = write_settings("missing", r#"{"node_name":"n","ip":"127.0.0.1"}"#);
    assert_fails(program().arg("node").env("LACEWINGCHUTE_CONFIG", &path), 1, "missing field");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn node_with_field_of_wrong_type() {
    let path = write_settings("type", r#"{"node_name":"n","ip":17}"#);
    assert_fails(program().arg("node").env("LACEWINGCHUTE_CONFIG", &path), 1, "ip");
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
    let path = write_settings("used", &text);
    assert_fails(program().arg("node").env("LACEWINGCHUTE_CONFIG", &path), 1, &addr.to_string());
    std::fs::remove_file(path).unwrap();
}

#[test]
fn command_unknown() {
    let output = program().arg("fly").output().unwrap();
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn command_missing() {
    assert_fails(&mut program(), 2, "name a command");
}
