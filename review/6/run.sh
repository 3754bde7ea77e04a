#!/bin/bash
record="$(cd "$(dirname "$0")" && pwd)/record.txt"
CASE=taken
FAR=1
. "$(dirname "$0")/../standin-2/case.sh"
