#!/bin/bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
go build -o target/standin-2 ./review/standin-2
