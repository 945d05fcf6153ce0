#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
ROOT=$(pwd)
export ROOT
target/review-2/lab leaving review/10/record.txt
code=$?
# Anything else is a missing program or a failure of the stand-ins.
[ "$code" -le 1 ] || code=2
exit "$code"
