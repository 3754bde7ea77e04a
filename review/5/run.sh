#!/bin/sh
# Plays the case gone-runner; TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
start_cluster 3 3
play gone-runner
exit "$status"
