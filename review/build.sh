#!/bin/bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/stage ./review/.stage
