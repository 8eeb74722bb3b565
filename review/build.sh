#!/bin/sh
# Builds the stand-ins of the cases, which share one program.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review ./review/stand
