# Series of faults that overlap, for soak_seed.sh: pauses of hosts, requests to
# endpoints that are carried out while their connection is reset and the next
# one refused, writes of the store that get no answer, signals, restarts and new
# catalogues. To be sourced after platform_cluster.sh; uses the functions of
# soak_seed.sh.

series_ms=${series_ms:-11000} # time in which series begin
load_ms=$((series_ms + 3000))
domain_count=3
start_request="POST /run-start"
# Fills `plan` with lines "MILLISECONDS COMMAND ARGUMENTS", in the order of
# time, and `cpu_shares`. Draws all random numbers.
plan_series() {
    local lengths=(200 500 1000 2500 4000) lines=() i n at
    # About two thirds of the hosts of a domain hold its endpoints: figridge
    # counts 72 endpoints per core.
    local unit=$((1000 * endpoints * 3 / (hosts * 2 * 72)))
    for ((i = 0; i < hosts; i++)); do
        printf -v "cpu_shares[$i]" '%d.%03d' 0 \
            $((1 + unit * (1 + RANDOM % 4) / 2))
    done
    local series=$((8 + hosts / 2 + RANDOM % 5))
    for ((n = 0; n < series; n++)); do
        local kind=$((RANDOM % 12)) host=$((RANDOM % hosts)) \
            endpoint=$((RANDOM % endpoints)) repeats=$((2 + RANDOM % 4)) \
            option=$((RANDOM % 6)) scope
        at=$((RANDOM % series_ms))
        case $((option % 3)) in
        0) scope=endpoint:$endpoint ;;
        *) scope=domain:$((endpoint % domain_count)) ;;
        esac
        for ((i = 0; i < repeats; i++)); do
            local length=${lengths[$((RANDOM % 5))]} gap=$((RANDOM % 700))
            case $kind in
            0) lines+=("$at pause_hosts $length $host") ;;
            1) # three neighbours, of different domains or of one
                local apart=$((option < 3 ? 1 : domain_count))
                lines+=("$at pause_hosts $length $host \
$(((host + apart) % hosts)) $(((host + 2 * apart) % hosts))") ;;
            2 | 3 | 4)
                lines+=("$at fault_endpoints $scope lose_answer \
$((length / 2))") ;;
            5) local faults=(reset refuse silent delay cut_to_target \
                cut_to_client)
                lines+=("$at fault_endpoints $scope ${faults[$option]} \
$length") ;;
            6) lines+=("$at lose_writes 0.$((3 + option)) \
$((option % 2 * 1500)) $length") ;;
            7) lines+=("$at kill_one $host $length")
                host=$(((host + 1) % hosts)) ;;
            8) lines+=("$at stop_one $host"); gap=$((gap / 2))
                host=$(((host + 1) % hosts)) ;;
            9) lines+=("$at new_catalogue $host"); length=$((gap / 4)) gap=0 ;;
            10) local faults=(silent refuse reset delay cut_to_target \
                cut_to_client)
                lines+=("$at fault_host $host ${faults[$option]} $length") ;;
            11) lines+=("$at crash_endpoint $endpoint") ;;
            esac
            at=$((at + length + gap))
        done
    done
    mapfile -t plan < <(printf '%s\n' "${lines[@]}" | sort -n -s -k1,1)
}

# Runs the plan.
run_series() {
    local begun line at command watched=0
    begun=$(now_ms)
    for line in "${plan[@]}"; do
        read -r at command <<<"$line"
        until [ $(($(now_ms) - begun)) -ge "$at" ]; do
            run_endings due
            end_stops
            sleep 0.02
        done
        note "fault: $command"
        $command
        [ $((watched += 1)) -lt 10 ] || { watched=0; watch_catalogue; }
    done
    run_endings all
    mapfile -t stopping < <(hosts_in stopping)
    for at in "${stopping[@]}"; do end_stop "$at"; done
    order /endpoint '{"mode":"ok"}'
}

end_stops() { # of processes that have ended
    local i
    for i in "${!host_pid[@]}"; do
        if [ "${state[$i]}" = stopping ] &&
            ! kill -0 "${host_pid[$i]}" 2>/dev/null; then
            end_stop "$i"
        fi
    done
}

# Links to the endpoints of "endpoint:INDEX" or "domain:INDEX".
links_to() {
    local i first=${1#*:} step=$domain_count links=""
    [ "${1%:*}" = domain ] || step=$endpoints
    for ((i = first; i < endpoints; i += step)); do
        links+="${links:+,}$(endpoint_link "$i")"
    done
    echo "$links"
}

fault_endpoints() { # scope, fault, milliseconds
    local links
    links=$(links_to "$1")
    link_fault "$links" "$2" 100 "$start_request"
    schedule_ending "heal_link $links" "$3"
}

fault_host() { # index, fault, milliseconds
    link_fault "$(host_peers "$1")" "$2" 150
    schedule_ending "heal_link $(host_peers "$1")" "$3"
}

pause_hosts() { # milliseconds, indices
    local length=$1 i
    shift
    for i in "$@"; do
        [ "${state[$i]}" = up ] || continue
        kill -STOP "${host_pid[$i]}"
        state[$i]=paused
        schedule_ending "resume $i" "$length"
    done
}

lose_writes() { # share, milliseconds until they are applied, milliseconds
    control_store "{\"lose\":$1,\"late_ms\":$2}"
    schedule_ending heal_store "$3"
}

kill_one() { # index, milliseconds until the next process
    case ${state[$1]} in
    up | stopping) ;;
    *) return 0 ;;
    esac
    kill_host "$1"
    state[$1]=down
    schedule_ending "revive $1" "$2"
}

# A process has no signal handlers until it has logged "started".
stop_one() { # index
    if [ "${state[$1]}" != up ] || ! has_started "$1"; then return 0; fi
    kill -TERM "${host_pid[$1]}"
    state[$1]=stopping
}

new_catalogue() { # index of a host that also gets SIGHUP
    version=$((version + 2))
    order /catalogue "{\"version\":$version}"
    if [ "${state[$1]}" = up ] && has_started "$1"; then
        kill -HUP "${host_pid[$1]}"
    fi
}

crash_endpoint() { order /endpoint "{\"index\":$1,\"crash\":true}"; }
