# Starts and stops the programs on this machine; sourced by the scripts beside it.
#
# Callers set `programs` (the folder of the binaries) and `work` (a temporary folder that holds the
# settings, and gets the output and the log of each process).

readonly WAIT_SECONDS=60
pids=()

# Only the processes started here, each by its own id; the last one started goes first.
stop_all() {
  for ((at = ${#pids[@]} - 1; at >= 0; at--)); do
    kill -TERM "${pids[at]}" 2>/dev/null || true
    wait "${pids[at]}" 2>/dev/null || true
  done
}
trap stop_all EXIT

start() {
  local program=$1 name=$2
  "$programs/$program" --settings "$work/$name.yaml" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

# Ends the script when a process that was started is gone.
check_processes() {
  local pid
  for pid in "${pids[@]}"; do
    if ! kill -0 "$pid" 2>/dev/null; then
      echo "a process ended early; the logs are in $work:" >&2
      tail -n 3 "$work"/*.log >&2
      exit 1
    fi
  done
}

# Runs a command until it succeeds.
await() {
  local what=$1 end=$((SECONDS + WAIT_SECONDS))
  shift
  until "$@" >/dev/null 2>&1; do
    check_processes
    if ((SECONDS >= end)); then
      echo "waited $WAIT_SECONDS s for $what; the logs are in $work" >&2
      exit 1
    fi
    sleep 0.2
  done
}
