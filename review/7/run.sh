#!/usr/bin/env bash
# Starts six daemons and, in one process, a store, 12 model workers, the links
# between the daemons and 120 clients. Two of the daemons are cut off from the
# store and from the other four during a release. Exits with 1 if more than
# two streams hold events of two software versions, 2 if the case could not run.
# With TROUBLE=0 none is cut off.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sardineford ] && [ -x build/review-2/cut-off ] || exit 2
build/review-2/cut-off review/7/record.txt
code=$?
[ $code -le 1 ] || exit 2
exit $code
