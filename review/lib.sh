# Functions of the scripts run.sh. A script sets here to its folder and sources this file.
# The program and the stand-in are built by the deploy file and by review/build.sh.

root=$(cd "$here/../.." && pwd)
work=$(mktemp -d)
pids=""
trouble=${TROUBLE:-1}

# finish ends the processes that this script started. Their logs are kept in the folder that
# KEEP_LOGS names, if it is set.
finish() {
  for pid in $pids; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ -z "$KEEP_LOGS" ] || cp "$work"/*.log "$KEEP_LOGS"
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

# start_cluster CONTROLS GATEWAYS starts the processes with the commands of the deploy file.
start_cluster() {
  cd "$root" || exit 2
  [ -x target/tanagerroad ] && [ -x target/review-stand ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
  target/review-stand settings "$work" "$1" "$2" || exit 2
  start_processes
}

# start_processes starts all processes.
start_processes() {
  for role in control gateway; do
    for file in "$work"/$role-*.json; do
      name=$(basename "$file" .json)
      target/tanagerroad $role "$file" >>"$work/$name.log" 2>&1 &
      echo $! >"$work/$name.pid"
      pids="$pids $!"
    done
  done
}

# kill_and_start kills all processes at once, and starts them again after half a second, no
# longer for the first time.
kill_and_start() {
  old=$(cat "$work"/*.pid)
  kill -KILL $old
  for pid in $old; do wait "$pid" 2>/dev/null; done
  pids=$stand
  sed -i 's/"bootstrap": true/"bootstrap": false/' "$work"/control-*.json
  sleep 0.5
  start_processes
  : >"$work/started"
}

# freeze_machine MACHINE SECONDS freezes the processes of a machine.
freeze_machine() {
  frozen="$(cat "$work/control-$1.pid") $(cat "$work/gateway-$1.pid")"
  kill -STOP $frozen
  sleep "$2"
  kill -CONT $frozen
}

# play CASE runs the stand-ins and clients of a case; its status is the script's.
play() {
  target/review-stand play "$1" "$work" "$here/record.txt" "$trouble" &
  stand=$!
  pids="$pids $stand"
  while kill -0 "$stand" 2>/dev/null; do
    if [ -e "$work/kill" ]; then
      rm "$work/kill"
      kill_and_start
    fi
    if [ -e "$work/freeze" ]; then
      read -r machine seconds <"$work/freeze"
      rm "$work/freeze"
      freeze_machine "$machine" "$seconds"
    fi
    sleep 0.05
  done
  wait "$stand"
  status=$?
  case $status in 0 | 1 | 2) ;; *) status=2 ;; esac
}
