#!/bin/sh
# Plays the case release; TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
start_cluster 3 3
play release
exit "$status"
