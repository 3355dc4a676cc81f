/* Generated from flags.schema by gen_flags.awk. */
/* FLAG(field, name, type, default, argument, description) */
FLAG_STRING(role, "role", "entry", "ROLE",
	    "role of the process: entry or control")
FLAG_STRING(host, "host", "", "NAME", "name of this host, unique in the fleet")
FLAG_STRING(dc, "dc", "", "NAME", "data centre of this host")
FLAG_STRING(listen, "listen", "127.0.0.1:8080", "IP:PORT",
	    "address for callers and endpoints (entry)")
FLAG_STRING(ready_listen, "ready-listen", "", "IP:PORT",
	    "address that a balancer asks whether this host is ready (entry "
	    "with another interface)")
FLAG_STRING(peer_listen, "peer-listen", "127.0.0.1:7000", "IP:PORT",
	    "address for other mustardwall processes")
FLAG_STRING(admin_listen, "admin-listen", "127.0.0.1:7070", "IP:PORT",
	    "address for operators")
FLAG_LIST(control, "control", "", "DC/HOST/VOTER/IP:PORT,...",
	  "control processes: data centre, host name, voter id and peer "
	  "address; /IP:PORT behind it is dialled instead")
FLAG_LIST(seeds, "seeds", "", "IP:PORT,...",
	  "peer addresses of some control processes, instead of --control: the "
	  "others are found through them")
FLAG_INT(tolerate, "tolerate", 1, "N",
	 "losses of control hosts to withstand, with --seeds; the group has "
	 "2N+1 voters")
FLAG_INT(repeat_percent, "repeat-percent", 20, "N",
	 "repeats that all entry hosts may send to one service, in percent of "
	 "its requests (another interface)")
FLAG_INT(repeat_spare, "repeat-spare", 40, "N",
	 "repeats that all entry hosts may send to one service within ten "
	 "seconds besides (another interface)")
FLAG_INT(cold_overshoot_percent, "cold-overshoot-percent", 150, "N",
	 "requests that all entry hosts together may send to a cold endpoint "
	 "in one second, in percent of its service's cold_per_s (another "
	 "interface)")
FLAG_INT(cold_slack, "cold-slack", 5, "N",
	 "requests that they may send to it in one second besides (another "
	 "interface)")
FLAG_INT(account_shares, "account-shares", 1, "0 or 1",
	 "whether client accounts share the room for generations while it is "
	 "short; 0: by arrival only (another interface)")
FLAG_FLAG(open_cluster, "open-cluster", 0, "",
	  "accept other processes without a shared key; for networks that "
	  "nobody else can reach")
FLAG_LIST(dc_regions, "dc-regions", "", "DC=REGION,...",
	  "region of each data centre; endpoints of one that is not listed are "
	  "in no known region")
FLAG_LIST(peers, "peers", "", "HOST/IP:PORT,...",
	  "further entry processes of this data centre that may act as hub")
FLAG_STRING(
	cluster_key_file, "cluster-key-file", "", "FILE",
	"file with the 32-byte key shared by all processes, as 64 hex digits")
FLAG_STRING(endpoint_key_file, "endpoint-key-file", "", "FILE",
	    "file with the key that endpoints present when they announce "
	    "themselves")
FLAG_STRING(data, "data", "", "DIR",
	    "folder for durable state (control) and the time line")
FLAG_INT(voter, "voter", 0, "ID", "voter id of this control process, above 0")
FLAG_FLAG(bootstrap, "bootstrap", 0, "",
	  "start a new replicated log with the voters of --control")
FLAG_STRING(operator_key_file, "operator-key-file", "", "FILE",
	    "at bootstrap: file with the first operator's key")
FLAG_INT(drain_timeout_ms, "drain-timeout-ms", 300000, "MS",
	 "longest wait for open requests at a graceful shutdown")
FLAG_INT(max_requests, "max-requests", 20000, "N", "open requests at most")
FLAG_INT(max_body, "max-body", 1048576, "BYTES",
	 "size of a request body at most")
FLAG_INT(stream_buffer, "stream-buffer", 65536, "BYTES",
	 "bytes buffered for a slow reader before its stream is paused")
FLAG_INT(memory_limit_mb, "memory-limit-mb", 0, "MB",
	 "memory of this process's machine, of which callers may take five "
	 "eighths; 0: none stated, then they may take 640 MB")
FLAG_INT(max_fds, "max-fds", 0, "N",
	 "file descriptors of this process at most; 200 of them are kept from "
	 "callers' connections; 0: no limit")
FLAG_INT(log_level, "log-level", 6, "LEVEL",
	 "least severe syslog level that is written (3 to 7)")
FLAG_INT(seed, "seed", 0, "N", "seed for random numbers, 0: from the system")
FLAG_STRING(policy, "policy", "mustardwall", "NAME",
	    "decision set: mustardwall, round-robin or least-outstanding "
	    "(baselines for measurements)")
