#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program that is store, servers, clients and check of a case.
set -e
cd "$(dirname "$0")/lab-2"
go build -o ../../bin/review-lab-2 .
