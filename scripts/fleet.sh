# Functions that start, find and stop a fleet on this machine. Sourced by demo.sh and bench.sh, which
# set `user` (norrsten or ramdeen) before and call stop_all at their end.

root=$PWD
deploy=$root/deploy/$user
run=$root/run/$user
program=${OLEANDERLEDGE:-$root/build/src/oleanderledge/cli/oleanderledge}
stand_in=$root/build/standin/backend_stand_in
ready_timeout_s=30

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
      echo "fleet: $name ended, see $run/$name.log" >&2
      exit 1
    fi
    if ((SECONDS >= deadline)); then
      echo "fleet: $name is not ready after $ready_timeout_s s, see $run/$name.log" >&2
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
  echo "fleet: class $1 could not be created" >&2
  exit 1
}

# http_of SLOT: the address for test commands that a stand-in of `database` printed.
http_of() {
  sed -n 's/.* http=//p' "$run/slot-$database-$1.log" | tail -1
}

# find_primary: slot, term and dump file of the live primary with the highest term.
find_primary() {
  primary='' primary_term=0
  local slot dump term
  for slot in $(slots_of "$database"); do
    dump=$run/dump-$slot.json
    curl -fs --max-time 5 -o "$dump" "http://$(http_of "$slot")/dump" || continue
    grep -q '"role":"primary"' "$dump" || continue
    term=$(grep -o '"term":[0-9]*' "$dump" | cut -d: -f2)
    if ((term > primary_term)); then
      primary=$slot primary_term=$term
    fi
  done
}

# start_slot DATABASE/SLOT: starts one stand-in slot.
start_slot() {
  start "slot-$1" "$stand_in" --fleet="$deploy/stand-ins.yaml" --only="$1"
}

# start_daemon KIND NAME: starts one daemon with a metrics log for the report.
start_daemon() {
  start "$2" "$program" "$1" --settings="$deploy/$2.yaml" --metrics_log="$run/$2.metrics"
}

# start_daemons: starts the control instances and proxies and waits until they are ready.
start_daemons() {
  for file in "$deploy"/control-*.yaml; do
    start_daemon control "$(basename "$file" .yaml)"
  done
  for file in "$deploy"/proxy-*.yaml; do
    start_daemon proxy "$(basename "$file" .yaml)"
  done
  echo "fleet: started 3 control instances and 6 proxies, logs in $run"
  for file in "$deploy"/control-*.yaml "$deploy"/proxy-*.yaml; do
    wait_ready "$(basename "$file" .yaml)" "$(setting "$file" http)"
  done
  echo "fleet: all instances are ready"
}

# start_fleet: starts all stand-ins, control instances and proxies and waits until they are ready.
start_fleet() {
  rm -rf "$run"
  mkdir -p "$run"

  mapfile -t slots < <(awk '/- database:/ {d = $3} /- slot:/ {print d "/" $3}' "$deploy/stand-ins.yaml")
  for slot in "${slots[@]}"; do
    start_slot "$slot"
  done
  start_daemons
  proxies=("$deploy"/proxy-*.yaml)
  http_address=$(setting "${proxies[0]}" http)
}

# slots_of DATABASE: the names of its slots.
slots_of() {
  local slot
  for slot in "${slots[@]}"; do
    if [ "${slot%/*}" = "$1" ]; then
      echo "${slot#*/}"
    fi
  done
}
