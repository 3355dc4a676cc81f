/*
 * Rule CONFIG: the configuration that was acknowledged can't be read back.
 *
 * TROUBLE=1: a core machine is gone for good, a new one comes 1 s later; when
 * that has had its catch_up_s, another core machine loses its disk.
 * TROUBLE=0: neither.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUCCESSOR_S 1.0 /* replace_core: "an empty one comes x s (1) later" */
#define CATCH_UP_S 4.0	/* bounds.catch_up_s */
#define MARGIN_S 0.2
#define READ_S 30.0 /* recover_s is 12, contact_ms 4,000 */

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r-lookup\",\"host\":\"ficu95.example\","
	"\"path_prefix\":\"/puxa403/\",\"kind\":\"idempotent\","
	"\"timeout_ms\":2500,\"target_latency_ms\":300,\"priority\":2,"
	"\"service\":\"wuno96b\",\"max_attempts\":2,\"public\":false,"
	"\"sticky\":false}],"
	"\"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/healthz\","
	"\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"huka270\","
	"\"api_keys\":[\"xd9dnn2ctnfzs989anu6\"],\"priority\":1}]}";

/* GET /config at a machine; returns the version, 0 without an answer of 200. */
static unsigned int read_version(int machine, int *status)
{
	unsigned int version = 0;
	char *body;

	*status = rv_call(machine, RV_CONTROL_PORT, "GET", "/config", "", NULL,
			  0, 2, &body);
	const char *p = body ? strstr(body, "\"version\":") : NULL;
	if (*status == 200 && p)
		version = (unsigned int)strtoul(p + 10, NULL, 10);
	free(body);
	return version;
}

int main(int argc, char **argv)
{
	int machines[] = {2, 3, 1};
	unsigned int version = 0;
	int status = 0, last_status[5] = {0};

	rv_begin(argc > 1 ? argv[1] : "review/1");
	if (rv_trouble)
		machines[2] = 4;
	rv_start_all(1, config);
	rv_record("version 7 is acknowledged");
	rv_sleep(3);
	if (rv_trouble) {
		/* No power: it neither answers nor resets its connections. */
		rv_record("machine 1 is gone for good");
		rv_signal(1, SIGSTOP);
		rv_sleep(SUCCESSOR_S);
		rv_record("machine 4 is its successor, with an empty disk");
		rv_start(4, false);
		rv_sleep(CATCH_UP_S + MARGIN_S);
		rv_record("machine 4 has had its catch_up_s; machine 2 loses "
			  "its disk and starts again");
		rv_signal(2, SIGKILL);
		rv_wait(2, 5);
		rv_wipe_disk(2);
		rv_start(2, false);
	}
	for (double end = rv_now() + READ_S; rv_now() < end && !version;) {
		for (int i = 0; i < 3 && !version; i++) {
			int m = machines[i];
			version = read_version(m, &status);
			if (version || last_status[m] != status)
				rv_record("operator: GET /config at machine "
					  "%d: %d, version %u",
					  m, status, version);
			last_status[m] = status;
		}
		rv_sleep(0.5);
	}
	rv_record("read back: %s", version ? "the configuration came"
					   : "the configuration doesn't come");
	rv_end(version >= 7 ? RV_HELD : RV_BROKEN);
}
