# Functions of the cases 11 to 15: a small deployment of three core machines and
# one front on loopback addresses, with the program that the deploy file names.
# A case sources this file in the root of the repository.

PROGRAM=${PROGRAM:-target/mustardwalld-platform}
STANDIN=target/review-3/standin-3
HERE=$(cd "$(dirname "$0")" && pwd)
RECORD=$HERE/record.txt
DIR=$(mktemp -d)
PIDS=

# Ends all processes that the case started.
finish() {
	trap - EXIT INT TERM
	for pid in $PIDS; do kill -9 "$pid" 2>/dev/null || :; done
	wait 2>/dev/null || :
	rm -rf "$DIR"
	exit "$1"
}
trap 'finish 2' EXIT INT TERM

cannot_run() {
	echo "cannot run: $1" | tee -a "$RECORD"
	finish 2
}

note() { echo "$*" >>"$RECORD"; }

[ -x "$PROGRAM" ] && [ -x "$STANDIN" ] || cannot_run "build first"
: >"$RECORD"

# A loopback network of its own: the ports are those of a deployment.
NET=127.$(($$ % 120 + 100)).$(($$ / 120 % 250 + 1))
CONTROLS=$NET.1:8748,$NET.2:8748,$NET.3:8748
FRONT=$NET.11:8740

# node NAME SERVES NUMBER ZONE: a process with settings as on a small site.
node() {
	if [ "$2" = control ]; then
		class=core memory=256 loss=true
	else
		class=front memory=110 loss=false
	fi
	cat >"$DIR/$1.conf" <<END
node_name=$1
role=$2
machine_class=$class
serves=$2
ip=$NET.$3
zone=$4
region=r-$4
zones.za=r-za
zones.zb=r-zb
zones.zc=r-zc
listen.front=$NET.$3:8740
listen.ready=$NET.$3:8749
listen.control=$NET.$3:8748
internal_port_range=7200,7215
seeds=$CONTROLS
bootstrap=true
counts_toward_loss=$loss
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=$memory
limits.max_fds=4096
limits.link_mbps=1000.0
data_dir=$DIR/$1.data
discovery=registry
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.drain_ms=2500
bounds.grace_s=8
bounds.config_apply_ms=2500
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=52
bounds.recover_s=12
config_mode=highest
END
	MUSTARDWALL_NODE_FILE=$DIR/$1.conf "$PROGRAM" >"$DIR/$1.log" 2>&1 &
	PIDS="$PIDS $!"
}

# server NUMBER ID SERVICE ZONE: its address is NET.NUMBER:9001.
server() {
	"$STANDIN" server "$NET.$1:9001" "$2" "$3" "$4" "$CONTROLS" \
		"$RECORD" >>"$DIR/$2.log" 2>&1 &
	PIDS="$PIDS $!"
}

# transmit ADDRESS MILLISECONDS: sends its standard input, prints the answer.
transmit() { "$STANDIN" send "$1" "$2" 2>/dev/null || :; }

# call_control METHOD PATH BODY: prints the status line of the answer.
call_control() {
	printf '%s %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
		"$1" "$2" "${#3}" "$3" >"$DIR/call"
	transmit "$NET.1:8748" 2000 <"$DIR/call" | head -n 1 | tr -d '\r'
}

# request ID METHOD PATH [LINES]: a request of tenant acme, printed.
request() {
	printf '%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Key: key-acme\r\nX-Deadline-Ms: 2500\r\n' \
		"$2" "$3" "$1"
	printf '%b\r\n' "${4:-}"
}

CONFIG='{"version":7,"routes":[{"name":"booking","host":"h.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1,"public":false,"sticky":false,"resumable":false},{"name":"read","host":"h.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"gen","health_path":"/healthz","max_conns":222,"protocol":"h1","tls":false},{"name":"desk","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"acme","api_keys":["key-acme"],"priority":1},{"name":"globex","api_keys":["key-globex"],"priority":1}]}'

# served: a read of acme is answered with a seal.
served() {
	request "warm-$1" GET "/read/warm" 'Connection: close\r\n' >"$DIR/warm"
	transmit "$FRONT" 1500 <"$DIR/warm" | grep -q '^X-Response-Seal'
}

# Starts the deployment: three core machines, a front, two servers of a service.
start_deployment() {
	node core-a control 1 za
	node core-b control 2 zb
	node core-c control 3 zc
	node front-a front 11 za
	server 31 i-desk-1 desk za
	server 32 i-desk-2 desk zb
	tries=0
	until call_control PUT /config "$CONFIG" | grep -q ' 200 '; do
		tries=$((tries + 1))
		[ $tries -lt 60 ] || cannot_run "the configuration is not accepted"
		sleep 0.3
	done
	tries=0
	until served $tries; do
		tries=$((tries + 1))
		[ $tries -lt 60 ] || cannot_run "no request is served"
		sleep 0.3
	done
	# contact_ms, from the start of the processes: all machines are in touch.
	sleep 5
	for pid in $PIDS; do
		kill -0 "$pid" 2>/dev/null || cannot_run "a process has ended"
	done
}
