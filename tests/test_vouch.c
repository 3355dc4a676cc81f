#include "check_main.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/clock.h"
#include "policy/blame.h"
#include "policy/vouch.h"

#define MS USEC_PER_MSEC
#define PART BLAME_PART_PREFIX "shared"

/*
 * Plays hosts that serve requests of which many share a part, while endpoints
 * crash for another reason with some of these requests unanswered.  Marks and
 * notices take WAY_US from one host to all others.
 */
#define HOSTS_MAX 400
#define STEP_US (5 * MS)
#define WAY_US (35 * MS)
#define SERVE_US (300 * MS) /* until a request's answer has begun */
#define RUN_US (12 * USEC_PER_SEC)
#define IN_FLIGHT_MAX 4096

struct host {
	struct blame *blame;
	struct vouch *vouch;
};

enum kind { SERVED, CRASH_MARK, NOTICE };

/* What happens at a host, or at all other hosts, at a time. */
struct event {
	enum kind kind;
	int64_t due_us;
	unsigned int host;
	unsigned int crash; /* number of the crash */
};

struct fleet {
	unsigned int n_hosts;
	double requests_per_s; /* with the part, to all hosts */
	int64_t crash_interval_us;
	unsigned int unanswered; /* requests with the part, in each crash */
	bool vouches;
	bool deadly; /* no request with the part is served */
	GRand *rand;
	struct host hosts[HOSTS_MAX];
	struct event events[IN_FLIGHT_MAX];
	size_t n_events;
	unsigned int crashes, refused, accepted, notices;
	int64_t last_accepted_us;
};

static void add_event(struct fleet *f, enum kind kind, int64_t due_us,
		      unsigned int host)
{
	ck_assert_uint_lt(f->n_events, IN_FLIGHT_MAX);
	f->events[f->n_events++] = (struct event){.kind = kind,
						  .due_us = due_us,
						  .host = host,
						  .crash = f->crashes};
}

static unsigned int random_host(struct fleet *f)
{
	return (unsigned int)g_rand_int_range(f->rand, 0, (gint)f->n_hosts);
}

static bool record_crash(struct host *h, unsigned int crash, int64_t now)
{
	return blame_record_crash(h->blame, PART, "e", crash, now / MS, now);
}

/* As crashes_handle_mark() does. */
static void handle_mark(struct fleet *f, struct host *h, unsigned int crash,
			int64_t now)
{
	if (!blame_was_served(h->blame, PART, now))
		record_crash(h, crash, now);
	else if (f->vouches)
		vouch_consider(h->vouch, PART, g_rand_double(f->rand), now);
}

static void happen(struct fleet *f, const struct event *e, int64_t now)
{
	if (e->kind == SERVED) {
		blame_record_success(f->hosts[e->host].blame, PART, now);
		return;
	}
	for (unsigned int i = 0; i < f->n_hosts; i++) {
		struct host *h = &f->hosts[i];

		if (i == e->host)
			continue;
		if (e->kind == CRASH_MARK) {
			handle_mark(f, h, e->crash, now);
			continue;
		}
		blame_clear(h->blame, PART);
		vouch_heard(h->vouch, PART, now);
	}
}

static void handle_due_events(struct fleet *f, int64_t now)
{
	size_t kept = 0, n = f->n_events;
	struct event *due = g_memdup2(f->events, n * sizeof(*due));

	for (size_t i = 0; i < n; i++)
		if (due[i].due_us > now)
			f->events[kept++] = due[i];
	f->n_events = kept;
	for (size_t i = 0; i < n; i++)
		if (due[i].due_us <= now)
			happen(f, &due[i], now);
	g_free(due);
}

/* An endpoint crashes with some requests unanswered, of hosts at random. */
static void crash_endpoint(struct fleet *f, int64_t now)
{
	f->crashes++;
	for (unsigned int i = 0; i < f->unanswered; i++) {
		unsigned int host = random_host(f);

		if (record_crash(&f->hosts[host], f->crashes, now))
			add_event(f, CRASH_MARK, now + WAY_US, host);
	}
}

static void request(struct fleet *f, int64_t now)
{
	const char *const traits[] = {PART, BLAME_REQUEST_PREFIX "own"};
	unsigned int host = random_host(f);

	if (blame_refuses(f->hosts[host].blame, traits, 2, now / MS, NULL)) {
		f->refused++;
		return;
	}
	f->accepted++;
	f->last_accepted_us = now;
	if (f->deadly)
		crash_endpoint(f, now);
	else
		add_event(f, SERVED, now + SERVE_US, host);
}

static void send_notices(struct fleet *f, int64_t now)
{
	for (unsigned int i = 0; i < f->n_hosts; i++) {
		struct host *h = &f->hosts[i];

		while (vouch_next(h->vouch, now)) {
			f->notices++;
			blame_clear(h->blame, PART);
			add_event(f, NOTICE, now + WAY_US, i);
		}
	}
}

static void play(struct fleet *f)
{
	double requests = 0;
	int64_t next_crash_us = USEC_PER_SEC;

	f->rand = g_rand_new_with_seed(f->n_hosts);
	for (unsigned int i = 0; i < f->n_hosts; i++)
		f->hosts[i] = (struct host){.blame = blame_new(0),
					    .vouch = vouch_new(0)};
	for (int64_t now = STEP_US; now < RUN_US; now += STEP_US) {
		handle_due_events(f, now);
		if (!f->deadly && now >= next_crash_us) {
			crash_endpoint(f, now);
			next_crash_us += f->crash_interval_us;
		}
		for (requests += f->requests_per_s * STEP_US / USEC_PER_SEC;
		     requests >= 1; requests--)
			request(f, now);
		send_notices(f, now);
	}
	for (unsigned int i = 0; i < f->n_hosts; i++) {
		blame_free(f->hosts[i].blame);
		vouch_free(f->hosts[i].vouch);
	}
	g_rand_free(f->rand);
}

/*
 * Guards against the refusal of sound requests by hundreds of hosts, of which
 * each serves a shared part once in seconds, while endpoints crash in a row.
 * Without notices hosts of this load refuse; a few hosts never did.
 */
START_TEST(test_shared_part_of_many_hosts)
{
	static const unsigned int n_hosts[] = {6, 88, 300, 400};

	for (size_t i = 0; i < G_N_ELEMENTS(n_hosts); i++) {
		struct fleet *f = g_new0(struct fleet, 1);

		f->n_hosts = n_hosts[i];
		f->requests_per_s = 16;
		f->crash_interval_us = 170 * MS;
		f->unanswered = 4;
		f->vouches = true;
		play(f);
		ck_assert_uint_gt(f->accepted, 170);
		ck_assert_uint_eq(f->refused, 0);
		/* A notice goes to all hosts. */
		ck_assert_uint_le(f->notices, 20 * f->crashes);
		g_free(f);
	}
}
END_TEST

/* The load of the test before is one at which hosts refuse without notices. */
START_TEST(test_load_needs_notices)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->n_hosts = 300;
	f->requests_per_s = 16;
	f->crash_interval_us = 170 * MS;
	f->unanswered = 4;
	play(f);
	ck_assert_uint_gt(f->refused, 20);
	g_free(f);
}
END_TEST

/* Guards against a part that goes on crashing endpoints because hosts vouch
 * for it. */
START_TEST(test_deadly_part_is_blamed)
{
	static const unsigned int n_hosts[] = {6, 300};

	for (size_t i = 0; i < G_N_ELEMENTS(n_hosts); i++) {
		struct fleet *f = g_new0(struct fleet, 1);

		f->n_hosts = n_hosts[i];
		f->requests_per_s = 16;
		f->unanswered = 1;
		f->vouches = f->deadly = true;
		play(f);
		ck_assert_uint_eq(f->notices, 0);
		ck_assert_uint_le(f->accepted, 8);
		ck_assert_int_lt(f->last_accepted_us, USEC_PER_SEC);
		g_free(f);
	}
}
END_TEST

/* Guards against a notice of each host, and against notices without bound. */
START_TEST(test_one_notice_is_enough)
{
	struct vouch *v = vouch_new(2);

	vouch_consider(v, "a", 0.5, 0);
	ck_assert_ptr_null(vouch_next(v, VOUCH_DELAY_MAX_US / 2));
	vouch_heard(v, "a", VOUCH_DELAY_MAX_US / 2);
	ck_assert_ptr_null(vouch_next(v, VOUCH_DELAY_MAX_US));
	vouch_consider(v, "a", 0, VOUCH_DELAY_MAX_US / 2 + 1);
	ck_assert_ptr_null(vouch_next(v, VOUCH_DELAY_MAX_US));
	int64_t now = VOUCH_DELAY_MAX_US + VOUCH_QUIET_US;
	vouch_consider(v, "a", 1, now);
	vouch_consider(v, "b", 0, now);
	vouch_consider(v, "c", 0, now);
	ck_assert_str_eq(vouch_next(v, now + 1), "b");
	ck_assert_ptr_null(vouch_next(v, now + 1));
	ck_assert_str_eq(vouch_next(v, now + 1 + VOUCH_DELAY_MAX_US), "a");
	ck_assert_ptr_null(vouch_next(v, now + 1 + VOUCH_DELAY_MAX_US));
	/* Traits that are over make room. */
	now += USEC_PER_SEC;
	vouch_consider(v, "c", 0, now);
	ck_assert_str_eq(vouch_next(v, now + 1), "c");
	vouch_free(v);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_shared_part_of_many_hosts, test_load_needs_notices,
		test_deadly_part_is_blamed, test_one_notice_is_enough};

	return check_main("vouch", tests, sizeof(tests) / sizeof(*tests));
}
