#include "control/hub_order.h"

#include <string.h>
#include <glib.h>

struct hub_order {
	char *self;
	GPtrArray
		*candidates; /* struct hub_candidate, control processes first */
	int64_t last_control_answer_us; /* when a control process last answered
					 */
};

struct hub_order *hub_order_new(const char *self, int64_t now)
{
	struct hub_order *o = g_new0(struct hub_order, 1);

	o->self = g_strdup(self);
	o->candidates = g_ptr_array_new_with_free_func(g_free);
	o->last_control_answer_us = now;
	return o;
}

void hub_order_free(struct hub_order *o)
{
	if (!o)
		return;
	g_ptr_array_free(o->candidates, TRUE);
	g_free(o->self);
	g_free(o);
}

static struct hub_candidate *find_candidate(const struct hub_order *o,
					    const char *name)
{
	for (guint i = 0; i < o->candidates->len; i++) {
		struct hub_candidate *c = o->candidates->pdata[i];
		if (!strcmp(c->name, name))
			return c;
	}
	return NULL;
}

void hub_order_begin(struct hub_order *o)
{
	for (guint i = 0; i < o->candidates->len; i++)
		((struct hub_candidate *)o->candidates->pdata[i])->listed =
			false;
}

void hub_order_add(struct hub_order *o, const char *name, const char *addr,
		   bool control)
{
	struct hub_candidate *c = find_candidate(o, name);

	if (!c) {
		c = g_new0(struct hub_candidate, 1);
		g_strlcpy(c->name, name, sizeof(c->name));
		c->control = control;
		c->self = !strcmp(name, o->self);
		c->last_failure_us = INT64_MIN;
		g_ptr_array_add(o->candidates, c);
	}
	if (!c->listed)
		g_strlcpy(c->addr, addr, sizeof(c->addr));
	c->listed = true;
}

/* Control processes come first and keep the order in which they were added. */
static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct hub_candidate *x = *(struct hub_candidate *const *)a;
	const struct hub_candidate *y = *(struct hub_candidate *const *)b;

	if (x->control != y->control)
		return x->control ? -1 : 1;
	return x->control ? 0 : strcmp(x->name, y->name);
}

void hub_order_end(struct hub_order *o)
{
	for (guint i = o->candidates->len; i-- > 0;)
		if (!((struct hub_candidate *)o->candidates->pdata[i])->listed)
			g_ptr_array_remove_index(o->candidates, i);
	g_ptr_array_sort(o->candidates, compare_candidates); /* a stable sort */
}

size_t hub_order_count(const struct hub_order *o)
{
	return o->candidates->len;
}

const struct hub_candidate *hub_order_candidate(const struct hub_order *o,
						size_t i)
{
	return o->candidates->pdata[i];
}

static bool may_report_to(const struct hub_candidate *c, int64_t now)
{
	return c->last_failure_us == INT64_MIN ||
	       now - c->last_failure_us >= HUB_RETRY_DELAY_US;
}

static void request_connection(struct hub_candidate *c, int64_t now)
{
	if (c->needs_connection || c->self)
		return;
	c->needs_connection = true;
	c->needed_since_us = now;
}

/* Requests connections to the candidate at i and, as a standby, the next. */
static void request_connections_from(struct hub_order *o, guint i, int64_t now)
{
	for (guint k = i; k < o->candidates->len && k < i + 2; k++)
		request_connection(o->candidates->pdata[k], now);
}

const struct hub_candidate *hub_order_choose(struct hub_order *o, int64_t now,
					     bool can_serve,
					     hub_connected_fn connected,
					     void *ctx)
{
	guint i = 0;

	for (; i < o->candidates->len; i++) {
		struct hub_candidate *c = o->candidates->pdata[i];

		if (!c->control)
			break;
		if (!connected(ctx, c->name) || !may_report_to(c, now))
			continue;
		return c;
	}
	if (now - o->last_control_answer_us < HUB_CONTROL_WAIT_US) {
		request_connections_from(o, i, now);
		return NULL;
	}
	for (; i < o->candidates->len; i++) {
		struct hub_candidate *c = o->candidates->pdata[i];

		if (c->self && !can_serve)
			continue;
		if (c->self)
			return c;
		request_connection(c, now);
		if (connected(ctx, c->name)) {
			if (!may_report_to(c, now))
				continue;
			return c;
		}
		if (now - c->needed_since_us < HUB_CONNECT_TIMEOUT_US) {
			request_connections_from(o, i, now);
			return NULL;
		}
	}
	return NULL;
}

void hub_order_answered(struct hub_order *o, const char *name, int64_t now)
{
	bool after = false;

	for (guint i = 0; i < o->candidates->len; i++) {
		struct hub_candidate *c = o->candidates->pdata[i];

		if (after)
			c->needs_connection = false;
		if (strcmp(c->name, name) != 0)
			continue;
		after = true;
		if (c->control)
			o->last_control_answer_us = now;
	}
}

void hub_order_failed(struct hub_order *o, const char *name, int64_t now)
{
	struct hub_candidate *c = find_candidate(o, name);

	if (c)
		c->last_failure_us = now;
}

void hub_order_reconnected(struct hub_order *o, const char *name)
{
	struct hub_candidate *c = find_candidate(o, name);

	if (c)
		c->last_failure_us = INT64_MIN;
}
