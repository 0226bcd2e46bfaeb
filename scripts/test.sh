#!/usr/bin/env bash
# Runs the tests of every module with the race detector, but for those that KNOWN-RED.txt lists.
# Arguments are passed on to go test.
set -eu
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "passed over, see KNOWN-RED.txt:"
  cat KNOWN-RED.txt
  # A line that begins with a test's name has the whole test passed over; one that begins with "red:" is
  # read by the test that it names, which passes over no more than that.
  names=$(grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt | paste -sd'|' || true)
  if [ -n "$names" ]; then
    skip=(-skip "^($names)\$")
  fi
fi
# The soak runs the program of a VM as processes of their own.
go build -o bin/pistachio-vm ./cmd/pistachio-vm
export PISTACHIO_SOAK_PROGRAM=$PWD/bin/pistachio-vm
go test -race -count=1 -timeout 10m "${skip[@]}" "$@" work
