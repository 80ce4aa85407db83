#!/usr/bin/env bash
# Runs a benchmark and prints lines of name<TAB>value<TAB>unit.
#
# usage: scripts/bench.sh failover|planned|config|rolling|reads|faults|floods|scale [norrsten|ramdeen]
#
# failover, planned, config, rolling, reads and faults start a whole fleet with real processes; floods and scale run
# the pure decision logic in one process. ROUNDS sets the number of failovers or planned changes
# (default 20), CHANGES that of configuration changes (default 200).
set -euo pipefail
cd "$(dirname "$0")/.."

mode=${1:-}
user=${2:-norrsten}
[ -n "${BENCH_NO_SETUP:-}" ] || scripts/setup.sh >&2
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

probe=$root/build/benchmarks/order_probe/order_probe
rounds=${ROUNDS:-20}
changes=${CHANGES:-200}

emit() {
  printf '%s\t%s\t%s\n' "$1" "$2" "$3"
}

# quantile SHARE: reads numbers from standard input.
quantile() {
  sort -g | awk -v share="$1" '{v[NR] = $1} END {if (NR == 0) {print "none"; exit}
    at = int(share * NR); if (at < share * NR) ++at; if (at < 1) at = 1; print v[at]}'
}

# value FILE NAME: the value of a line that the probe printed.
value() {
  awk -v name="$2" -F'\t' '$1 == name {print $2}' "$1"
}

sum() {
  awk '{total += $1} END {print total + 0}'
}

# Databases of the orders service: only they have the table that the probe writes to.
databases_of_fleet() {
  printf '%s\n' "${slots[@]}" | cut -d/ -f1 | grep '^orders-' | sort -u
}

callers_of_all() {
  local file list=''
  for file in "${proxies[@]}"; do
    list+=${list:+,}$(setting "$file" callers)
  done
  echo "$list"
}

# start_probe NAME DATABASE LENGTH_S [INTERVAL_MS]: places orders in the background.
start_probe() {
  "$probe" --targets="$(callers_of_all)" --database="$2" --prefix="$1" --length_s="$3" \
    --interval_ms="${4:-5}" --confirmed="$run/$1.confirmed" >"$run/$1.probe" &
  probe_id=$!
}

# count_orders NAME: compares the confirmed orders of a probe with the primary of `database`.
count_orders() {
  find_primary
  if [ -z "$primary" ]; then
    lost=$(wc -l <"$run/$1.confirmed") doubled=0
    return
  fi
  grep -o "\"order_number\":\"$1-[^\"]*\"" "$run/dump-$primary.json" | cut -d'"' -f4 | sort \
    >"$run/$1.stored" || true
  sort "$run/$1.confirmed" >"$run/$1.sorted"
  lost=$(comm -23 "$run/$1.sorted" <(uniq "$run/$1.stored") | wc -l)
  doubled=$(uniq -d "$run/$1.stored" | wc -l)
}

create_classes() {
  create_class bookings 50ms >&2
  create_class lookups 500ms >&2
  create_class reprints 10s >&2
}

# changes_of_primary LOSE RESTORE: runs rounds in which the function LOSE takes the primary away.
changes_of_primary() {
  local round name
  mapfile -t names < <(databases_of_fleet)
  for ((round = 1; round <= rounds; ++round)); do
    database=${names[round % ${#names[@]}]}
    name=round$round
    find_primary
    local former=$primary
    start_probe "$name" "$database" 5
    sleep 1.5
    "$1" "$former"
    wait "$probe_id"
    count_orders "$name"
    echo "$lost" >>"$run/lost"
    echo "$doubled" >>"$run/doubled"
    local figure
    for figure in longest_gap refused unknown longest_read failed_reads; do
      value "$run/$name.probe" "$figure" >>"$run/$figure"
    done
    echo "round $round: $database $former -> $primary, gap $(value "$run/$name.probe" longest_gap) ms" >&2
    "$2" "$former"
    sleep 1.5
  done
}

kill_slot() {
  kill -KILL "${process_of[slot-$database/$1]}"
  wait "${process_of[slot-$database/$1]}" 2>/dev/null || true
}
restart_slot() { start_slot "$database/$1"; }
depart_slot() { curl -fs -X POST "http://$(http_of "$1")/depart" >/dev/null; }
return_slot() { curl -fs -X POST "http://$(http_of "$1")/depart?departing=false" >/dev/null; }

# part NAME: durations of one part of the failovers, from the control instances' logs.
part() {
  grep -h 'E1511' "$run"/control-*.log | grep 'kind=unplanned' | grep -o "$1_ms=[0-9]*" | cut -d= -f2
}

bench_failover() {
  start_fleet >&2
  create_classes
  changes_of_primary kill_slot restart_slot
  emit failover_gap_p50 "$(quantile 0.5 <"$run/longest_gap")" ms
  emit failover_gap_max "$(quantile 1 <"$run/longest_gap")" ms
  emit failover_detect_p50 "$(part detection | quantile 0.5)" ms
  emit failover_lease_p50 "$(part lease | quantile 0.5)" ms
  emit failover_promote_p50 "$(part promotion | quantile 0.5)" ms
  emit failover_publish_p50 "$(part publication | quantile 0.5)" ms
  emit orders_lost "$(sum <"$run/lost")" orders
  emit orders_doubled "$(sum <"$run/doubled")" orders
  emit failover_reads_failed "$(sum <"$run/failed_reads")" reads
  emit failover_read_max "$(quantile 1 <"$run/longest_read")" ms
}

bench_planned() {
  start_fleet >&2
  create_classes
  changes_of_primary depart_slot return_slot
  emit planned_gap_p50 "$(quantile 0.5 <"$run/longest_gap")" ms
  emit planned_gap_max "$(quantile 1 <"$run/longest_gap")" ms
  emit planned_refused "$(cat "$run/refused" "$run/unknown" | sum)" units
  emit orders_lost "$(sum <"$run/lost")" orders
  emit orders_doubled "$(sum <"$run/doubled")" orders
}

history_length() {
  "$program" ctl --address="$http_address" --output=json config history | grep -o '"action"' | wc -l
}

bench_config() {
  start_fleet >&2
  create_classes
  local change before after name
  for ((change = 1; change <= changes; ++change)); do
    "$program" ctl --address="$http_address" class set lookups "$((400 + change % 200))ms" |
      sed -n 's/.*after \([0-9]*\) ms/\1/p' >>"$run/in_force"
  done
  before=$(history_length)
  for name in "${!process_of[@]}"; do
    [[ $name == slot* ]] || kill -KILL "${process_of[$name]}"
  done
  for name in "${!process_of[@]}"; do
    [[ $name == slot* ]] || wait "${process_of[$name]}" 2>/dev/null || true
  done
  start_daemons >&2
  after=$(history_length)
  emit config_in_force_p50 "$(quantile 0.5 <"$run/in_force")" ms
  emit config_in_force_p99 "$(quantile 0.99 <"$run/in_force")" ms
  emit config_changes "$before" changes
  emit config_forgotten $((before - after)) changes
}

bench_rolling() {
  start_fleet >&2
  create_classes
  mapfile -t names < <(databases_of_fleet)
  database=${names[0]}
  start_probe rolling "$database" 60 20
  sleep 1
  local file name kind started
  for kind in proxy control; do
    for file in "$deploy"/"$kind"-*.yaml; do
      name=$(basename "$file" .yaml)
      started=$(date +%s%3N)
      kill -TERM "${process_of[$name]}"
      wait "${process_of[$name]}" || echo "$name ended with $?" >&2
      echo $(($(date +%s%3N) - started)) >>"$run/stop_time"
      start_daemon "$kind" "$name"
      wait_ready "$name" "$(setting "$file" http)"
      sleep 1
    done
  done
  wait "$probe_id"
  count_orders rolling
  emit requests_cut "$(value "$run/rolling.probe" unknown)" requests
  emit requests_refused "$(value "$run/rolling.probe" refused)" requests
  emit orders_confirmed "$(value "$run/rolling.probe" confirmed)" orders
  emit orders_lost "$lost" orders
  emit orders_doubled "$doubled" orders
  emit rolling_gap_max "$(value "$run/rolling.probe" longest_gap)" ms
  emit stop_time_p99 "$(quantile 0.99 <"$run/stop_time")" ms
}

# metric NAME: the sum of a metric over all proxies.
metric() {
  local file
  for file in "${proxies[@]}"; do
    curl -fs "http://$(setting "$file" http)/metrics" | awk -v name="$1" '$1 == name {print $2}'
  done | sum
}

# Reads of many sessions of which each writes now and then, while replicas apply 200 ms late.
bench_reads() {
  start_fleet >&2
  create_classes
  mapfile -t names < <(databases_of_fleet)
  database=${names[0]}
  local slot
  for slot in $(slots_of "$database"); do
    curl -fs -X POST "http://$(http_of "$slot")/lag?receive_ms=0&apply_ms=200" >/dev/null
  done
  "$root/build/benchmarks/load_tool/load_tool" --targets="$(callers_of_all)" --database="$database" \
    --classes=lookups:200:0.9:500:100 --duration_s=15 >"$run/load"
  sleep 2
  local replica primary
  replica=$(metric oleanderledge_replica_reads_total)
  primary=$(metric oleanderledge_primary_reads_total)
  cat "$run/load" >&2
  emit replica_reads "$replica" reads
  emit primary_reads "$primary" reads
  emit replica_share "$(awk -v r="$replica" -v p="$primary" 'BEGIN {printf "%.1f", 100 * r / (r + p)}')" %
}

# owner_of DATABASE and leader: process names, from the control leader's status.
owner_of() {
  "$program" ctl --address="$http_address" status | awk -v name="$1" '$1 == name {print $7}'
}
leader() {
  grep -lE 'E150[12]' "$run"/control-*.log | while read -r log; do
    if [ "$(grep -hE 'E150[12]' "$log" | tail -1 | grep -c 'E1501')" = 1 ]; then
      echo "$(grep -h 'E1501' "$log" | tail -1 | cut -d' ' -f1) $(basename "$log" .log)"
    fi
  done | sort | tail -1 | cut -d' ' -f2
}

# Faults on the path of `database`. Each one ends within the probe's time.
fault_freeze_primary() {
  curl -fs -X POST "http://$(http_of "$primary")/freeze" >/dev/null
  sleep 4
  curl -fs -X POST "http://$(http_of "$primary")/thaw" >/dev/null
}
fault_cut_primary() {
  curl -fs -X POST "http://$(http_of "$primary")/cut" >/dev/null
  sleep 4
  curl -fs -X POST "http://$(http_of "$primary")/heal" >/dev/null
}
fault_kill_owner() {
  local name
  name=$(owner_of "$database")
  kill -KILL "${process_of[$name]}"
  wait "${process_of[$name]}" 2>/dev/null || true
  sleep 4
  start_daemon proxy "$name"
}
fault_freeze_owner() {
  local name
  name=$(owner_of "$database")
  kill -STOP "${process_of[$name]}"
  sleep 4
  kill -CONT "${process_of[$name]}"
}
fault_kill_leader() {
  local name
  name=$(leader)
  kill -KILL "${process_of[$name]}"
  wait "${process_of[$name]}" 2>/dev/null || true
  sleep 4
  start_daemon control "$name"
}
fault_freeze_leader() {
  local name
  name=$(leader)
  kill -STOP "${process_of[$name]}"
  sleep 4
  kill -CONT "${process_of[$name]}"
}
fault_kill_primary_and_leader() {
  kill_slot "$primary"
  fault_kill_leader
  restart_slot "$primary"
}

bench_faults() {
  start_fleet >&2
  create_classes
  mapfile -t names < <(databases_of_fleet)
  local fault number=0
  for fault in freeze_primary cut_primary kill_owner freeze_owner kill_leader freeze_leader \
    kill_primary_and_leader; do
    database=${names[number++ % ${#names[@]}]}
    find_primary
    start_probe "$fault" "$database" 9
    sleep 1.5
    "fault_$fault"
    wait "$probe_id"
    count_orders "$fault"
    emit "${fault}_gap" "$(value "$run/$fault.probe" longest_gap)" ms
    emit "${fault}_unknown" "$(value "$run/$fault.probe" unknown)" units
    emit "${fault}_orders_confirmed" "$(value "$run/$fault.probe" confirmed)" orders
    emit "${fault}_orders_lost" "$lost" orders
    emit "${fault}_orders_doubled" "$doubled" orders
    emit "${fault}_reads_failed" "$(value "$run/$fault.probe" failed_reads)" reads
    sleep 2
  done
}

case "$mode" in
  failover | planned | config | rolling | reads | faults) "bench_$mode" ;;
  floods) "$root/build/benchmarks/flood_simulation/flood_simulation" ;;
  scale) "$root/build/benchmarks/control_scale/control_scale" ;;
  *)
    sed -n 's/^# \(usage.*\)/\1/p' "$0" >&2
    exit 2
    ;;
esac
