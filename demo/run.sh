#!/usr/bin/env bash
# Runs the Lakeshore inventory on loopback: one control process, two data centres of
# two entries each and ten stand-in upstreams. Callers go on while an upstream leaves,
# an entry leaves, and a data centre is taken out and brought back.
#
# BIN is the folder of the Python environment. DEMO_KEEP=1 keeps the temporary folder.
# DEMO_COLD=1 starts the upstreams cold, so that promise 3 is tested too.
# Exits with the verdict of the load tool: non-zero where a promise broke.
set -euo pipefail

BIN=${BIN:?set BIN to the bin folder of the environment}
HERE=$(cd "$(dirname "$0")" && pwd)
FOLDER=$(mktemp -d)
MARKS=$FOLDER/marks
WAIT_SECONDS=20
PEER_PORT=7200
PLATFORM_PORT=7100
METRICS_PORT=7300
CONTROL_PORT=7400
OPERATOR_PORT=7500
STANDIN_CONTROL_PORT=7600
PHASE_SECONDS=4
LOAD_SECONDS=24
PIDS=()

# Each shell has 64 addresses of its own, so that several demos can run at once.
NUMBER=$(($$ % 30000 * 64))
host() {
  local number=$((NUMBER + $1))
  echo "127.$((16 + (number >> 16))).$((number >> 8 & 255)).$((number & 255))"
}
CONTROL=$(host 1)
ENTRIES=("" "$(host 2)" "$(host 3)" "$(host 4)" "$(host 5)")
DATA_CENTRES=("" gl-erie gl-erie gl-huron gl-huron)

# Prefers the installed programs; a work tree without them runs the modules.
program() {
  local name=$1 script=chervilstage-$1
  shift
  [ "$name" = ctl ] && script=chervilstagectl
  if [ -x "$BIN/$script" ]; then
    exec "$BIN/$script" "$@"
  fi
  PYTHONPATH="$HERE/../src" exec "$BIN/python" -m "chervilstage.programs.$name" "$@"
}

start() {
  local log=$FOLDER/$1.log
  shift
  program "$@" >"$log" 2>&1 &
  PIDS+=($!)
}

stop_all() {
  local status=$? pid
  trap - EXIT
  for pid in "${PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  local tries=30
  while [ $tries -gt 0 ] && kill -0 "${PIDS[@]}" 2>/dev/null; do
    sleep 0.1
    tries=$((tries - 1))
  done
  for pid in "${PIDS[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ] || [ -n "${DEMO_KEEP:-}" ]; then
    echo "demo: status $status, logs and report are in $FOLDER"
  else
    rm -rf "$FOLDER"
  fi
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# Waits until a log has at least COUNT lines with all the words that follow.
wait_lines() {
  local log=$FOLDER/$1.log count=$2 end=$((SECONDS + WAIT_SECONDS))
  shift 2
  while [ "$(count_lines "$log" "$@")" -lt "$count" ]; do
    if [ $SECONDS -ge $end ]; then
      echo "demo: not within $WAIT_SECONDS s in $log: $*" >&2
      tail -n 20 "$log" >&2
      exit 1
    fi
    sleep 0.05
  done
}

count_lines() {
  local log=$1 word lines
  shift
  lines=$(cat "$log" 2>/dev/null || true)
  for word in "$@"; do
    lines=$(grep -F -- "$word" <<<"$lines" || true)
  done
  grep -c . <<<"$lines" || true
}

# Waits until an entry answers a booking. The group refuses keys that are stamped
# shortly after its first epoch, since records of an earlier group could be lost.
wait_bookings() {
  local end=$((SECONDS + WAIT_SECONDS)) status
  while true; do
    status=$(book "$1" "$2" || true)
    case $status in *" 200 "*) return ;; esac
    if [ $SECONDS -ge $end ]; then
      echo "demo: no booking within $WAIT_SECONDS s at $1: $status" >&2
      exit 1
    fi
    sleep 0.2
  done
}

# Books through entry ADDRESS of DATA_CENTRE and prints the status line.
book() {
  local key
  key=v1.$(date +%s%3N).$2.$RANDOM$RANDOM
  exec 3<>"/dev/tcp/$1/8001"
  printf 'POST /bookings HTTP/1.1\r\nhost: %s\r\nidempotency-key: %s\r\n' "$1" "$key" >&3
  printf 'content-length: 0\r\nconnection: close\r\n\r\n' >&3
  head -n 1 <&3
  exec 3>&-
}

mark() {
  echo "$(date +%s.%N) $*" >>"$MARKS"
  echo "demo: $*"
}

operator() {
  (program ctl "$@" --control "$CONTROL:$OPERATOR_PORT" \
    --key-file "$FOLDER/operator.key")
}

start_control() {
  cat >"$FOLDER/control.toml" <<TOML
name = "control-1"
data_centre = "gl-erie"
host = "$CONTROL"
port = $CONTROL_PORT
operator_port = $OPERATOR_PORT
metrics_port = $METRICS_PORT
data_folder = "$FOLDER/data"
key_file = "shared.key"
operator_key_file = "operator.key"
TOML
  start control control "$FOLDER/control.toml"
}

start_entry() {
  local number=$1 peer
  {
    cat <<TOML
name = "entry-$number"
data_centre = "${DATA_CENTRES[$number]}"
host = "${ENTRIES[$number]}"
peer_port = $PEER_PORT
platform_port = $PLATFORM_PORT
metrics_port = $METRICS_PORT
key_file = "shared.key"

[[replicas]]
name = "control-1"
data_centre = "gl-erie"
host = "$CONTROL"
port = $CONTROL_PORT
TOML
    for peer in 1 2 3 4; do
      [ "$peer" = "$number" ] || cat <<TOML

[[peers]]
name = "entry-$peer"
data_centre = "${DATA_CENTRES[$peer]}"
host = "${ENTRIES[$peer]}"
port = $PEER_PORT
TOML
    done
  } >"$FOLDER/entry-$number.toml"
  start "entry-$number" entry "$FOLDER/entry-$number.toml"
}

# Starts upstream number N of SERVICE in DATA_CENTRE; it announces itself to the two
# entries there.
start_upstream() {
  local number=$1 service=$2 data_centre=$3 entries=(1 2)
  [ "$data_centre" = gl-huron ] && entries=(3 4)
  start "upstream-$number" standin --host "$(host $((10 + number)))" \
    --service "$service" --data-centre "$data_centre" --slots 4 --work-ms 10 \
    --entry "${ENTRIES[${entries[0]}]}:$PLATFORM_PORT" \
    --entry "${ENTRIES[${entries[1]}]}:$PLATFORM_PORT" \
    --control-port $STANDIN_CONTROL_PORT --linger-seconds 60 \
    --counters-file "$FOLDER/upstream-$number.json" ${DEMO_COLD:+--cold}
  cat >>"$FOLDER/standins.toml" <<TOML

[[standins]]
host = "$(host $((10 + number)))"
control_port = $STANDIN_CONTROL_PORT
counters_file = "upstream-$number.json"
TOML
}

write_plan() {
  local number
  {
    cat <<TOML
seed = 1
seconds = $LOAD_SECONDS
settle_seconds = 2
planned = true
marks_file = "marks"
TOML
    for number in 1 2 3 4; do
      cat <<TOML

[[entries]]
host = "${ENTRIES[$number]}"
data_centre = "${DATA_CENTRES[$number]}"
TOML
    done
    cat "$HERE/lakeshore/load.toml" "$FOLDER/standins.toml"
  } >"$FOLDER/plan.toml"
}

head -c 24 /dev/urandom | base64 >"$FOLDER/shared.key"
head -c 24 /dev/urandom | base64 >"$FOLDER/operator.key"

echo "demo: control $CONTROL, entries ${ENTRIES[*]}"
start_control
for number in 1 2 3 4; do
  start_entry "$number"
done
for name in control entry-1 entry-2 entry-3 entry-4; do
  wait_lines "$name" 1 event=started
done
operator apply "$HERE/lakeshore/inventory.toml" "$HERE/lakeshore/rules.toml"
for number in 1 2 3 4; do
  wait_lines "entry-$number" 1 event=configuration_in_force
done
for number in 1 2 3 4; do
  start_upstream "$number" alley-desk gl-erie
done
for number in 5 6 7; do
  start_upstream "$number" alley-desk gl-huron
done
start_upstream 8 league-ledger gl-erie
start_upstream 9 league-ledger gl-huron
start_upstream 10 league-ledger gl-huron
for number in 1 2 3 4; do
  wait_lines "entry-$number" 10 event=upstream_registered phase=ready
done

wait_bookings "${ENTRIES[1]}" gl-erie
wait_bookings "${ENTRIES[3]}" gl-huron

write_plan
start load load run "$FOLDER/plan.toml" --out "$FOLDER/report.json"
LOAD_PID=${PIDS[-1]}
wait_lines load 1 event=load_started
sleep $PHASE_SECONDS
mark upstream-leaves "$(host 11)"
kill -TERM "${PIDS[5]}"
sleep $PHASE_SECONDS
mark entry-leaves "${ENTRIES[2]}"
kill -TERM "${PIDS[2]}"
sleep $PHASE_SECONDS
mark out gl-erie
operator out gl-erie
mark out-accepted gl-erie
sleep $((PHASE_SECONDS + 2))
mark back gl-erie
operator back gl-erie

STATUS=0
wait "$LOAD_PID" || STATUS=$?
grep -v ' event=' "$FOLDER/load.log"
exit "$STATUS"
