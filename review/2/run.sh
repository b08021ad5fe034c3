#!/usr/bin/env bash
# Plays the case. Build first: `cargo build --release --locked -p wharflane-daemon` and
# `review/build.sh`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out; the player reads it from its environment.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
player=target/review/release/wharflane-review
[ -x "$player" ] || { echo "review/build.sh has not been run"; exit 2; }
"$player" ends . review/2/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
