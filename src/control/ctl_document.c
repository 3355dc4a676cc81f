#include "control/ctl_document.h"

#include <stdio.h>
#include <string.h>
#include <jansson.h>
#include <zlib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/ctl_admin.h"
#include "obs/slog.h"

/* Operators have only a few publications in flight. */
#define PUBLICATIONS_QUEUED_MAX 64
/* Of their bodies together; 16 of 2,500 routes are 10 MB. */
#define PUBLICATIONS_QUEUED_BYTES (12u << 20)

/* A read fails after this; a majority confirms within a round trip. */
#define READ_TIMEOUT_US (800 * USEC_PER_MSEC)

/* A host asks another process when it has got no answer for 0.8 s. */
#define HOST_WAIT_US (700 * USEC_PER_MSEC)

/* A publication's body, the JSON form of it in the change, and its entry in the
 * log are in memory at the same time. */
#define PUBLICATION_COPIES 3

struct publication {
	struct list node;
	struct membudget_holder mem;
	struct ctl *ctl;
	char name[64];
	uint64_t revision;
	char *body;
	size_t len; /* of body, bytes */
	ctl_document_fn fn;
	void *ctx;
};

struct document_read {
	struct list node;
	char name[64]; /* "": the version of the tree is read */
	int64_t started_us;
	ctl_document_fn fn;
	void *ctx;
};

/* A host without a document, which is answered with confirmed state only. */
struct document_wait {
	struct list node; /* in ctl::document_waits */
	struct ctl *ctl;
	struct peer_rpc rpc;
	char name[64];
	int64_t started_us;
	bool asking;	  /* the leader is asked for the version */
	uint64_t version; /* of the tree that the answer needs; 0: unknown */
	int refs;	  /* of the list and of an open question */
};

static void document_path(const char *name, char *out, size_t size)
{
	snprintf(out, size, "documents/%s", name);
}

static json_t *document_value(struct ctl *c, const char *name, const char *key)
{
	char path[96];

	document_path(name, path, sizeof(path));
	return tree_resolve(sm_tree(c->sm), path, key, NULL);
}

static void tick_waits(struct ctl *c, int64_t now);

static uint64_t current_revision(struct ctl *c, const char *name)
{
	AUTO_JSON json_t *v = document_value(c, name, "revision");

	return v ? (uint64_t)json_integer_value(v) : 0;
}

static void publication_end(struct ctl *c, struct publication *p, int err,
			    const char *outcome)
{
	struct slog l = slog_begin("document");

	slog_str(&l, "name", p->name);
	slog_int(&l, "revision", (int64_t)p->revision);
	slog_int(&l, "tree_version", (int64_t)tree_version(sm_tree(c->sm)));
	slog_str(&l, "outcome", err < 0 ? err_info(err)->kind : outcome);
	slog_end(&l);
	p->fn(err, NULL, 0, p->ctx);
	membudget_remove(&p->mem);
	g_free(p->body);
	g_free(p);
}

static void on_change_result(int err, const Mw__Result *r, void *ctx)
{
	struct publication *p = ctx;
	struct ctl *c = p->ctl;

	c->publishing = false;
	publication_end(c, p, err < 0 ? err : r->err, "committed");
	ctl_document_tick(c, clock_mono_us());
}

/* Submits the change that sets revision and body of the document. */
static void submit_change(struct ctl *c, struct publication *p)
{
	char path[96], revision[32], id[128];
	AUTO_JSON json_t *text = json_string(p->body);
	AUTO_FREE char *value = json_dumps(text, JSON_ENCODE_ANY);
	Mw__Change change = MW__CHANGE__INIT;
	Mw__Edit edits[2], *list[2] = {&edits[0], &edits[1]};

	document_path(p->name, path, sizeof(path));
	snprintf(revision, sizeof(revision), "%" G_GUINT64_FORMAT, p->revision);
	/* The id is unique: a later leader may try the revision again. */
	snprintf(id, sizeof(id),
		 "%s-%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, p->name,
		 revision, rep_term(c->rep), rep_last_index(c->rep));
	for (size_t i = 0; i < 2; i++) {
		mw__edit__init(&edits[i]);
		edits[i].path = path;
	}
	edits[0].key = "revision";
	edits[0].value = revision;
	edits[1].key = "body";
	edits[1].value = value;
	change.id = id;
	change.edits = list;
	change.n_edits = 2;
	change.operator_name = "publisher";
	c->publishing = true;
	g_clear_pointer(&p->body, g_free); /* value has it */
	ctl_change_submit_blind(c, &change, on_change_result, p);
}

static void acknowledge_overtaken(struct ctl *c)
{
	struct publication *p, *tmp;

	list_for_each_entry_safe (p, tmp, &c->publications, node) {
		if (p->revision > current_revision(c, p->name))
			continue;
		list_del(&p->node);
		publication_end(c, p, 0, "not_higher");
	}
}

/*
 * Returns the queued publication of the highest revision of the document that
 * has waited longest.  Once it is committed the lower ones are overtaken and
 * need no change of their own; if it is refused they are still there.
 */
static struct publication *next_publication(struct ctl *c)
{
	struct publication *p,
		*next = list_first(&c->publications, struct publication, node);

	list_for_each_entry (p, &c->publications, node)
		if (p->revision > next->revision &&
		    !strcmp(p->name, next->name))
			next = p;
	return next;
}

void ctl_document_tick(struct ctl *c, int64_t now)
{
	tick_waits(c, now);
	if (!ctl_is_leader(c, now))
		return;
	acknowledge_overtaken(c);
	while (!c->publishing && !list_empty(&c->publications)) {
		struct publication *p = next_publication(c);

		list_del(&p->node);
		submit_change(c, p);
	}
	ctl_document_confirm(c, now);
}

void ctl_document_publish(struct ctl *c, const char *name, uint64_t revision,
			  const char *body, size_t len, ctl_document_fn fn,
			  void *ctx)
{
	struct publication *p, *other;
	size_t queued = 0, bytes = len;

	list_for_each_entry (other, &c->publications, node) {
		queued++;
		bytes += other->len;
	}
	/* The first one is accepted whatever its size. */
	if (queued && (queued >= PUBLICATIONS_QUEUED_MAX ||
		       bytes > PUBLICATIONS_QUEUED_BYTES)) {
		fn(-MW_EQUEUEFULL, NULL, 0, ctx);
		return;
	}
	p = g_new0(struct publication, 1);
	membudget_add(&c->memory, &p->mem, MEMBUDGET_HELD, 0, clock_mono_us());
	if (!membudget_set(&p->mem, len * PUBLICATION_COPIES,
			   clock_mono_us())) {
		membudget_remove(&p->mem);
		g_free(p);
		fn(-MW_EQUEUEFULL, NULL, 0, ctx);
		return;
	}
	p->ctl = c;
	g_strlcpy(p->name, name, sizeof(p->name));
	p->revision = revision;
	p->body = g_strndup(body, len);
	p->len = len;
	p->fn = fn;
	p->ctx = ctx;
	list_add_tail(&c->publications, &p->node);
	ctl_document_tick(c, clock_mono_us());
}

void ctl_document_read(struct ctl *c, const char *name, ctl_document_fn fn,
		       void *ctx)
{
	struct document_read *r = g_new0(struct document_read, 1);

	g_strlcpy(r->name, name, sizeof(r->name));
	r->started_us = clock_mono_us();
	r->fn = fn;
	r->ctx = ctx;
	list_add_tail(&c->document_reads, &r->node);
	rep_request_confirmation(c->rep, r->started_us);
}

static void version_read_end(struct ctl *c, struct document_read *r, int err);

static void read_end(struct ctl *c, struct document_read *r, int err)
{
	if (!*r->name) {
		version_read_end(c, r, err);
		return;
	}
	AUTO_JSON json_t *body =
		err < 0 ? NULL : document_value(c, r->name, "body");
	const char *text = json_string_value(body);

	list_del(&r->node);
	if (err == 0 && (!text || !*text))
		err = -MW_ENOTFOUND;
	r->fn(err, err < 0 ? NULL : text, err < 0 ? 0 : strlen(text), r->ctx);
	g_free(r);
}

/* As read_end(), for a read of the tree's version. */
static void version_read_end(struct ctl *c, struct document_read *r, int err)
{
	g_autofree char *json =
		g_strdup_printf("{\"version\":%" G_GUINT64_FORMAT "}",
				tree_version(sm_tree(c->sm)));

	list_del(&r->node);
	r->fn(err, err < 0 ? NULL : json, err < 0 ? 0 : strlen(json), r->ctx);
	g_free(r);
}

void ctl_document_confirm(struct ctl *c, int64_t now)
{
	struct document_read *r, *tmp;

	tick_waits(c, now);

	if (list_empty(&c->document_reads))
		return;
	int64_t confirmed_us =
		c->leading ? rep_leadership_confirmed_us(c->rep) : 0;
	list_for_each_entry_safe (r, tmp, &c->document_reads, node) {
		if (confirmed_us >= r->started_us &&
		    c->applied >= rep_commit_index(c->rep))
			read_end(c, r, 0);
		else if (now - r->started_us > READ_TIMEOUT_US)
			read_end(c, r, -MW_ENOLEADER);
	}
}

void ctl_document_fail_all(struct ctl *c)
{
	struct publication *p, *ptmp;
	struct document_read *r, *rtmp;

	list_for_each_entry_safe (p, ptmp, &c->publications, node) {
		list_del(&p->node);
		publication_end(c, p, -MW_ENOLEADER, "");
	}
	list_for_each_entry_safe (r, rtmp, &c->document_reads, node)
		read_end(c, r, -MW_ENOLEADER);
}

/* ---- hosts ---- */

/*
 * Compresses the document into c->compressed_document, once per revision.
 * Returns false if there is none or zlib fails.  A document of 1000 routes is
 * half a megabyte, which takes 0.4 s on a link of 10 Mbit/s for each revision
 * and host; compressed it is a tenth of that.
 */
static bool compress_document(struct ctl *c, const char *name,
			      uint64_t revision)
{
	if (c->compressed_document.revision == revision &&
	    !strcmp(c->compressed_document.name, name))
		return c->compressed_document.len > 0;
	AUTO_JSON json_t *body = document_value(c, name, "body");
	const char *text = json_string_value(body);
	uLongf n = compressBound(text ? strlen(text) : 0);

	g_free(c->compressed_document.text);
	c->compressed_document.text = g_malloc(n);
	c->compressed_document.text_len = text ? strlen(text) : 0;
	int r = compress2(c->compressed_document.text, &n,
			  (const Bytef *)(text ? text : ""),
			  c->compressed_document.text_len, Z_BEST_SPEED);
	c->compressed_document.len = r == Z_OK && text ? n : 0;
	c->compressed_document.revision = revision;
	g_strlcpy(c->compressed_document.name, name,
		  sizeof(c->compressed_document.name));
	if (!c->compressed_document.len)
		log_error("document",
			  "%s, revision %" G_GUINT64_FORMAT
			  ", cannot be compressed: zlib error %d",
			  name, revision, r);
	return c->compressed_document.len > 0;
}

/* confirmed: the document may be the host's first one. */
static void answer_host(struct ctl *c, struct peer_rpc rpc, const char *name,
			uint64_t have, bool confirmed)
{
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__DocumentText doc = MW__DOCUMENT_TEXT__INIT;

	/* Version 0 is older than any that the host has: it asks again. */
	confirmed = confirmed && c->caught_up;
	doc.version = confirmed ? tree_version(sm_tree(c->sm)) : 0;
	doc.revision = confirmed ? current_revision(c, name) : 0;
	if (confirmed) {
		doc.evacuated = c->evacuation.dcs;
		doc.n_evacuated = c->evacuation.dcs
					  ? g_strv_length(c->evacuation.dcs)
					  : 0;
	}
	if (doc.revision > have && compress_document(c, name, doc.revision)) {
		doc.text_z.data = c->compressed_document.text;
		doc.text_z.len = c->compressed_document.len;
		doc.text_len = c->compressed_document.text_len;
	}
	reply.body_case = MW__FRAME__BODY_DOCUMENT_TEXT;
	reply.document_text = &doc;
	peer_reply(c->peers, rpc, &reply);
}

static void wait_unref(struct document_wait *w)
{
	if (!--w->refs)
		g_free(w);
}

static void wait_end(struct document_wait *w, bool confirmed)
{
	answer_host(w->ctl, w->rpc, w->name, 0, confirmed);
	list_del(&w->node);
	list_init(&w->node);
	wait_unref(w);
}

static void on_version_confirmed(void *arg, int status, const char *json,
				 size_t len)
{
	struct document_wait *w = arg;
	AUTO_JSON json_t *obj = json_loadb(json, len, 0, NULL);
	json_int_t version =
		json_integer_value(json_object_get(obj, "version"));

	w->asking = false;
	if (status == 200 && version > 0)
		w->version = (uint64_t)version;
	wait_unref(w);
}

static void wait_ask_leader(struct document_wait *w)
{
	Mw__AdminCall call = MW__ADMIN_CALL__INIT;

	call.path = (char *)"document/version";
	w->asking = true;
	w->refs++;
	ctl_admin_call(w->ctl, &call, on_version_confirmed, w);
}

/* Answers the hosts whose answer is confirmed or that waited too long. */
static void tick_waits(struct ctl *c, int64_t now)
{
	struct document_wait *w, *tmp;

	list_for_each_entry_safe (w, tmp, &c->document_waits, node) {
		if (w->version && tree_version(sm_tree(c->sm)) >= w->version)
			wait_end(w, true);
		else if (now - w->started_us > HOST_WAIT_US)
			wait_end(w, false);
		else if (!w->version && !w->asking)
			wait_ask_leader(w);
	}
}

void ctl_document_stop(struct ctl *c)
{
	struct document_wait *w, *tmp;

	list_for_each_entry_safe (w, tmp, &c->document_waits, node)
		wait_end(w, false);
}

void ctl_document_serve(struct ctl *c, struct peer *from, const Mw__Frame *f)
{
	const Mw__DocumentGet *get = f->document_get;

	if (get->have || !c->caught_up) {
		answer_host(c, peer_rpc(from, f), get->name, get->have, true);
		return;
	}
	struct document_wait *w = g_new0(struct document_wait, 1);
	w->ctl = c;
	w->rpc = peer_rpc(from, f);
	g_strlcpy(w->name, get->name, sizeof(w->name));
	w->started_us = clock_mono_us();
	w->refs = 1;
	list_add_tail(&c->document_waits, &w->node);
	wait_ask_leader(w);
}

/* ---- calls ---- */

/* A call of the operators' interface that is not answered yet. */
struct document_call {
	admin_reply_fn fn;
	void *arg;
};

static struct document_call *call_new(admin_reply_fn fn, void *arg)
{
	struct document_call *d = g_new0(struct document_call, 1);

	d->fn = fn;
	d->arg = arg;
	return d;
}

static void answer_call(int err, const char *body, size_t len, void *ctx)
{
	struct document_call *d = ctx;
	int status = 200;
	AUTO_FREE char *json =
		err < 0 ? admin_error_json(err, NULL, NULL, &status) : NULL;

	if (json)
		d->fn(d->arg, status, json, strlen(json));
	else
		d->fn(d->arg, status, body ? body : "{}", body ? len : 2);
	g_free(d);
}

void ctl_document_post(struct ctl *c, const Mw__AdminCall *call,
		       admin_reply_fn fn, void *arg)
{
	g_auto(GStrv) part = g_strsplit(call->query, " ", 2);
	struct document_call *d = call_new(fn, arg);

	if (g_strv_length(part) != 2)
		answer_call(-MW_EINVAL, NULL, 0, d);
	else
		ctl_document_publish(c, part[0],
				     g_ascii_strtoull(part[1], NULL, 10),
				     (const char *)call->body.data,
				     call->body.len, answer_call, d);
}

void ctl_document_get(struct ctl *c, const Mw__AdminCall *call,
		      admin_reply_fn fn, void *arg)
{
	ctl_document_read(c, call->query, answer_call, call_new(fn, arg));
}

void ctl_document_get_version(struct ctl *c, const Mw__AdminCall *call,
			      admin_reply_fn fn, void *arg)
{
	(void)call;
	ctl_document_read(c, "", answer_call, call_new(fn, arg));
}
