# An endpoint stalls in the middle of a stream, and sends no more.  Guards
# against streams without end, also of callers that have resumed at another
# host, and against the end of a slow one before its deadline.
NET=70
. tests/scripts/lib.sh
start_fleet
echo '{"routes/write-up": {"deadline_ms": 6000}}' >"$DIR/deadline.json"
mw --id=deadline tree apply "$DIR/deadline.json" >/dev/null
start_endpoint ep1 1 9001 --out-median=4000
wait_for 20 endpoint_serving ep1 1

stream() {
	"$B/mw-caller" --key-file="$DIR/caller.key" --model=write-up \
		--prompt="Stove F13 smokes" --max-tokens="$1" --tries="$2" \
		--entries=127.0.$NET.1:$CALL_PORT,127.0.$NET.2:$CALL_PORT
}
stall() {
	curl -sf -o /dev/null -d "{\"fault\":\"stall\",\"ms\":$1}" \
		"http://127.0.$NET.1:9001/fault"
}
end_of() {
	sed -n 's/.*status=\(.*\) kind=\([a-z_]*\).*/\1 \2/p' "$1"
}

echo "== slow but sound: a pause of three seconds"
stream 60 1 >"$DIR/slow" &
s=$!
wait_for 20 grep -q ':10 ' "$DIR/slow"
stall 3000
wait $s
end_of "$DIR/slow"

echo "== stalled, resumed at another host"
stream 4000 3 >"$DIR/stalled" &
s=$!
wait_for 20 grep -q ':10 ' "$DIR/stalled"
kill -9 "$(pid entry1)"
sleep 1
stall 60000
start=$(now_us)
( sleep 30; kill $s 2>/dev/null ) &
echo "watch $!" >>"$PIDS"
wait $s
[ $(($(now_us) - start)) -lt 20000000 ] && echo "ended"
