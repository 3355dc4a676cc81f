/*
 * Rule LOST: around a SIGTERM, a front machine takes requests from kept
 * connections, passes them on to servers, and ends the connections without a
 * complete answer.
 *
 * TROUBLE=1: the machine gets SIGTERM LEAD_S before the requests are sent.
 * TROUBLE=0: no signal.
 */
#include "harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define EACH 4 /* requests of each kind */
/* From SIGTERM to the requests. */
#define LEAD_S 3.2
/* Streams: the first event comes after a wait in the engine's queue. */
#define EVENTS 20
#define FIRST_S 4.2
#define EVENT_S 0.04
/* A once-only call, with its wait for a slot; its deadline is 5 s. */
#define WORK_S 4.8
/* Of the rule: a request counts if it was sent later than EXCUSED_S after the
 * SIGTERM and ends within GRACE_S + 1 s of it, before its own deadline. */
#define EXCUSED_S 3.0
#define GRACE_S 8.0

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r-hvz3pfi\",\"host\":\"ficu95.example\","
	"\"path_prefix\":\"/pufi791/\",\"kind\":\"streaming\","
	"\"timeout_ms\":6000,\"target_latency_ms\":1500,\"priority\":0,"
	"\"service\":\"huvo11a\",\"max_attempts\":1,\"public\":false,"
	"\"sticky\":true,\"resumable\":false,\"target_gap_ms\":180},"
	"{\"name\":\"r-issue\",\"host\":\"ficu95.example\","
	"\"path_prefix\":\"/pule252/\",\"kind\":\"non_idempotent\","
	"\"timeout_ms\":6000,\"target_latency_ms\":300,\"priority\":2,"
	"\"service\":\"wuno96b\",\"max_attempts\":1,\"public\":false,"
	"\"sticky\":false}],"
	"\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/healthz\","
	"\"max_conns\":232,\"protocol\":\"h1\",\"tls\":false,"
	"\"engine\":{\"slots\":24,\"kv_capacity_tokens\":34215,"
	"\"kv_token_bytes\":35136,\"link_mbps\":5100.0,\"moves\":true,"
	"\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,"
	"\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
	"{\"name\":\"wuno96b\",\"health_path\":\"/healthz\","
	"\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"huka270\","
	"\"api_keys\":[\"xd9dnn2ctnfzs989anu6\"],\"priority\":1}]}";

static double term_s;	  /* time of SIGTERM; 0: none */
static bool quick = true; /* the first requests, which only open connections */
static unsigned int lost, incomplete;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

struct client {
	int fd;
	bool stream;
	bool passed_on; /* a server has it */
	char id[32];
	double sent_s;
	pthread_t thread;
};

static struct client clients[2 * EACH];

static void note_passed_on(const char *id)
{
	pthread_mutex_lock(&lock);
	for (int i = 0; i < 2 * EACH; i++)
		if (!strcmp(clients[i].id, id))
			clients[i].passed_on = true;
	pthread_mutex_unlock(&lock);
}

static void handle_stream(struct rv_request *r)
{
	note_passed_on(r->id);
	rv_record("server %s runs %s (stream)", rv_server_id(r->server), r->id);
	if (!quick)
		rv_sleep(FIRST_S);
	bool here = rv_stream_begin(r);
	for (int i = 1; here && i <= (quick ? 1 : EVENTS); i++) {
		rv_sleep(quick ? 0 : EVENT_S);
		here = rv_stream_event(r, i, "piece");
	}
	here = here && rv_stream_end(r);
	rv_record("server %s: %s %s", rv_server_id(r->server), r->id,
		  here ? "is complete"
		       : "was at work when the system closed the connection");
}

static void handle_call(struct rv_request *r)
{
	note_passed_on(r->id);
	rv_record("server %s runs %s (once-only call)", rv_server_id(r->server),
		  r->id);
	if (!quick)
		rv_sleep(WORK_S);
	rv_answer(r, 200, "issued");
	rv_record("server %s has answered %s", rv_server_id(r->server), r->id);
}

static bool send_request(struct client *c)
{
	char text[1024];
	int n = snprintf(text, sizeof(text),
			 "POST %s HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "X-Request-Id: %s\r\nX-Key: xd9dnn2ctnfzs989anu6\r\n%s"
			 "Content-Length: 2\r\n\r\n{}",
			 c->stream ? "/pufi791/2f" : "/pule252/2f", c->id,
			 c->stream
				 ? "X-Model: m\r\nX-Token-Counts: 1460,80\r\n"
				   "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,"
				   "e4402b7d:250\r\nX-Deadline-Ms: 6000\r\n"
				 : "X-Deadline-Ms: 5000\r\n");

	c->sent_s = rv_now();
	return rv_send(c->fd, text, (size_t)n);
}

static void *wait_for_answer(void *arg)
{
	struct client *c = arg;
	struct rv_answer a;

	rv_read_answer(c->fd, 12, &a);
	double end_s = rv_now();
	rv_record("client: %s got status %d, %zu bytes, %s; %.2f s after it "
		  "was sent%s",
		  c->id, a.status, a.len, a.end, end_s - c->sent_s,
		  a.complete ? "" : ": NO COMPLETE ANSWER");
	/* Refusals are complete answers, too. */
	double deadline_s = c->stream ? 6.0 : 5.0;
	pthread_mutex_lock(&lock);
	incomplete += !a.complete;
	lost += !a.complete && c->passed_on && term_s > 0 &&
		c->sent_s - term_s > EXCUSED_S &&
		end_s - term_s <= GRACE_S + 1 && end_s - c->sent_s < deadline_s;
	pthread_mutex_unlock(&lock);
	rv_answer_free(&a);
	return NULL;
}

/* Opens a connection and has one short request answered on it. */
static bool open_kept(struct client *c)
{
	struct rv_answer a;

	c->fd = rv_connect(11, RV_FRONT_PORT);
	if (c->fd < 0 || !send_request(c))
		return false;
	rv_read_answer(c->fd, 5, &a);
	bool ok = a.status == 200 && a.complete;
	rv_answer_free(&a);
	if (!ok)
		close(c->fd);
	return ok;
}

static bool both_served(void *arg)
{
	struct client s = {.stream = true, .id = "warm-stream"};
	struct client c = {.id = "warm-call"};

	(void)arg;
	if (!open_kept(&s))
		return false;
	close(s.fd);
	if (!open_kept(&c))
		return false;
	close(c.fd);
	return true;
}

int main(int argc, char **argv)
{
	rv_begin(argc > 1 ? argv[1] : "review/5");
	rv_start_all(2, config);
	rv_serve("i-7f3a91c2", "huvo11a", 21, 24, handle_stream);
	rv_serve("i-02d9e6b4", "wuno96b", 22, 6, handle_call);
	rv_until(20, "served requests", both_served, NULL);
	for (int i = 0; i < 2 * EACH; i++) {
		struct client *c = &clients[i];
		c->stream = i < EACH;
		snprintf(c->id, sizeof(c->id), "first-%d", i);
		if (!open_kept(c))
			rv_fail("no first answer on connection %d", i);
		snprintf(c->id, sizeof(c->id), "%s-%d",
			 c->stream ? "stream" : "call", i);
	}
	quick = false;
	if (rv_trouble) {
		rv_signal(11, SIGTERM);
		term_s = rv_now();
	}
	rv_sleep(LEAD_S);
	for (int i = 0; i < 2 * EACH; i++) {
		bool sent = send_request(&clients[i]);
		rv_record("client %s %s on a kept connection, %.2f s after "
			  "the time of SIGTERM",
			  sent ? "sends" : "could not send", clients[i].id,
			  rv_trouble ? clients[i].sent_s - term_s : -1.0);
	}
	for (int i = 0; i < 2 * EACH; i++)
		pthread_create(&clients[i].thread, NULL, wait_for_answer,
			       &clients[i]);
	for (int i = 0; i < 2 * EACH; i++)
		pthread_join(clients[i].thread, NULL);
	if (rv_trouble) {
		rv_wait(11, 3);
		rv_record("%.2f s after SIGTERM", rv_now() - term_s);
	}
	rv_record("%u of %d requests were passed on and ended without a "
		  "complete answer, not excused",
		  lost, 2 * EACH);
	if (!rv_trouble && incomplete)
		rv_fail("%u requests without an answer in a calm run",
			incomplete);
	rv_end(lost ? RV_BROKEN : RV_HELD);
}
