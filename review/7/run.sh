#!/bin/bash
record="$(cd "$(dirname "$0")" && pwd)/record.txt"
CASE=stray
. "$(dirname "$0")/../standin-2/case.sh"
