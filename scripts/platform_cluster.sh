# Functions that start and stop hosts on the simulated platform. To be sourced;
# needs bash and curl.
#
# Set before `cluster_start`: build (folder of the programs), hosts, endpoints,
# domains, base_port. With `proxied=yes` the hosts reach each other, the store
# and the endpoints through a fault_proxy; see `link_fault`. `cpu_shares` may
# have the processor share of each host. Ports: hosts from base_port + 10,
# endpoints from + 100, proxied endpoints from + 200, hosts behind the proxy from
# + 300; for more hosts or endpoints, `ports_per_kind` replaces the 100.

cluster_dir=""
declare -A host_pid=()
system_pid=""
proxy_pid=""
ports_per_kind=${ports_per_kind:-100}

host_port() { echo $((base_port + 10 + 4 * $1)); }
host_peers() { echo "127.0.0.1:$(host_port "$1")"; }
host_callers() { echo "127.0.0.1:$(($(host_port "$1") + 1))"; }
host_ready() { echo "127.0.0.1:$(($(host_port "$1") + 2))"; }
host_operators() { echo "127.0.0.1:$(($(host_port "$1") + 3))"; }
host_domain() {
    local names
    IFS=, read -ra names <<<"$domains"
    echo "${names[$(($1 % ${#names[@]}))]}"
}
store() { echo "127.0.0.1:$base_port"; }
proxied_store() { echo "127.0.0.1:$((base_port + 2))"; }
proxy_control() { echo "127.0.0.1:$((base_port + 3))"; }
host_listen() { # address behind the proxy
    echo "127.0.0.1:$((base_port + 3 * ports_per_kind + $1))"
}
endpoint_link() { echo "127.0.0.1:$((base_port + 2 * ports_per_kind + $1))"; }
control() { echo "http://127.0.0.1:$((base_port + 1))"; }
all_callers() { # as a JSON list
    local list="" i
    for ((i = 0; i < hosts; i++)); do
        list+="${list:+,}\"$(host_callers "$i")\""
    done
    echo "[$list]"
}

write_config() { # index
    sed -e "s|{{listen.control}}|$(host_peers "$1")|" \
        -e "s|{{zone}}|$(host_domain "$1")|" \
        -e "s|{{listen.front}}|$(host_callers "$1")|" \
        -e "s|{{listen.ready}}|$(host_ready "$1")|" \
        -e "s|{{ip}}:9464|$(host_operators "$1")|" \
        -e "s|{{limits.cpu-share}}|${cpu_shares[$1]:-1}|" \
        -e "s|{{seeds}}|$(host_peers 0)|" \
        -e "s|{{#zones}}.*{{/zones}}|$domains|" \
        -e "s|{{platform.address}}|$(store)|" \
        -e "s|{{platform.[a-z-]*}}|2000|" \
        -e "s|{{bounds.hold-max-ms}}|1000|" \
        -e "s|{{bounds.stop-ms}}|50|" \
        -e "s|{{bounds.resend-ms}}|1300|" \
        -e "s|{{bounds.far-x}}|3|" \
        deploy/settings.ini.in >"$cluster_dir/host$1.ini"
    [ "${proxied:-}" != yes ] || sed -i \
        -e "s|^address = $(store)|address = $(proxied_store)|" \
        -e "s|^\[peers\]|&\nlisten = $(host_listen "$1")|" \
        "$cluster_dir/host$1.ini"
}

start_proxy() {
    local links="$(proxied_store)=$(store)" i
    for ((i = 0; i < hosts; i++)); do
        links+=",$(host_peers "$i")=$(host_listen "$i")"
    done
    for ((i = 0; i < endpoints; i++)); do
        links+=",$(endpoint_link "$i")"
        links+="=127.0.0.1:$((base_port + ports_per_kind + i))"
    done
    "$build/fault_proxy" --control "$(proxy_control)" --links "$links" \
        >"$cluster_dir/proxy.log" 2>&1 &
    proxy_pid=$!
}

link_fault() { # links or "all", fault, delay in ms, request to lose
    curl -s -o "$cluster_dir/order.out" -X PUT "http://$(proxy_control)/fault" \
        -d "{\"link\":\"$1\",\"fault\":\"$2\",\"delay_ms\":${3:-0},
            \"request\":\"${4:-POST }\"}"
}

start_host() { # index
    "$build/figridged" --config "$cluster_dir/host$1.ini" \
        >>"$cluster_dir/host$1.log" 2>&1 &
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

# Waits until each endpoint has a holder.
wait_for_endpoints() { # seconds
    local tries=$(($1 * 10)) held i
    while true; do
        held=0
        for i in "${!host_pid[@]}"; do
            curl -s -m 1 "http://$(host_operators "$i")/v1/state" \
                >"$cluster_dir/state.out" 2>/dev/null || continue
            held=$((held + $(grep -c '"phase": "active"' \
                "$cluster_dir/state.out")))
        done
        [ "$held" -ge "$endpoints" ] && return 0
        tries=$((tries - 1))
        [ $tries -gt 0 ] || { echo "only $held endpoints held" >&2; return 1; }
        sleep 0.1
    done
}

cluster_start() {
    local i
    cluster_dir=$(mktemp -d)
    [ "${proxied:-}" != yes ] || start_proxy
    "$build/system_stand_in" --store "$(store)" \
        --control "127.0.0.1:$((base_port + 1))" \
        --first_endpoint_port $((base_port + ports_per_kind)) \
        --endpoints "$endpoints" --domains "$domains" --seed "${seed:-7}" \
        --shown_port_offset \
        "$([ "${proxied:-}" = yes ] && echo "$ports_per_kind" || echo 0)" \
        >"$cluster_dir/system.log" 2>&1 &
    system_pid=$!
    wait_for "$(control)/report" 10 || return 1
    for ((i = 0; i < hosts; i++)); do
        write_config "$i"
        start_host "$i"
    done
    for ((i = 0; i < hosts; i++)); do
        wait_for "http://$(host_ready "$i")/ready" 20 || return 1
    done
    wait_for_endpoints 20
}

report() { curl -s "$(control)/report"; }
report_field() { # name
    report | sed "s/.*\"$1\":\([^,}]*\).*/\1/"
}
order() { # path, body
    curl -s -o "$cluster_dir/order.out" -X PUT -d "$2" "$(control)$1"
}
begin_load() { # further members of the JSON load plan
    order /load "{\"hosts\":$(all_callers),$1}"
}
wait_for_load() { # seconds
    local tries=$(($1 * 10))
    while [ "$(report_field load_done)" != true ]; do
        tries=$((tries - 1))
        [ $tries -gt 0 ] || { echo "the load does not end" >&2; return 1; }
        sleep 0.1
    done
}

stop_host() { # index; returns the exit code of the daemon
    local pid=${host_pid[$1]}
    unset "host_pid[$1]"
    kill -TERM "$pid"
    wait "$pid"
}
kill_host() { # index
    local pid=${host_pid[$1]}
    unset "host_pid[$1]"
    kill -KILL "$pid"
    wait "$pid" 2>/dev/null
    return 0
}

cluster_stop() { # returns 0 if every process ended with 0
    local result=0 i code pid
    for i in "${!host_pid[@]}"; do kill -TERM "${host_pid[$i]}"; done
    for i in "${!host_pid[@]}"; do
        wait "${host_pid[$i]}"
        code=$?
        echo "host $i ended with $code" >>"$cluster_dir/ends.log"
        [ $code -eq 0 ] || result=1
    done
    host_pid=()
    for pid in $system_pid $proxy_pid; do
        kill -TERM "$pid" && { wait "$pid" || result=1; }
    done
    system_pid="" proxy_pid=""
    return $result
}

# Kills the remaining processes; for traps.
cluster_abort() {
    local pid
    for pid in "${host_pid[@]}" $system_pid $proxy_pid; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    [ -z "$cluster_dir" ] || [ -n "${keep_logs:-}" ] || rm -rf "$cluster_dir"
}
