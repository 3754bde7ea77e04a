# Starts control instances and gateways for the scripts of the third review. A script sources it from the
# repository's root, and calls start_all GATEWAYS.
program=target/tanagerroad
standin=target/review-3/standin-3
names=review/standin-3/names.txt
work=$(mktemp -d)
declare -A pids
finish() {
  for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
[ -x "$program" ] && [ -x "$standin" ] || { echo "the programs are not built"; exit 2; }

# start NAME ROLE: the command of the deploy file, with the settings of that process.
start() {
  "$program" "$2" "$work/$1.json" >> "$work/$1.log" 2>&1 &
  pids[$1]=$!
}

# start_all GATEWAYS: three control instances and some gateways in three zones, each at its own
# loopback address. The settings are those that deploy/ makes for a small deployment.
start_all() {
  local ports seeds zones i k zone region control front ready
  mapfile -t ports < <("$standin" -ports 7) # free on 127.0.0.1; the processes listen on addresses beside it
  [ "${#ports[@]}" = 7 ] || exit 2
  zones='[{"zone":"za","region":"ra"},{"zone":"zb","region":"rb"},{"zone":"zc","region":"rc"}]'
  seeds="[\"127.0.3.1:${ports[0]}\",\"127.0.3.2:${ports[0]}\",\"127.0.3.3:${ports[0]}\"]"
  zone=(za zb zc) region=(ra rb rc)
  for i in 1 2 3; do
    cat > "$work/control-$i.json" <<J
{"role":"control","process":"control-$i","zone":"${zone[i-1]}","region":"${region[i-1]}","operator":{"address":"127.0.3.$i:${ports[1]}"},
 "peer":{"address":"127.0.3.$i:${ports[2]}"},"election":"600ms","beat":"150ms","instances":$seeds,"control-port":${ports[2]},"data":"$work/data-$i",
 "registrar":{"address":"127.0.3.$i:${ports[0]}"},"zones":$zones,"bootstrap":true,"open":true,"tolerate":1,"memory":"284MiB"}
J
    control="${control:+$control,}127.0.3.$i:${ports[0]}"
    start "control-$i" control
  done
  for ((i = 1; i <= $1; i++)); do
    k=$(((i - 1) % 3))
    cat > "$work/gateway-$i.json" <<J
{"role":"gateway","process":"gateway-$i","zone":"${zone[k]}","region":"${region[k]}","stop":{"grace":"2500ms","bound":"4400ms"},
 "operator":{"address":"127.0.3.$((10 + i)):${ports[1]}"},"caller":{"address":"127.0.3.$((10 + i)):${ports[3]}","header-timeout":"5s"},
 "ready":"127.0.3.$((10 + i)):${ports[4]}","peer":{"address":"127.0.3.$((10 + i)):${ports[5]}"},"control":$seeds,"control-port":${ports[2]},
 "zones":$zones,"capacity":{"processor":0.72,"link-mbps":1000},"placing":{"balance":"even"},"memory":"284MiB"}
J
    front="${front:+$front,}127.0.3.$((10 + i)):${ports[3]}"
    ready="${ready:+$ready,}127.0.3.$((10 + i)):${ports[4]}"
    start "gateway-$i" gateway
  done
  where=(-names "$names" -control "$control" -front "$front" -ready "$ready")
}

# play SCENARIO FOLDER: plays it with or without the disruption, and exits with its code.
play() {
  local trouble=true
  [ "${TROUBLE:-1}" = 0 ] && trouble=false
  "$standin" "${where[@]}" -scenario "$1" -trouble=$trouble -record "$2/record.txt"
  exit $?
}
