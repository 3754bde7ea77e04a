#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 plays the same without the kill.
set -u
cd "$(dirname "$0")/../.."
. review/standin-3/lib.sh
start_all 3
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
"$standin" "${where[@]}" -scenario later -trouble=$trouble -record review/13/record.txt -dir "$work" &
player=$!
while kill -0 $player 2>/dev/null; do
  if [ -e "$work/kill" ]; then
    # One control instance is killed, and starts again a second later with its disk.
    rm "$work/kill"
    names_of_all=(control-2)
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
