#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: one program that needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/standin review/standin/main.rs
