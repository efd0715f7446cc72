#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs no network after the
# build of the deploy file: all packages are those of the root's Cargo.lock.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
  --target-dir target/standins-2
