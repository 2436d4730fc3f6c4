#!/usr/bin/env bash
# Plays a case: play.sh FOLDER CASE. It ends with the code of the rig, or with 2 if the rig
# doesn't end in time. The processes of the hosts end with the rig.
cd "$(dirname "$0")/.." || exit 2
timeout -k 2 115 target/review-rig "$2" target/bulrushd "review/$1/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
