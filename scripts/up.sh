#!/usr/bin/env bash
# Starts the system of the demo and keeps it up until it is interrupted.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT
trap 'exit 0' INT TERM

start_cluster || exit 1
cp examples/rules.txt "$work/rules.txt"
"$bin/bulrushctl" publish -author demo "$work/rules.txt" >/dev/null || exit 1
cat <<TEXT
The system is up; interrupt to stop it. In another terminal:

  bin/bulrushctl status
  bin/bulrushctl fetch > rules.txt            # edit it, then:
  bin/bulrushctl publish rules.txt
  bin/bulrushctl explain -customer puebla -model assistant
  bin/bulrushctl load -entries 127.0.1.1:8080 -layers 80
  curl -N -H 'Customer: puebla' -d '{"model":"assistant","prompt":"rota","max_tokens":10}' \\
    http://127.0.1.1:8080/v1/completions

Logs and settings are in $work.
TEXT
while :; do sleep 1; done
