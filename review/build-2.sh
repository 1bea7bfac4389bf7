#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file. They need no
# dependency and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/standin-2/main.rs -o target/review-2/standin
