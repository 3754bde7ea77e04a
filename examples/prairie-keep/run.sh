#!/bin/sh
# Starts every process of this example on loopback, puts both tables and waits.
# Interrupt it to stop them all as planned.
cd "$(dirname "$0")/../.." || exit 1
go build -o tanagerroad ./cmd/tanagerroad || exit 1
mkdir -p data/prairie-keep/logs
trap 'kill $pids; wait; exit 0' INT TERM
for role in control stand-in sidecar entry; do
  for file in examples/prairie-keep/$role*.json; do
    ./tanagerroad $role "$file" >"data/prairie-keep/logs/$(basename "$file" .json).log" 2>&1 &
    pids="$pids $!"
  done
done
./tanagerroad table put --operator 127.0.0.1:18002 --from-revision 0 --change-id example \
  --routes examples/prairie-keep/routes.json --pools examples/prairie-keep/pools.json
echo "callers' addresses:"
grep -h -A1 '"caller"' examples/prairie-keep/entry-*.json | grep address
wait
