#!/usr/bin/env bash
# Runs the tests of all modules with the race detector, except those listed in KNOWN-RED.txt.
# All arguments are passed to go test.
set -eu
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known failures, see KNOWN-RED.txt:"
  cat KNOWN-RED.txt
  # A line that starts with a test name skips that test. A line that starts with "red:" is read by the
  # test that it names, which then ignores only the listed failure.
  names=$(grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt | paste -sd'|' || true)
  if [ -n "$names" ]; then
    skip=(-skip "^($names)\$")
  fi
fi
# The soak tests run this executable as separate VM processes.
go build -o bin/pistachio-vm ./cmd/pistachio-vm
export PISTACHIO_SOAK_PROGRAM=$PWD/bin/pistachio-vm
go test -race -count=1 -timeout 10m "${skip[@]}" "$@" work
