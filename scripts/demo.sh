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

# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
database=orders-1
orders=${DEMO_ORDERS:-40}
order_timeout_s=20 # four times the worst failover allowed

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

now_ms() {
  date +%s%3N
}

start_fleet
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
