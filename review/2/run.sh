#!/usr/bin/env bash
# Exit code: 1 if a request sent later than `config-apply-ms` (2,000) after the
# store's confirmation of a manifest is refused with 404 though the manifest has
# its route (CONFIG), 0 if not, 2 if the case could not run. TROUBLE=0: the same
# manifest, without the long time-out.
cd "$(dirname "$0")" || exit 2
source ../common.sh
start_deployment

timeout=2147483647
[ "${TROUBLE:-1}" != 0 ] || timeout=3000
route() { # name, path prefix, time-out
    echo "{\"name\":\"$1\",\"host\":\"figridge.example\",\"path-prefix\":\"$2\",\"kind\":\"unsafe\",\"timeout-ms\":$3,\"target-latency-ms\":60,\"priority\":0,\"service\":\"pool-1\",\"attempts\":4,\"stretch\":1.6}"
}
# Version 5 changes the time-out of a route and adds another route.
manifest="{\"version\":5,\"routes\":[$(route queue-1 /jobs/ $timeout),$(route queue-2 /added/ 1500)],\"services\":[{\"name\":\"pool-1\",\"health-path\":\"/health\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces-capacity\":false,\"spare\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}"
note "the operator writes $manifest"
confirmed=$(call --to "$(store)" --method PUT --path /control --label operator \
    --body "{\"put\":{\"table\":\"op\",\"key\":\"config\",\"value\":$manifest}}")
[ "$(status_of "$confirmed")" = 200 ] || cannot_run "not confirmed"
sleep 5 # 2 s are allowed

broken=0
for i in 0 1 2; do
    answer=$(call --to "$(front "$i")" --method POST \
        --path "/added/00000000000000e$i" --header "X-Deadline-Ms: 1500" \
        --label "job-of-the-added-route" \
        --body '{"spec":"ms=60 cpu=1000","best-effort":true,"steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":60}]}')
    case $(status_of "$answer") in
    404)
        echo "CONFIG: host $i answers 404, 5 s after the confirmation"
        broken=1
        ;;
    200) ;;
    *) cannot_run "host $i: $answer" ;;
    esac
done
[ $broken = 1 ] || echo "the added route is served by all hosts"
exit $broken
