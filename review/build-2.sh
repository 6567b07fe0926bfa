#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2, after the build of the deploy file: the compiler and its library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-2/case-$number"
done
