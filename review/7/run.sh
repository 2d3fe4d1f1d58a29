#!/usr/bin/env bash
# Starts six daemons and, in one process, a store, nine model workers, the links
# between the daemons and 90 clients. Half of the daemons are partitioned from
# the store and from the other half during a release. Exits with 1 if more than
# two streams hold events of two software versions, 2 if the case could not run.
# With TROUBLE=0 nothing is partitioned.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sardineford ] && [ -x build/review-2/split ] || exit 2
build/review-2/split review/7/record.txt
code=$?
[ $code -le 1 ] || exit 2
exit $code
