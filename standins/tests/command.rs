//! Tests of the serving commands: they print their address and end on SIGTERM.

use googletest::prelude::*;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};

#[gtest]
fn each_serving_command_listens_and_ends_on_sigterm() {
    for name in ["log", "instances", "engine", "plain", "rating", "weights"] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
            .args([
                name,
                "--address",
                "127.0.0.1:0",
                "--seed",
                "3",
                "--faults",
                "{\"down\": true}",
            ])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address: SocketAddr = ready["listening"].as_str().unwrap().parse().unwrap();
        expect_that!(TcpStream::connect(address), ok(anything()));
        let kill = Command::new("kill").arg(child.id().to_string()).status();
        expect_that!(kill.unwrap().success(), eq(true));
        expect_that!(child.wait().unwrap().code(), some(eq(0)), "{name}");
    }
}

#[gtest]
fn an_unknown_fault_switch_is_refused_at_startup() {
    let output = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(["log", "--faults", "{\"dwon\": true}"])
        .output()
        .unwrap();
    expect_that!(output.status.success(), eq(false));
}
