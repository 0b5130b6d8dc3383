#!/usr/bin/env bash
# Builds the scripts' stand-ins of review/6 and later into target/review-2, with
# the packages that deploy/system.toml names. Runs after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile=(g++ -std=c++20 -O1 -pthread -Wall -Wextra)
"${compile[@]}" -c review/standins-2/Kit.cpp -o "$out/Kit.o"
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = Kit ] || "${compile[@]}" "$source" "$out/Kit.o" -o "$out/$name"
done
