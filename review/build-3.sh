#!/bin/sh
# Builds the stand-ins that the scripts of this review start. The build of the deploy file comes
# first; it fetches all packages that these need.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/standins-3
