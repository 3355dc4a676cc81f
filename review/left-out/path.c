/*
 * Rule UNASKED: a server runs a request with another path than the client sent.
 *
 * TROUBLE=1: clients send paths with dot segments, and with bytes above 0x7f.
 * TROUBLE=0: the same requests with paths that have neither.
 */
#include "harness.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char config[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"r-lookup\",\"host\":\"ficu95.example\","
	"\"path_prefix\":\"/puxa403/\",\"kind\":\"idempotent\","
	"\"timeout_ms\":2500,\"target_latency_ms\":300,\"priority\":2,"
	"\"service\":\"wuno96b\",\"max_attempts\":2,\"public\":false,"
	"\"sticky\":false},"
	"{\"name\":\"r-issue\",\"host\":\"ficu95.example\","
	"\"path_prefix\":\"/pule252/\",\"kind\":\"non_idempotent\","
	"\"timeout_ms\":2500,\"target_latency_ms\":300,\"priority\":2,"
	"\"service\":\"wuno96b\",\"max_attempts\":1,\"public\":false,"
	"\"sticky\":false},"
	"{\"name\":\"r-open\",\"host\":\"ficu95.example\","
	"\"path_prefix\":\"/veha118/\",\"kind\":\"idempotent\","
	"\"timeout_ms\":2500,\"target_latency_ms\":300,\"priority\":2,"
	"\"service\":\"wuno96b\",\"max_attempts\":2,\"public\":true,"
	"\"sticky\":false}],"
	"\"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/healthz\","
	"\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"huka270\","
	"\"api_keys\":[\"xd9dnn2ctnfzs989anu6\"],\"priority\":1}]}";

#define KEY "X-Key: xd9dnn2ctnfzs989anu6\r\n"

static const struct {
	const char *method, *trouble, *calm, *key;
} requests[] = {
	{"GET", "/puxa403/2f/../91", "/puxa403/2f/91", KEY},
	{"GET", "/puxa403/./2f", "/puxa403/2f", KEY},
	{"GET", "/puxa403/..", "/puxa403/", KEY},
	{"GET", "/puxa403/caf\xe9", "/puxa403/cafe", KEY},
	{"POST", "/pule252/2f/./7", "/pule252/2f/7", KEY},
	/* On a public route, so without a key. */
	{"GET", "/veha118/../puxa403/2f", "/veha118/puxa403/2f", ""},
	{"POST", "/veha118/../pule252/2f", "/veha118/pule252/2f", ""},
};
#define N (sizeof(requests) / sizeof(requests[0]))

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned int changed, runs;

static const char *sent_target(size_t i)
{
	return rv_trouble ? requests[i].trouble : requests[i].calm;
}

static void handle(struct rv_request *r)
{
	unsigned int round, i;
	size_t n;

	if (sscanf(r->id, "9c41d%04x%04x", &round, &i) == 2 && i < N) {
		const char *tenant = rv_header(r->head, "X-Tenant", &n);
		bool same = !strcmp(r->target, sent_target(i)) &&
			    !strcmp(r->method, requests[i].method);
		rv_record("server %s runs %s: %s %s, X-Tenant %.*s: %s",
			  rv_server_id(r->server), r->id, r->method, r->target,
			  tenant ? (int)n : 4, tenant ? tenant : "none",
			  same ? "as sent" : "CHANGED");
		pthread_mutex_lock(&lock);
		runs++;
		changed += !same;
		pthread_mutex_unlock(&lock);
	}
	rv_answer(r, 200, "done");
}

static int ask(const char *method, const char *target, const char *key,
	       const char *id)
{
	char text[1024];
	struct rv_answer a;
	int fd = rv_connect(11, RV_FRONT_PORT);
	int n = snprintf(text, sizeof(text),
			 "%s %s HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "X-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\n%s"
			 "Content-Length: 0\r\n\r\n",
			 method, target, id, key);

	if (fd < 0 || !rv_send(fd, text, (size_t)n))
		return 0;
	rv_read_answer(fd, 4, &a);
	close(fd);
	rv_answer_free(&a);
	return a.status;
}

static bool served(void *arg)
{
	(void)arg;
	return ask("GET", "/puxa403/0", KEY, "00000000warm") == 200;
}

int main(int argc, char **argv)
{
	char id[64];
	unsigned int answered = 0;

	rv_begin(argc > 1 ? argv[1] : "review/left-out");
	rv_start_all(1, config);
	rv_serve("i-7f3a91c2", "wuno96b", 21, 6, handle);
	rv_serve("i-02d9e6b4", "wuno96b", 22, 6, handle);
	rv_until(20, "a served request", served, NULL);
	for (unsigned int round = 0; round < 3; round++)
		for (unsigned int i = 0; i < N; i++) {
			snprintf(id, sizeof(id), "9c41d%04x%04x", round, i);
			rv_record("client sends %s: %s %s, %s", id,
				  requests[i].method, sent_target(i),
				  *requests[i].key ? "with its key"
						   : "without a key");
			int status = ask(requests[i].method, sent_target(i),
					 requests[i].key, id);
			rv_record("client gets %d for %s", status, id);
			answered += status == 200;
		}
	rv_record("%u answered with 200, %u runs, %u with another path",
		  answered, runs, changed);
	if (!rv_trouble && answered != 3 * N)
		rv_fail("not all calm requests were served");
	rv_end(changed ? RV_BROKEN : RV_HELD);
}
