#!/usr/bin/env bash
# Runs the tests of every module with the race detector.
set -eu
cd "$(dirname "$0")/.."
go test -race -count=1 -timeout 10m work
