#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. The
# daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j8
ln -sfn ../../sardineford target/review/bin/sardineford
