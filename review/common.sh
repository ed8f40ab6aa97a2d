# Functions of the review's scripts, which source this file: a deployment of
# three hosts in three failure domains on loopback, with the settings of
# deploy/settings.ini.in, and the project's own stand-ins for the platform.
# Needs target/figridged and what build.sh makes; bash and coreutils.

hosts=${hosts:-3} endpoints=${endpoints:-12} domains=${domains:-d1,d2,d3}
case_dir=$PWD
root=$(cd ../.. && pwd)
cd "$root" || exit 2
tools=target/review
record=$case_dir/record.txt
work=$(mktemp -d)
system_pid="" proxy_pid=""
declare -A host_pid=()
declare -a jobs_pid=()

note() { echo "$(date +%s%3N) $*" >>"$record"; }
cannot_run() { note "could not run: $*"; echo "could not run: $*" >&2; exit 2; }

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
choose_ports() {
    local tries base i taken
    for ((tries = 0; tries < 50; tries++)); do
        base=$((20000 + RANDOM % 10000))
        taken=""
        for ((i = 0; i < 60; i++)); do
            port_is_free $((base + i)) || taken=yes
        done
        [ -n "$taken" ] || { base_port=$base; return; }
    done
    cannot_run "no free ports"
}

store() { echo "127.0.0.1:$base_port"; }
control() { echo "127.0.0.1:$((base_port + 1))"; }
proxy_control() { echo "127.0.0.1:$((base_port + 2))"; }
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
# What the platform's balancer forwards: channels to a host's callers' address.
front() { echo "127.0.0.1:$((base_port + 24 + $1))"; }

write_settings() { # index
    sed -e "s|{{listen.control}}|$(host_peers "$1")|" \
        -e "s|{{zone}}|$(host_domain "$1")|" \
        -e "s|{{listen.front}}|$(host_callers "$1")|" \
        -e "s|{{listen.ready}}|$(host_ready "$1")|" \
        -e "s|{{ip}}:9464|$(host_operators "$1")|" \
        -e "s|{{limits.cpu-share}}|0.25|" \
        -e "s|{{seeds}}|$(host_peers 0)|" \
        -e "s|{{#zones}}.*{{/zones}}|$domains|" \
        -e "s|{{platform.address}}|$(store)|" \
        -e "s|{{platform.writes-per-s}}|600|" \
        -e "s|{{platform.reads-per-s}}|2000|" \
        -e "s|{{bounds.hold-max-ms}}|1000|" \
        -e "s|{{bounds.stop-ms}}|50|" \
        -e "s|{{bounds.resend-ms}}|1300|" \
        -e "s|{{bounds.far-x}}|3|" \
        deploy/settings.ini.in >"$work/host$1.ini"
}

start_host() { # index
    target/figridged --config "$work/host$1.ini" >>"$work/host$1.log" 2>&1 &
    host_pid[$1]=$!
}

call() { "$tools/client" "$@" | tee -a "$record" | tail -1; }
status_of() { sed 's/.* status=\([-0-9]*\) .*/\1/' <<<"$1"; }
body_of() { sed 's/.* status=[-0-9]* body=//' <<<"$1"; }

wait_for() { # address, path, seconds
    local tries=$(($3 * 10)) line
    while [ $tries -gt 0 ]; do
        line=$("$tools/client" --to "$1" --path "$2" --timeout_ms 1000)
        [ "$(status_of "$line")" = 200 ] && return 0
        tries=$((tries - 1))
        sleep 0.1
    done
    cannot_run "no answer from $1$2"
}

wait_for_endpoints() { # seconds; until each endpoint has a holder
    local tries=$(($1 * 10)) held i
    while [ $tries -gt 0 ]; do
        held=0
        for i in "${!host_pid[@]}"; do
            held=$((held + $("$tools/client" --to "$(host_operators "$i")" \
                --path /v1/state | grep -o '"phase": *"active"' | wc -l)))
        done
        [ "$held" -ge "$endpoints" ] && return 0
        tries=$((tries - 1))
        sleep 0.1
    done
    cannot_run "only $held of $endpoints endpoints have a holder"
}

start_deployment() {
    local i links=""
    : >"$record"
    [ -x target/figridged ] && [ -x "$tools/system_stand_in" ] ||
        cannot_run "build the deploy file and review/build.sh first"
    choose_ports
    [ "${system:-}" != late_system ] ||
        system_flags="--gate_port $((base_port + 29))"
    for ((i = 0; i < hosts; i++)); do
        links+="${links:+,}$(front "$i")=$(host_callers "$i")"
    done
    "$tools/fault_proxy" --control "$(proxy_control)" --links "$links" \
        >"$work/proxy.log" 2>&1 &
    proxy_pid=$!
    "$tools/${system:-system_stand_in}" --store "$(store)" \
        --control "$(control)" --first_endpoint_port $((base_port + 30)) \
        --endpoints "$endpoints" --domains "$domains" ${system_flags:-} \
        >"$work/system.log" 2>&1 &
    system_pid=$!
    wait_for "$(control)" /report 10
    for ((i = 0; i < hosts; i++)); do
        write_settings "$i"
        start_host "$i"
    done
    for ((i = 0; i < hosts; i++)); do
        wait_for "$(host_ready "$i")" /ready 20
    done
    wait_for_endpoints 20
}

# Resets the open channels between callers and a host, as `reset_conns` does.
reset_channels() { # index of the host
    note "reset the channels of callers to host $1"
    "$tools/client" --to "$(proxy_control)" --method PUT --path /fault \
        --body "{\"link\":\"$(front "$1")\",\"fault\":\"reset\"}" >/dev/null
}

report() { "$tools/client" --to "$(control)" --path /report --label report; }

stop_all() {
    local pid
    for pid in "${jobs_pid[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    for pid in "${host_pid[@]}" $system_pid $proxy_pid; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    # What ran, as the workers saw it.
    [ -f "$work/system.log" ] && grep -E \
        "event=(run_started|run_ended|complaint)" "$work/system.log" >>"$record"
    if [ -n "${keep_logs:-}" ]; then
        cp "$work"/*.log "$case_dir"
    fi
    rm -rf "$work"
}
trap stop_all EXIT
