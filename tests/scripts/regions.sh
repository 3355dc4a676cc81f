# Requests with allowed_regions stay in these regions on each path.  Guards
# against a body that leaves them by selection, retry, spill, a resume at
# another host or the ledger of once-only calls.
NET=133
. tests/scripts/lib.sh
start_fleet
start_endpoint ep2 2 9001 --out-median=4000
start_service svc1 1 9101
start_service svc2 1 9102
wait_for 20 endpoint_serving ep2 2
wait_for 20 endpoint_serving svc1 1
wait_for 20 endpoint_serving svc2 1
mw tree set dcs/dc1 region north >/dev/null
mw tree set dcs/dc2 region south >/dev/null
mw tree set dcs/dc3 region north >/dev/null

allow() {
	mw tree set accounts/west/acme allowed_regions "$1" >/dev/null
}
write_up() {
	caller "$1" --model=write-up --prompt="F12" --max-tokens=20 --tries=1 |
		outcome
}
schedule() {
	caller "$1" --path=/svc/schedule/today --method=GET --tries=1 | outcome
}
fault() {
	curl -sf -o /dev/null -d "$2" "http://127.0.$NET.1:$1/fault"
}
# Status and bytes of the answer to a once-only call at entry host 1.
once() {
	curl -s -m 8 -o /dev/null -w '%{http_code} %{size_download}' -d '{"van":1}' -H "Idempotency-Key: $1" \
		-H "Authorization: Bearer $(cat "$DIR/caller.key")" \
		"http://127.0.$NET.1:$CALL_PORT/svc/booking/x"
}
busy() {
	curl -sf "http://127.0.$NET.1:$1/v1/health" | grep -q '"running":1'
}
served() {
	write_up "$1" | grep 'status=200'
}

echo "== spill"
move_leader_off 3
wait_for 20 served 3 && echo "without a list it is served by dc2"
allow '["north"]'
write_up 3
allow '["north","south"]'
wait_for 20 served 3 && echo "with its region it is served again"

echo "== resume at a host that does not know the endpoint's data centre"
"$B/mw-caller" --key-file="$DIR/caller.key" --model=write-up --prompt="F13" \
	--max-tokens=400 --tries=2 \
	--entries=127.0.$NET.3:$CALL_PORT,127.0.$NET.1:$CALL_PORT \
	>"$DIR/stream" &
s=$!
wait_for 20 grep -q ':30 ' "$DIR/stream"
kill -9 "$(pid entry3)"
wait $s
sed -n 's/.*kind=\([a-z_]*\).*/\1/p' "$DIR/stream"
start_entry 3
wait_for 30 ready 3

echo "== a host outside the regions, and one without a region"
allow '["south"]'
write_up 2
write_up 1
schedule 1
mw tree set dcs/dc2 region '' >/dev/null
write_up 2
mw tree set dcs/dc2 region south >/dev/null

echo "== route and account have no region in common"
mw tree set routes/write-up allowed_regions '["north"]' >/dev/null
write_up 2
mw tree set routes/write-up allowed_regions '[]' >/dev/null
write_up 2

echo "== retry after the list has changed"
allow '[]'
schedule 1
for p in 9101 9102; do
	fault $p '{"fault":"delay","ms":5000}'
done
schedule 1 >"$DIR/retried" &
c=$!
until busy 9101 || busy 9102; do sleep 0.1; done
first=svc2
if busy 9101; then first=svc1; fi
allow '["south"]'
for p in 9101 9102; do
	fault $p '{"fault":"delay","ms":0}'
done
kill -9 "$(pid $first)"
wait $c
cat "$DIR/retried"

echo "== ledger"
start_service $first 1 $([ $first = svc1 ] && echo 9101 || echo 9102)
wait_for 20 endpoint_serving $first 1
allow '[]'
echo "without a list: $(once free), again: $(once free)"
allow '["north"]'
echo "with a list: $(once bound), again: $(once bound)"
