#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, with the standard library alone. It needs no network.
set -e
cd "$(dirname "$0")/.standins-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -o ../../target/review-2 .
