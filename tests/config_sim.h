#ifndef TESTS_CONFIG_SIM_H
#define TESTS_CONFIG_SIM_H

/*
 * Randomised test of the configuration: reports of violations, clocks, the
 * event queue, the network with its faults, and the list of committed entries
 * that replaces the replicated log.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <glib.h>

#include "base/clock.h"
#include "base/err.h"
#include "control/change.h"
#include "control/hub.h"
#include "control/hub_order.h"
#include "control/lease.h"
#include "entry/hostcfg.h"
#include "state/sm.h"

#define SEC USEC_PER_SEC
#define MSEC USEC_PER_MSEC
#define NDC 3
#define CONTROLS_MAX 5
#define HOSTS_MAX 16
#define NODES_MAX (CONTROLS_MAX + HOSTS_MAX)
#define ACCOUNTS 3

static uint64_t sim_seed, sim_hash;
static int64_t sim_now; /* real time, us; nodes read it through local() */
static GRand *rnd;
static int sim_verbose;

static void violated(const char *fmt, ...)
	__attribute__((noreturn, format(printf, 1, 2)));

static void violated(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	printf("seed %" PRIu64 ": t=%.6f: violated: ", sim_seed,
	       (double)sim_now / 1e6);
	vprintf(fmt, ap);
	printf("\n");
	fflush(stdout);
	va_end(ap);
	_exit(1);
}

/* Adds to the hash of the trace, by which runs of one seed are compared. */
static void trace(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void trace(const char *fmt, ...)
{
	char line[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	for (const char *p = line; *p; p++)
		sim_hash = (sim_hash ^ (uint8_t)*p) * UINT64_C(0x100000001b3);
	sim_hash = (sim_hash ^ (uint64_t)sim_now) * UINT64_C(0x100000001b3);
	if (sim_verbose)
		printf("%10.4f %s\n", (double)sim_now / 1e6, line);
}

static int64_t random_between(int64_t lo, int64_t hi)
{
	return lo + (int64_t)(g_rand_double(rnd) * (double)(hi - lo));
}

static bool chance(double p)
{
	return g_rand_double(rnd) < p;
}

static int pick(int n)
{
	return g_rand_int_range(rnd, 0, n);
}

/* ---- nodes ---- */

struct node {
	char name[16], dc[8];
	bool alive;
	uint32_t boot;	 /* incremented by each start and stop */
	int64_t base_us; /* local time = base_us + rate * sim_now */
	double rate;
	int64_t paused_until; /* real time */
};

static struct node nodes[NODES_MAX];
static int n_controls, n_hosts;
static bool link_cut[NODES_MAX][NODES_MAX]; /* [from][to] */
/* Probabilities per frame: lost, sent twice, delayed by seconds. */
static double loss_rate, duplicate_rate, slow_rate;

/* Time by the clock of node n, us. */
static int64_t local(int n)
{
	return nodes[n].base_us + (int64_t)(nodes[n].rate * (double)sim_now);
}

static int node_count(void)
{
	return n_controls + n_hosts;
}

/* ---- event queue ---- */

/* run_until() depends on the order. */
enum ev_kind {
	EV_MSG,
	EV_RENEW, /* first of the timers of hosts, which end at EV_TIMEOUT */
	EV_REPORT,
	EV_REQUESTS, /* checks which requests the host admits */
	EV_TIMEOUT,  /* of a call of a host; arg: id of the call */
	EV_CTL,	     /* timer of a control process */
	EV_COMMIT,   /* arg: id of the proposal */
	EV_FAULT,
	EV_OPERATOR
};

struct ev {
	int64_t t;
	uint64_t seq;
	enum ev_kind kind;
	int from, to;
	uint32_t boot; /* of the receiver at sending; replies and timers */
	uint64_t call; /* id of the call sent or answered, 0: none */
	bool reply;
	uint64_t arg;
	GBytes *frame;
};

static GArray *heap;
static uint64_t ev_seq;

static bool ev_before(const struct ev *a, const struct ev *b)
{
	return a->t < b->t || (a->t == b->t && a->seq < b->seq);
}

static void ev_push(struct ev e)
{
	struct ev *h;
	guint i = heap->len;

	e.seq = ++ev_seq;
	g_array_append_val(heap, e);
	h = (struct ev *)(void *)heap->data;
	for (; i && ev_before(&e, &h[(i - 1) / 2]); i = (i - 1) / 2)
		h[i] = h[(i - 1) / 2];
	h[i] = e;
}

static struct ev ev_pop(void)
{
	struct ev *h = (struct ev *)(void *)heap->data;
	struct ev top = h[0], e = h[heap->len - 1];
	guint n = heap->len - 1, i = 0, c;

	g_array_set_size(heap, n);
	while ((c = 2 * i + 1) < n) {
		if (c + 1 < n && ev_before(&h[c + 1], &h[c]))
			c++;
		if (!ev_before(&h[c], &e))
			break;
		h[i] = h[c];
		i = c;
	}
	if (n)
		h[i] = e;
	return top;
}

/* local_delay: us by the node's clock. */
static void start_timer(enum ev_kind kind, int node, int64_t local_delay,
			uint64_t arg)
{
	ev_push((struct ev){.t = sim_now + (int64_t)((double)local_delay /
						     nodes[node].rate),
			    .kind = kind,
			    .to = node,
			    .boot = nodes[node].boot,
			    .arg = arg});
}

/* ---- network ---- */

static bool linked(int a, int b)
{
	return nodes[a].alive && nodes[b].alive && !link_cut[a][b] &&
	       !link_cut[b][a];
}

static int64_t net_delay(void)
{
	return chance(slow_rate) ? random_between(MSEC, 4 * SEC)
				 : random_between(MSEC, 15 * MSEC);
}

/*
 * Sends a frame.  A frame on a cut link is lost or, as with TCP, arrives up to
 * 10 s later if the link works again by then.
 */
static void send_frame(int from, int to, const Mw__Frame *f, uint64_t call,
		       bool reply)
{
	size_t len = mw__frame__get_packed_size(f);
	uint8_t *data = g_malloc(len + 1);

	mw__frame__pack(f, data);
	struct ev e = {.t = sim_now + net_delay(),
		       .kind = EV_MSG,
		       .from = from,
		       .to = to,
		       .boot = nodes[to].boot,
		       .call = call,
		       .reply = reply,
		       .frame = g_bytes_new_take(data, len)};
	if (link_cut[from][to] && chance(0.5))
		e.t += random_between(0, 10 * SEC);
	if (chance(loss_rate))
		g_bytes_unref(e.frame);
	else
		ev_push(e);
	if (chance(duplicate_rate)) {
		e.t += chance(0.3) ? random_between(0, 4 * SEC) : net_delay();
		uint8_t *copy = g_malloc(len + 1);
		mw__frame__pack(f, copy);
		e.frame = g_bytes_new_take(copy, len);
		ev_push(e);
	}
}

/* ---- committed entries ---- */

struct entry_rec {
	uint64_t term;
	uint8_t *data;
	size_t len;
};

struct accepted {
	struct tree *tree; /* NULL: no such version */
	int64_t at_us;	   /* real time of the commit */
	char id[32];
	uint64_t base; /* version that the change was made from */
	bool left_out[NDC];
};

static GArray *committed; /* struct entry_rec */
static struct sm *ref_sm; /* all committed entries applied */
static GArray *accepted;  /* struct accepted, indexed by version */

static struct accepted *accepted_at(uint64_t version)
{
	return version < accepted->len
		       ? &g_array_index(accepted, struct accepted, version)
		       : NULL;
}

static int dc_index(const char *dc)
{
	return dc[2] - '0';
}

static void record_accepted(const Mw__Change *c, uint64_t version)
{
	struct accepted a = {.tree = tree_ref(sm_tree(ref_sm)),
			     .at_us = sim_now,
			     .base = c->base_version};

	g_strlcpy(a.id, c->id, sizeof(a.id));
	for (size_t i = 0; i < c->n_left_out; i++)
		a.left_out[dc_index(c->left_out[i])] = true;
	for (guint i = 0; i < accepted->len; i++) {
		const struct accepted *o = accepted_at(i);
		if (o->tree && o->at_us >= 0 && o->base == a.base)
			violated("(e) %s and %s both accepted from base "
				 "%" PRIu64,
				 o->id, a.id, a.base);
		if (o->tree && !strcmp(o->id, a.id))
			violated("(e) %s accepted twice", a.id);
	}
	if (version < accepted->len)
		violated("(d) version %" PRIu64 " accepted again", version);
	g_array_set_size(accepted, (guint)version + 1);
	*accepted_at(version) = a;
	trace("accepted %s version %" PRIu64, a.id, version);
}

/* Appends a committed entry and applies it to ref_sm; takes over data. */
static void commit_entry(uint64_t term, uint8_t *data, size_t len)
{
	struct entry_rec rec = {term, data, len};
	Mw__Command *cmd = mw__command__unpack(NULL, len, data);

	g_array_append_val(committed, rec);
	Mw__Result *r = sm_apply(ref_sm, term, committed->len, data, len);
	if (cmd->body_case == MW__COMMAND__BODY_CHANGE && r->err == 0)
		record_accepted(cmd->change, r->version);
	trace("commit %u kind %d err %d", committed->len, (int)cmd->body_case,
	      r->err);
	mw__result__free_unpacked(r, NULL);
	mw__command__free_unpacked(cmd, NULL);
}

static void sim_clear(void)
{
	while (heap->len) {
		struct ev e = ev_pop();
		if (e.frame)
			g_bytes_unref(e.frame);
	}
	for (guint i = 0; i < committed->len; i++)
		g_free(g_array_index(committed, struct entry_rec, i).data);
	for (guint i = 0; i < accepted->len; i++)
		tree_unref(accepted_at(i)->tree);
	g_array_set_size(committed, 0);
	g_array_set_size(accepted, 0);
	sm_free(ref_sm);
	ref_sm = NULL;
	memset(nodes, 0, sizeof(nodes));
	memset(link_cut, 0, sizeof(link_cut));
}

#endif
