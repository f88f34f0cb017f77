#!/bin/sh
# Builds the stand-ins and clients that the scripts of the cases start. It needs no module besides the
# standard library.
set -eu
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false go build -o ../target/review-cases ./cmd/cases
