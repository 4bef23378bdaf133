#!/bin/sh
# Builds the stand-ins of the script cases into review/bin. It needs no network.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../bin/harness .
