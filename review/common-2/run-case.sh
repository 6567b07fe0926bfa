#!/usr/bin/env bash
# run-case.sh FOLDER RECORD: runs the program of the case in FOLDER against the front, which it starts by the deploy file's `run`.
set -u
root=$(cd "$1/../.." && pwd) || exit 2
program=$root/build/review-2/case-$(basename "$1")
run=$(sed -n 's/^run = "\(.*\)"/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ ! -x "$root/build/dunlinwick" ] || [ -z "$run" ]; then
  echo "cannot run: build by the deploy file and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$program" "$root" "$run" "$folder" "$2"
code=$?
tail -n 1 "$2"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
