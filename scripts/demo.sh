#!/usr/bin/env bash
# Demonstrates the system: publishes rules and generates load while it kills a
# stage and an entry host, interrupts the log for some seconds and drains an
# entry host. Exits with a failure if the load report shows a violated guarantee
# or the drained host did not stop gracefully, and stops all processes.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }

say "starting 1 platform, 9 engines, 3 services and 7 entry hosts"
start_cluster || exit 1

say "publishing examples/rules.txt"
cp examples/rules.txt "$work/rules.txt"
"$bin/bulrushctl" publish -author demo "$work/rules.txt" || exit 1
sleep 1
for n in $(seq 1 7); do
  "$bin/bulrushctl" status -host "127.0.1.$n:8081" | head -1
done

say "explaining how a completion would be handled"
"$bin/bulrushctl" explain -customer puebla -model assistant

say "running load for 25 s; killing stage fast-2 at 4 s and entry-3 at 8 s, log outage of 5 s at 12 s, draining entry-5 at 14 s"
"$bin/bulrushctl" load -entries 127.0.1.1:8080,127.0.1.2:8080,127.0.1.4:8080 -rate 60 -duration 25s -layers 80 \
  -executions 127.0.3.1:9200,127.0.3.2:9200,127.0.3.3:9200 >"$work/report" &
load=$!
sleep 4
echo "-- killing stage fast-2"
kill -9 "${pids[fast-2]}"
sleep 4
echo "-- killing entry-3"
kill -9 "${pids[entry-3]}"
sleep 4
echo "-- interrupting the log and the host list for 5 s"
curl -s -X POST -H 'Content-Type: application/json' -d '{"outage_ms":5000}' http://127.0.0.1:9000/fault
sleep 2
echo "-- draining entry-5"
kill -TERM "${pids[entry-5]}"
wait "$load"
load_status=$?
drain_status=1
for _ in $(seq 100); do
  kill -0 "${pids[entry-5]}" 2>/dev/null || { drain_status=0; break; }
  sleep 0.1
done
if [ "$drain_status" = 0 ]; then
  wait "${pids[entry-5]}" || drain_status=1
fi

say "result"
cat "$work/report"
grep -h 'daemon: drained' "$work/entry-5.log" | sed 's/^/entry-5: /'
[ "$load_status" = 0 ] || { echo "load ended with exit code $load_status; 7 means that a guarantee was violated"; exit 1; }
[ "$drain_status" = 0 ] || { echo "entry-5 did not stop gracefully within 10 s of the end of the load"; exit 1; }
echo "no guarantee was violated"
