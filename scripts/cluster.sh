# Functions that start and stop a cluster on loopback, for the demo, the fault
# tests and the benchmarks. To be sourced; needs bash and curl.
#
# Set before `cluster_start`: build (folder of the programs), hosts, endpoints,
# domains, base_port, and optionally policy and slots.

cluster_dir=""
declare -A host_pid=()
platform_pid=""
endpoints_pid=""

host_port() { echo $((base_port + 10 + 2 * $1)); }
host_address() { echo "127.0.0.1:$(host_port "$1")"; }
host_callers() { echo "127.0.0.1:$(($(host_port "$1") + 1))"; }
host_domain() {
    local names
    IFS=, read -ra names <<<"$domains"
    echo "${names[$(($1 % ${#names[@]}))]}"
}
platform_address() { echo "127.0.0.1:$base_port"; }
endpoints_control() { echo "127.0.0.1:$((base_port + 1))"; }
first_endpoint_port() { echo $((base_port + 300)); }
all_callers() {
    local list="" i
    for ((i = 0; i < hosts; i++)); do list+="${list:+,}$(host_callers "$i")"; done
    echo "$list"
}

write_config() { # index
    local i
    {
        echo "[host]"
        echo "address = $(host_address "$1")"
        echo "callers = $(host_callers "$1")"
        echo "failure_domain = $(host_domain "$1")"
        echo "[platform]"
        echo "address = $(platform_address)"
        echo "[placement]"
        echo "policy = ${policy:-rebalance}"
        echo "[debug]"
        echo "allow_cut = true"
        echo "seed = $((1 + $1))"
        echo "[hosts]"
        for ((i = 0; i < hosts; i++)); do
            echo "$(host_address "$i") = $(host_domain "$i")"
        done
    } >"$cluster_dir/host$1.ini"
}

start_host() { # index
    "$build/figridged" --config "$cluster_dir/host$1.ini" \
        2>>"$cluster_dir/host$1.log" &
    host_pid[$1]=$!
}

wait_for() { # url, seconds
    local tries=$(($2 * 20))
    while ! curl -sf -m 1 -o "$cluster_dir/curl.out" "$1"; do
        tries=$((tries - 1))
        [ $tries -gt 0 ] || { echo "no answer from $1" >&2; return 1; }
        sleep 0.05
    done
}

start_platform() {
    "$build/platform_stand_in" --listen "$(platform_address)" \
        --first_endpoint_port "$(first_endpoint_port)" \
        --endpoints "$endpoints" --domains "$domains" \
        --slots "${slots:-8}" 2>>"$cluster_dir/platform.log" &
    platform_pid=$!
}

cluster_start() {
    local i
    cluster_dir=$(mktemp -d)
    start_platform
    "$build/endpoints_stand_in" --control "$(endpoints_control)" \
        --first_endpoint_port "$(first_endpoint_port)" \
        --endpoints "$endpoints" --slots "${slots:-8}" \
        2>>"$cluster_dir/endpoints.log" &
    endpoints_pid=$!
    wait_for "http://$(platform_address)/counts" 10
    wait_for "http://$(endpoints_control)/report" 10
    for ((i = 0; i < hosts; i++)); do
        write_config "$i"
        start_host "$i"
    done
    for ((i = 0; i < hosts; i++)); do
        wait_for "http://$(host_callers "$i")/health" 20
    done
    wait_for_slots 20
}

# Waits until each endpoint has a holder.
wait_for_slots() { # seconds
    local tries=$(($1 * 10))
    while ! "$build/figridgectl" --host "$(host_callers 0)" hosts \
        --wait_slots "$((endpoints * ${slots:-8}))" >"$cluster_dir/slots.out" \
        2>&1; do
        tries=$((tries - 1))
        [ $tries -gt 0 ] || { cat "$cluster_dir/slots.out" >&2; return 1; }
        sleep 0.1
    done
}

stop_host() { # index; returns the exit code of the daemon
    local pid=${host_pid[$1]}
    unset "host_pid[$1]"
    kill -TERM "$pid"
    wait "$pid"
}

cluster_stop() { # returns 0 if every process ended with 0
    local pid result=0 i
    for i in "${!host_pid[@]}"; do kill -TERM "${host_pid[$i]}"; done
    for i in "${!host_pid[@]}"; do wait "${host_pid[$i]}" || result=1; done
    host_pid=()
    for pid in $platform_pid $endpoints_pid; do
        kill -TERM "$pid" && { wait "$pid" || result=1; }
    done
    platform_pid=""
    endpoints_pid=""
    return $result
}

# Kills the remaining processes; for traps.
cluster_abort() {
    local pid
    for pid in "${host_pid[@]}" $platform_pid $endpoints_pid; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    [ -z "$cluster_dir" ] || [ -n "${keep_logs:-}" ] || rm -rf "$cluster_dir"
}
