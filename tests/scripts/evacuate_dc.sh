# The tool evacuates a data centre of the product's own entry hosts.  Guards
# against hosts that go on sending there, and against a status that hides it.
NET=106
. tests/scripts/lib.sh
start_fleet
start_endpoint ep1 1 9001
start_service svc1 1 9101
wait_for 20 endpoint_serving ep1 1
wait_for 20 endpoint_serving svc1 1
ask() {
	caller 1 --model=lookup --prompt="F12" --max-tokens=3 --tries=1 \
		--no-stream | outcome
}
call() {
	curl -s -m 5 -o /dev/null -w '%{http_code}\n' -d x \
		-H "Authorization: Bearer $(cat "$DIR/caller.key")" \
		"http://127.0.$NET.1:$CALL_PORT/svc/schedule/x"
}
mw tree set ranks/urgent queue_max_age_ms 500 >/dev/null

ask
call
mw evacuate dc7 2>&1
mw evacuate dc1
mw evacuate dc1
ask
call
mw status | sed -n 's/.*\(data centre dc1 is evacuated by order of [a-z]*\).*/\1/p'
mw timeline --kind=evacuation |
	sed -n 's/.*\(dc1 is evacuated by order of admin\).*/timeline: \1/p' | sort -u
mw evacuate dc1 --end
ask
call
mw status | grep -c 'is evacuated' || :

echo "== nothing can be borrowed: refused at once, not after 30 s"
mw tree set ranks/normal queue_max_age_ms 30000 >/dev/null
mw tree set dcs/dc1 spill_bytes_per_s 0 >/dev/null
mw evacuate dc1
begun=$(date +%s)
caller 1 --model=write-up --prompt="F12" --max-tokens=3 --tries=1 \
	--no-stream | outcome
[ $(($(date +%s) - begun)) -lt 5 ] && echo "at once"

echo "== another data centre might lend, and does not: 3 s"
mw tree set dcs/dc1 spill_bytes_per_s 65536 >/dev/null
begun=$(date +%s)
caller 1 --model=write-up --prompt="F12" --max-tokens=3 --tries=1 \
	--no-stream | outcome
[ $(($(date +%s) - begun)) -lt 15 ] && echo "in time"

echo "== all are evacuated: refused at once"
mw evacuate dc2
mw evacuate dc3
begun=$(date +%s)
caller 1 --model=write-up --prompt="F12" --max-tokens=3 --tries=1 \
	--no-stream | outcome
[ $(($(date +%s) - begun)) -lt 3 ] && echo "at once"
