#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 plays the same without the disruption.
set -u
cd "$(dirname "$0")/../.."
. review/standin-3/lib.sh
start_all 8
play versions review/12
