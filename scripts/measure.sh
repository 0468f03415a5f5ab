#!/usr/bin/env bash
# Measures the latency that one daemon adds to calling its targets directly, and its
# throughput, start time and memory. Each round measures both ways in turn. Prints lines
# "name value unit [bound]". With --capacity it measures the control logic with 11, 100,
# 300 and 870 daemons instead (docs/CAPACITY.md).
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh > /dev/null
bin=build/bin
if [ "${1:-}" = --capacity ]; then
  exec $bin/measure_control "${2:-870}"
fi

rounds=5
seconds=3
net=127.0.3
work_dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work_dir"
}
trap cleanup EXIT
start() { "$@" > "$work_dir/log" 2>&1 & pids+=("$!"); }

cat > "$work_dir/document.yaml" << END
platform:
  owner: measure
  deployment: measure
  slices: 8
  regions:
    here: {capacity: 1000, zones: [here-1]}
shop:
  owner: measure
  hosts: [shop.example]
  shift: {cap: 1, window: 10s}
  routes:
    - {method: GET, path: /, kind: browse, weight: 1, idempotent: true, time_limit: 5s}
    - {method: PUT, path: /, kind: drawing, weight: 1, idempotent: false, body_limit: 5GB}
  targets:
    - {name: a, address: "$net.100:9001", zone: here-1, slots: 500, connections: 1000}
END
start $bin/store_standin --listen $net.1:2379
start $bin/target_standin --listen $net.100:9001 --slots 500 --work-ms 0
until $bin/greengagectl --deployment measure --store $net.1:2379 \
  init "$work_dir/document.yaml" --who measure > /dev/null 2>&1; do sleep 0.1; done

# Succeeds once the daemon responds to a look-up with a host and serves a request.
is_serving() {
  $bin/caller_standin --lookup $net.11:8080 --service shop --host shop.example \
    --workers 1 --seconds 0.01 --browse 1 --orders 0 2> /dev/null |
    grep -q '"whole":[1-9]'
}

start_ns=$(date +%s%N)
start $bin/greengaged --deployment measure --region here --zone here-1 \
  --listen $net.11:8080 --peer $net.11:7000 --admin $net.11:9090 \
  --store $net.1:2379
daemon=${pids[-1]}
until is_serving; do sleep 0.02; done
echo "start_to_first_request $((($(date +%s%N) - start_ns) / 1000000)) ms"

field() { grep -o "\"$1\":[0-9.e+-]*" "$2" | head -1 | cut -d: -f2; }
cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/$daemon/stat"; }
median() { sort -g | awk '{v[NR] = $1} END {print v[int((NR + 1) / 2)]}'; }

caller() {  # caller OUTPUT FLAGS...
  local output=$1
  shift
  $bin/caller_standin --service shop --host shop.example --seconds $seconds \
    --browse 100 --orders 0 "$@" > "$output"
}

for round in $(seq 1 $rounds); do
  caller "$work_dir/direct" --direct $net.100:9001 --workers 1
  caller "$work_dir/through" --lookup $net.11:8080 --workers 1
  for percentile in p50 p99; do
    field ${percentile}_ms "$work_dir/direct" >> "$work_dir/direct_$percentile"
    paste <(field ${percentile}_ms "$work_dir/through") \
      <(field ${percentile}_ms "$work_dir/direct") |
      awk '{print $1 - $2}' >> "$work_dir/added_$percentile"
  done
  before=$(cpu_ms)
  caller "$work_dir/busy" --lookup $net.11:8080 --workers 16
  cpu_time=$(($(cpu_ms) - before))
  awk -v n="$(field whole "$work_dir/busy")" -v ms="$cpu_time" \
    'BEGIN {print n * 1000 / ms}' >> "$work_dir/per_core"
  before=$(cpu_ms)
  caller "$work_dir/lookups" --lookup $net.11:8080 --workers 16 --lookups-only
  cpu_time=$(($(cpu_ms) - before))
  awk -v n="$(field whole "$work_dir/lookups")" -v ms="$cpu_time" \
    'BEGIN {print n * 1000 / ms}' >> "$work_dir/lookups_per_core"
done
echo "direct_p50 $(median < "$work_dir/direct_p50") ms"
echo "direct_p99 $(median < "$work_dir/direct_p99") ms"
echo "added_p50 $(median < "$work_dir/added_p50") ms"
echo "added_p99 $(median < "$work_dir/added_p99") ms"
echo "requests_a_second_per_core $(median < "$work_dir/per_core") 1/s"
echo "lookups_a_second_per_core $(median < "$work_dir/lookups_per_core") 1/s"

resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$daemon/status"; }
before=$(resident_kb)
$bin/caller_standin --lookup $net.11:8080 --service shop --host shop.example \
  --workers 1 --seconds 0.01 --browse 0 --orders 0 --uploads 1 \
  --upload-bytes 1073741824 > "$work_dir/upload" &
upload=$!
peak=$before
while kill -0 $upload 2> /dev/null; do
  now=$(resident_kb)
  [ "$now" -gt "$peak" ] && peak=$now
  sleep 0.02
done
wait $upload
echo "upload_1GiB_whole $(field whole "$work_dir/upload") count [1]"
echo "upload_1GiB_seconds $(awk -v ms="$(field p50_ms "$work_dir/upload")" 'BEGIN {print ms / 1000}') s"
echo "upload_1GiB_added_memory $((peak - before)) KB [<= 4096]"
echo "resident_memory $peak KB [<= 65536]"
