#!/bin/sh
# Builds the stand-ins of the cases of the third review into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for it in review/1[1-5]/case.cc; do
  [ -f "$it" ] || continue
  n=$(basename "$(dirname "$it")")
  ${CXX:-g++} -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-3/case-$n" "$it"
done
