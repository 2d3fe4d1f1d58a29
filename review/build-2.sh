#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review (review/6, review/7).
# They need only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/6/releases.cc review/7/cut-off.cc; do
  g++ -std=c++20 -O1 -Ireview "$source" -pthread -lboost_json \
    -o "build/review-2/$(basename "$source" .cc)"
done
