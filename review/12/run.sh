#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 plays the same without the final fault.
set -u
cd "$(dirname "$0")/../.."
. review/standin-3/lib.sh
start_all 3
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
"$standin" "${where[@]}" -scenario recover -trouble=$trouble -record review/12/record.txt -dir "$work" &
player=$!
while kill -0 $player 2>/dev/null; do
  if [ -e "$work/kill" ]; then
    # The final fault: all processes are killed, and start again a second later with their disks.
    rm "$work/kill"
    names_of_all=("${!pids[@]}")
    for name in "${names_of_all[@]}"; do kill -KILL "${pids[$name]}"; done
    sleep 1
    for name in "${names_of_all[@]}"; do
      sed -i 's/"bootstrap":true/"bootstrap":false/' "$work/$name.json"
      start "$name" "${name%-*}"
    done
    touch "$work/back"
  fi
  sleep 0.1
done
wait $player
exit $?
