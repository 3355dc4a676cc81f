#ifndef TESTS_REP_SIM_H
#define TESTS_REP_SIM_H

/*
 * Parts of the randomised runs of test_rep_random: reports of violations, the
 * event queue and the simulated disk.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rep/rep.h"

static uint64_t sim_seed;
static uint64_t sim_event_seq;
static GArray *sim_events;
/* simulated time in us; each node reads it through its own clock */
static int64_t sim_now;

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

/* formatted in advance, as a signal handler must not do it */
static char abort_message[64];

static void on_abort(int sig)
{
	(void)sig;
	if (write(STDOUT_FILENO, abort_message, strlen(abort_message)) < 0)
		_exit(2);
	_exit(1);
}

enum event_kind {
	EV_DELIVER,
	EV_TICK,
	EV_SYNC,
	EV_PROPOSE,
	EV_FAULT,
	EV_OPERATOR
};

struct event {
	int64_t t;    /* simulated time in us */
	uint64_t seq; /* order of events of the same time */
	enum event_kind kind;
	int node;      /* index, or -1 */
	uint32_t boot; /* the node must not have restarted since */
	uint64_t arg;  /* EV_SYNC: write_seq */
	uint8_t *buf;  /* EV_DELIVER: packed message */
	size_t len;
};

/* ---- event queue ---- */

static bool event_before(const struct event *a, const struct event *b)
{
	return a->t < b->t || (a->t == b->t && a->seq < b->seq);
}

static void event_push(struct event e)
{
	struct event *h;
	guint i = sim_events->len;

	e.seq = ++sim_event_seq;
	g_array_append_val(sim_events, e);
	h = (struct event *)(void *)sim_events->data;
	for (; i && event_before(&e, &h[(i - 1) / 2]); i = (i - 1) / 2)
		h[i] = h[(i - 1) / 2];
	h[i] = e;
}

static struct event event_pop(void)
{
	struct event *h = (struct event *)(void *)sim_events->data;
	struct event top = h[0], e = h[sim_events->len - 1];
	guint n = sim_events->len - 1, i = 0, c;

	g_array_set_size(sim_events, n);
	while ((c = 2 * i + 1) < n) {
		if (c + 1 < n && event_before(&h[c + 1], &h[c]))
			c++;
		if (!event_before(&h[c], &e))
			break;
		h[i] = h[c];
		i = c;
	}
	if (n)
		h[i] = e;
	return top;
}

/* A write that is not synced. */
struct pending_write {
	uint64_t seq;
	bool has_install;
	struct rep_snap install;
	GPtrArray *append;
};

struct fake_disk {
	struct rep_vote vote;
	struct rep_snap snap;
	GPtrArray *log; /* struct rep_entry *, from snap.index + 1 on */
};

/* ---- simulated disk ---- */

static void pending_write_free(struct pending_write *op)
{
	rep_snap_release(&op->install);
	g_clear_pointer(&op->append, g_ptr_array_unref);
	g_free(op);
}

static uint64_t disk_last(const struct fake_disk *d)
{
	return d->snap.index + d->log->len;
}

static uint64_t disk_term(const struct fake_disk *d, uint64_t index)
{
	if (index <= d->snap.index || index > disk_last(d))
		return index == d->snap.index ? d->snap.term : 0;
	return ((struct rep_entry *)d->log->pdata[index - d->snap.index - 1])
		->term;
}

static void disk_write_entry(struct fake_disk *d, struct rep_entry *e)
{
	if (e->index <= d->snap.index)
		return;
	if (e->index > disk_last(d) + 1)
		violated("gap in the log on disk at %" PRIu64, e->index);
	g_ptr_array_set_size(d->log, (gint)(e->index - d->snap.index - 1));
	g_ptr_array_add(d->log, rep_entry_ref(e));
}

static void disk_set_snap(struct fake_disk *d, const struct rep_snap *s,
			  bool reset)
{
	guint drop = (guint)MIN(s->index - d->snap.index, d->log->len);

	if (disk_term(d, s->index) != s->term)
		reset = true;
	g_ptr_array_remove_range(d->log, 0, reset ? d->log->len : drop);
	rep_snap_release(&d->snap);
	d->snap = *s;
	g_bytes_ref(s->data);
}

/*
 * Applies the install and the first n entries of a write, all entries if n is
 * negative.
 */
static void disk_apply_write(struct fake_disk *d,
			     const struct pending_write *op, int n)
{
	if (op->has_install && op->install.index > d->snap.index)
		disk_set_snap(d, &op->install, true);
	for (int i = 0; i < (int)op->append->len && (n < 0 || i < n); i++)
		disk_write_entry(d, op->append->pdata[i]);
}

static void disk_clear(struct fake_disk *d)
{
	rep_snap_release(&d->snap);
	g_clear_pointer(&d->log, g_ptr_array_unref);
	memset(d, 0, sizeof(*d));
	d->log = g_ptr_array_new_with_free_func(rep_entry_unref);
}

static bool disk_has(const struct fake_disk *d, uint64_t index, uint64_t term)
{
	return d->log &&
	       (d->snap.index >= index || disk_term(d, index) == term);
}

#endif
