#!/bin/sh
# Builds the program with the stand-ins, clients and checks that the scripts of cases 4 to 6 start. It needs
# no module besides the standard library.
set -eu
cd "$(dirname "$0")/second"
GOFLAGS=-buildvcs=false go build -o ../../target/review2 ./cmd/review2
