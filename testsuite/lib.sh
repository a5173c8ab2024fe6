# shellcheck shell=bash
# Functions for the test cases, the demo and the soak: free loopback ports,
# processes that are stopped by their id, and waits with a time limit.

started_pids=()
# Below the range of ephemeral ports, so that no outgoing connection uses one
# of them. Concurrent runs begin at different ports.
next_port=$((12000 + ($$ * 37) % 20000))

# free_port NAME: sets the variable NAME to a port that no process listens at.
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

# unregister_process PID: removes a process that has ended from those that
# stop_all ends, because the system may assign its id to another process.
unregister_process() {
    local pid remaining=()
    for pid in "${started_pids[@]}"; do
        [ "$pid" = "$1" ] || remaining+=("$pid")
    done
    started_pids=("${remaining[@]}")
}

# all_processes_ended: true when none of the started processes is running.
all_processes_ended() {
    local pid
    for pid in "${started_pids[@]}"; do
        ! kill -0 "$pid" 2>/dev/null || return 1
    done
}

# stop_all: ends all processes that start() has started, also stopped ones
# (SIGSTOP), and waits for them. A process that still runs after the drain limit
# of 30 s is killed.
stop_all() {
    local pid
    for pid in "${started_pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
        kill -CONT "$pid" 2>/dev/null || true
    done
    wait_until 35 all_processes_ended || for pid in "${started_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in "${started_pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    started_pids=()
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds.
wait_until() {
    local attempts_left=$(($1 * 10))
    shift
    until "$@" >/dev/null 2>&1; do
        attempts_left=$((attempts_left - 1))
        [ "$attempts_left" -gt 0 ] || return 1
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
    local expected=$1 code=0
    shift
    "$@" >"$output" 2>&1 || code=$?
    [ "$code" = "$expected" ] ||
        fail "exit $code instead of $expected: $*: $(cat "$output")"
}

expect_output() {
    grep -qF -- "$1" "$output" || fail "no '$1' in: $(cat "$output")"
}
