#!/usr/bin/env bash
# Plays the case cancelled-in-doubt; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
# With TROUBLE=0 the case does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/release/review-stand-in-2 case cancelled-in-doubt review/6/record.txt
