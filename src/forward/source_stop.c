#include "forward/source_stop.h"

#include <string.h>

#include "base/buf.h"
#include "base/clock.h"
#include "base/err.h"
#include "forward/fwd.h"
#include "obs/slog.h"

/* The order follows the stop of the source at once; both together take less
 * than the 400 ms for which two endpoints may work on one request. */
#define CONNECT_TIMEOUT_MS 300

/* The order is answered when the rest of the run's memory is copied. */
#define ORDER_TIMEOUT_MS 5000

/* Time for the deletion of the copy that the order makes. */
#define DELETE_TIMEOUT_MS 1000

/* Body of the answer; what exceeds it is dropped. */
#define REPLY_MAX_BYTES 4096

/* Runs in a row that an endpoint must have dropped before it gets no more
 * orders; a single one may have ended by itself. */
#define DROPPED_RUNS_MIN 3

struct stop_order {
	struct list node; /* in fwd::source_stops */
	struct fwd *fwd;
	char endpoint_id[128];
	uint64_t incarnation;
	char addr[64];
	char request_id[128];
	struct buf reply;
};

static void order_free(struct stop_order *o)
{
	list_del(&o->node);
	buf_release(&o->reply);
	g_free(o);
}

static void on_deleted(void *arg, struct fetch *f,
		       const struct fetch_result *res)
{
	(void)arg;
	(void)f;
	(void)res;
}

static const struct fetch_ops delete_ops = {.done = on_deleted};

/* Frees the copy that the order has made, at both endpoints. */
static void delete_copy(struct stop_order *o, const char *handle)
{
	struct fwd *f = o->fwd;
	g_autofree char *path = f->iface->free_copy_path(handle);
	g_autofree char *url = g_strdup_printf("http://%s%s", o->addr, path);
	struct fetch_spec spec = {.method = "DELETE",
				  .url = url,
				  .connect_timeout_ms = CONNECT_TIMEOUT_MS,
				  .timeout_ms = DELETE_TIMEOUT_MS,
				  .flags = FETCH_NEW_CONNECTION};

	fetch_start(f->fetcher, &spec, &delete_ops, NULL);
}

static void on_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	struct stop_order *o = arg;

	(void)f;
	if (buf_unread(&o->reply) + n <= REPLY_MAX_BYTES)
		buf_add(&o->reply, p, n);
}

static void on_done(void *arg, struct fetch *fetch,
		    const struct fetch_result *res)
{
	struct stop_order *o = arg;
	struct fwd *f = o->fwd;
	struct fwd_endpoint *ep = endpoints_find(f, o->endpoint_id);
	struct move_answer answer = {0};

	(void)fetch;
	if (res->err == FETCH_OK)
		f->iface->decode_move_answer(res->status, buf_head(&o->reply),
					     buf_unread(&o->reply), &answer);
	if (ep && ep->incarnation == o->incarnation)
		ep->runs_dropped =
			answer.not_running ? ep->runs_dropped + 1 : 0;
	if (*answer.handle)
		delete_copy(o, answer.handle);
	struct slog l = slog_begin_routine("source_stop");
	slog_str(&l, "request", o->request_id);
	slog_str(&l, "endpoint", o->endpoint_id);
	slog_int(&l, "status", res->status);
	slog_str(&l, "outcome",
		 answer.not_running	? "dropped before"
		 : res->err == FETCH_OK ? "ordered"
					: res->error_text);
	slog_end(&l);
	order_free(o);
}

static const struct fetch_ops order_ops = {.data = on_data, .done = on_done};

void source_stop(struct fwd *f, struct fwd_endpoint *source,
		 const char *request_id, const char *target_addr, int64_t now)
{
	struct move_order order = {
		.request_id = request_id, .target = target_addr, .stop = true};
	static const char *const headers[] = {"Content-Type",
					      "application/json", NULL};
	g_autofree char *path = NULL, *body = NULL;

	if (source->runs_dropped >= DROPPED_RUNS_MIN || source->is_gone ||
	    now < source->paused_until_us)
		return;
	struct stop_order *o = g_new0(struct stop_order, 1);
	o->fwd = f;
	o->incarnation = source->incarnation;
	g_strlcpy(o->endpoint_id, source->id, sizeof(o->endpoint_id));
	g_strlcpy(o->addr, source->addr, sizeof(o->addr));
	g_strlcpy(o->request_id, request_id, sizeof(o->request_id));
	list_add_tail(&f->source_stops, &o->node);
	f->iface->encode_move_order(&order, &path, &body);
	g_autofree char *url = g_strdup_printf("http://%s%s", o->addr, path);
	struct fetch_spec spec = {.method = "POST",
				  .url = url,
				  .headers = headers,
				  .body = body,
				  .body_len = strlen(body),
				  .connect_timeout_ms = CONNECT_TIMEOUT_MS,
				  .timeout_ms = ORDER_TIMEOUT_MS};
	fetch_start(f->fetcher, &spec, &order_ops, o);
}

void source_stop_release(struct fwd *f)
{
	struct stop_order *o, *tmp;

	list_for_each_entry_safe (o, tmp, &f->source_stops, node)
		order_free(o);
}
