# shellcheck shell=bash
# Helpers for the cases and the demo: free loopback ports, processes that are
# stopped by their own id, and waiting with a limit.

started_pids=()
# Below the range of ephemeral ports, so that no outgoing connection takes one
# of them; runs at the same time begin at different ports.
next_port=$((12000 + ($$ * 37) % 20000))

# free_port NAME: puts a port that nothing listens at into the variable NAME.
free_port() {
    while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
        next_port=$((next_port + 1))
    done
    printf -v "$1" '%s' "$next_port"
    next_port=$((next_port + 1))
}

# start LOG PROGRAM ARGUMENT...: runs a program in the background; its id is
# in last_pid.
start() {
    local log=$1
    shift
    "$@" >"$log" 2>&1 &
    last_pid=$!
    started_pids+=("$last_pid")
}

# forget PID: a process that has ended; its id may be another one's soon.
forget() {
    local pid left=()
    for pid in "${started_pids[@]}"; do
        [ "$pid" = "$1" ] || left+=("$pid")
    done
    started_pids=("${left[@]}")
}

# all_ended: none of the started processes is running.
all_ended() {
    local pid
    for pid in "${started_pids[@]}"; do
        ! kill -0 "$pid" 2>/dev/null || return 1
    done
}

# stop_all: ends what start() has started, frozen processes too, and waits for
# it. A process that outlives the drain limit of 30 s is killed.
stop_all() {
    local pid
    for pid in "${started_pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
        kill -CONT "$pid" 2>/dev/null || true
    done
    wait_until 35 all_ended || for pid in "${started_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in "${started_pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    started_pids=()
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds.
wait_until() {
    local tries=$(($1 * 10))
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.1
    done
}

http_ok() {
    curl -sf -m 2 -o /dev/null "$1"
}

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# expect_exit CODE COMMAND...: output of the command is in the file $output.
expect_exit() {
    local wanted=$1 code=0
    shift
    "$@" >"$output" 2>&1 || code=$?
    [ "$code" = "$wanted" ] ||
        fail "exit $code instead of $wanted: $*: $(cat "$output")"
}

expect_output() {
    grep -qF -- "$1" "$output" || fail "no '$1' in: $(cat "$output")"
}
