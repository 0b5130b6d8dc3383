#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf build/review
mkdir -p build/review
for Source in review/standins/*.cpp review/[1-5]/*.cpp; do
  Object=build/review/$(echo "${Source%.cpp}" | tr / -).o
  g++ -std=c++20 -O2 -pthread -c "$Source" -o "$Object" &
done
wait
for Source in review/[1-5]/*.cpp; do
  Case=$(basename "$(dirname "$Source")")
  g++ -pthread build/review/review-standins-*.o \
    "build/review/$(echo "${Source%.cpp}" | tr / -).o" \
    -o "build/review/case-$Case"
done
