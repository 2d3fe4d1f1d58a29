#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
[ -x target/sardineford ] && [ -x target/review-3/case-12 ] || exit 2
timeout -k 2 115 target/review-3/case-12 review/12/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
