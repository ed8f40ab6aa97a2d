#!/usr/bin/env bash
# Sends six best-effort jobs of two steps, cancels two of them while they run,
# and looks whether their tasks go on. TROUBLE=0: cancels nothing.
set -u
cd "$(dirname "$0")/../.."
source review/common-3.sh
hosts=3 endpoints=6 zones=d1,d2,d3
cancel_ms=3000 stop_ms=50 read_ms=100 # the last: for reading the log's times

deployment_start
put_manifest 2 30000
body='{"spec":"ms=4500 cpu=2000","best-effort":true,"steps":[
{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":4500},
{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":4500,"after":[0]}]}'
ids=(a100000000000001 a100000000000002 a100000000000003 a100000000000004
    a100000000000005 a100000000000006)
for i in "${!ids[@]}"; do
    "$caller" request "$(host_front 0)" POST "/jobs/${ids[$i]}" \
        figridge.example 30000 "$body" >"$work/post$i" &
    posts[$i]=$!
done
sleep 1
cancels=("" "" "" "" "" "")
if [ "${TROUBLE:-1}" != 0 ]; then
    # The first at the host that has the job, the second at another one.
    for i in 0 1; do
        cancels[$i]=$("$caller" request "$(host_front "$i")" DELETE \
            "/jobs/${ids[$i]}" figridge.example 4000 "")
    done
fi
wait "${posts[@]}"
sleep 1

broken=0
for i in "${!ids[@]}"; do
    runs=$(runs_of "${ids[$i]}")
    note "POST ${ids[$i]} at host 0: $(cat "$work/post$i")"
    note "DELETE ${ids[$i]}: ${cancels[$i]:-not sent}"
    note "runs at the workers:"
    note "$runs"
    [ "$(grep -c run_started <<<"$runs")" -ge 2 ] ||
        can_not_run "job ${ids[$i]} did not start"
    [ -n "${cancels[$i]}" ] || continue
    status=$(field_of status "${cancels[$i]}")
    case $status in 2??|410) ;; *) continue ;; esac
    acknowledged=$(field_of ended_ms "${cancels[$i]}")
    while read -r at what task rest; do
        after=$((at - acknowledged))
        limit=$cancel_ms
        [ "$what" = run_ended ] && limit=$((cancel_ms + stop_ms + read_ms))
        if [ $after -gt $limit ]; then
            note "BROKEN: $what $task $after ms after the cancel was" \
                "acknowledged with $status"
            broken=1
        fi
    done <<<"$runs"
done
[ $broken -eq 0 ] && note "held"
cat "$record"
exit $broken
