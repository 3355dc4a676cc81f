/*
 * The first byte selects the state of voter 1: without state (0), follower of
 * a group of three that has received no message from a leader yet (1), or its
 * leader (2).  The rest is a RepMsg from another process of the cluster.  A
 * decoded message must be the same after encoding and decoding, and the core
 * must process it, also twice, and keep its invariants over the following
 * ticks.
 */
#include "tests/fuzz/replay.h"

#include <string.h>

#include "base/clock.h"
#include "rep/rep_wire.h"

enum state { EMPTY, FOLLOWER, LEADER, N_STATES };

static const int64_t start_us = 1000 * USEC_PER_SEC;

/*
 * Checks the invariants of the output that its consumers rely on, and confirms
 * its writes as synced.
 */
static void process_output(struct rep *r, int64_t now)
{
	uint64_t last = rep_last_index(r), next = 0;
	struct rep_output out;

	rep_take_output(r, &out);
	FUZZ_CHECK(rep_commit_index(r) <= last);
	FUZZ_CHECK(!out.has_install || out.install.data);
	for (guint i = 0; i < out.append->len; i++) {
		const struct rep_entry *e = out.append->pdata[i];

		/* No gaps, but an entry may replace earlier ones. */
		FUZZ_CHECK(e->index && (!next || e->index <= next));
		next = e->index + 1;
	}
	for (guint i = 0; i < out.commit->len; i++) {
		const struct rep_entry *e = out.commit->pdata[i];

		FUZZ_CHECK(e->index <= rep_commit_index(r));
	}
	if (out.write_seq)
		rep_synced(r, now, out.write_seq);
	rep_output_release(&out);
}

/*
 * Delivers to voter 1 a reply from voter 2 that grants the pre-vote or vote
 * request just sent; type is the type of the reply.  Discards all other output.
 */
static void deliver_vote_grant(struct rep *r, int64_t now, uint32_t type)
{
	struct rep_output out;

	rep_take_output(r, &out);
	for (guint i = 0; i < out.msgs->len; i++) {
		const struct rep_msg *m = out.msgs->pdata[i];
		struct rep_msg *reply;

		if (m->to != 2 || m->type + 1 != type)
			continue;
		reply = rep_msg_new(type, 2, 1, m->term);
		reply->ok = true;
		reply->sent_us = m->sent_us;
		rep_step(r, now, reply);
		rep_msg_free(reply);
	}
	rep_output_release(&out);
}

static struct rep *new_rep_in_state(enum state state, int64_t *now)
{
	const struct rep_cfg cfg = {.id = 1, .seed = 1, .keep_entries = 4};
	const struct rep_stored empty = {0};
	struct rep_voters vs = {.n = 3};
	struct rep *r = rep_new(&cfg, &empty, *now);

	FUZZ_CHECK(r);
	for (uint32_t i = 0; i < vs.n; i++)
		vs.v[i].id = i + 1;
	if (state == EMPTY)
		return r;
	FUZZ_CHECK(!rep_bootstrap(r, *now, &vs));
	process_output(r, *now);
	if (state == FOLLOWER)
		return r;
	*now += 3 * USEC_PER_SEC;
	rep_tick(r, *now);
	deliver_vote_grant(r, *now, REP_PREVOTE_REPLY);
	deliver_vote_grant(r, *now, REP_VOTE_REPLY);
	FUZZ_CHECK(rep_role(r) == REP_LEADER);
	process_output(r, *now);
	return r;
}

static void check_encoding(const struct rep_msg *m)
{
	Mw__RepMsg *w = rep_wire_from_msg(m), *w2;
	size_t len = mw__rep_msg__get_packed_size(w);
	uint8_t *a = g_malloc(len + 1), *b = g_malloc(len + 1);
	struct rep_msg *copy = rep_wire_to_msg(w);

	FUZZ_CHECK(copy);
	w2 = rep_wire_from_msg(copy);
	FUZZ_CHECK(mw__rep_msg__get_packed_size(w2) == len);
	mw__rep_msg__pack(w, a);
	mw__rep_msg__pack(w2, b);
	FUZZ_CHECK(!memcmp(a, b, len));
	rep_wire_free(w2);
	rep_wire_free(w);
	rep_msg_free(copy);
	g_free(a);
	g_free(b);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	int64_t now = start_us;
	struct rep_msg *m;
	struct rep *r;
	Mw__RepMsg *w;

	if (!size)
		return 0;
	w = mw__rep_msg__unpack(NULL, size - 1, data + 1);
	m = w ? rep_wire_to_msg(w) : NULL;
	if (w)
		mw__rep_msg__free_unpacked(w, NULL);
	if (!m)
		return 0;
	check_encoding(m);
	r = new_rep_in_state(data[0] % N_STATES, &now);
	/*
	 * The core asserts that a term has one leader, so no other process
	 * sends a leader's message in the term that voter 1 leads: skip such
	 * input.
	 */
	if (rep_role(r) != REP_LEADER || m->term != rep_term(r) ||
	    (m->type != REP_APPEND && m->type != REP_SNAP)) {
		for (int i = 0; i < 2; i++) {
			rep_step(r, now, m);
			process_output(r, now);
		}
		for (int i = 0; i < 40; i++) {
			now += 50 * USEC_PER_MSEC;
			rep_tick(r, now);
			process_output(r, now);
		}
	}
	rep_free(r);
	rep_msg_free(m);
	return 0;
}
