#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review (review/6 and on).
# They need only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/6/*.cc review/7/*.cc review/8/*.cc review/9/*.cc review/10/*.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Ireview "$source" -pthread -lboost_json \
    -o "build/review-2/$(basename "$source" .cc)"
done
