#include "state_util.h"

#include <glib.h>

#include "state/pb.h"

/*
 * Compares the state machine with a small model under random commands.  Two
 * replicas apply the same commands; at random points the second one is
 * replaced by a copy restored from its snapshot.  MW_SEED is the first seed,
 * MW_SEEDS the number of seeds.
 */
enum {
	HOSTS = 5,
	KEYS = 40,
	STEPS = 2000,
	IDS = STEPS,
	FINGERPRINTS = 6,
	ENDPOINTS = 4
};

/* Default retention of ledger records and crash marks. */
#define RETENTION_MS 86400000u

struct key_model {
	enum ledger_state state;
	bool granted;
	unsigned host;
	uint64_t incarnation, attempt;
	uint8_t hash;
	uint32_t status;
	bool body_dropped;
	uint64_t changed_ms;
};

struct change_model {
	bool tried;
	uint64_t base;
	unsigned value;
	Mw__Result *outcome;
};

struct departure_model {
	uint64_t incarnation; /* 0: none */
	uint64_t seq;
	uint64_t at_ms;
};

struct run {
	GRand *rand;
	guint32 seed;
	int step;
	struct sm *a, *b;
	uint64_t now_ms;
	uint64_t registered_incarnation[HOSTS]; /* 0: not registered */
	uint64_t last_incarnation[HOSTS];
	struct key_model key[KEYS];
	struct change_model change[IDS];
	int nchanges;
	int accepted[STEPS + 2]; /* change per base version, -1: none */
	uint64_t fence[8];
	bool death[FINGERPRINTS][ENDPOINTS][3];
	uint64_t death_ms[FINGERPRINTS]; /* last death that was counted */
	bool *last_death[FINGERPRINTS];	 /* in death */
	struct departure_model departure[ENDPOINTS];
};

/* Events over all seeds; each must occur, or its checks have not run. */
static unsigned refused_begins, grants, replays, resends, restores, conflicts;

#define CHECK(r, cond)                                                         \
	ck_assert_msg(cond, "seed %u step %d: %s", (r)->seed, (r)->step, #cond)

static unsigned pick(struct run *r, unsigned n)
{
	return (unsigned)g_rand_int_range(r->rand, 0, (gint32)n);
}

static bool same_result(const Mw__Result *x, const Mw__Result *y, bool resend)
{
	Mw__Result copy = *y;

	if (resend)
		copy.resent = x->resent;
	return pb_equal(&x->base, &copy.base);
}

/* Applies a command to both replicas, whose results must be equal. */
static Mw__Result *apply_both(struct run *r, Mw__Command__BodyCase body,
			      const void *msg)
{
	uint64_t version = tree_version(sm_tree(r->a));
	Mw__Result *x = apply_body(r->a, r->now_ms, body, msg);
	Mw__Result *y = apply_body(r->b, r->now_ms, body, msg);

	CHECK(r, same_result(x, y, false));
	CHECK(r, tree_version(sm_tree(r->a)) >= version);
	mw__result__free_unpacked(y, NULL);
	return x;
}

static void model_host_gone(struct run *r, unsigned host)
{
	for (int i = 0; i < KEYS; i++) {
		struct key_model *k = &r->key[i];

		if (k->state == LEDGER_STARTED && k->host == host &&
		    k->incarnation == r->registered_incarnation[host]) {
			k->state = LEDGER_UNKNOWN;
			k->changed_ms = r->now_ms;
		}
	}
	r->registered_incarnation[host] = 0;
}

static void do_register(struct run *r)
{
	unsigned host = pick(r, HOSTS);
	Mw__HostInfo info = MW__HOST_INFO__INIT;
	Mw__HostRegister reg = MW__HOST_REGISTER__INIT;
	char name[16];
	Mw__Result *res;

	snprintf(name, sizeof(name), "h%u", host);
	info.host = name;
	info.dc = host % 2 ? "w" : "e";
	info.role = "entry";
	info.incarnation = r->last_incarnation[host] + !pick(r, 4);
	reg.info = &info;
	res = apply_both(r, MW__COMMAND__BODY_HOST_REGISTER, &reg);
	if (!info.incarnation) {
		CHECK(r, res->err == -MW_EINVAL);
	} else {
		CHECK(r, !res->err);
		if (r->registered_incarnation[host] &&
		    r->registered_incarnation[host] != info.incarnation)
			model_host_gone(r, host);
		r->registered_incarnation[host] = r->last_incarnation[host] =
			info.incarnation;
	}
	mw__result__free_unpacked(res, NULL);
}

static void do_host_gone(struct run *r)
{
	unsigned host = pick(r, HOSTS);
	Mw__HostGone gone = MW__HOST_GONE__INIT;
	uint64_t incarnation = r->last_incarnation[host] - !pick(r, 3);
	char name[16];
	Mw__Result *res;

	snprintf(name, sizeof(name), "h%u", host);
	gone.host = name;
	gone.incarnation = incarnation;
	res = apply_both(r, MW__COMMAND__BODY_HOST_GONE, &gone);
	if (incarnation && incarnation == r->registered_incarnation[host]) {
		CHECK(r, !res->err);
		model_host_gone(r, host);
	} else {
		CHECK(r, res->err == -MW_ENOTFOUND);
	}
	mw__result__free_unpacked(res, NULL);
}

static void model_record(struct key_model *k, enum ledger_state state,
			 const Mw__LedgerBegin *b)
{
	memset(k, 0, sizeof(*k));
	k->state = state;
	k->granted = true;
	k->incarnation = b->incarnation;
	k->attempt = b->attempt;
}

/* One of the three ledger commands, often by the attempt with the grant. */
static void do_ledger(struct run *r)
{
	unsigned n = pick(r, KEYS), action = pick(r, 9);
	struct key_model *k = &r->key[n], old = *k;
	Mw__LedgerBegin b = MW__LEDGER_BEGIN__INIT;
	Mw__LedgerEnd e = MW__LEDGER_END__INIT;
	Mw__LedgerClose c = MW__LEDGER_CLOSE__INIT;
	bool as_owner = k->granted && pick(r, 3);
	unsigned host = as_owner ? k->host : pick(r, HOSTS);
	uint64_t incarnation =
		as_owner ? k->incarnation
			 : r->last_incarnation[host] - !pick(r, 6);
	uint64_t attempt = as_owner ? k->attempt : (uint64_t)r->step + 1;
	uint8_t hash = pick(r, 8) ? k->hash : (uint8_t)pick(r, 250);
	bool same_attempt = k->granted && k->host == host &&
			    k->attempt == attempt &&
			    k->incarnation == incarnation;
	bool host_registered =
		incarnation && incarnation == r->registered_incarnation[host];
	char key[16], name[16];
	Mw__Result *res;

	snprintf(key, sizeof(key), "k%u", n);
	snprintf(name, sizeof(name), "h%u", host);
	b.account = e.account = c.account = "acme";
	b.key = e.key = c.key = key;
	b.host = e.host = c.host = name;
	b.incarnation = e.incarnation = c.incarnation = incarnation;
	b.attempt = e.attempt = c.attempt = attempt;
	b.body_hash.data = c.body_hash.data = &hash;
	b.body_hash.len = c.body_hash.len = 1;
	if (action < 4) {
		res = apply_both(r, MW__COMMAND__BODY_BEGIN, &b);
		if (res->first) {
			CHECK(r, !res->err && host_registered);
			CHECK(r, old.state == LEDGER_ABSENT ||
					 (old.state == LEDGER_STARTED &&
					  same_attempt));
			model_record(k, LEDGER_STARTED, &b);
			k->host = host;
			k->hash = hash;
			grants++;
		} else if (old.state == LEDGER_ABSENT) {
			CHECK(r, res->err == -MW_EFENCED && !host_registered);
		} else if (old.hash != hash) {
			CHECK(r, res->err == -MW_EKEYREUSED);
		} else if (old.state == LEDGER_DONE) {
			CHECK(r, !res->err && res->status == old.status);
			CHECK(r, res->body_dropped == old.body_dropped);
			replays++;
		} else {
			CHECK(r, res->err < 0);
			refused_begins++;
		}
	} else if (action < 8) {
		e.unknown = !pick(r, 6);
		e.status = 200 + pick(r, 100);
		e.body.len = pick(r, 4) ? pick(r, 50) : LEDGER_BODY_MAX + 1;
		e.body.data = g_malloc0(e.body.len + 1);
		res = apply_both(r, MW__COMMAND__BODY_END, &e);
		if (old.state == LEDGER_STARTED && same_attempt) {
			CHECK(r, !res->err);
			k->state = e.unknown ? LEDGER_UNKNOWN : LEDGER_DONE;
			k->status = e.unknown ? 0 : e.status;
			k->body_dropped =
				!e.unknown && e.body.len > LEDGER_BODY_MAX;
		} else if (old.state == LEDGER_DONE && same_attempt) {
			CHECK(r, !res->err && res->status == old.status);
		} else {
			CHECK(r, res->err < 0);
		}
		g_free(e.body.data);
	} else {
		res = apply_both(r, MW__COMMAND__BODY_CLOSE, &c);
		if (old.state == LEDGER_ABSENT) {
			CHECK(r, !res->err);
			model_record(k, LEDGER_CLOSED, &b);
			k->host = host;
			k->hash = hash;
		} else if (old.state == LEDGER_STARTED && same_attempt &&
			   hash == old.hash) {
			CHECK(r, !res->err);
			k->state = LEDGER_CLOSED;
		} else {
			CHECK(r, (res->err == 0) ==
					 (hash == old.hash &&
					  (old.state == LEDGER_DONE ||
					   old.state == LEDGER_CLOSED)));
		}
	}
	if (k->state != old.state)
		k->changed_ms = r->now_ms;
	CHECK(r, res->ledger_state == k->state);
	mw__result__free_unpacked(res, NULL);
}

static void do_change(struct run *r)
{
	bool resend = r->nchanges && !pick(r, 3);
	int n = resend ? (int)pick(r, (unsigned)r->nchanges) : r->nchanges++;
	struct change_model *m = &r->change[n];
	uint64_t version = tree_version(sm_tree(r->a));
	char id[16], value[16];
	struct change c;
	Mw__Result *res;

	if (!resend) {
		m->base = pick(r, 2) ? version : 1 + pick(r, (unsigned)version);
		/* Some values are out of range. */
		m->value = pick(r, 120);
	}
	snprintf(id, sizeof(id), "c%d", n);
	snprintf(value, sizeof(value), "%u", m->value);
	change_init(&c, id, m->base);
	change_edit(&c, "ranks/normal", "floor_percent", value);
	res = apply_both(r, MW__COMMAND__BODY_CHANGE, &c.msg);
	if (resend) {
		CHECK(r, res->resent);
		CHECK(r, same_result(m->outcome, res, true));
		CHECK(r, tree_version(sm_tree(r->a)) == version);
		mw__result__free_unpacked(res, NULL);
		resends++;
		return;
	}
	m->outcome = res;
	if (m->base != version) {
		CHECK(r, res->err == -MW_ECONFLICT);
		snprintf(id, sizeof(id), "c%d", r->accepted[m->base]);
		CHECK(r, !strcmp(res->change_id, id));
		CHECK(r, res->version == m->base + 1);
		conflicts++;
	} else if (m->value > 90) {
		CHECK(r, res->err == -MW_ESCHEMA && res->version == version);
	} else {
		CHECK(r, !res->err && res->version == version + 1);
		CHECK(r, r->accepted[m->base] < 0);
		r->accepted[m->base] = n;
		CHECK(r, tree_rank(sm_tree(r->a), "normal")->floor_percent ==
				 m->value);
	}
	CHECK(r, (tree_version(sm_tree(r->a)) == version) == (res->err != 0));
}

static void do_order(struct run *r)
{
	unsigned n = pick(r, 8);
	Mw__OrderIntent in = MW__ORDER_INTENT__INIT;
	Mw__OrderDone done = MW__ORDER_DONE__INIT;
	Mw__Result *res;
	char id[16];

	snprintf(id, sizeof(id), "o%u", n);
	in.order_id = done.order_id = id;
	in.endpoint = "e1";
	in.order = "set_role";
	if (pick(r, 2)) {
		res = apply_both(r, MW__COMMAND__BODY_ORDER_INTENT, &in);
		CHECK(r, !res->err);
		CHECK(r, !r->fence[n] || r->fence[n] == res->fence);
		r->fence[n] = res->fence;
	} else {
		res = apply_both(r, MW__COMMAND__BODY_ORDER_DONE, &done);
		CHECK(r, (res->err == 0) == (r->fence[n] != 0));
		CHECK(r, res->fence == r->fence[n]);
	}
	mw__result__free_unpacked(res, NULL);
}

static void model_expire_deaths(struct run *r)
{
	for (int n = 0; n < FINGERPRINTS; n++) {
		if (r->death_ms[n] + RETENTION_MS < r->now_ms)
			memset(r->death[n], 0, sizeof(r->death[n]));
	}
}

static void do_crash(struct run *r)
{
	unsigned n = pick(r, FINGERPRINTS), ep = pick(r, ENDPOINTS),
		 inc = pick(r, 3);
	Mw__CrashMark m = MW__CRASH_MARK__INIT;
	Mw__SuspectInfo s = MW__SUSPECT_INFO__INIT, *list = &s;
	Mw__SuspectCleared clear = MW__SUSPECT_CLEARED__INIT;
	char fingerprint[16], endpoint[16];
	uint32_t deaths = 0;
	Mw__Result *res;

	snprintf(fingerprint, sizeof(fingerprint), "f%u", n);
	snprintf(endpoint, sizeof(endpoint), "e%u", ep);
	s.fingerprint = clear.fingerprint = fingerprint;
	m.endpoint = endpoint;
	m.endpoint_incarnation = inc;
	m.suspects = &list;
	m.n_suspects = 1;
	bool mark = pick(r, 2);

	if (mark)
		model_expire_deaths(r);
	for (int i = 0; i < ENDPOINTS * 3; i++)
		deaths += r->death[n][i / 3][i % 3];
	if (mark) {
		res = apply_both(r, MW__COMMAND__BODY_CRASH_MARK, &m);
		if (!r->death[n][ep][inc]) {
			bool *last = r->last_death[n];

			if (deaths == CRASH_DEATHS_MAX)
				*last = false;
			else
				deaths++;
			r->death[n][ep][inc] = true;
			r->last_death[n] = &r->death[n][ep][inc];
			r->death_ms[n] = r->now_ms;
		}
	} else {
		clear.force = !pick(r, 4);
		res = apply_both(r, MW__COMMAND__BODY_SUSPECT_CLEARED, &clear);
		if (deaths < CRASH_POISON_DEATHS || clear.force) {
			memset(r->death[n], 0, sizeof(r->death[n]));
			deaths = 0;
		}
	}
	CHECK(r, crash_deaths(sm_crash_marks(r->a), fingerprint) == deaths);
	CHECK(r, crash_is_poisoned(sm_crash_marks(r->a), fingerprint) ==
			 (deaths >= 2));
	mw__result__free_unpacked(res, NULL);
}

static bool is_newer(uint64_t incarnation, uint64_t seq,
		     const struct departure_model *m)
{
	if (incarnation != m->incarnation)
		return incarnation > m->incarnation;
	return seq > m->seq;
}

static void model_expire_departures(struct run *r)
{
	for (int n = 0; n < ENDPOINTS; n++) {
		if (r->departure[n].at_ms + DEPARTURE_KEEP_MS < r->now_ms)
			r->departure[n] = (struct departure_model){0};
	}
}

static void do_departure(struct run *r)
{
	unsigned n = pick(r, ENDPOINTS);
	struct departure_model *m = &r->departure[n];
	Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;
	const Mw__EndpointInfo *found;
	char id[16];

	snprintf(id, sizeof(id), "e%u", n);
	info.id = id;
	info.incarnation = 1 + pick(r, 3);
	info.seq = 1 + pick(r, 5);
	info.state = (char *)(pick(r, 10) ? "leaving" : "serving");
	mw__result__free_unpacked(
		apply_both(r, MW__COMMAND__BODY_DEPARTURE, &info), NULL);
	model_expire_departures(r);
	if (!strcmp(info.state, "leaving") &&
	    is_newer(info.incarnation, info.seq, m))
		*m = (struct departure_model){info.incarnation, info.seq,
					      r->now_ms};
	found = departure_find(sm_departures(r->a), id);
	CHECK(r, !found == !m->incarnation);
	CHECK(r, !found || (found->incarnation == m->incarnation &&
			    found->seq == m->seq));
}

static void do_expire(struct run *r)
{
	uint64_t before =
		r->now_ms > RETENTION_MS ? r->now_ms - RETENTION_MS : 0;
	Mw__Expire e = MW__EXPIRE__INIT;

	e.ledger_before_ms = pick(r, 2) ? UINT64_MAX : before;
	mw__result__free_unpacked(apply_both(r, MW__COMMAND__BODY_EXPIRE, &e),
				  NULL);
	for (int i = 0; i < KEYS; i++) {
		if (r->key[i].state > LEDGER_STARTED &&
		    r->key[i].changed_ms < before)
			memset(&r->key[i], 0, sizeof(r->key[i]));
	}
	model_expire_deaths(r);
	model_expire_departures(r);
}

static void do_restore(struct run *r)
{
	AUTO_BUF struct buf x = BUF_INIT, y = BUF_INIT, z = BUF_INIT;
	struct sm *copy = NULL;

	sm_snapshot(r->a, &x);
	sm_snapshot(r->b, &y);
	CHECK(r, x.len == y.len && !memcmp(x.data, y.data, x.len));
	CHECK(r, !sm_restore(y.data, y.len, &copy));
	sm_snapshot(copy, &z);
	CHECK(r, z.len == y.len && !memcmp(z.data, y.data, z.len));
	sm_free(r->b);
	r->b = copy;
	restores++;
}

static void check_model(struct run *r)
{
	uint32_t east = member_total_weight2(sm_members(r->a), "e");

	CHECK(r, sm_hash(r->a) == sm_hash(r->b));
	CHECK(r, !east || east % 2);
	for (int i = 0; i < KEYS; i++) {
		char key[16];

		snprintf(key, sizeof(key), "k%d", i);
		CHECK(r, ledger_lookup(sm_ledger(r->a), "acme", key) ==
				 r->key[i].state);
	}
}

static void run_seed(guint32 seed)
{
	static void (*const actions[])(struct run *) = {
		do_ledger, do_ledger, do_ledger,   do_ledger,	 do_change,
		do_change, do_order,  do_crash,	   do_crash,	 do_register,
		do_ledger, do_ledger, do_register, do_host_gone, do_departure};
	struct run *r = g_new0(struct run, 1);

	r->rand = g_rand_new_with_seed(seed);
	r->seed = seed;
	r->now_ms = 1000;
	r->a = sm_new();
	r->b = sm_new();
	memset(r->accepted, -1, sizeof(r->accepted));
	for (r->step = 0; r->step < STEPS; r->step++) {
		r->now_ms += pick(r, 50) ? pick(r, 1000) : 20000000;
		actions[pick(r, G_N_ELEMENTS(actions))](r);
		if (!pick(r, 50))
			do_restore(r);
		if (!pick(r, 20))
			do_expire(r);
		if (!pick(r, 20))
			check_model(r);
	}
	check_model(r);
	for (int i = 0; i < r->nchanges; i++)
		mw__result__free_unpacked(r->change[i].outcome, NULL);
	sm_free(r->a);
	sm_free(r->b);
	g_rand_free(r->rand);
	g_free(r);
}

static guint32 env_u32(const char *name, guint32 def)
{
	const char *s = getenv(name);

	return s ? (guint32)strtoul(s, NULL, 10) : def;
}

/*
 * Replicas must not diverge, a recorded outcome must not change, and a key must
 * not be granted to two attempts.
 */
START_TEST(test_random_commands)
{
	guint32 first = env_u32("MW_SEED", 1), n = env_u32("MW_SEEDS", 20);

	for (guint32 i = 0; i < n; i++)
		run_seed(first + i);
	/* About 1 in 1,500 seeds has no replayed answer: require several. */
	if (n >= 5)
		ck_assert(refused_begins && grants && replays && resends &&
			  restores && conflicts);
}
END_TEST

RUN_TESTS("state_random", test_random_commands)
