#!/usr/bin/env bash
# An idempotent request that crashes each server at once. TROUBLE=0: it crashes none.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lacewingchute ] && [ -x target/review/release/deadly ] || exit 2
target/review/release/deadly review/2 look
