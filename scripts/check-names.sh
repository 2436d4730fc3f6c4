#!/usr/bin/env bash
# Fails if a name of the users' wire protocol is used outside the adapter in
# platform/. Names that are also common terms, such as "version" or "from", can't
# be distinguished and are not checked. The tests in daemon/hosted and the stand-ins
# of overload/ are exempt, because they implement the other end of the protocol.
set -euo pipefail
cd "$(dirname "$0")/.."

names='X-Bulrushshed-|At-Server|Server-Limit|/api/(ready|resolve|report|order|log-)|keyed\.(op|servers|status)'
names+='|\b(path_prefix|traffic_split|target_latency_ms|target_gap_ms|allow_anonymous|stream_resume|api_keys'
names+='|kv_token_bytes|loads_at_once|layer_mb|read_factor|size_mb|cold_left_ms|handoff_mode|ttl_s|has_more)\b'

found=$(grep -rnE "$names" --include='*.go' . | grep -vE '^\./(platform/|daemon/hosted/[a-z_]*_test\.go:|overload/platform_standin_test\.go:)' || true)
if [ -n "$found" ]; then
  echo "names of the users' wire protocol outside platform/:"
  echo "$found"
  exit 1
fi
