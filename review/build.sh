#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/target. The
# daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cmake -G Ninja -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8
ln -sfn ../../../target/sardineford target/bin/sardineford
