#!/usr/bin/env bash
# Starts the demo system and keeps it running until interrupted.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT
trap 'exit 0' INT TERM

start_cluster || exit 1
cp examples/rules.txt "$work/rules.txt"
"$bin/bulrushctl" publish -author demo "$work/rules.txt" >/dev/null || exit 1
cat <<TEXT
The system is running; press Ctrl-C to stop it. In another terminal:

  bin/bulrushctl status
  bin/bulrushctl fetch > rules.txt            # edit it, then:
  bin/bulrushctl publish rules.txt
  bin/bulrushctl explain -customer puebla -model assistant
  bin/bulrushctl load -entries 127.0.1.1:8080 -layers 80
  curl -N -H 'Customer: puebla' -d '{"model":"assistant","prompt":"rota","max_tokens":10}' \\
    http://127.0.1.1:8080/v1/completions

Logs and settings are in $work, which is removed at the end.
TEXT
while :; do sleep 1; done
