#!/usr/bin/env bash
# Runs the case once; TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/release/ibiscove ] && [ -x target/review/lab ] || exit 2
exec target/review/lab early-withdrawal review/3
