# Functions for the scripts of review/11 and later; to be sourced from the root
# of the repository. Starts a small deployment on loopback addresses: hosts by
# the command of deploy/system.toml with its settings template filled in, and
# the project's stand-in of the users' platform (store and workers).
#
# Set before `deployment_start`: hosts, endpoints, zones. With `proxied=yes` the
# hosts reach the store through review/proxy_3.cpp; with `cut_host` (an index)
# they reach each other through review/gate_3.cpp, and SIGUSR1 to `cut_pid` cuts
# this one off from the others.

case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
record=$case_dir/record.txt
caller=target/review-3/caller
work=""
declare -A host_pid=()
system_pid=""
proxy_pids=()
declare -A worker_pid=()

can_not_run() { echo "can't run: $1" | tee -a "$record"; exit 2; }
note() { echo "$*" >>"$record"; }
now_ms() { date +%s%3N; }

host_port() { echo $((base_port + 10 + 5 * $1)); }
host_control() { echo "127.0.0.1:$(host_port "$1")"; }
host_front() { echo "127.0.0.1:$(($(host_port "$1") + 1))"; }
host_ready() { echo "127.0.0.1:$(($(host_port "$1") + 2))"; }
host_operators() { echo "127.0.0.1:$(($(host_port "$1") + 3))"; }

deployment_stop() {
    local pid
    for pid in "${host_pid[@]}" "${worker_pid[@]}" $system_pid \
        "${proxy_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    host_pid=() worker_pid=() system_pid="" proxy_pids=()
    [ -z "$work" ] || [ -n "${KEEP:-}" ] || rm -rf "$work"
    work=""
}

write_settings() { # index
    local names
    IFS=, read -ra names <<<"$zones"
    sed -e "s|{{listen.control}}|$(host_control "$1")|" \
        -e "s|{{zone}}|${names[$(($1 % ${#names[@]}))]}|" \
        -e "s|{{listen.front}}|$(host_front "$1")|" \
        -e "s|{{listen.ready}}|$(host_ready "$1")|" \
        -e "s|{{ip}}:9464|$(host_operators "$1")|" \
        -e "s|{{limits.cpu-share}}|0.25|" \
        -e "s|{{seeds}}|$(host_control 0)|" \
        -e "s|{{#zones}}.*{{/zones}}|$zones|" \
        -e "s|{{platform.address}}|${store:-127.0.0.1:$base_port}|" \
        -e "s|{{platform.writes-per-s}}|600|" \
        -e "s|{{platform.reads-per-s}}|2000|" \
        -e "s|{{bounds.hold-max-ms}}|1000|" \
        -e "s|{{bounds.stop-ms}}|50|" \
        -e "s|{{bounds.resend-ms}}|1300|" \
        -e "s|{{bounds.far-x}}|3|" \
        -e "s|{{limits.memory-mb}}|260|" \
        -e "s|{{limits.max-fds}}|4100|" \
        deploy/settings.ini.in >"$work/host$1.ini"
    [ -z "${cut_host:-}" ] || sed -i \
        "s|^\[peers\]|&\nlisten = 127.0.0.1:$(($(host_port "$1") + 1000))|" \
        "$work/host$1.ini"
}

start_host() { # index
    target/figridged --config "$work/host$1.ini" >>"$work/host$1.log" 2>&1 &
    host_pid[$1]=$!
}

# Starts a worker as a process of its own, of this kind; its log goes on.
start_worker() { # index, zone, kind, address in its entry (the own one)
    target/review-3/worker "worker-$1" "127.0.0.1:$((base_port + 45 + $1))" \
        "$2" "$3" "127.0.0.1:$base_port" ${4:+"$4"} \
        >>"$work/system.log" 2>&1 &
    worker_pid[$1]=$!
}
kill_worker() { # index
    kill -KILL "${worker_pid[$1]}"
    wait "${worker_pid[$1]}" 2>/dev/null
    unset "worker_pid[$1]"
}

is_free() { # port
    ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

deployment_start() {
    local i tries
    [ -x target/figridged ] || can_not_run "target/figridged isn't built"
    [ -x "$caller" ] || can_not_run "review/build-3.sh wasn't run"
    [ -n "${recording:-}" ] || : >"$record"
    recording=yes
    work=$(mktemp -d)
    trap deployment_stop EXIT
    for tries in 1 2 3 4 5 6 7 8; do
        base_port=$((30100 + RANDOM % 25 * 60))
        is_free $base_port && is_free $((base_port + 10)) &&
            is_free $((base_port + 40)) && break
    done
    target/review-3/system_stand_in --store "127.0.0.1:$base_port" \
        --control "127.0.0.1:$((base_port + 1))" \
        --first_endpoint_port $((base_port + 40)) --endpoints "$endpoints" \
        --domains "$zones" >"$work/system.log" 2>&1 &
    system_pid=$!
    "$caller" ready "127.0.0.1:$((base_port + 1))" /report 10000 ||
        can_not_run "the stand-in of the platform doesn't answer"
    if [ "${proxied:-}" = yes ]; then
        store=127.0.0.1:$((base_port + 2))
        target/review-3/proxy "$store=127.0.0.1:$base_port" \
            >"$work/proxy.log" 2>&1 &
        proxy_pids+=($!)
    fi
    if [ -n "${cut_host:-}" ]; then
        links=()
        for ((i = 0; i < hosts; i++)); do
            links+=("$(host_control "$i")=127.0.0.1:$(($(host_port "$i") + 1000))")
        done
        target/review-3/gate --cut "$(host_port "$cut_host")" "${links[@]}" \
            >"$work/cut.log" 2>&1 &
        cut_pid=$!
        proxy_pids+=($cut_pid)
    fi
    if declare -F start_workers >/dev/null; then start_workers; fi
    for ((i = 0; i < hosts; i++)); do
        write_settings "$i"
        start_host "$i"
    done
    for ((i = 0; i < hosts; i++)); do
        "$caller" ready "$(host_ready "$i")" /ready 20000 ||
            can_not_run "host $i isn't ready"
    done
    sleep 3 # until each worker has its holder
}

# The starts and ends of a job's tasks, as the workers saw them: lines of
# "UNIX-MS run_started|run_ended TASK RUN WORKER HOW".
runs_of() { # job id
    local line at
    grep -E " (msg|event)?=?run_(started|ended) .*task=$1" \
        "$work/system.log" | while read -r line; do
        at=$(date -d "$(sed 's/^ts=\([^ ]*\).*/\1/' <<<"$line")" +%s%3N)
        echo "$at $(grep -oE 'run_(started|ended)' <<<"$line" | head -1)" \
            "$(grep -oE 'task=[^ ]+' <<<"$line")" \
            "$(grep -oE 'run=[0-9]+' <<<"$line")" \
            "$(grep -oE 'endpoint=[^ ]+' <<<"$line")" \
            "$(grep -oE '(how|kind)=[^ ]+' <<<"$line" | tr '\n' ' ')"
    done
}
field_of() { # name, line
    sed "s/.*\b$1=\([^ ]*\).*/\1/" <<<"$2"
}

# Stores a manifest with this version and time-out of the queue "queue-1", and
# with further routes. Sets `confirmed`, in Unix milliseconds.
store_manifest() { # version, timeout in ms, further routes as JSON
    "$caller" request "127.0.0.1:$base_port" PUT /control localhost 2000 \
        "{\"put\":{\"table\":\"op\",\"key\":\"config\",\"value\":{
        \"version\":$1,\"limits\":{},\"services\":[{\"name\":\"pool-1\"}],
        \"routes\":[{\"name\":\"queue-1\",\"host\":\"figridge.example\",
        \"path-prefix\":\"/jobs/\",\"service\":\"pool-1\",\"priority\":0,
        \"attempts\":4,\"stretch\":1.6,\"target-latency-ms\":60,
        \"timeout-ms\":$2}${3:-}]}}}" >"$work/manifest.out"
    [ "$(field_of status "$(cat "$work/manifest.out")")" = 200 ] ||
        can_not_run "manifest $1 isn't stored: $(cat "$work/manifest.out")"
    confirmed=$(field_of ended_ms "$(cat "$work/manifest.out")")
}
put_manifest() { # the same, and waits for it
    store_manifest "$@"
    sleep 2.5 # config-apply-ms is 2,000
}
