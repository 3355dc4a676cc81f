#include "state/ledger.h"

#include <assert.h>
#include <string.h>
#include <glib.h>
#include <xxhash.h>

#include "base/err.h"
#include "base/list.h"

struct account {
	size_t count; /* records */
	char name[];
};

struct ledger_rec {
	struct list link;
	struct account *account;
	const char *key; /* stored after the struct */
	char *host;	 /* interned GRefString, as is content_type */
	char *content_type;
	uint8_t *body;
	uint64_t incarnation;
	uint64_t attempt;
	uint64_t changed_ms;
	uint32_t body_len;
	uint32_t status;
	uint8_t state;
	bool body_dropped;
	uint8_t hash_len;
	uint8_t hash[LEDGER_HASH_MAX];
};

/*
 * The lists `started` and `final` are sorted by changed_ms.  The removal of a
 * host scans only the started records, and expiry stops at the first final
 * record that is too new.
 */
struct ledger {
	GHashTable *recs;     /* set of struct ledger_rec */
	GHashTable *accounts; /* name -> struct account */
	struct list started;
	struct list final;
	size_t n_started;
	size_t body_bytes;
};

static guint rec_hash(const void *p)
{
	const struct ledger_rec *r = p;

	/*
	 * Clients choose the keys.  The seed is an address that they do not
	 * know, so they cannot choose keys that collide.
	 */
	return (guint)XXH3_64bits_withSeed(r->key, strlen(r->key),
					   (uintptr_t)r->account);
}

static gboolean rec_equal(const void *a, const void *b)
{
	const struct ledger_rec *x = a, *y = b;

	return x->account == y->account && !strcmp(x->key, y->key);
}

struct ledger *ledger_new(void)
{
	struct ledger *l = g_new0(struct ledger, 1);

	l->recs = g_hash_table_new(rec_hash, rec_equal);
	l->accounts = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&l->started);
	list_init(&l->final);
	return l;
}

static void rec_remove(struct ledger *l, struct ledger_rec *r)
{
	g_hash_table_remove(l->recs, r);
	if (!--r->account->count) {
		g_hash_table_remove(l->accounts, r->account->name);
		g_free(r->account);
	}
	if (r->state == LEDGER_STARTED)
		l->n_started--;
	l->body_bytes -= r->body_len;
	list_del(&r->link);
	g_ref_string_release(r->host);
	if (r->content_type)
		g_ref_string_release(r->content_type);
	g_free(r->body);
	g_free(r);
}

void ledger_free(struct ledger *l)
{
	struct ledger_rec *r, *next;

	if (!l)
		return;
	list_for_each_entry_safe (r, next, &l->started, link)
		rec_remove(l, r);
	list_for_each_entry_safe (r, next, &l->final, link)
		rec_remove(l, r);
	g_hash_table_destroy(l->recs);
	g_hash_table_destroy(l->accounts);
	g_free(l);
}

static struct ledger_rec *find(const struct ledger *l, const char *account,
			       const char *key)
{
	struct ledger_rec probe = {
		.account = g_hash_table_lookup(l->accounts, account),
		.key = key};

	return probe.account ? g_hash_table_lookup(l->recs, &probe) : NULL;
}

/* Adds a record at the end of the list of its state; copies the strings. */
static struct ledger_rec *rec_add(struct ledger *l, const char *account,
				  const char *key,
				  const ProtobufCBinaryData *hash,
				  const char *host, enum ledger_state state)
{
	size_t len = strlen(key) + 1;
	struct ledger_rec *r = g_malloc0(sizeof(*r) + len);
	struct account *a = g_hash_table_lookup(l->accounts, account);

	if (!a) {
		a = g_malloc0(sizeof(*a) + strlen(account) + 1);
		strcpy(a->name, account);
		g_hash_table_insert(l->accounts, a->name, a);
	}
	a->count++;
	r->account = a;
	r->key = memcpy(r + 1, key, len);
	r->host = g_ref_string_new_intern(host);
	r->hash_len = (uint8_t)hash->len;
	memcpy(r->hash, hash->data, hash->len);
	r->state = (uint8_t)state;
	g_hash_table_add(l->recs, r);
	list_add_tail(state == LEDGER_STARTED ? &l->started : &l->final,
		      &r->link);
	l->n_started += state == LEDGER_STARTED;
	return r;
}

static void set_final_state(struct ledger *l, struct ledger_rec *r,
			    uint64_t now_ms, enum ledger_state state)
{
	assert(r->state == LEDGER_STARTED);
	l->n_started--;
	r->state = (uint8_t)state;
	r->changed_ms = now_ms;
	list_del(&r->link);
	list_add_tail(&l->final, &r->link);
}

static void store_body(struct ledger *l, struct ledger_rec *r, size_t max_total,
		       const char *content_type,
		       const ProtobufCBinaryData *body)
{
	if (strlen(content_type) > LEDGER_CONTENT_TYPE_MAX ||
	    body->len > LEDGER_BODY_MAX ||
	    l->body_bytes + body->len > max_total) {
		r->body_dropped = true;
		return;
	}
	if (*content_type)
		r->content_type = g_ref_string_new_intern(content_type);
	if (!body->len)
		return;
	r->body = g_memdup2(body->data, body->len);
	r->body_len = (uint32_t)body->len;
	l->body_bytes += body->len;
}

static bool name_valid(const char *s, size_t max)
{
	return *s && strlen(s) <= max;
}

static bool hash_valid(const ProtobufCBinaryData *hash)
{
	return hash->len && hash->len <= LEDGER_HASH_MAX;
}

static bool same_body(const struct ledger_rec *r,
		      const ProtobufCBinaryData *hash)
{
	return r->hash_len == hash->len &&
	       !memcmp(r->hash, hash->data, hash->len);
}

static bool same_attempt(const struct ledger_rec *r, const char *host,
			 uint64_t incarnation, uint64_t attempt)
{
	return r->attempt == attempt && r->incarnation == incarnation &&
	       !strcmp(r->host, host);
}

static struct ledger_answer make_answer(int err, const struct ledger_rec *r)
{
	struct ledger_answer a = {.err = err, .content_type = ""};

	if (!r)
		return a;
	a.state = r->state;
	a.status = r->status;
	if (r->content_type)
		a.content_type = r->content_type;
	a.body = r->body;
	a.body_len = r->body_len;
	a.body_dropped = r->body_dropped;
	return a;
}

static int is_full(const struct ledger *l, const struct ledger_limits *limits,
		   const char *account)
{
	return g_hash_table_size(l->recs) >= limits->keys ||
	       ledger_count_account(l, account) >= limits->keys_per_account;
}

struct ledger_answer ledger_begin(struct ledger *l, uint64_t now_ms,
				  const struct ledger_limits *limits,
				  bool host_registered,
				  const Mw__LedgerBegin *b)
{
	struct ledger_answer a;
	struct ledger_rec *r;

	if (!name_valid(b->account, LEDGER_NAME_MAX) ||
	    !name_valid(b->key, LEDGER_KEY_MAX) ||
	    !name_valid(b->host, LEDGER_NAME_MAX) || !hash_valid(&b->body_hash))
		return make_answer(-MW_EINVAL, NULL);
	r = find(l, b->account, b->key);
	if (r && !same_body(r, &b->body_hash))
		return make_answer(-MW_EKEYREUSED, r);
	if (r && r->state == LEDGER_DONE)
		return make_answer(0, r);
	if (r && r->state == LEDGER_CLOSED)
		return make_answer(-MW_ENOTRUN, r);
	if (r && r->state == LEDGER_UNKNOWN)
		return make_answer(-MW_EUNKNOWN, r);
	if (r && !(host_registered &&
		   same_attempt(r, b->host, b->incarnation, b->attempt)))
		return make_answer(-MW_EINPROGRESS, r);
	if (!r) {
		if (!host_registered)
			return make_answer(-MW_EFENCED, NULL);
		if (is_full(l, limits, b->account))
			return make_answer(-MW_ELIMIT, NULL);
		r = rec_add(l, b->account, b->key, &b->body_hash, b->host,
			    LEDGER_STARTED);
		r->incarnation = b->incarnation;
		r->attempt = b->attempt;
		r->changed_ms = now_ms;
	}
	a = make_answer(0, r);
	a.first = true;
	return a;
}

struct ledger_answer ledger_end(struct ledger *l, uint64_t now_ms,
				const struct ledger_limits *limits,
				const Mw__LedgerEnd *e)
{
	struct ledger_rec *r;

	if (!name_valid(e->account, LEDGER_NAME_MAX) ||
	    !name_valid(e->key, LEDGER_KEY_MAX))
		return make_answer(-MW_EINVAL, NULL);
	r = find(l, e->account, e->key);
	if (!r)
		return make_answer(-MW_ENOTFOUND, NULL);
	if (r->state == LEDGER_CLOSED)
		return make_answer(-MW_ENOTRUN, r);
	if (!same_attempt(r, e->host, e->incarnation, e->attempt))
		return make_answer(-MW_ECONFLICT, r);
	if (r->state == LEDGER_UNKNOWN)
		return make_answer(-MW_EUNKNOWN, r);
	if (r->state == LEDGER_DONE)
		return make_answer(0, r);
	if (e->unknown) {
		set_final_state(l, r, now_ms, LEDGER_UNKNOWN);
		return make_answer(0, r);
	}
	set_final_state(l, r, now_ms, LEDGER_DONE);
	r->status = e->status;
	r->body_dropped = e->body_dropped;
	if (!e->body_dropped)
		store_body(l, r, limits->body_bytes, e->content_type, &e->body);
	return make_answer(0, r);
}

struct ledger_answer ledger_close(struct ledger *l, uint64_t now_ms,
				  const struct ledger_limits *limits,
				  const Mw__LedgerClose *c)
{
	struct ledger_rec *r;

	if (!name_valid(c->account, LEDGER_NAME_MAX) ||
	    !name_valid(c->key, LEDGER_KEY_MAX) ||
	    !name_valid(c->host, LEDGER_NAME_MAX) || !hash_valid(&c->body_hash))
		return make_answer(-MW_EINVAL, NULL);
	r = find(l, c->account, c->key);
	if (r && !same_body(r, &c->body_hash))
		return make_answer(-MW_EKEYREUSED, r);
	if (r && r->state == LEDGER_UNKNOWN)
		return make_answer(-MW_EUNKNOWN, r);
	if (r && r->state != LEDGER_STARTED)
		return make_answer(0, r);
	if (r) {
		if (!same_attempt(r, c->host, c->incarnation, c->attempt))
			return make_answer(-MW_EINPROGRESS, r);
		set_final_state(l, r, now_ms, LEDGER_CLOSED);
		return make_answer(0, r);
	}
	if (is_full(l, limits, c->account))
		return make_answer(-MW_ELIMIT, NULL);
	r = rec_add(l, c->account, c->key, &c->body_hash, c->host,
		    LEDGER_CLOSED);
	r->incarnation = c->incarnation;
	r->attempt = c->attempt;
	r->changed_ms = now_ms;
	return make_answer(0, r);
}

size_t ledger_host_gone(struct ledger *l, uint64_t now_ms, const char *host,
			uint64_t incarnation)
{
	struct ledger_rec *r, *next;
	size_t n = 0;

	list_for_each_entry_safe (r, next, &l->started, link) {
		if (r->incarnation > incarnation || strcmp(r->host, host) != 0)
			continue;
		set_final_state(l, r, now_ms, LEDGER_UNKNOWN);
		n++;
	}
	return n;
}

size_t ledger_expire(struct ledger *l, uint64_t before_ms)
{
	struct ledger_rec *r, *next;
	size_t n = 0;

	list_for_each_entry_safe (r, next, &l->final, link) {
		if (n >= LEDGER_EXPIRE_MAX || r->changed_ms >= before_ms)
			break;
		rec_remove(l, r);
		n++;
	}
	return n;
}

size_t ledger_count(const struct ledger *l)
{
	return g_hash_table_size(l->recs);
}

size_t ledger_count_account(const struct ledger *l, const char *account)
{
	const struct account *a = g_hash_table_lookup(l->accounts, account);

	return a ? a->count : 0;
}

size_t ledger_count_started(const struct ledger *l)
{
	return l->n_started;
}

size_t ledger_body_bytes(const struct ledger *l)
{
	return l->body_bytes;
}

enum ledger_state ledger_lookup(const struct ledger *l, const char *account,
				const char *key)
{
	const struct ledger_rec *r = find(l, account, key);

	return r ? r->state : LEDGER_ABSENT;
}

static void save_list(const struct list *list,
		      void (*fn)(const Mw__SnapLedger *rec, void *arg),
		      void *arg)
{
	const struct ledger_rec *r;

	list_for_each_entry (r, list, link) {
		Mw__SnapLedger m = MW__SNAP_LEDGER__INIT;

		m.account = r->account->name;
		m.key = (char *)r->key;
		m.body_hash.len = r->hash_len;
		m.body_hash.data = (uint8_t *)r->hash;
		m.state = r->state;
		m.host = r->host;
		m.incarnation = r->incarnation;
		m.attempt = r->attempt;
		m.changed_ms = r->changed_ms;
		m.status = r->status;
		if (r->content_type)
			m.content_type = r->content_type;
		m.body.len = r->body_len;
		m.body.data = r->body;
		m.body_dropped = r->body_dropped;
		fn(&m, arg);
	}
}

void ledger_save(const struct ledger *l,
		 void (*fn)(const Mw__SnapLedger *rec, void *arg), void *arg)
{
	save_list(&l->started, fn, arg);
	save_list(&l->final, fn, arg);
}

int ledger_load(struct ledger *l, const Mw__SnapLedger *rec)
{
	bool started = rec->state == LEDGER_STARTED;
	struct list *list = started ? &l->started : &l->final;
	struct ledger_rec *r;

	if (!name_valid(rec->account, LEDGER_NAME_MAX) ||
	    !name_valid(rec->key, LEDGER_KEY_MAX) ||
	    !name_valid(rec->host, LEDGER_NAME_MAX) ||
	    !hash_valid(&rec->body_hash) || rec->state < LEDGER_STARTED ||
	    rec->state > LEDGER_UNKNOWN ||
	    strlen(rec->content_type) > LEDGER_CONTENT_TYPE_MAX ||
	    rec->body.len > LEDGER_BODY_MAX || find(l, rec->account, rec->key))
		return -MW_ECORRUPT;
	if (rec->state != LEDGER_DONE && (rec->body.len || rec->status))
		return -MW_ECORRUPT;
	if (!list_empty(list) &&
	    list_entry(list->prev, struct ledger_rec, link)->changed_ms >
		    rec->changed_ms)
		return -MW_ECORRUPT;
	r = rec_add(l, rec->account, rec->key, &rec->body_hash, rec->host,
		    (enum ledger_state)rec->state);
	r->incarnation = rec->incarnation;
	r->attempt = rec->attempt;
	r->changed_ms = rec->changed_ms;
	r->status = rec->status;
	r->body_dropped = rec->body_dropped;
	if (!rec->body_dropped)
		store_body(l, r, SIZE_MAX, rec->content_type, &rec->body);
	return 0;
}
