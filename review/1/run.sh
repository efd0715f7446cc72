#!/usr/bin/env bash
# A stream that crashes each server after its first event. TROUBLE=0: it crashes none.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lacewingchute ] && [ -x target/review/release/deadly ] || exit 2
target/review/release/deadly review/1 brief
