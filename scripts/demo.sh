#!/usr/bin/env bash
# Runs a whole fleet on this machine and loses a primary while orders are placed.
#
# usage: scripts/demo.sh [norrsten|ramdeen] [--once]
#
# Starts one process for each stand-in slot, 3 control instances and 6 proxies from deploy/USER, with
# logs and data under run/USER. Places orders, kills the primary of orders-1, places more, and checks
# that every confirmed order is stored exactly once. Stays until Ctrl-C; with --once it ends after the
# round with status 0, or 1 if an order was lost or doubled or a read missed an order of its session.
# OLEANDERLEDGE replaces the path of the daemon's program, DEMO_ORDERS the number of orders.
set -euo pipefail
cd "$(dirname "$0")/.."

user=norrsten
once=false
for argument in "$@"; do
  case "$argument" in
    norrsten | ramdeen) user=$argument ;;
    --once) once=true ;;
    *)
      echo "usage: scripts/demo.sh [norrsten|ramdeen] [--once]" >&2
      exit 2
      ;;
  esac
done

scripts/setup.sh

root=$PWD
deploy=$root/deploy/$user
run=$root/run/$user
program=${OLEANDERLEDGE:-$root/build/src/oleanderledge/cli/oleanderledge}
stand_in=$root/build/standin/backend_stand_in
database=orders-1
orders=${DEMO_ORDERS:-40}
ready_timeout_s=30
order_timeout_s=20 # four times the worst failover allowed

declare -A process_of # name -> process id
cleaned_up=false

stop_all() {
  $cleaned_up && return
  cleaned_up=true
  # Proxies first: they hand their work over while control and the servers are still there.
  local name kind
  for kind in proxy control slot; do
    local stopping=()
    for name in "${!process_of[@]}"; do
      [[ $name == "$kind"* ]] || continue
      kill -TERM "${process_of[$name]}" 2>/dev/null && stopping+=("${process_of[$name]}")
    done
    local id attempt
    for id in "${stopping[@]}"; do
      for ((attempt = 0; attempt < 120; ++attempt)); do
        kill -0 "$id" 2>/dev/null || break
        sleep 0.1
      done
      kill -KILL "$id" 2>/dev/null || true
      wait "$id" 2>/dev/null || true
    done
  done
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND...: starts a process in the run folder with its own log.
start() {
  local name=$1
  shift
  (cd "$run" && exec "$@") >"$run/${name//\//-}.log" 2>&1 &
  process_of[$name]=$!
}

# setting FILE KEY: the value of an address key of a settings file.
setting() {
  sed -n "s/^  $2: *//p" "$1" | head -1
}

wait_ready() {
  local name=$1 address=$2 deadline=$((SECONDS + ready_timeout_s))
  until curl -fs -o /dev/null --max-time 1 "http://$address/readyz"; do
    if ! kill -0 "${process_of[$name]}" 2>/dev/null; then
      echo "demo: $name ended, see $run/$name.log" >&2
      exit 1
    fi
    if ((SECONDS >= deadline)); then
      echo "demo: $name is not ready after $ready_timeout_s s, see $run/$name.log" >&2
      exit 1
    fi
    sleep 0.1
  done
}

create_class() {
  local attempt
  for attempt in 1 2 3 4 5; do
    "$program" ctl --address="$http_address" class create "$1" "$2" && return
    sleep 1
  done
  echo "demo: class $1 could not be created" >&2
  exit 1
}

# query PROXY OPTIONS SQL: runs SQL through a proxy's callers port with start-up options.
query() {
  local address=$1 options=$2 sql=$3
  PGCONNECT_TIMEOUT=3 PGOPTIONS=$options timeout 10 \
    psql -X -q -A -t -v ON_ERROR_STOP=1 -h "${address%:*}" -p "${address##*:}" -U counter -d "$database" \
    -c "$sql"
}

confirmed=()
unconfirmed=0
stale_reads=0
failed_reads=0
resends=0

# place_order NUMBER: resends with the same request id until the order is confirmed.
place_order() {
  local number=$1 deadline=$((SECONDS + order_timeout_s)) tries=0
  local options="-c oleanderledge.class=bookings -c oleanderledge.session=demo"
  options+=" -c oleanderledge.request_id=$number"
  until query "$write_address" "$options" \
    "INSERT INTO orders (order_number, item, quantity) VALUES ('$number', 'bamboo', 1)" \
    >>"$run/orders.log" 2>&1; do
    resends=$((resends + 1))
    if ((SECONDS >= deadline)); then
      unconfirmed=$((unconfirmed + 1))
      return 1
    fi
    sleep 0.1
  done
  confirmed+=("$number")
}

# read_back NUMBER: the session must see its own order through another proxy.
read_back() {
  local options="-c oleanderledge.class=lookups -c oleanderledge.session=demo"
  options+=" -c default_transaction_read_only=on"
  local found
  if ! found=$(query "$read_address" "$options" \
    "SELECT count(*) FROM orders WHERE order_number = '$1'" 2>>"$run/orders.log"); then
    failed_reads=$((failed_reads + 1))
  elif [ "$found" != 1 ]; then
    stale_reads=$((stale_reads + 1))
    echo "demo: order $1 read back $found times"
  fi
}

# http_of SLOT: the address for test commands that a stand-in printed.
http_of() {
  sed -n 's/.* http=//p' "$run/slot-$database-$1.log"
}

# find_primary: slot, term and dump file of the live primary with the highest term.
find_primary() {
  primary='' primary_term=0
  local slot dump term
  for slot in "${slots_of_database[@]}"; do
    dump=$run/dump-$slot.json
    curl -fs --max-time 5 -o "$dump" "http://$(http_of "$slot")/dump" || continue
    grep -q '"role":"primary"' "$dump" || continue
    term=$(grep -o '"term":[0-9]*' "$dump" | cut -d: -f2)
    if ((term > primary_term)); then
      primary=$slot primary_term=$term
    fi
  done
}

now_ms() {
  date +%s%3N
}

rm -rf "$run"
mkdir -p "$run"

mapfile -t slots < <(awk '/- database:/ {d = $3} /- slot:/ {print d "/" $3}' "$deploy/stand-ins.yaml")
slots_of_database=()
for slot in "${slots[@]}"; do
  start "slot-$slot" "$stand_in" --fleet="$deploy/stand-ins.yaml" --only="$slot"
  [ "${slot%/*}" = "$database" ] && slots_of_database+=("${slot#*/}")
done
for file in "$deploy"/control-*.yaml; do
  start "$(basename "$file" .yaml)" "$program" control --settings="$file"
done
for file in "$deploy"/proxy-*.yaml; do
  start "$(basename "$file" .yaml)" "$program" proxy --settings="$file"
done
echo "demo: started ${#slots[@]} stand-ins, 3 control instances and 6 proxies, logs in $run"
for file in "$deploy"/control-*.yaml "$deploy"/proxy-*.yaml; do
  wait_ready "$(basename "$file" .yaml)" "$(setting "$file" http)"
done
echo "demo: all instances are ready"

proxies=("$deploy"/proxy-*.yaml)
http_address=$(setting "${proxies[0]}" http)
write_address=$(setting "${proxies[0]}" callers)
read_address=$(setting "${proxies[-1]}" callers)
create_class bookings 50ms
create_class lookups 500ms
create_class reprints 10s

started_ms=$(now_ms)
for ((number = 1; number <= orders / 2; ++number)); do
  place_order "order-$started_ms-$number" && read_back "order-$started_ms-$number"
done
echo "demo: ${#confirmed[@]} orders confirmed through $write_address, read back through $read_address"

find_primary
if [ -z "$primary" ]; then
  echo "demo: no primary of $database found" >&2
  exit 1
fi
lost_slot=$primary
echo "demo: killing the primary of $database, slot $lost_slot of term $primary_term"
kill -KILL "${process_of[slot-$database/$lost_slot]}"
wait "${process_of[slot-$database/$lost_slot]}" 2>/dev/null || true
unset "process_of[slot-$database/$lost_slot]"
killed_ms=$(now_ms)
gap_ms='none'
for (( ; number <= orders; ++number)); do
  if place_order "order-$started_ms-$number"; then
    [ "$gap_ms" = none ] && gap_ms=$(($(now_ms) - killed_ms))
    read_back "order-$started_ms-$number"
  fi
done

find_primary
if [ -z "$primary" ]; then
  echo "demo: $database has no primary after the failure" >&2
  exit 1
fi
grep -o '"order_number":"[^"]*"' "$run/dump-$primary.json" | cut -d'"' -f4 | sort >"$run/stored.txt"
printf '%s\n' "${confirmed[@]}" | sort >"$run/confirmed.txt"
lost=$(comm -23 "$run/confirmed.txt" <(uniq "$run/stored.txt") | wc -l)
doubled=$(uniq -d "$run/stored.txt" | wc -l)

echo "demo: summary for $user"
echo "  orders placed           $orders"
echo "  orders confirmed        ${#confirmed[@]}"
echo "  orders not confirmed    $unconfirmed"
echo "  resends by request id   $resends"
echo "  orders lost             $lost"
echo "  orders doubled          $doubled"
echo "  reads that missed       $stale_reads"
echo "  reads that failed       $failed_reads"
echo "  first order after loss  $gap_ms ms"
echo "  primary of $database     $lost_slot, then $primary of term $primary_term"

status=0
((lost == 0 && doubled == 0 && stale_reads == 0 && ${#confirmed[@]} > 0)) || status=1
if ! $once; then
  echo "demo: the fleet keeps running; callers port $write_address, end with Ctrl-C"
  while true; do
    sleep 1
  done
fi
exit "$status"
