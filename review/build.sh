#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs no network after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
