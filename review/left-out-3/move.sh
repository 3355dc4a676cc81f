#!/bin/sh
# No case: the fault is seen in the sanitizer build only, by
#   make MODE=asan all
#   PROGRAM=build/asan/mustardwalld-platform review/left-out-3/move.sh
# A stream is moved as its model server leaves; the target refuses the request
# after the source was stopped.  The front reads the request after it was freed
# (move_target_failed(), src/forward/move.c) and ends.
set -eu
cd "$(dirname "$0")/../.."
. review/lib-3.sh

CONFIG='{"version":7,"routes":[{"name":"read","host":"h.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false},{"name":"report","host":"h.example","path_prefix":"/report/","kind":"streaming","timeout_ms":39000,"target_latency_ms":4000,"target_gap_ms":180,"priority":2,"service":"gen","max_attempts":1,"public":false,"sticky":true,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":96},{"name":"gen","health_path":"/healthz","max_conns":222,"engine":{"slots":24,"kv_capacity_tokens":34285,"kv_token_bytes":35136,"link_mbps":5100.0,"moves":true,"backups":true,"stride":4,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"acme","api_keys":["key-acme"],"priority":1}]}'

start_deployment
front=$(echo "$PIDS" | awk '{ print $4 }')
"$STANDIN" engine "$NET.41:9001" i-gen-1 gen za "$CONTROLS" "$RECORD" 3000 &
PIDS="$PIDS $!"
sleep 2
n=0
clients=
while [ $n -lt 4 ]; do
	n=$((n + 1))
	request "s$n" POST /report/x "X-Model: m\r\nX-Token-Counts: 100,480\r\nX-Prompt-Prefix: a:50,b$n:50\r\nContent-Length: 0\r\nConnection: close\r\n" |
		sed 's/X-Deadline-Ms: 2500/X-Deadline-Ms: 39000/' >"$DIR/s$n"
	"$STANDIN" send "$FRONT" 12000 <"$DIR/s$n" >"$DIR/answer$n" 2>/dev/null &
	clients="$clients $!"
done
sleep 0.2
"$STANDIN" engine "$NET.42:9001" i-gen-2 gen za "$CONTROLS" "$RECORD" 0 &
PIDS="$PIDS $!"
for pid in $clients; do wait "$pid" || :; done
sleep 0.5
if kill -0 "$front" 2>/dev/null; then
	note "held: the front still runs"
	finish 0
fi
cp "$DIR/front-a.log" "$HERE/front.log"
note "broken: the front has ended by itself"
finish 1
