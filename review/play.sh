#!/usr/bin/env bash
# Plays a case: play.sh FOLDER CASE, with the disruption unless TROUBLE is 0. It ends with the
# code of the rig, or with 2 if the rig doesn't end in time. The processes of the hosts end with
# the rig. RECORD names another file for the record, for plays side by side.
cd "$(dirname "$0")/.." || exit 2
TROUBLE="${TROUBLE:-1}" timeout -k 2 115 target/review-rig "$2" target/bulrushd "${RECORD:-review/$1/record.txt}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
