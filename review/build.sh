#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target
go build -o target/review-stand ./review/stand
