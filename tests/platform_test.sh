#!/usr/bin/env bash
# Checks invariants of real hosts on the simulated platform under faults,
# without timings. Usage: platform_test.sh BUILD.
set -u
build=$1
cd "$(dirname "$0")/.."
hosts=5 endpoints=12 domains=d1,d2,d3 base_port=${BASE_PORT:-26000}
source scripts/platform_cluster.sh
trap cluster_abort EXIT
failures=0

expect() { # name, expected, actual
    if [ "$2" != "$3" ]; then
        echo "FAILED $1: expected <$2>, actual <$3>"
        failures=$((failures + 1))
    fi
}
status() { # curl arguments: prints the status, the body goes to a file
    curl -s -m 20 -o "$cluster_dir/body" -w '%{http_code}' "$@"
}
contains() { # name, text, file
    if ! grep -qF -- "$2" "$3"; then
        echo "FAILED $1: expected <$2> in:"
        tail -5 "$3"
        failures=$((failures + 1))
    fi
}
put_row() { # table, key, value, part: as written by another program
    status -X POST -d "{\"set-keys\":[{\"table\":\"$1\",\"key\":\"$2\",
        \"part\":\"${4:-}\",\"value\":\"$(base64 -w 0 <<<"$3")\"}]}" \
        "http://$(store)/rows-tx"
}
nested() { # depth: that many lists in each other
    printf '[%.0s' $(seq "$1")
    printf ']%.0s' $(seq "$1")
}
wait_for_line() { # text, file; gives up after ten seconds
    local tries=200
    while ! grep -qF -- "$1" "$2" && [ $tries -gt 0 ]; do
        tries=$((tries - 1))
        sleep 0.05
    done
}
check_invariants() { # name
    local seen
    seen=$(report)
    expect "$1: complaints" '[]' \
        "$(sed 's/.*"complaints":\(\[[^]]*\]\).*/\1/' <<<"$seen")"
    expect "$1: all callers got an end" "$(report_field sent)" \
        $(($(report_field completed) + $(report_field failed) + \
            $(report_field refused) + $(report_field unanswered)))
}

cluster_start || exit 1
front=http://$(host_callers 0)

# Invalid requests and unknown routes.
as=(-H "Host: figridge.example")
expect "unknown route" 404 \
    "$(status "${as[@]}" -X POST -d '{}' "$front/other/0123456789abcdef")"
expect "unknown host" 404 "$(status -X POST -d '{}' \
    -H 'Host: other.example' "$front/jobs/0123456789abcdef")"
expect "bad id" 400 "$(status "${as[@]}" -X POST -d '{}' "$front/jobs/x")"
expect "no steps" 400 "$(status "${as[@]}" -X POST \
    -d '{"spec":"","best-effort":true}' "$front/jobs/0123456789abcdef")"
expect "no steps: names the field" 'steps: expected a list' \
    "$(sed 's/.*"error":"\([^"]*\)".*/\1/' "$cluster_dir/body")"
expect "job that must be stored" 503 "$(status "${as[@]}" -X POST \
    -d '{"spec":"","steps":[{"count":1,"cpu":1}]}' \
    "$front/jobs/0123456789abcdef")"
expect "larger than any endpoint" 503 "$(status "${as[@]}" -X POST \
    -d '{"spec":"","steps":[{"count":1,"cpu":99000}],"best-effort":true}' \
    "$front/jobs/0123456789abcdef")"
expect "count" 200 "$(status "${as[@]}" "$front/jobs/")"
expect "unknown job" 410 "$(status "${as[@]}" "$front/jobs/0123456789abcdee")"

# Without faults all jobs complete.
begin_load '"jobs":60,"jobs_per_s":40'
wait_for_load 30
expect "calm load completed" 60 "$(report_field completed)"
check_invariants "calm load"

# Rows of another writer name no host or worker, now and after a restart. Hosts
# that took them for addresses of peers ended whenever they read them.
for key in 127.0.0.1:70000 odd; do
    expect "row $key is stored" 200 "$(put_row hosts "$key" '{}')"
done
worker='"service":"pool-1","zone":"d1","state":"ready","capacity":{"cpu":8000'
expect "deep entry is stored" 200 "$(put_row servers deep \
    "{\"odd\":$(nested 30000),\"address\":\"127.0.0.1:9\",$worker}}")"
expect "entry with a large number is stored" 200 "$(put_row servers large \
    "{\"address\":\"127.0.0.1:9\",$worker,\"gpu\":1e999}}")"
expect "entry with an odd port is stored" 200 "$(put_row servers port \
    "{\"address\":\"127.0.0.1:70000\",$worker}}")"
expect "odd holder is stored" 200 "$(put_row holders endpoint-0 \
    '{"host":"127.0.0.1:9","incarnation":7,"token":9007199254740992}' d1)"
for ((i = 0; i < hosts; i++)); do
    for name in odd deep large port endpoint-0; do
        wait_for_line "_row_unreadable row=$name" "$cluster_dir/host$i.log"
        expect "rows $name logged by host $i" 1 \
            "$(grep -c "_row_unreadable row=$name" "$cluster_dir/host$i.log")"
    done
    expect "odd rows logged by host $i" 6 \
        "$(grep -c _row_unreadable "$cluster_dir/host$i.log")"
    expect "host $i goes on" 200 \
        "$(status "${as[@]}" "http://$(host_callers "$i")/jobs/")"
done
wait_for_endpoints 20
expect "each endpoint has a holder again" 0 $?

# A new catalogue comes into force on every host, with the store reachable from
# all of them.
order /catalogue '{"version":7}'
for ((i = 0; i < hosts; i++)); do
    tries=100
    while [ "$(status "${as[@]}" "http://$(host_callers "$i")/version-7/")" \
        != 200 ]; do
        tries=$((tries - 1))
        [ $tries -gt 0 ] || break
        sleep 0.05
    done
    expect "catalogue on host $i" 200 \
        "$(status "${as[@]}" "http://$(host_callers "$i")/version-7/")"
    expect "old route gone on host $i" 404 \
        "$(status "${as[@]}" "http://$(host_callers "$i")/version-1/")"
done

# The catalogue's limits apply to callers, and a connection whose header is
# incomplete at the header time-out is closed.
order /catalogue '{"version":8,"limits":{"max-header-bytes":600,
    "max-body-bytes":900,"header-timeout-ms":300,"idle-timeout-ms":5000}}'
"$build/figridgectl" --host "$(host_operators 0)" catalogue-watch 8 \
    >"$cluster_dir/ctl.out"
expect "catalogue-watch exits with" 0 $?
contains "catalogue-watch" "in force on $hosts of $hosts" "$cluster_dir/ctl.out"
expect "header too long" 431 "$(status "${as[@]}" \
    -H "X-Long: $(printf 'x%.0s' {1..700})" "$front/jobs/")"
expect "body too long" 413 "$(status "${as[@]}" -X POST \
    -d "$(printf 'x%.0s' {1..1000})" "$front/jobs/0123456789abcdef")"
exec 3<>"/dev/tcp/127.0.0.1/${front##*:}"
printf 'GET /jobs/ HTTP/1.1\r\nHost: figridge.exam' >&3
rest=$(timeout 20 cat <&3)
expect "slow header ends with" 0 $?
expect "slow header gets" "" "$rest"
exec 3>&-
contains "slow header is logged" slow_header_cut "$cluster_dir/host0.log"
order /catalogue '{"version":9}'

# figridgectl at a host's address for operators.
ctl() { # arguments; returns figridgectl's exit code, output goes to a file
    "$build/figridgectl" --host "$(host_operators 0)" "$@" \
        >"$cluster_dir/ctl.out" 2>&1
}
ctl hosts
expect "hosts exits with" 0 $?
expect "hosts shows" "$hosts" "$(grep -c '^127' "$cluster_dir/ctl.out")"
contains "hosts shows itself" self "$cluster_dir/ctl.out"
ctl endpoints
expect "endpoints exits with" 0 $?
expect "endpoints shows, each with a holder" "$endpoints" \
    "$(grep -c '127.0.0.1:.*127.0.0.1:' "$cluster_dir/ctl.out")"
ctl --json endpoints
contains "endpoints as JSON have tokens" '"token": 1' "$cluster_dir/ctl.out"
ctl catalogue-show
contains "catalogue-show" queue-1 "$cluster_dir/ctl.out"
ctl jobs
expect "jobs exits with" 0 $?
ctl fetch 0123456789abcdef
expect "fetch exits with" 1 $?
contains "fetch says why" "not served here" "$cluster_dir/ctl.out"
"$build/figridgectl" --host 127.0.0.1:1 hosts 2>"$cluster_dir/ctl.out"
expect "a host that is not there" 4 $?
curl -s "http://$(host_operators 0)/metrics" >"$cluster_dir/metrics.out"
contains "metrics: events" 'figridge_events_total{event="started"} 1' \
    "$cluster_dir/metrics.out"
contains "metrics: gauges" "figridge_hosts_live $hosts" \
    "$cluster_dir/metrics.out"

# SIGHUP reloads the settings; an invalid file changes nothing.
printf '[log]\nlevel = debug\n' >>"$cluster_dir/host0.ini"
kill -HUP "${host_pid[0]}"
wait_for_line "event=reload" "$cluster_dir/host0.log"
contains "reload" "in_force=log.level" "$cluster_dir/host0.log"
cp "$cluster_dir/host1.ini" "$cluster_dir/good.ini"
sed -i 's/^lease_limit_ms = .*/lease_limit_ms = soon/' "$cluster_dir/host1.ini"
wait_for_line "event=reload_failed" "$cluster_dir/host1.log"
contains "wrong settings name the field" lease_limit_ms \
    "$cluster_dir/host1.log"
cp "$cluster_dir/good.ini" "$cluster_dir/host1.ini"
expect "the host goes on" 200 "$(status "${as[@]}" \
    "http://$(host_callers 1)/jobs/")"

# Guards against a process that SIGHUP ends while it starts: it has no handler
# before it has read its settings, here from a pipe that nobody writes to.
mkfifo "$cluster_dir/pipe.ini"
"$build/figridged" --config "$cluster_dir/pipe.ini" &
starting=$!
tries=200 # the signal is bit 0 of the mask
until grep -q '^SigIgn:.*[13579bdf]$' "/proc/$starting/status"; do
    [ $((tries -= 1)) -gt 0 ] || break
    sleep 0.05
done
kill -HUP $starting
kill -TERM $starting
wait $starting
expect "a starting process ends by SIGTERM only" 143 $?

# One host is killed under load, another stopped as planned; both restart.
begin_load '"jobs":240,"jobs_per_s":60'
sleep 0.5
kill_host 1
sleep 0.8
start_host 1
stop_host 2
expect "planned stop exits with" 0 $?
start_host 2
wait_for_load 60
check_invariants "kill and planned stop"

# Endpoints fail all tasks, do not answer, restart and drain.
begin_load '"jobs":180,"jobs_per_s":60'
sleep 0.3
order /endpoint '{"index":0,"mode":"fail_all"}'
order /endpoint '{"index":1,"mode":"mute"}'
order /endpoint '{"index":2,"crash":true}'
order /endpoint '{"index":3,"draining":true}'
sleep 1.5
order /endpoint '{"mode":"ok","draining":false}'
wait_for_load 60
check_invariants "bad endpoints"

# A host is suspended while the others take over its work.
begin_load '"jobs":180,"jobs_per_s":60'
sleep 0.3
kill -STOP "${host_pid[0]}"
sleep 2
kill -CONT "${host_pid[0]}"
wait_for_load 60
check_invariants "standstill"

# The store does not answer, then returns without its change history.
curl -s -o "$cluster_dir/order.out" -X PUT -d '{"mode":"silent"}' \
    "http://$(store)/control"
begin_load '"jobs":120,"jobs_per_s":60'
wait_for_load 60
expect "load without the store" 120 "$(report_field completed)"
curl -s -o "$cluster_dir/order.out" -X PUT -d '{"mode":"up","compact":true}' \
    "http://$(store)/control"
check_invariants "store away"

cluster_stop
expect "every process ends with" 0 $?
[ $failures -eq 0 ] && echo "platform_test ok"
exit $((failures > 0))
