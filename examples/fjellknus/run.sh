#!/bin/sh
# Starts every process of this example on loopback, puts both tables and waits.
# Interrupt it to stop them all as planned.
cd "$(dirname "$0")/../.." || exit 1
go build -o tanagerroad ./cmd/tanagerroad || exit 1
mkdir -p data/fjellknus/logs
trap 'kill $pids; wait; exit 0' INT TERM
for role in control stand-in sidecar entry; do
  for file in examples/fjellknus/$role*.json; do
    ./tanagerroad $role "$file" >"data/fjellknus/logs/$(basename "$file" .json).log" 2>&1 &
    pids="$pids $!"
  done
done
./tanagerroad table put --operator 127.0.0.1:17002 --from-revision 0 --change-id example \
  --routes examples/fjellknus/routes.json --pools examples/fjellknus/pools.json
echo "callers' addresses:"
grep -h -A1 '"caller"' examples/fjellknus/entry-*.json | grep address
wait
