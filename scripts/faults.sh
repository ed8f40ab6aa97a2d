#!/usr/bin/env bash
# Fault injection into the real processes under load: seeded kills, freezes,
# restarts, network cuts and outages. The last line has the totals; exits with 0
# if no invariant was broken. SEED selects the affected hosts and the load,
# SCENARIOS the scenarios to run.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build/release} hosts=8 endpoints=48 domains=d1,d2,d3
base_port=${BASE_PORT:-23000}
seed=${SEED:-1}
RANDOM=$seed
scenarios=${SCENARIOS:-kill freeze rolling platform_down lost_replies cut \
bad_endpoints cancel_wave leaving together}
source scripts/cluster.sh
trap cluster_abort EXIT

runs=0 starts=0 doubled=0 partial=0 lost=0 false_not_run=0
reverted=0 cut_by_stop=0 late_leaving=0

post() { curl -s -m 5 -o "$cluster_dir/post.out" -X POST -d "$2" "http://$1"; }
put() { curl -s -m 5 -o "$cluster_dir/put.out" -X PUT -d "$2" "http://$1"; }
any_host() { echo $((RANDOM % hosts)); }
endpoint_mode() { put "$(endpoints_control)/control" "{\"endpoint\":$1,\"mode\":\"$2\"}"; }
endpoint_address() { echo "127.0.0.1:$(($(first_endpoint_port) + $1))"; }

cut_off_domain() { # domain number, or "" to heal
    local i j list
    for ((i = 0; i < hosts; i++)); do
        list=""
        if [ -n "$1" ]; then
            for ((j = 0; j < hosts; j++)); do
                if [ $((i % 3 == $1)) -ne $((j % 3 == $1)) ]; then
                    list+="${list:+,}\"$(host_address "$j")\""
                fi
            done
        fi
        post "$(host_callers "$i")/v1/debug/cut" "{\"hosts\":[$list]}"
    done
}

# A process must never go back to an earlier catalogue version.
watch_versions() {
    local i seen now pid
    declare -A highest=()
    while [ ! -e "$cluster_dir/watch.end" ]; do
        for ((i = 0; i < hosts; i++)); do
            seen=$(curl -s -m 1 "http://$(host_callers "$i")/v1/hosts" |
                grep -o '"catalogue_version":[0-9]*[^}]*"incarnation":[0-9]*[^}]*"state":"self"' |
                sed 's/"catalogue_version":\([0-9]*\).*"incarnation":\([0-9]*\).*/\1 \2/')
            [ -n "$seen" ] || continue
            read -r now pid <<<"$seen"
            if [ "$now" -lt "${highest[$i-$pid]:-0}" ]; then
                echo "reverted host=$i" >>"$cluster_dir/reverted"
            fi
            highest[$i-$pid]=$now
        done
        sleep 0.2
    done
}

edit_catalogue() { # host index, name; prints the exit code
    cat >"$cluster_dir/edit.json" <<EOF
{"set":[{"name":"$2","owner":"ops","work_class":"x","task_deadline_ms":5000}]}
EOF
    local version
    version=$(curl -s -m 2 "http://$(host_callers "$1")/v1/catalogue" |
        grep -o '"version":[0-9]*' | tail -1 | cut -d: -f2)
    "$build/figridgectl" --host "$(host_callers "$1")" catalogue-edit \
        "$cluster_dir/edit.json" --based_on "${version:-0}" \
        >"$cluster_dir/edit.out" 2>&1
    echo $?
}

inject_kill() {
    local victim
    for victim in $(((seed) % hosts)) $(((seed + 3) % hosts)); do
        sleep 3
        kill -KILL "${host_pid[$victim]}"
        wait "${host_pid[$victim]}" 2>/dev/null
        sleep 2
        start_host "$victim"
    done
}
inject_freeze() {
    local victim
    for victim in $((seed % hosts)) $(((seed + 4) % hosts)); do
        sleep 2
        kill -STOP "${host_pid[$victim]}"
        sleep 4
        kill -CONT "${host_pid[$victim]}"
    done
}
inject_rolling() {
    local i
    sleep 1
    for ((i = 0; i < hosts; i++)); do
        stop_host "$i" || cut_by_stop=$((cut_by_stop + 1))
        start_host "$i"
        wait_for "http://$(host_callers "$i")/health" 20
    done
}
inject_platform_down() {
    sleep 2
    put "$(platform_address)/control" '{"mode":"down"}'
    sleep 60
    put "$(platform_address)/control" '{"mode":"up"}'
}
inject_lost_replies() {
    sleep 3
    local i code stored=0
    for ((i = 0; i < 6; i++)); do
        put "$(platform_address)/control" '{"lose_replies":1}'
        code=$(edit_catalogue "$(any_host)" "lost-$i")
        if [ "$code" -eq 0 ]; then
            stored=$((stored + 1))
            grep -q "lost-$i" <(curl -s "http://$(host_callers "$(any_host)")/v1/catalogue") ||
                lost=$((lost + 1))
        fi
    done
    echo "edits stored=$stored of 6 with their first reply lost"
}
inject_cut() {
    sleep 2
    cut_off_domain $((seed % 3))
    sleep 8
    cut_off_domain ""
}
inject_bad_endpoints() {
    sleep 1
    endpoint_mode 0 crossed
    endpoint_mode 3 late
    endpoint_mode 6 refuse
    endpoint_mode 9 die
    endpoint_mode 12 hang
    local i
    for i in 1 4 7 10 13 16 19 22; do endpoint_mode "$i" fail_all; done
    sleep 10
    endpoint_mode '"all"' normal
}
inject_cancel_wave() { sleep 1; }
inject_leaving() {
    sleep 2
    put "$(endpoints_control)/control" \
        '{"endpoint":1,"mode":"leaving","expect_no_starts_after_ms":3000}'
    put "$(endpoints_control)/control" \
        '{"endpoint":2,"expect_no_starts_after_ms":3000}'
    "$build/figridgectl" --host "$(host_callers 5)" endpoint-drain \
        "$(endpoint_address 2)"
    # The bound counts from when the platform's list shows it, which is late.
    put "$(platform_address)/leaving/$(endpoint_address 3)" ''
    put "$(endpoints_control)/control" \
        '{"endpoint":3,"expect_no_starts_after_ms":4000}'
    sleep 1.5
    put "$(platform_address)/control" '{"mode":"down"}'
    put "$(endpoints_control)/control" \
        '{"endpoint":4,"expect_no_starts_after_ms":3000}'
    "$build/figridgectl" --host "$(host_callers 2)" endpoint-drain \
        "$(endpoint_address 4)"
}
inject_together() {
    sleep 1
    cut_off_domain 1
    put "$(platform_address)/control" '{"mode":"down"}'
    kill -STOP "${host_pid[0]}"
    sleep 3
    kill -KILL "${host_pid[5]}"
    wait "${host_pid[5]}" 2>/dev/null
    kill -CONT "${host_pid[0]}"
    sleep 1
    put "$(platform_address)/control" '{"mode":"up"}'
    start_host 5
    sleep 2
    cut_off_domain ""
}

value() { sed -n "s/.* $1=\([0-9]*\).*/\1/p" <<<"$line"; }

run_scenario() { # name
    local seconds=14 cancel=0 line failed watcher load_pid
    [ "$1" = platform_down ] && seconds=66
    [ "$1" = rolling ] && seconds=22
    [ "$1" = cancel_wave ] && cancel=0.3
    cluster_start || return 1
    : >"$cluster_dir/reverted"
    watch_versions &
    watcher=$!
    "$build/load" --hosts "$(all_callers)" \
        --endpoints_control "$(endpoints_control)" --load 0.5 \
        --seconds "$seconds" --seed $((seed * 100 + runs)) \
        --resubmit_share 0.2 --cancel_share "$cancel" --deadline_ms 25000 \
        >"$cluster_dir/load.out" 2>"$cluster_dir/load.err" &
    load_pid=$!
    "inject_$1"
    wait "$load_pid"
    line=$(tail -1 "$cluster_dir/load.out")
    case "$line" in
    "load jobs="*) ;;
    *)
        echo "$1: the load ended without a result: $(cat "$cluster_dir/load.err")"
        return 1
        ;;
    esac
    # With the platform up and all hosts reachable, an edit must reach every
    # host.
    put "$(platform_address)/control" '{"mode":"up"}'
    sleep 1
    [ "$(edit_catalogue 0 "after-$1")" -eq 0 ] || {
        echo "$1: the edit is not in force: $(cat "$cluster_dir/edit.out")"
        lost=$((lost + 1))
    }
    touch "$cluster_dir/watch.end"
    wait "$watcher"
    runs=$((runs + 1))
    starts=$((starts + $(value starts)))
    doubled=$((doubled + $(value doubled)))
    partial=$((partial + $(value partial)))
    lost=$((lost + $(value lost)))
    false_not_run=$((false_not_run + $(value false_not_run)))
    late_leaving=$((late_leaving + $(value late_leaving)))
    reverted=$((reverted + $(wc -l <"$cluster_dir/reverted")))
    failed=$(value failed)
    if [ "$1" = rolling ]; then cut_by_stop=$((cut_by_stop + failed)); fi
    echo "scenario=$1 $line"
    cluster_stop || cut_by_stop=$((cut_by_stop + 1))
    [ -n "${keep_logs:-}" ] || rm -rf "$cluster_dir"
}

for scenario in $scenarios; do
    run_scenario "$scenario" || exit 1
done
[ "$runs" -eq "$(wc -w <<<"$scenarios")" ] || exit 1
echo "faults runs=$runs starts=$starts doubled=$doubled partial=$partial" \
    "lost=$lost false_not_run=$false_not_run reverted=$reverted" \
    "cut_by_stop=$cut_by_stop late_leaving=$late_leaving"
[ "$doubled$partial$lost$false_not_run$reverted$cut_by_stop$late_leaving" = \
    0000000 ]
