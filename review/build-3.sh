#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start, into bin/.
set -eu
cd "$(dirname "$0")/lab-3"
go build -o ../../bin/review-lab-3 .
