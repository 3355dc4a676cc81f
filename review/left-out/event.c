/*
 * Rule LOST (at any time): a machine passes requests from kept connections on
 * to a sound server and closes the connections without an answer.
 *
 * TROUBLE=1: the streams hold one event of EVENT_BYTES.
 * TROUBLE=0: the same number of bytes in events of CALM_BYTES.
 */
#include "harness.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 6
#define EVENT_BYTES 80000
#define CALM_BYTES 8000

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r-hvz3pfi\",\"host\":\"ficu95.example\","
	"\"path_prefix\":\"/pufi791/\",\"kind\":\"streaming\","
	"\"timeout_ms\":6000,\"target_latency_ms\":1500,\"priority\":0,"
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

static bool warm = true;

static void handle(struct rv_request *r)
{
	size_t bytes = warm ? 8 : rv_trouble ? EVENT_BYTES : CALM_BYTES;
	int events = warm || rv_trouble ? 1 : EVENT_BYTES / CALM_BYTES;
	char *data = malloc(bytes + 1);

	memset(data, 'x', bytes);
	data[bytes] = '\0';
	rv_record("server runs %s: %d events of %zu bytes", r->id, events,
		  bytes);
	bool sent = rv_stream_begin(r);
	for (int i = 1; sent && i <= events; i++)
		sent = rv_stream_event(r, i, data);
	sent = sent && rv_stream_end(r);
	rv_record("server has sent %s %s", r->id,
		  sent ? "to its end" : "not to its end");
	free(data);
}

static bool ask(int fd, const char *id, struct rv_answer *a)
{
	char text[1024];
	int n = snprintf(text, sizeof(text),
			 "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "X-Request-Id: %s\r\nX-Key: xd9dnn2ctnfzs989anu6\r\n"
			 "X-Model: m\r\nX-Token-Counts: 1460,80\r\n"
			 "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,%s:250\r\n"
			 "X-Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\n{}",
			 id, id);

	if (fd < 0 || !rv_send(fd, text, (size_t)n))
		return false;
	rv_read_answer(fd, 8, a);
	return true;
}

static bool served(void *arg)
{
	struct rv_answer a;
	int fd = rv_connect(11, RV_FRONT_PORT);
	bool ok = ask(fd, "ffff", &a);

	(void)arg;
	if (fd >= 0)
		close(fd);
	if (!ok)
		return false;
	ok = a.status == 200 && a.complete;
	rv_answer_free(&a);
	return ok;
}

static unsigned int without_answer;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void *client(void *arg)
{
	int i = (int)(intptr_t)arg;
	char id[32];
	struct rv_answer a;

	snprintf(id, sizeof(id), "e44%02d", i);
	int fd = rv_connect(11, RV_FRONT_PORT);
	/* A short request first: the connection is a kept one. */
	if (!ask(fd, "fffe", &a) || !a.complete)
		rv_fail("no first answer");
	rv_answer_free(&a);
	while (warm)
		rv_sleep(0.01);
	double start = rv_now();
	rv_record("client sends %s on a kept connection", id);
	if (!ask(fd, id, &a))
		rv_fail("cannot send");
	close(fd);
	rv_record("client: %s got status %d and %zu bytes of the stream, %s, "
		  "after %.2f s",
		  id, a.status, a.len, a.end, rv_now() - start);
	if (!a.complete && !a.len) {
		pthread_mutex_lock(&lock);
		without_answer++;
		pthread_mutex_unlock(&lock);
	}
	rv_answer_free(&a);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t t[CLIENTS];

	rv_begin(argc > 1 ? argv[1] : "review/left-out");
	rv_start_all(1, config);
	rv_serve("i-7f3a91c2", "huvo11a", 21, 24, handle);
	rv_until(20, "a served stream", served, NULL);
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&t[i], NULL, client, (void *)(intptr_t)i);
	rv_sleep(1);
	warm = false;
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(t[i], NULL);
	rv_record("%u of %d streams were closed without an event",
		  without_answer, CLIENTS);
	rv_end(without_answer > 3 ? RV_BROKEN : RV_HELD);
}
