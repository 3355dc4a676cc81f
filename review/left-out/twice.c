/*
 * Rule TWICE (model servers): requests go on at another server while the server
 * before still works on them 400 ms later.
 *
 * TROUBLE=1: one of two model servers announces that it leaves.
 * TROUBLE=0: it does not.
 */
#include "harness.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 6
#define EVENTS 120
#define EVENT_S 0.05
#define COPY_S 0.1
#define LIMIT_S 0.4 /* of the rule */

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r-px5pa2y\",\"host\":\"ficu95.example\","
	"\"path_prefix\":\"/lohu930/\",\"kind\":\"streaming\","
	"\"timeout_ms\":39000,\"target_latency_ms\":4000,\"priority\":2,"
	"\"service\":\"huvo11a\",\"max_attempts\":1,\"public\":false,"
	"\"sticky\":true,\"resumable\":false,\"target_gap_ms\":180}],"
	"\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/healthz\","
	"\"max_conns\":232,\"protocol\":\"h1\",\"tls\":false,"
	"\"engine\":{\"slots\":24,\"kv_capacity_tokens\":34215,"
	"\"kv_token_bytes\":35136,\"link_mbps\":5100.0,\"moves\":true,"
	"\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,"
	"\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"huka270\","
	"\"api_keys\":[\"xd9dnn2ctnfzs989anu6\"],\"priority\":1}]}";

struct run {
	char id[32];
	struct rv_server *at; /* that began it */
	int made;	      /* events made there */
	bool stopped;	      /* by an order with `last` */
	double last_made_s;   /* time of the newest event there */
	double went_on_s;     /* time at which it went on elsewhere, 0: no */
};

static struct run runs[CLIENTS];
static bool warm = true;
static unsigned int copies;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static struct run *run_of(const char *id)
{
	unsigned int i;

	return sscanf(id, "9c41d0%02x", &i) == 1 && i < CLIENTS ? &runs[i]
								: NULL;
}

/* POST /kv-move: copies the memory of a run; with `last` the run stops first.
 */
static void handle_copy_order(struct rv_request *r)
{
	char id[32] = "", text[256];
	const char *p = strstr(r->body, "\"id\":\"");
	bool last = strstr(r->body, "\"last\":true") != NULL;

	if (p)
		sscanf(p + 6, "%31[0-9a-f]", id);
	struct run *run = run_of(id);
	pthread_mutex_lock(&lock);
	bool here = run && run->at == r->server && run->made < EVENTS;
	if (here && last)
		run->stopped = true;
	unsigned int handle = ++copies;
	int made = run ? run->made : 0;
	pthread_mutex_unlock(&lock);
	rv_record("server %s: order to copy %s%s: %s", rv_server_id(r->server),
		  id, last ? " and to stop it" : "", here ? "200" : "404");
	if (here)
		rv_sleep(COPY_S);
	snprintf(text, sizeof(text), "{\"handle\":\"h%u\",\"made\":%d}", handle,
		 made);
	rv_answer(r, here ? 200 : 404, here ? text : "{}");
}

/* Some servers don't drop a request when its connection closes; these don't. */
static void generate(struct rv_request *r, struct run *run, int after,
		     bool goes_on)
{
	bool here = rv_stream_begin(r);

	for (int i = after + 1; i <= EVENTS && !run->stopped; i++) {
		rv_sleep(EVENT_S);
		bool sent = here && rv_stream_event(r, i, "piece");
		if (here && !sent)
			rv_record("server %s: the connection of %s was closed "
				  "at event %d; it works on",
				  rv_server_id(r->server), run->id, i);
		here = sent;
		if (goes_on)
			continue;
		pthread_mutex_lock(&lock);
		run->made = i;
		run->last_made_s = rv_now();
		pthread_mutex_unlock(&lock);
	}
	if (here && !run->stopped)
		rv_stream_end(r);
	rv_record("server %s: ends its work on %s", rv_server_id(r->server),
		  run->id);
}

static void handle(struct rv_request *r)
{
	size_t n;
	const char *from = rv_header(r->head, "Kv-From", &n);
	int from_len = (int)n;
	const char *last = rv_header(r->head, "Last-Event-Id", &n);
	struct run *run = run_of(r->id);

	if (!strcmp(r->target, "/kv-move")) {
		handle_copy_order(r);
	} else if (!strncmp(r->target, "/kv-handle/", 11)) {
		rv_answer(r, 200, "");
	} else if (!run || warm) {
		rv_stream_begin(r);
		rv_stream_event(r, 1, "piece");
		rv_stream_end(r);
	} else if (from) {
		rv_record("server %s: %s goes on from %.*s after event %d",
			  rv_server_id(r->server), r->id, from_len, from,
			  last ? atoi(last) : 0);
		pthread_mutex_lock(&lock);
		run->went_on_s = rv_now();
		pthread_mutex_unlock(&lock);
		generate(r, run, last ? atoi(last) : 0, true);
	} else {
		rv_record("server %s runs %s", rv_server_id(r->server), r->id);
		pthread_mutex_lock(&lock);
		snprintf(run->id, sizeof(run->id), "%.31s", r->id);
		run->at = r->server;
		pthread_mutex_unlock(&lock);
		generate(r, run, 0, false);
	}
}

static void ask(const char *id, struct rv_answer *a)
{
	char text[1024];
	int fd = rv_connect(11, RV_FRONT_PORT);
	int n = snprintf(text, sizeof(text),
			 "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "X-Request-Id: %s\r\nX-Key: xd9dnn2ctnfzs989anu6\r\n"
			 "X-Model: m\r\nX-Token-Counts: 1050,480\r\n"
			 "X-Prompt-Prefix: 5c1e07a2:800,%s:250\r\n"
			 "X-Deadline-Ms: 39000\r\nContent-Length: 2\r\n\r\n{}",
			 id, id);

	memset(a, 0, sizeof(*a));
	if (fd < 0)
		return;
	if (rv_send(fd, text, (size_t)n))
		rv_read_answer(fd, 30, a);
	close(fd);
}

static bool served(void *arg)
{
	struct rv_answer a;

	(void)arg;
	ask("ffffffff", &a);
	bool ok = a.status == 200 && a.complete;
	rv_answer_free(&a);
	return ok;
}

static void *client(void *arg)
{
	char id[32];
	struct rv_answer a;

	snprintf(id, sizeof(id), "9c41d0%02x", (int)(intptr_t)arg);
	rv_record("client sends %s", id);
	ask(id, &a);
	rv_record("client: %s got status %d and %zu bytes, %s", id, a.status,
		  a.len, a.end ? a.end : "nothing");
	rv_answer_free(&a);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t t[CLIENTS];
	unsigned int twice = 0, moved = 0;

	rv_begin(argc > 1 ? argv[1] : "review/left-out");
	rv_start_all(1, config);
	/* Both in one zone. */
	struct rv_server *a = rv_serve("i-7f3a91c2", "huvo11a", 21, 24, handle);
	rv_serve("i-02d9e6b4", "huvo11a", 24, 24, handle);
	rv_until(20, "a served stream", served, NULL);
	rv_sleep(1.5); /* both servers are known */
	warm = false;
	for (int i = 0; i < CLIENTS; i++) {
		pthread_create(&t[i], NULL, client, (void *)(intptr_t)i);
		rv_sleep(0.02);
	}
	rv_sleep(1);
	if (rv_trouble)
		rv_server_drain(a);
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(t[i], NULL);
	rv_sleep(0.5);
	for (int i = 0; i < CLIENTS; i++) {
		struct run *r = &runs[i];
		if (!r->went_on_s)
			continue;
		double s = r->last_made_s - r->went_on_s;
		moved++;
		twice += s > LIMIT_S;
		rv_record("%s: the server before made its last event %.2f s "
			  "after it went on elsewhere",
			  r->id, s);
	}
	rv_record("%u of %d streams went on elsewhere, %u of them were worked "
		  "on twice",
		  moved, CLIENTS, twice);
	if (rv_trouble && !moved)
		rv_fail("no stream was moved");
	rv_end(twice ? RV_BROKEN : RV_HELD);
}
