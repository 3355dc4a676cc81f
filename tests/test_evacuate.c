#include "check_main.h"
#include "state_util.h"

#include <glib.h>

#include "base/clock.h"
#include "base/err.h"
#include "control/ctl_evacuate.h"
#include "control/ctl_feed.h"
#include "control/lease.h"
#include "obs/slog.h"

/*
 * Orders to evacuate a data centre on three control processes: the real
 * ctl_evacuate.c, ctl_change.c and state machine, with fakes in place of the
 * clock, the links between processes and the replicated log.  The fake log
 * commits one entry at a time; which process leads, what is cut and who is
 * frozen is up to the test.
 */

#define PROCS 3
#define MS USEC_PER_MSEC
#define DC "dc1"

#define TICK_US (20 * MS)
#define LINK_US (12 * MS)
#define COMMIT_US (30 * MS) /* and a round trip */
/* After this an operator turns to another process. */
#define PATIENCE_US USEC_PER_SEC

#define OPERATORS_MAX 1024

struct proc {
	struct ctl ctl;
	struct conf conf;
	bool alive, cut;
	bool stalled;	   /* nothing commits while it leads */
	int64_t offset_us; /* of its clock */
	int64_t frozen_until_us;
	uint64_t term;
	/* Its proposal that is not committed; it has one at a time. */
	GBytes *proposal;
	uint64_t proposal_term;
	ctl_result_fn fn;
	void *ctx;
};

enum ev_kind { ON_TICK, ON_CALL, ON_REPLY, ON_TIMEOUT, ON_COMMIT };

/* A call between processes; freed at the end of the run. */
struct link_call {
	int from, to;
	bool done;
	GBytes *frame, *answer;
	int status;
	peer_reply_fn fn;
	void *ctx;
};

struct ev {
	int64_t at_us;
	enum ev_kind kind;
	int proc;
	uint64_t term;
	struct link_call *call;
};

/* An operator's try at one process. */
struct attempt {
	int status; /* 0: no answer yet */
	bool not_run;
	bool committed; /* a change of it is in the log */
};

static struct proc procs[PROCS];
static int64_t sim_now;
static int current, leader; /* leader: -1 for none */
static uint64_t term;
static GArray *events;
static GPtrArray *log_entries, *link_calls;
static struct sm *log_sm; /* all entries of the log applied */
static struct attempt attempts[OPERATORS_MAX];
static int n_attempts;
static GRand *rnd;
static double slow_rate; /* frames and commits that take long */
/* Uncommitted entry of the former leader, until there is another one. */
static GBytes *orphan;

/* In the newest log line that has one. */
static char last_outcome[32];

/* ---- fakes ---- */

struct slog slog_begin(const char *kind)
{
	(void)kind;
	return (struct slog){0};
}

void slog_str(struct slog *l, const char *key, const char *value)
{
	(void)l;
	if (!strcmp(key, "outcome"))
		g_strlcpy(last_outcome, value, sizeof(last_outcome));
}

void slog_int(struct slog *l, const char *key, int64_t value)
{
	(void)l;
	(void)key;
	(void)value;
}

void slog_end(struct slog *l)
{
	(void)l;
}

int64_t clock_mono_us(void)
{
	return sim_now + procs[current].offset_us;
}

int64_t clock_wall_us(void)
{
	return sim_now + 1000 * USEC_PER_SEC;
}

static bool linked(int a, int b)
{
	return a == b || (procs[a].alive && procs[b].alive && !procs[a].cut &&
			  !procs[b].cut);
}

bool ctl_is_leader(struct ctl *c, int64_t now)
{
	(void)now;
	return c->leading && leader >= 0 && c == &procs[leader].ctl;
}

struct peer *ctl_leader_peer(struct ctl *c)
{
	(void)c;
	return leader >= 0 && leader != current && linked(current, leader)
		       ? (struct peer *)&procs[leader]
		       : NULL;
}

uint64_t rep_term(const struct rep *r)
{
	return ((const struct proc *)(const void *)r)->term;
}

uint64_t rep_last_index(const struct rep *r)
{
	(void)r;
	return log_entries->len;
}

void rep_broadcast_commit(struct rep *r, int64_t now)
{
	(void)r;
	(void)now;
}

struct peer *peer_next(struct peer_net *net, struct peer *p)
{
	(void)net;
	(void)p;
	return NULL;
}

const Mw__Hello *peer_hello(const struct peer *p)
{
	(void)p;
	return NULL;
}

int ctl_send_host(struct ctl *c, const char *host, Mw__Frame *f)
{
	(void)c;
	(void)host;
	(void)f;
	return -MW_ENOTFOUND;
}

void ctl_event(struct ctl *c, enum event_kind kind, const char *change,
	       const char *endpoint, const char *fmt, ...)
{
	(void)c;
	(void)kind;
	(void)change;
	(void)endpoint;
	(void)fmt;
}

bool ctl_feed_has_dc(const struct ctl_feed *f, const char *dc)
{
	(void)f;
	return !strcmp(dc, DC);
}

unsigned int ctl_feed_open_requests(const struct ctl_feed *f, const char *dc)
{
	(void)f;
	(void)dc;
	return 0;
}

void ctl_feed_tree_changed(struct ctl_feed *f)
{
	(void)f;
}

void hub_set_tree_version(struct hub *hub, uint64_t version)
{
	(void)hub;
	(void)version;
}

static void schedule(struct ev e)
{
	g_array_append_val(events, e);
}

static int64_t link_delay(void)
{
	return g_rand_double(rnd) < slow_rate
		       ? g_rand_int_range(rnd, 50, 1500) * MS
		       : LINK_US;
}

int peer_call(struct peer *p, Mw__Frame *f, int timeout_ms, peer_reply_fn fn,
	      void *ctx)
{
	struct link_call *call = g_new0(struct link_call, 1);
	size_t len = mw__frame__get_packed_size(f);
	uint8_t *data = g_malloc(len + 1);

	mw__frame__pack(f, data);
	call->from = current;
	call->to = (int)((struct proc *)(void *)p - procs);
	call->frame = g_bytes_new_take(data, len);
	call->fn = fn;
	call->ctx = ctx;
	g_ptr_array_add(link_calls, call);
	schedule((struct ev){sim_now + link_delay(), ON_CALL, call->to, 0,
			     call});
	schedule((struct ev){sim_now + timeout_ms * MS, ON_TIMEOUT, call->from,
			     0, call});
	return 0;
}

void ctl_propose(struct ctl *c, Mw__Command *cmd, ctl_result_fn fn, void *ctx)
{
	struct proc *p = &procs[current];
	size_t len = mw__command__get_packed_size(cmd);
	uint8_t *data = g_malloc(len + 1);

	ck_assert_ptr_eq(c, &p->ctl);
	ck_assert_ptr_null(p->proposal);
	mw__command__pack(cmd, data);
	p->proposal = g_bytes_new_take(data, len);
	p->proposal_term = p->term;
	p->fn = fn;
	p->ctx = ctx;
	schedule((struct ev){sim_now + COMMIT_US + link_delay(), ON_COMMIT,
			     current, p->term, NULL});
}

/* ---- the log ---- */

static bool log_says_evacuated(void)
{
	return tree_dc_settings(sm_tree(log_sm), DC)->evacuated;
}

static void append_to_log(GBytes *entry)
{
	size_t len;
	const uint8_t *data = g_bytes_get_data(entry, &len);
	Mw__Command *cmd = mw__command__unpack(NULL, len, data);

	g_ptr_array_add(log_entries, g_bytes_ref(entry));
	mw__result__free_unpacked(
		sm_apply(log_sm, term, log_entries->len, data, len), NULL);
	attempts[atoi(cmd->change->operator_name)].committed = true;
	mw__command__free_unpacked(cmd, NULL);
}

/* Applies what is committed; answers the proposal if `own` is its index. */
static void catch_up(int n, guint own)
{
	struct proc *p = &procs[n];

	current = n;
	for (uint64_t i = p->ctl.applied; i < log_entries->len; i++) {
		size_t len;
		const uint8_t *data =
			g_bytes_get_data(log_entries->pdata[i], &len);
		Mw__Command *cmd = mw__command__unpack(NULL, len, data);
		Mw__Result *r = sm_apply(p->ctl.sm, term, i + 1, data, len);

		p->ctl.applied = i + 1;
		ctl_change_applied(&p->ctl, cmd->change, r);
		if (i + 1 == own)
			p->fn(0, r, p->ctx);
		mw__result__free_unpacked(r, NULL);
		mw__command__free_unpacked(cmd, NULL);
	}
}

static int majority_of(int n)
{
	int count = 0;

	for (int i = 0; i < PROCS; i++)
		count += procs[i].alive && linked(n, i);
	return count;
}

static void commit(int n, uint64_t of_term)
{
	struct proc *p = &procs[n];
	g_autoptr(GBytes) entry = NULL;

	if (!p->proposal || p->proposal_term != of_term || n != leader ||
	    term != of_term)
		return;
	if (majority_of(n) < 2 || p->stalled) {
		schedule((struct ev){sim_now + TICK_US, ON_COMMIT, n, of_term,
				     NULL});
		return;
	}
	entry = g_steal_pointer(&p->proposal);
	append_to_log(entry);
	catch_up(n, log_entries->len);
}

/* As end_leading() in ctl.c. */
static void end_leading(int n)
{
	struct proc *p = &procs[n];
	ctl_result_fn fn = p->proposal ? p->fn : NULL;

	current = n;
	p->ctl.leading = false;
	g_clear_pointer(&orphan, g_bytes_unref);
	if (p->proposal && p->proposal_term == term)
		orphan = g_bytes_ref(p->proposal);
	g_clear_pointer(&p->proposal, g_bytes_unref);
	ctl_change_fail_all(&p->ctl);
	ctl_evacuate_fail_all(&p->ctl);
	if (fn)
		fn(-MW_EUNKNOWN, NULL, p->ctx);
	g_clear_pointer(&p->ctl.leases, lease_free);
}

/*
 * Another process leads from now on.  With `inherits` the uncommitted entry of
 * the former leader is in its log, so it is committed first.
 */
static void elect(int n, bool inherits)
{
	GBytes *entry;

	if (procs[n].ctl.leading)
		end_leading(n);
	entry = leader >= 0 && leader != n ? procs[leader].proposal : orphan;
	term++;
	if (inherits && entry)
		append_to_log(entry);
	g_clear_pointer(&orphan, g_bytes_unref);
	leader = n;
	procs[n].term = term;
	catch_up(n, 0);
	procs[n].ctl.leading = true;
	procs[n].ctl.leases = lease_new(clock_mono_us());
}

/* A process that hears of a later term no longer leads. */
static void tick(int n)
{
	struct proc *p = &procs[n];

	if (leader >= 0 && linked(n, leader)) {
		p->term = term;
		if (p->ctl.leading && n != leader)
			end_leading(n);
		if (n != leader)
			catch_up(n, 0);
	}
	current = n;
	if (ctl_is_leader(&p->ctl, clock_mono_us()))
		ctl_change_tick(&p->ctl, clock_mono_us());
	ctl_evacuate_tick(&p->ctl, clock_mono_us());
	schedule((struct ev){sim_now + TICK_US, ON_TICK, n, 0, NULL});
}

/* ---- processes ---- */

/* Starts a process from what its disk has: all committed entries. */
static void start(int n)
{
	struct proc *p = &procs[n];
	struct ctl *c = &p->ctl;

	memset(p, 0, sizeof(*p));
	p->conf.dc = (char *)"dc9";
	p->alive = true;
	p->offset_us = g_rand_int_range(rnd, 0, 2000) * MS;
	current = n;
	c->conf = &p->conf;
	c->rep = (struct rep *)(void *)p;
	c->sm = sm_new();
	list_init(&c->changes);
	list_init(&c->evacuation_calls);
	list_init(&c->evacuation_orders);
	ctl_keep_version(c);
	catch_up(n, 0);
}

/* Ends a process; nobody hears from it any more. */
static void kill_proc(int n)
{
	struct proc *p = &procs[n];

	p->alive = false;
	for (guint i = 0; i < link_calls->len; i++) {
		struct link_call *call = link_calls->pdata[i];

		if (call->from == n)
			call->done = true;
		else if (call->to == n && !call->done)
			schedule((struct ev){sim_now + LINK_US, ON_TIMEOUT,
					     call->from, 0, call});
	}
	if (p->ctl.leading)
		end_leading(n);
	if (leader == n)
		leader = -1;
	current = n;
	ctl_evacuate_stop(&p->ctl);
	for (int i = 0; i < CTL_VERSIONS_KEPT; i++)
		tree_unref(p->ctl.versions[i]);
	sm_free(p->ctl.sm);
}

static void run_start(uint32_t seed)
{
	rnd = g_rand_new_with_seed(seed);
	events = g_array_new(FALSE, FALSE, sizeof(struct ev));
	log_entries =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	link_calls = g_ptr_array_new_with_free_func(g_free);
	log_sm = sm_new();
	sim_now = USEC_PER_SEC;
	term = 0;
	leader = -1;
	slow_rate = 0;
	n_attempts = 0;
	memset(attempts, 0, sizeof(attempts));
	for (int i = 0; i < PROCS; i++) {
		start(i);
		schedule((struct ev){sim_now + i * MS, ON_TICK, i, 0, NULL});
	}
	elect(0, false);
}

static void run_end(void)
{
	for (int i = 0; i < PROCS; i++)
		if (procs[i].alive)
			kill_proc(i);
	for (guint i = 0; i < link_calls->len; i++) {
		struct link_call *call = link_calls->pdata[i];

		g_bytes_unref(call->frame);
		if (call->answer)
			g_bytes_unref(call->answer);
	}
	g_clear_pointer(&orphan, g_bytes_unref);
	g_ptr_array_unref(link_calls);
	g_ptr_array_unref(log_entries);
	g_array_unref(events);
	sm_free(log_sm);
	g_rand_free(rnd);
}

/* ---- calls between processes ---- */

static void on_served(void *arg, int status, const char *json, size_t len)
{
	struct link_call *call = arg;

	call->status = status;
	call->answer = g_bytes_new(json, len);
	if (procs[call->to].alive)
		schedule((struct ev){sim_now + link_delay(), ON_REPLY,
				     call->from, 0, call});
}

static void serve_call(struct link_call *call)
{
	size_t len;
	const uint8_t *data = g_bytes_get_data(call->frame, &len);
	Mw__Frame *f;

	if (!procs[call->to].alive)
		return;
	f = mw__frame__unpack(NULL, len, data);
	if (!strcmp(f->admin_call->path, "evacuate/ticket"))
		ctl_evacuate_ticket(&procs[call->to].ctl, f->admin_call,
				    on_served, call);
	else
		ctl_evacuate_order(&procs[call->to].ctl, f->admin_call,
				   on_served, call);
	mw__frame__free_unpacked(f, NULL);
}

static void take_reply(struct link_call *call)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__AdminReply reply = MW__ADMIN_REPLY__INIT;

	if (call->done)
		return;
	call->done = true;
	reply.status = (uint32_t)call->status;
	reply.json.data =
		(uint8_t *)g_bytes_get_data(call->answer, &reply.json.len);
	f.body_case = MW__FRAME__BODY_ADMIN_REPLY;
	f.admin_reply = &reply;
	call->fn(0, &f, call->ctx);
}

static void handle(const struct ev *e)
{
	current = e->proc;
	switch (e->kind) {
	case ON_TICK:
		if (procs[e->proc].alive)
			tick(e->proc);
		break;
	case ON_CALL:
		serve_call(e->call);
		break;
	case ON_REPLY:
		take_reply(e->call);
		break;
	case ON_TIMEOUT:
		if (e->call->done)
			break;
		e->call->done = true;
		e->call->fn(-MW_ETIMEOUT, NULL, e->call->ctx);
		break;
	case ON_COMMIT:
		commit(e->proc, e->term);
		break;
	}
}

/* Puts an event off whose process is frozen, or whose link is cut. */
static bool is_held(const struct ev *e)
{
	if (sim_now < procs[e->proc].frozen_until_us)
		return true;
	return (e->kind == ON_CALL || e->kind == ON_REPLY) &&
	       !linked(e->call->from, e->call->to);
}

static void run_until(int64_t end_us, void (*check)(void))
{
	for (;;) {
		struct ev e, *first = NULL;
		guint at = 0;

		for (guint i = 0; i < events->len; i++) {
			struct ev *o = &g_array_index(events, struct ev, i);

			if (!first || o->at_us < first->at_us) {
				first = o;
				at = i;
			}
		}
		if (!first || first->at_us > end_us)
			break;
		e = *first;
		g_array_remove_index(events, at);
		sim_now = MAX(sim_now, e.at_us);
		if (is_held(&e)) {
			e.at_us = sim_now + TICK_US;
			schedule(e);
			continue;
		}
		handle(&e);
		if (check)
			check();
	}
	sim_now = end_us;
}

static void run_for(int64_t us)
{
	run_until(sim_now + us, NULL);
}

/* ---- operators ---- */

static void on_answer(void *arg, int status, const char *json, size_t len)
{
	struct attempt *a = arg;
	AUTO_JSON json_t *obj = json_loadb(json, len, 0, NULL);

	a->status = status;
	a->not_run = json_is_true(
		json_object_get(json_object_get(obj, "error"), "not_run"));
}

/* An operator sends an order to a process; returns the attempt's number. */
static int send_order(int n, bool begins)
{
	Mw__AdminCall call = MW__ADMIN_CALL__INIT;
	char name[16], body[64];
	int id = n_attempts++;

	ck_assert_int_lt(n_attempts, OPERATORS_MAX);
	snprintf(name, sizeof(name), "%d", id);
	snprintf(body, sizeof(body), "{\"dc\":\"%s\",\"end\":%s}", DC,
		 begins ? "false" : "true");
	call.operator_name = name;
	call.body.data = (uint8_t *)body;
	call.body.len = strlen(body);
	current = n;
	ctl_evacuate_post(&procs[n].ctl, &call, on_answer, &attempts[id]);
	return id;
}

static int status_after(int id, int64_t us)
{
	run_for(us);
	return attempts[id].status;
}

static bool proc_says_evacuated(int n)
{
	return evacuation_contains(&procs[n].ctl.evacuation, DC);
}

/* ---- tests ---- */

/* Guards against an order that is lost, refused as not run, or made twice when
 * the leader is lost after the commit and before it answered. */
START_TEST(test_leader_lost_before_the_answer)
{
	int id;

	for (int at = 1; at < PROCS; at++) {
		run_start(1);
		id = send_order(at, true);
		run_for(4 * LINK_US + COMMIT_US + MS);
		ck_assert(log_says_evacuated());
		ck_assert_int_eq(attempts[id].status, 0);
		kill_proc(0);
		run_for(300 * MS);
		/* The next leader may be the process that has the order. */
		elect(1, false);
		ck_assert_int_eq(status_after(id, 500 * MS), 200);
		ck_assert_uint_eq(log_entries->len, 1);
		run_end();
	}
}
END_TEST

/* As before, without a leader for longer than the operator waits: the answer
 * must not claim that the order was not run, and a repeated one is answered. */
START_TEST(test_leader_lost_for_long)
{
	int id;

	run_start(1);
	id = send_order(1, true);
	run_for(4 * LINK_US + COMMIT_US + MS);
	kill_proc(0);
	ck_assert_int_eq(status_after(id, 1500 * MS), 504);
	ck_assert(!attempts[id].not_run);
	elect(2, false);
	run_for(100 * MS);
	id = send_order(1, true);
	ck_assert_int_eq(status_after(id, 500 * MS), 200);
	ck_assert_uint_eq(log_entries->len, 1);
	run_end();
}
END_TEST

/* Guards against a leader that answers wrongly when it loses its leadership
 * with its own entry in the log, committed by the next leader or dropped. */
START_TEST(test_leader_deposed_before_the_commit)
{
	for (int inherits = 0; inherits < 2; inherits++) {
		int id;

		run_start(1);
		id = send_order(0, true);
		run_for(COMMIT_US / 2);
		ck_assert_uint_eq(log_entries->len, 0);
		elect(1, inherits);
		ck_assert_int_eq(status_after(id, 500 * MS), 200);
		ck_assert(log_says_evacuated());
		ck_assert_uint_eq(log_entries->len, 1);
		run_end();
	}
}
END_TEST

/* Guards against the answer "not run" for an order in the log of a leader that
 * was deposed: the next leader may still commit it. */
START_TEST(test_entry_of_deposed_leader)
{
	int id;

	run_start(1);
	id = send_order(1, true);
	run_for(3 * LINK_US + MS);
	end_leading(0);
	leader = -1;
	ck_assert_int_eq(status_after(id, PATIENCE_US), 504);
	ck_assert(!attempts[id].not_run);
	elect(2, true);
	run_for(200 * MS);
	ck_assert(proc_says_evacuated(1));
	run_end();
}
END_TEST

/* Guards against a ticket that another leader's clock is compared with. */
START_TEST(test_ticket_of_former_leader)
{
	int first, second;

	run_start(1);
	first = send_order(1, true);
	run_for(2 * LINK_US + MS);
	procs[1].cut = true;
	run_for(PATIENCE_US);
	second = send_order(2, false);
	ck_assert_int_eq(status_after(second, 200 * MS), 200);
	/* The new leader's clock says that no time has passed. */
	procs[0].offset_us -= PATIENCE_US + 200 * MS;
	term++;
	procs[0].term = term;
	procs[1].cut = false;
	run_for(2 * USEC_PER_SEC);
	ck_assert(!log_says_evacuated());
	ck_assert_int_ne(attempts[first].status, 200);
	run_end();
}
END_TEST

/* Guards against orders that begin too late since the leader was busy with
 * another one, and against one that overtakes it. */
START_TEST(test_order_behind_another)
{
	int first, late;

	run_start(1);
	slow_rate = 1;
	first = send_order(0, true);
	slow_rate = 0;
	procs[1].cut = procs[2].cut = true; /* nothing commits */
	run_for(100 * MS);
	late = send_order(0, false);
	ck_assert_int_eq(status_after(late, PATIENCE_US), 503);
	ck_assert(attempts[late].not_run);
	procs[1].cut = procs[2].cut = false;
	/* Its outcome was not known in time; it was begun, and is kept. */
	ck_assert_int_eq(status_after(first, 2 * USEC_PER_SEC), 504);
	ck_assert(!attempts[first].not_run);
	ck_assert(log_says_evacuated());
	ck_assert_uint_eq(log_entries->len, 1);
	run_end();
}
END_TEST

/* Guards against an operator who waits for as long as nothing commits, and
 * against an outcome that is told twice, or to a call that is freed. */
START_TEST(test_answer_while_nothing_commits)
{
	int id;

	run_start(1);
	id = send_order(0, true);
	procs[0].stalled = true;
	ck_assert_int_eq(status_after(id, EVACUATION_WAIT_MAX_US + 2 * TICK_US),
			 504);
	ck_assert(!attempts[id].not_run);
	ck_assert_uint_eq(log_entries->len, 0);
	attempts[id].status = 0;
	procs[0].stalled = false;
	ck_assert_int_eq(status_after(id, 3 * USEC_PER_SEC), 0);
	ck_assert(log_says_evacuated());
	ck_assert_str_eq(last_outcome, "late");
	id = send_order(0, true);
	ck_assert_int_eq(status_after(id, 500 * MS), 200);
	ck_assert_uint_eq(log_entries->len, 1);
	/* The next leader may still commit an entry of this one. */
	procs[0].stalled = true;
	send_order(0, false);
	run_for(PATIENCE_US);
	*last_outcome = 0;
	end_leading(0);
	ck_assert_str_eq(last_outcome, err_info(-MW_EUNKNOWN)->kind);
	elect(0, true);
	/* The process may end while a late outcome is open. */
	procs[0].stalled = true;
	send_order(0, false);
	run_for(PATIENCE_US);
	run_end();
}
END_TEST

/* As before, for orders that came in before this process led. */
START_TEST(test_order_older_than_leader)
{
	int late;

	run_start(1);
	end_leading(0);
	leader = -1;
	send_order(0, true);
	late = send_order(0, false);
	run_for(600 * MS);
	procs[1].cut = procs[2].cut = true; /* nothing commits */
	elect(0, false);
	ck_assert_int_eq(status_after(late, 400 * MS), 503);
	ck_assert(attempts[late].not_run);
	run_end();
}
END_TEST

/* Guards against an order whose ticket and frame are each within the limit, but
 * not both together. */
START_TEST(test_ages_add_up)
{
	int first;

	run_start(1);
	first = send_order(1, true);
	run_for(MS);
	procs[1].cut = true;
	run_for(600 * MS);
	procs[1].cut = false;
	run_for(TICK_US + LINK_US + MS); /* it has its ticket */
	procs[1].cut = true;
	run_for(600 * MS);
	procs[1].cut = false;
	run_for(USEC_PER_SEC);
	ck_assert(!log_says_evacuated());
	ck_assert(attempts[first].not_run);
	run_end();
}
END_TEST

/*
 * Order and withdrawal at two processes, in either order; the first one is held
 * on its way to the leader for longer than its operator waits.  Guards against
 * the late one that undoes the other.
 */
START_TEST(test_order_and_withdrawal)
{
	for (int begins = 0; begins < 2; begins++) {
		int first, second;

		run_start(1);
		if (!begins) {
			first = send_order(0, true);
			ck_assert_int_eq(status_after(first, 100 * MS), 200);
		}
		first = send_order(1, begins);
		run_for(LINK_US + LINK_US + MS); /* it has its ticket */
		procs[1].cut = true;
		run_for(PATIENCE_US);
		second = send_order(2, !begins);
		ck_assert_int_eq(status_after(second, 100 * MS), 200);
		procs[1].cut = false;
		run_for(5 * USEC_PER_SEC);
		ck_assert_int_eq(log_says_evacuated(), !begins);
		for (int i = 0; i < PROCS; i++)
			ck_assert_int_eq(proc_says_evacuated(i), !begins);
		ck_assert_int_ne(attempts[first].status, 200);
		run_end();
	}
}
END_TEST

/* Guards against a minority that acknowledges orders from its old tree, and
 * against an old tree that stays in force after the link is back. */
START_TEST(test_minority_with_old_order)
{
	struct evacuation host = {0};
	const char *const names[] = {DC};
	int id;

	run_start(1);
	id = send_order(0, true);
	ck_assert_int_eq(status_after(id, 200 * MS), 200);
	procs[0].cut = true;
	elect(1, false);
	run_for(100 * MS);
	id = send_order(2, false);
	ck_assert_int_eq(status_after(id, 200 * MS), 200);

	ck_assert(proc_says_evacuated(0));
	id = send_order(0, true);
	ck_assert_int_eq(status_after(id, PATIENCE_US), 503);
	ck_assert(attempts[id].not_run);
	/* A host that knows of the withdrawal and asks the minority. */
	ck_assert(evacuation_set(&host, procs[2].ctl.evacuation.version, NULL,
				 0));
	ck_assert(!evacuation_set(&host, procs[0].ctl.evacuation.version, names,
				  1));

	procs[0].cut = false;
	run_for(200 * MS);
	ck_assert(!proc_says_evacuated(0));
	ck_assert(!log_says_evacuated());
	evacuation_release(&host);
	run_end();
}
END_TEST

/* Guards against an acknowledged order that does not survive a loss of power,
 * and against one that was not acknowledged and blocks later ones. */
START_TEST(test_loss_of_all_power)
{
	for (int acknowledged = 0; acknowledged < 2; acknowledged++) {
		int id;

		run_start(1);
		id = send_order(1, true);
		run_for(acknowledged ? 200 * MS : 3 * LINK_US + MS);
		ck_assert_int_eq(attempts[id].status, acknowledged ? 200 : 0);
		for (int i = 0; i < PROCS; i++)
			kill_proc(i);
		run_for(USEC_PER_SEC);
		for (int i = 0; i < PROCS; i++) {
			start(i);
			schedule((struct ev){sim_now, ON_TICK, i, 0, NULL});
		}
		run_for(500 * MS);
		for (int i = 0; i < PROCS; i++)
			ck_assert_int_eq(proc_says_evacuated(i), acknowledged);
		elect(2, false);
		id = send_order(0, !acknowledged);
		ck_assert_int_eq(status_after(id, 200 * MS), 200);
		ck_assert_int_eq(log_says_evacuated(), !acknowledged);
		run_end();
	}
}
END_TEST

/* Set once an order is acknowledged, until its operator sends the next one. */
static bool is_settled, settled_state;

static void check_settled(void)
{
	if (is_settled)
		ck_assert_msg(log_says_evacuated() == settled_state,
			      "a late order took effect at %" G_GINT64_FORMAT,
			      sim_now);
	for (int i = 0; i < n_attempts; i++)
		ck_assert_msg(!attempts[i].committed || !attempts[i].not_run,
			      "attempt %d was answered as not run", i);
}

static void random_fault(void)
{
	int n = g_rand_int_range(rnd, 0, PROCS);

	switch (g_rand_int_range(rnd, 0, 5)) {
	case 0:
		procs[n].frozen_until_us =
			sim_now + g_rand_int_range(rnd, 50, 3000) * MS;
		break;
	case 1:
		for (int i = 0; i < PROCS; i++)
			procs[i].cut = i == n;
		break;
	case 2:
		for (int i = 0; i < PROCS; i++)
			procs[i].cut = false;
		break;
	case 3:
		if (n != leader && majority_of(n) >= 2)
			elect(n, g_rand_boolean(rnd));
		break;
	case 4:
		if (!procs[n].ctl.leading)
			break;
		end_leading(n);
		if (leader == n)
			leader = -1;
		break;
	}
}

/*
 * One operator alternates between orders and withdrawals, with every try at any
 * process, while links, processes and leaders fail at random.  Guards against a
 * try that takes effect after a later order was acknowledged, and against the
 * answer "not run" for one that was.
 */
START_TEST(test_random_faults)
{
	int acknowledged = 0;

	for (uint32_t seed = 1; seed <= 12; seed++) {
		run_start(seed);
		slow_rate = 0.2;
		for (int i = 0; i < 20; i++) {
			bool begins = g_rand_boolean(rnd);
			int id, tries = 0;

			is_settled = false;
			do {
				id = send_order(g_rand_int_range(rnd, 0, PROCS),
						begins);
				for (int k = 0; k < 4; k++) {
					if (g_rand_double(rnd) < 0.3)
						random_fault();
					run_until(sim_now + PATIENCE_US / 4,
						  check_settled);
				}
			} while (attempts[id].status != 200 && ++tries < 20);
			if (attempts[id].status != 200)
				continue;
			acknowledged++;
			is_settled = true;
			settled_state = begins;
			check_settled();
			run_until(sim_now + 3 * USEC_PER_SEC, check_settled);
		}
		is_settled = false;
		run_end();
	}
	/* Else the faults leave nothing to check. */
	ck_assert_int_gt(acknowledged, 120);
}
END_TEST

RUN_TESTS("evacuate", test_leader_lost_before_the_answer,
	  test_leader_lost_for_long, test_leader_deposed_before_the_commit,
	  test_entry_of_deposed_leader, test_ticket_of_former_leader,
	  test_order_behind_another, test_answer_while_nothing_commits,
	  test_order_older_than_leader, test_ages_add_up,
	  test_order_and_withdrawal, test_minority_with_old_order,
	  test_loss_of_all_power, test_random_faults)
