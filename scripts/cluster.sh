# Functions that start and stop a complete system with one loopback address per
# host: a platform, 7 entry hosts in 3 failure domains, 3 pipelines with
# overlapping stages, and 3 replicas of the plain services. Source this file.

work=$(mktemp -d)
bin=${BIN:-bin}
declare -A pids

start() { # name command...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -9 "${pids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}

entry_settings() { # number domain
  cat <<JSON
{
  "name": "entry-$1", "failure_domain": "$2",
  "caller_address": "127.0.1.$1:8080", "operator_address": "127.0.1.$1:8081", "peer_address": "127.0.1.$1:8082",
  "platform_url": "http://127.0.0.1:9000",
  "tls": {"ca_file": "$work/ca.crt", "cert_file": "$work/entry-$1.crt", "key_file": "$work/entry-$1.key"},
  "times": {"entries_valid": "3s"}
}
JSON
}

start_entry() { # number domain
  start "entry-$1" "$bin/bulrushd" serve -settings "$work/entry-$1.json"
}

start_engine() { # name number domain layers layer-time fences
  start "$1" "$bin/standin" engine -name "$1" -address "127.0.2.$2:9100" -domain "$3" -layers "$4" \
    -layer-time "$5" -fences="$6"
}

start_service() { # number domain
  start "service-$1" "$bin/standin" service -name "service-$1" -address "127.0.3.$1:9200" -domain "$2"
}

domains=(c a b)

start_platform() {
  start platform "$bin/standin" platform -address 127.0.0.1:9000
}

make_keys() { # number of entry hosts
  "$bin/bulrushctl" keys -dir "$work" ca
  local n
  for n in $(seq 1 "$1"); do
    "$bin/bulrushctl" keys -dir "$work" -ips "127.0.1.$n" "entry-$n"
    entry_settings "$n" "${domains[$((n % 3))]}" >"$work/entry-$n.json"
  done
}

start_cluster() {
  make_keys 7
  start_platform
  local n
  for n in 1 2 3; do start_service "$n" "${domains[$((n % 3))]}"; done
  start_engine fast-1 1 a 0-48 100us true
  start_engine fast-2 2 a 40-80 100us true
  start_engine mid-1 3 b 0-30 150us true
  start_engine mid-2 4 b 24-56 150us true
  start_engine mid-3 5 b 50-80 150us true
  start_engine slow-1 6 c 0-24 200us false
  start_engine slow-2 7 c 20-44 200us false
  start_engine slow-3 8 c 40-62 200us false
  start_engine slow-4 9 c 58-80 200us false
  for n in $(seq 1 7); do start_entry "$n" "${domains[$((n % 3))]}"; done
  local up=0
  for _ in $(seq 100); do
    "$bin/bulrushctl" status -host 127.0.1.7:8081 >"$work/status" 2>/dev/null && up=$(grep -c ' live$' "$work/status")
    [ "$up" -ge 19 ] && return 0
    sleep 0.1
  done
  echo "the system did not start: $up of 19 hosts are live after 100 status checks" >&2
  return 1
}
