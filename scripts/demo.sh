#!/usr/bin/env bash
# Builds the programs and starts both deployments of examples/ on loopback, each with 11
# daemons, targets, a store and callers. Under load it drains a target and stops a host
# of each deployment, then prints a summary. Exits with 0 only if every check passed.
# Stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh > /dev/null
bin=build/bin
work_dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work_dir"
}
trap cleanup EXIT

start() {  # start NAME COMMAND...
  local name=$1
  shift
  "$@" > "$work_dir/$name.log" 2>&1 &
  pids+=("$!")
  eval "pid_$name=$!"
}

addresses() {  # addresses IP COUNT
  local list=""
  for i in $(seq 1 "$2"); do list+="$1:$((9000 + i)),"; done
  echo "${list%,}"
}

# start_deployment NAME NET REGIONS...: NET is the network prefix, such as 127.0.1
start_deployment() {
  local name=$1 net=$2
  shift 2
  local regions=("$@")
  start "${name}_store" $bin/store_standin --listen "$net.1:2379"
  until $bin/greengagectl --deployment "$name" --store "$net.1:2379" init \
    "examples/$name.yaml" --who demo > "$work_dir/$name.init" 2>&1; do
    grep -q 'already' "$work_dir/$name.init" && break
    sleep 0.1
  done
  local daemons=""
  for i in $(seq 1 11); do
    local region=${regions[$((i % 3))]}
    local zone=$region-$((1 + (i / 3) % 2))
    start "${name}_$i" $bin/greengaged --deployment "$name" \
      --region "$region" --zone "$zone" --listen "$net.$((i + 10)):8080" \
      --peer "$net.$((i + 10)):7000" --admin "$net.$((i + 10)):9090" \
      --seeds "$net.11:7000,$net.12:7000" --store "$net.1:2379"
    daemons+="$net.$((i + 10)):9090,"
  done
  eval "daemons_$name=${daemons%,}"
}

ready() {  # ready ADMIN_ADDRESSES: succeeds once all 11 daemons are ready
  $bin/greengagectl status --json --daemons "$1" 2> /dev/null |
    grep -c '"ready":true' | grep -qx 11
}

callers() {  # callers NAME NET SERVICE HOST BROWSE ORDERS UPLOADS ORDER_PATH UPLOAD_PATH
  local i=0
  for block in 1 2 3; do
    for client in 1 2; do
      i=$((i + 1))
      start "caller_$1_$3_$i" $bin/caller_standin --service "$3" --host "$4" \
        --lookup "$2.$((10 + i)):8080,$2.$((14 + i)):8080,$2.16:8080" \
        --bind "127.$block.$client.5" --workers 3 --seconds "$seconds" \
        --browse "$5" --orders "$6" --uploads "$7" --order-path "$8" \
        --upload-path "$9" --upload-bytes 3000000 --upload-pause-ms 10 \
        --think-ms 20 --seed "$((100 + i))"
    done
  done
}

seconds=25
start txurruka_tienda $bin/target_standin --slots 10 \
  --listen "$(addresses 127.0.11.1 30)"
start txurruka_taller $bin/target_standin --slots 3 \
  --listen "$(addresses 127.0.12.1 12)"
start consortium_comptoir $bin/target_standin --slots 5 \
  --listen "$(addresses 127.0.21.1 30)"
start consortium_atelier $bin/target_standin --slots 3 \
  --listen "$(addresses 127.0.22.1 12)"
start_deployment txurruka 127.0.1 bizkaia navarra cantabria
start_deployment consortium 127.0.2 qc-est qc-centre qc-ouest
for try in $(seq 1 200); do
  ready "$daemons_txurruka" && ready "$daemons_consortium" && break
  [ "$try" = 200 ] && { echo "daemons did not become ready"; exit 1; }
  sleep 0.1
done
echo "22 daemons are ready"

callers txurruka 127.0.1 tienda tienda.example 80 14 6 /orders /drawings/1
callers consortium 127.0.2 comptoir comptoir.example 80 14 6 /reservations /scans/1
callers txurruka 127.0.1 taller taller.example 90 0 10 /quotes /drawings/1
callers consortium 127.0.2 atelier atelier.example 90 0 10 /none /scans/1

sleep 4
drain() {  # drain NAME NET SERVICE TARGET HOST
  $bin/greengagectl --deployment "$1" --store "$2.1:2379" drain "$3" "$4" \
    --who demo --reason "planned work"
  local pid="pid_$1_$5"
  kill -TERM "${!pid}"
}
drain txurruka 127.0.1 tienda tienda-01 3
drain consortium 127.0.2 comptoir comptoir-01 4
sleep 5
$bin/demo_summary --snapshot "$work_dir/before.json" \
  --targets 127.0.11.1:9001,127.0.21.1:9001

for variable in $(compgen -v pid_caller_); do wait "${!variable}" || true; done
clean_stops=0
for host in txurruka_3 consortium_4; do
  variable="pid_$host"
  wait "${!variable}" && clean_stops=$((clean_stops + 1))
done

$bin/demo_summary --callers "$work_dir"/caller_*.log \
  --targets 127.0.11.1:9001,127.0.12.1:9001,127.0.21.1:9001,127.0.22.1:9001 \
  --drained 127.0.11.1:9001,127.0.21.1:9001 --before "$work_dir/before.json" \
  --clean-stops "$clean_stops" --expected-stops 2
