#!/usr/bin/env bash
# Builds the stand-ins of each case into its folder. Needs what the deploy file's build needs: g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
for folder in [0-9]*/; do
  ${CXX:-g++} -std=c++20 -O1 -pthread -Wall -Wextra -o "${folder}case" "${folder}case.cpp"
done
