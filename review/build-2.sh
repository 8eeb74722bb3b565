#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; it needs no network once the program itself was built.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/stand-2
go build -o target/stand-3 ./review/stand-3
go build -o target/stand-4 ./review/stand-4
