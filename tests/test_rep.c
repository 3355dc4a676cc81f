/*
 * Unit tests of the replicated log: a few voters, between which the test itself
 * delivers messages and reports syncs.
 */
#include "tests/rep_group.h"

/* Guards against a commit of an entry that is not synced on a majority. */
START_TEST(test_commit_needs_synced_majority)
{
	struct rep *l = voters[leader()];
	uint64_t before = rep_commit_index(l);

	no_sync[next_voter(leader())] =
		no_sync[next_voter(next_voter(leader()))] = true;
	propose(l, 1);
	deliver_all();
	ck_assert_uint_eq(rep_commit_index(l), before);
	no_sync[next_voter(leader())] = false;
	deliver_all();
	ck_assert_uint_eq(rep_commit_index(l), before + 1);
}
END_TEST

/*
 * Guards against one message per proposal, and against appending a rejected
 * proposal.
 */
START_TEST(test_propose)
{
	struct rep *l = voters[leader()], *f = voters[next_voter(leader())];
	static uint8_t big[REP_MAX_ENTRY + 1];
	uint64_t index, before = rep_last_index(l);

	deliver_all();
	max_msgs = 0;
	propose(l, 100);
	deliver_all();
	ck_assert_uint_le(max_msgs, 2);
	ck_assert_uint_eq(rep_commit_index(l), before + 100);
	ck_assert_int_eq(rep_propose(f, now, "x", 1, &index), -MW_ENOTLEADER);
	ck_assert_int_eq(rep_propose(l, now, big, sizeof(big), &index),
			 -MW_ETOOBIG);
	ck_assert_uint_eq(rep_last_index(l), before + 100);
	isolated[leader()] = true;
	propose(l, 8192);
	ck_assert_int_eq(rep_propose(l, now, "x", 1, &index), -MW_EAGAIN);
}
END_TEST

/*
 * Guards against a voter that deposes a healthy leader when it returns from a
 * partition.
 */
START_TEST(test_return_from_partition)
{
	uint32_t l = leader(), f = next_voter(l);
	uint64_t term = rep_term(voters[l]);

	isolated[f] = true;
	run_for_us(60 * USEC_PER_SEC);
	ck_assert_uint_eq(rep_term(voters[f]), term);
	isolated[f] = false;
	for (int i = 0; i < 100; i++) {
		run_for_us(50 * MSEC);
		ck_assert_uint_eq(leader(), l);
		ck_assert(rep_lease_valid(voters[l], now));
	}
	ck_assert_uint_eq(rep_term(voters[l]), term);
}
END_TEST

/* Guards against an isolated leader that keeps its lease or its role. */
START_TEST(test_cut_off_leader)
{
	uint32_t l = leader();
	int64_t start = now, until = rep_lease_until(voters[l]);

	ck_assert(until <= now + MIN_ELECTION_US -
				   MIN_ELECTION_US * CLOCK_DRIFT_PERCENT / 100);
	ck_assert(until > now + MIN_ELECTION_US - 300 * MSEC);
	isolated[l] = true;
	run_for_us(MIN_ELECTION_US - 300 * MSEC);
	ck_assert_uint_eq(leader(), 0);
	ck_assert_int_eq(rep_lease_until(voters[l]), until);
	now = start + MIN_ELECTION_US;
	ck_assert(!rep_lease_valid(voters[l], now));
	run_for_us(100 * MSEC);
	ck_assert_int_eq(rep_role(voters[l]), REP_FOLLOWER);
	ck_assert_uint_eq(rep_leader(voters[l]), 0);
	run_for_us(2 * USEC_PER_SEC);
	ck_assert_uint_ne(leader(), 0);
	isolated[l] = false;
	run_for_us(USEC_PER_SEC);
	ck_assert_uint_eq(rep_leader(voters[l]), leader());
}
END_TEST

static struct rep_msg *new_vote_request(uint32_t type, uint32_t from,
					uint32_t to, uint64_t term)
{
	struct rep_msg *m = rep_msg_new(type, from, to, term);

	m->prev_index = 1000000;
	m->prev_term = term - 1;
	return m;
}

/* Guards against a vote during a lease and against two votes in one term. */
START_TEST(test_votes)
{
	uint32_t l = leader(), f = next_voter(l);
	uint64_t term = rep_term(voters[l]);
	struct rep_msg *m = new_vote_request(REP_VOTE, 9, f, term + 1);
	struct rep_output out;

	rep_step(voters[f], now, m);
	ck_assert_uint_eq(rep_term(voters[f]), term);
	isolated[f] = true;
	run_for_us(20 * MSEC);
	now += MIN_ELECTION_US;
	rep_step(voters[f], now, m);
	rep_take_output(voters[f], &out);
	ck_assert(out.save_vote && out.vote.vote == 9);
	ck_assert(((struct rep_msg *)out.msgs->pdata[0])->ok);
	rep_output_release(&out);
	m->from = 8;
	rep_step(voters[f], now, m);
	rep_take_output(voters[f], &out);
	ck_assert(!((struct rep_msg *)out.msgs->pdata[0])->ok);
	rep_output_release(&out);
	/*
	 * After a restart the vote persists, and the minimum election timeout
	 * begins again.
	 */
	rep_free(voters[f]);
	struct rep_vote vote = {f, 9, term + 1, true};
	voters[f] = make_voter(f, &vote);
	m->term = term + 2;
	now += MIN_ELECTION_US - 1;
	rep_step(voters[f], now, m);
	ck_assert_uint_eq(rep_term(voters[f]), term + 1);
	rep_step(voters[f], now + 1, m);
	ck_assert_uint_eq(rep_term(voters[f]), term + 2);
	rep_msg_free(m);
}
END_TEST

/*
 * Guards against a voter that lost its disk and takes part under its old id,
 * and against starting from the files of another voter.
 */
START_TEST(test_empty_disk)
{
	uint32_t l = leader(), f = next_voter(l);
	struct rep_vote wrong = {.id = 9, .term = 1, .joined = true};
	struct rep_msg *m = new_vote_request(REP_PREVOTE, l, f, 50);

	ck_assert_ptr_null(make_voter(f, &wrong));
	rep_free(voters[f]);
	voters[f] = make_voter(f, NULL);
	unsynced_seq[f] = 0;
	run_for_us(20 * USEC_PER_SEC);
	ck_assert(!rep_joined(voters[f]));
	ck_assert_uint_eq(rep_last_index(voters[f]), 0);
	rep_step(voters[f], now, m);
	carry_out_output(f);
	ck_assert_uint_eq(in_transit->len, 0);
	rep_msg_free(m);
	/* It is replaced under a new id. */
	voters[4] = make_voter(4, NULL);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, f, 4, "127.0.0.1:4"),
			 0);
	run_for_us(USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[l]));
	ck_assert(rep_joined(voters[4]) && saved_votes[4].joined);
	ck_assert_ptr_null(rep_voter_find(rep_voters(voters[4]), f));
	ck_assert_uint_eq(rep_voters(voters[4])->n, 3);
	ck_assert_uint_eq(rep_commit_index(voters[4]),
			  rep_commit_index(voters[l]));
}
END_TEST

/*
 * Guards against a voter that never takes part as it failed after the others
 * had learned the id on its disk and before it had bootstrapped: the loss of
 * another one would leave the group without a majority.
 */
START_TEST(test_voter_that_missed_bootstrap)
{
	struct rep_voters vs = initial_voters(3);
	struct rep_cfg cfg = {.id = 3, .seed = 5, .id_of_disk = true};
	struct rep_stored empty = {.vote = {.id = 3}};

	teardown();
	setup_voters(2, &vs);
	voters[3] = rep_new(&cfg, &empty, now);
	run_for_us(4 * USEC_PER_SEC);
	ck_assert(saved_votes[3].joined);
	isolated[leader()] = true;
	run_for_us(2 * MIN_ELECTION_US);
	check_commits(leader());
}
END_TEST

/* Guards against a bootstrap over existing state and against invalid lists. */
START_TEST(test_bootstrap)
{
	struct rep_voters vs = initial_voters(3);

	ck_assert_int_eq(rep_bootstrap(voters[1], now, &vs), -MW_EINVAL);
	voters[4] = make_voter(4, NULL);
	ck_assert_int_eq(rep_bootstrap(voters[4], now, &vs), -MW_EINVAL);
	vs.v[0].id = 4;
	vs.v[1].id = 4;
	ck_assert_int_eq(rep_bootstrap(voters[4], now, &vs), -MW_EINVAL);
	vs.n = 1;
	ck_assert_int_eq(rep_bootstrap(voters[4], now, &vs), 0);
	run_for_us(2100 * MSEC);
	ck_assert_int_eq(rep_role(voters[4]), REP_LEADER);
	ck_assert(rep_leader_ready(voters[4]) &&
		  rep_lease_valid(voters[4], now));
}
END_TEST

/*
 * Guards against two voter changes at once, and against a list that no majority
 * can commit.
 */
START_TEST(test_change_refusals)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);

	ck_assert_int_eq(rep_add_voter(voters[f], now, 4, "a"), -MW_ENOTLEADER);
	ck_assert_int_eq(rep_add_voter(voters[l], now, f, "a"), -MW_EINVAL);
	ck_assert_int_eq(rep_remove_voter(voters[l], now, 7), -MW_ENOTFOUND);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, 7, 4, "a"),
			 -MW_ENOTFOUND);
	ck_assert_int_eq(rep_add_voter(voters[l], now, 4, "a"), 0);
	ck_assert_int_eq(rep_add_voter(voters[l], now, 5, "a"), -MW_EAGAIN);
	ck_assert_int_eq(rep_remove_voter(voters[l], now, f), -MW_EAGAIN);
	deliver_all();
	/* Voter 4 does not reply: it stays a learner and can be removed. */
	run_for_us(5 * USEC_PER_SEC);
	ck_assert_int_eq(rep_add_voter(voters[l], now, 5, "a"), -MW_EAGAIN);
	ck_assert_int_eq(rep_remove_voter(voters[l], now, 4), 0);
	deliver_all();
	ck_assert(rep_voters_settled(voters[l]));
	/* With f unreachable, g is needed for a majority. */
	isolated[f] = true;
	run_for_us(2 * USEC_PER_SEC);
	ck_assert_int_eq(rep_remove_voter(voters[l], now, g), -MW_EAGAIN);
	ck_assert_int_eq(rep_remove_voter(voters[l], now, f), 0);
}
END_TEST

/* Adds voter 4 and waits for its promotion. */
static void add_fourth_voter(void)
{
	voters[4] = make_voter(4, NULL);
	ck_assert_int_eq(rep_add_voter(voters[leader()], now, 4, "a"), 0);
	run_for_us(USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[leader()]));
	ck_assert_uint_eq(rep_voters(voters[leader()])->n, 4);
}

/*
 * Guards against a promotion while one of 3 voters is unreachable, which would
 * make the group depend on the new voter at once, and against a waiting learner
 * that prevents the replacement of the unreachable voter.
 */
START_TEST(test_promotion_waits)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);

	isolated[f] = true;
	run_for_us(2 * USEC_PER_SEC);
	voters[4] = make_voter(4, NULL);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, g, 4, "a"), 0);
	run_for_us(3 * USEC_PER_SEC);
	ck_assert(is_learner(l, 4) && rep_member_change_waits(voters[l], 4));
	ck_assert(!rep_member_change_waits(voters[g], 4));
	ck_assert_uint_eq(rep_commit_index(voters[4]),
			  rep_commit_index(voters[l]));
	isolated[4] = true;
	check_commits(l);
	/*
	 * Only the replacement of the unreachable voter cancels the waiting
	 * change.
	 */
	ck_assert_int_eq(rep_add_voter(voters[l], now, 5, "a"), -MW_EAGAIN);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, g, 5, "a"),
			 -MW_EAGAIN);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, 9, 5, "a"),
			 -MW_EAGAIN);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, f, 4, "a"),
			 -MW_EINVAL);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, f, 5, "a"), 0);
	ck_assert(!has_member(l, 4) && is_learner(l, 5));
	deliver_all();
	/*
	 * The replacement does not wait, so a repeated request does not cancel
	 * it.
	 */
	ck_assert(!rep_member_change_waits(voters[l], 5));
	ck_assert_int_eq(rep_replace_voter(voters[l], now, f, 6, "a"),
			 -MW_EAGAIN);
	voters[5] = make_voter(5, NULL);
	run_for_us(2 * USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[l]));
	ck_assert(has_member(l, l) && has_member(l, g) && has_member(l, 5));
	ck_assert_uint_eq(rep_voters(voters[l])->n, 3);
}
END_TEST

/*
 * Guards against a learner that still waits after the unreachable voter has
 * returned.
 */
START_TEST(test_wait_ends)
{
	uint32_t l = leader(), f = next_voter(l);

	isolated[f] = true;
	run_for_us(2 * USEC_PER_SEC);
	voters[4] = make_voter(4, NULL);
	ck_assert_int_eq(rep_add_voter(voters[l], now, 4, "a"), 0);
	run_for_us(3 * USEC_PER_SEC);
	ck_assert(is_learner(l, 4) && rep_member_change_waits(voters[l], 4));
	isolated[f] = false;
	run_for_us(USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[l]));
	ck_assert_uint_eq(rep_voters(voters[l])->n, 4);
	/* With an even number of voters the majority does not grow: no wait. */
	isolated[f] = true;
	run_for_us(2 * USEC_PER_SEC);
	voters[5] = make_voter(5, NULL);
	ck_assert_int_eq(rep_add_voter(voters[l], now, 5, "a"), 0);
	run_for_us(USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[l]));
	/* Removing the unreachable voter ends the wait as well. */
	voters[6] = make_voter(6, NULL);
	ck_assert_int_eq(rep_add_voter(voters[l], now, 6, "a"), 0);
	run_for_us(USEC_PER_SEC);
	ck_assert(rep_member_change_waits(voters[l], 6));
	ck_assert_int_eq(rep_remove_voter(voters[l], now, f), 0);
	run_for_us(USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[l]));
	ck_assert_uint_eq(rep_voters(voters[l])->n, 5);
}
END_TEST

/*
 * Guards against a promotion before the removal of the unreachable voter, which
 * would raise the majority meanwhile.
 */
START_TEST(test_silent_voter_goes_first)
{
	uint32_t l = leader(), f = next_voter(l);

	isolated[f] = true;
	run_for_us(2 * USEC_PER_SEC);
	voters[4] = make_voter(4, NULL);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, f, 4, "a"), 0);
	for (int i = 0; i < 50; i++) {
		run_for_us(20 * MSEC);
		ck_assert(is_learner(l, 4) || !has_member(l, f));
	}
	ck_assert(rep_voters_settled(voters[l]) && !is_learner(l, 4));
}
END_TEST

static void run_old_version(void)
{
	for (uint32_t id = 1; id <= MAX_ID; id++)
		old_version[id] = true;
	run_for_us(USEC_PER_SEC);
}

/*
 * Guards against the removal of a reachable voter while another is unreachable,
 * and against a group that can neither complete this removal nor replace the
 * unreachable voter, while members run a version without joint lists.
 */
START_TEST(test_removal_waits)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);

	run_old_version();
	add_fourth_voter();
	isolated[f] = true;
	run_for_us(2 * USEC_PER_SEC);
	voters[5] = make_voter(5, NULL);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, g, 5, "a"), 0);
	run_for_us(2 * USEC_PER_SEC);
	ck_assert(has_member(l, g) && has_member(l, 5) && !is_learner(l, 5));
	ck_assert(rep_member_change_waits(voters[l], 5));
	isolated[5] = true;
	run_for_us(2 * USEC_PER_SEC);
	check_commits(l);
	voters[6] = make_voter(6, NULL);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, f, 6, "a"), 0);
	run_for_us(2 * USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[l]));
	ck_assert(!has_member(l, f) && has_member(l, g) && has_member(l, 6));
	ck_assert_uint_eq(rep_voters(voters[l])->n, 5);
	check_commits(l);
}
END_TEST

/*
 * Guards against a new leader that considers a voter unreachable before that
 * voter could reply, while members run a version without joint lists.
 */
START_TEST(test_new_leader_waits)
{
	uint32_t old = leader(), l;

	run_old_version();
	ck_assert_int_eq(rep_replace_voter(voters[old], now, old, 4, "a"), 0);
	deliver_all();
	isolated[old] = true;
	while (!leader())
		run_for_us(20 * MSEC);
	l = leader();
	voters[4] = make_voter(4, NULL);
	run_for_us(MSEC * 1000);
	ck_assert(has_member(l, old) && is_learner(l, 4));
	ck_assert_int_eq(rep_replace_voter(voters[l], now, old, 5, "a"),
			 -MW_EAGAIN);
	ck_assert(has_member(l, 4));
	/* It stays unreachable, so it is removed before the promotion. */
	run_for_us(USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[l]));
	ck_assert(!has_member(l, old) && has_member(l, 4) && !is_learner(l, 4));
}
END_TEST

/*
 * Guards against a step that counts on a voter that has replied recently and
 * has just failed: the list it appends could never be committed.
 */
START_TEST(test_step_needs_fresh_answers)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);

	isolated[f] = true;
	run_for_us(2 * USEC_PER_SEC);
	ck_assert_int_eq(rep_replace_voter(voters[l], now, f, 4, "a"), 0);
	deliver_all();
	voters[4] = make_voter(4, NULL);
	for (int i = 0; has_member(l, f) && i < 100; i++) {
		/* Ticks until f is removed; g fails after the first one. */
		now += 20 * MSEC;
		rep_tick(voters[l], now);
		if (i == 0)
			isolated[g] = true;
		deliver_all();
	}
	ck_assert(has_member(l, f) && is_learner(l, 4));
	isolated[f] = isolated[g] = false;
	run_for_us(5 * USEC_PER_SEC);
	ck_assert_uint_ne(leader(), 0);
}
END_TEST

/*
 * Guards against a step that changes from a promotion to a removal, as the old
 * voter fails, and counts on replies from before that change, while members
 * run a version without joint lists.
 */
START_TEST(test_step_of_another_kind)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);

	run_old_version();
	ck_assert_int_eq(rep_replace_voter(voters[l], now, f, 4, "a"), 0);
	deliver_all();
	isolated[f] = true;
	voters[4] = make_voter(4, NULL);
	run_for_us(USEC_PER_SEC);
	ck_assert(has_member(l, f) && is_learner(l, 4));
	isolated[g] = true;
	run_for_us(USEC_PER_SEC);
	ck_assert_uint_eq(leader(), l);
	ck_assert(has_member(l, f));
	isolated[g] = false;
	run_for_us(USEC_PER_SEC);
	ck_assert(rep_voters_settled(voters[l]));
	ck_assert(!has_member(l, f) && has_member(l, 4));
}
END_TEST

/*
 * Guards against a lease of a leader that has removed itself, beside a leader
 * that the others elect as they restart.
 */
START_TEST(test_removed_leader_has_no_lease)
{
	uint32_t l = leader();

	ck_assert(rep_lease_valid(voters[l], now));
	ck_assert_int_eq(rep_remove_voter(voters[l], now, l), 0);
	ck_assert_int_eq(rep_role(voters[l]), REP_LEADER);
	ck_assert(!rep_lease_valid(voters[l], now));
	run_for_us(5 * USEC_PER_SEC);
	ck_assert_uint_ne(leader(), l);
	check_commits(leader());
}
END_TEST

/* Guards against a voter change before the no-op of the term is committed. */
START_TEST(test_change_before_no_op)
{
	uint32_t old = leader(), l;

	isolated[old] = true;
	no_sync[1] = no_sync[2] = no_sync[3] = true;
	run_for_us(5 * USEC_PER_SEC);
	l = leader();
	ck_assert_uint_ne(l, 0);
	ck_assert(!rep_leader_ready(voters[l]));
	ck_assert_int_eq(rep_remove_voter(voters[l], now, old), -MW_EAGAIN);
	no_sync[1] = no_sync[2] = no_sync[3] = false;
	deliver_all();
	ck_assert(rep_leader_ready(voters[l]));
	ck_assert_int_eq(rep_remove_voter(voters[l], now, old), 0);
}
END_TEST

/* Guards against a removed leader that does not step down. */
START_TEST(test_leader_removes_itself)
{
	uint32_t l = leader();

	ck_assert_int_eq(rep_remove_voter(voters[l], now, l), 0);
	deliver_all();
	ck_assert_int_eq(rep_role(voters[l]), REP_FOLLOWER);
	run_for_us(5 * USEC_PER_SEC);
	ck_assert_uint_ne(leader(), l);
	ck_assert_uint_eq(rep_voters(voters[leader()])->n, 2);
	ck_assert_int_eq(rep_role(voters[l]), REP_FOLLOWER);
}
END_TEST

/*
 * Guards against a removed voter that starts no election after a restart
 * although the group needs it: it alone has the list that removes it, which is
 * not committed.
 */
START_TEST(test_removed_voter_restarts)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);
	struct rep_cfg cfg = {.id = l, .seed = 5, .keep_entries = 4};
	struct rep_stored st = {0};

	add_fourth_voter();
	isolated[f] = isolated[g] = isolated[4] = true;
	ck_assert_int_eq(rep_remove_voter(voters[l], now, l), 0);
	deliver_all();
	rep_free(voters[l]);
	st.vote = saved_votes[l];
	st.entries = stored_entries[l];
	voters[l] = rep_new(&cfg, &st, now);
	ck_assert_ptr_nonnull(voters[l]);
	applied[l] = 0;
	/* f stays isolated: 3 of the 4 previous voters are left. */
	isolated[g] = isolated[4] = false;
	run_for_us(10 * USEC_PER_SEC);
	ck_assert_uint_ne(leader(), 0);
	ck_assert_uint_ne(leader(), l);
	ck_assert(!has_member(leader(), l));
	check_commits(leader());
}
END_TEST

/* Restarts a voter from its stored vote and entries. */
static void restart_voter(uint32_t id)
{
	struct rep_cfg cfg = {.id = id, .seed = 5 + id, .keep_entries = 4};
	struct rep_stored st = {.vote = saved_votes[id],
				.entries = stored_entries[id]};

	rep_free(voters[id]);
	voters[id] = rep_new(&cfg, &st, now);
	ck_assert_ptr_nonnull(voters[id]);
	applied[id] = 0;
	unsynced_seq[id] = 0;
}

/*
 * Guards against two seconds without a leader after all voters were killed at
 * the same time: hosts that restart with them have no settings until then.
 */
START_TEST(test_all_restart_elects_early)
{
	for (uint32_t id = 1; id <= 3; id++)
		restart_voter(id);
	run_for_us(MIN_ELECTION_US / 2);
	ck_assert_uint_ne(leader(), 0);
}
END_TEST

/*
 * Guards against a startup election while a leader that has not restarted may
 * still hold its lease.
 */
START_TEST(test_some_restart_waits)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);

	isolated[l] = true;
	restart_voter(f);
	restart_voter(g);
	run_for_us(MIN_ELECTION_US - 100 * MSEC);
	ck_assert_uint_eq(leader(), 0);
	run_for_us(2 * MIN_ELECTION_US);
	ck_assert_uint_ne(leader(), 0);
}
END_TEST

/*
 * Guards against two seconds without a leader after a power loss in which one
 * voter lost its disk: a startup election needs no vote of a voter that cannot
 * return.
 */
START_TEST(test_lost_disk_elects_early)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);

	rep_free(voters[l]);
	voters[l] = NULL;
	restart_voter(f);
	restart_voter(g);
	run_for_us(MIN_ELECTION_US / 2);
	ck_assert_uint_eq(leader(), 0);
	restart_voter(f);
	restart_voter(g);
	rep_note_disk_lost(voters[f], l);
	rep_note_disk_lost(voters[g], l);
	run_for_us(MIN_ELECTION_US / 2);
	ck_assert_uint_ne(leader(), 0);
}
END_TEST

/* Guards against confirming a read by replies to earlier messages. */
START_TEST(test_confirmation)
{
	uint32_t l = leader();
	int64_t requested_at;

	now += MSEC;
	requested_at = now;
	ck_assert_int_lt(rep_leadership_confirmed_us(voters[l]), requested_at);
	rep_request_confirmation(voters[l], now);
	deliver_all();
	ck_assert_int_ge(rep_leadership_confirmed_us(voters[l]), requested_at);
	isolated[l] = true;
	now += MSEC;
	rep_request_confirmation(voters[l], now);
	deliver_all();
	ck_assert_int_lt(rep_leadership_confirmed_us(voters[l]), now);
	ck_assert_int_eq(rep_leadership_confirmed_us(voters[next_voter(l)]), 0);
}
END_TEST

/*
 * Guards against a follower that cannot catch up after entries were compacted.
 */
START_TEST(test_snapshot_transfer)
{
	uint32_t l = leader(), f = next_voter(l);
	g_autoptr(GBytes) data = g_bytes_new_take(g_malloc0(700000), 700000);
	uint64_t index;

	/* Entries would be kept for a follower that has replied recently. */
	isolated[f] = true;
	run_for_us(2 * USEC_PER_SEC);
	propose(voters[l], 50);
	deliver_all();
	index = rep_commit_index(voters[l]);
	ck_assert_int_eq(rep_compact(voters[l], index + 1, data), -MW_EINVAL);
	ck_assert_int_eq(rep_compact(voters[l], index, data), 0);
	ck_assert_int_eq(rep_compact(voters[l], index, data), -MW_EINVAL);
	ck_assert_uint_eq(rep_term_at(voters[l], index - 10), 0);
	isolated[f] = false;
	run_for_us(USEC_PER_SEC);
	ck_assert_uint_eq(applied[f], index);
	ck_assert_uint_eq(rep_snap_index(voters[f]), index);
	propose(voters[l], 1);
	run_for_us(USEC_PER_SEC);
	ck_assert_uint_eq(applied[f], index + 1);
}
END_TEST

/*
 * Guards against acknowledging a write whose entries were truncated, and
 * against keeping a voter list that was truncated.
 */
START_TEST(test_sync_after_truncation)
{
	uint32_t l = leader(), f = next_voter(l), g = next_voter(f);
	uint64_t index = rep_last_index(voters[l]) + 1,
		 term = rep_term(voters[l]);
	struct rep_msg *m = rep_msg_new(REP_APPEND, l, f, term);
	struct rep_voters vs = initial_voters(2);
	g_autoptr(GByteArray) list = g_byte_array_new();
	struct rep_output out;
	uint64_t seq;

	rep_voters_pack(&vs, list);
	m->prev_index = index - 1;
	m->prev_term = rep_term_at(voters[f], index - 1);
	m->sent_us = now;
	m->entries = g_ptr_array_new_with_free_func(rep_entry_unref);
	g_ptr_array_add(m->entries, rep_entry_new(index, term, REP_ENTRY_VOTERS,
						  list->data, list->len));
	rep_step(voters[f], now, m);
	ck_assert_uint_eq(rep_voters(voters[f])->n, 2);
	rep_take_output(voters[f], &out);
	seq = out.write_seq;
	rep_output_release(&out);
	m->from = g;
	m->term = term + 1;
	g_ptr_array_set_size(m->entries, 0);
	g_ptr_array_add(m->entries,
			rep_entry_new(index, term + 1, REP_ENTRY_DATA, "b", 1));
	rep_step(voters[f], now, m);
	ck_assert_uint_eq(rep_voters(voters[f])->n, 3);
	rep_synced(voters[f], now, seq);
	rep_take_output(voters[f], &out);
	for (guint i = 0; i < out.msgs->len; i++)
		ck_assert_uint_lt(((struct rep_msg *)out.msgs->pdata[i])->match,
				  index);
	rep_synced(voters[f], now, out.write_seq);
	rep_output_release(&out);
	rep_take_output(voters[f], &out);
	ck_assert_uint_eq(((struct rep_msg *)out.msgs->pdata[0])->match, index);
	rep_output_release(&out);
	rep_msg_free(m);
}
END_TEST

/* Guards against accepting sizes and numbers out of range from the network. */
START_TEST(test_wire_refusals)
{
	struct rep_msg *m = rep_msg_new(REP_APPEND, 1, 2, 7), *back;
	Mw__RepMsg *w;
	uint8_t *big = g_malloc0(REP_MAX_ENTRY + 1);

	m->prev_index = 4;
	m->prev_term = 6;
	m->entries = g_ptr_array_new_with_free_func(rep_entry_unref);
	for (int i = 0; i < 2; i++)
		g_ptr_array_add(
			m->entries,
			rep_entry_new(5 + i, 7, REP_ENTRY_DATA, "abc", 3));
	w = rep_wire_from_msg(m);
	back = rep_wire_to_msg(w);
	ck_assert_ptr_nonnull(back);
	ck_assert_uint_eq(back->entries->len, 2);
	rep_msg_free(back);
#define CHECK_REJECTED(field, bad)                                             \
	do {                                                                   \
		__typeof__(field) keep_ = field;                               \
		field = bad;                                                   \
		ck_assert_msg(!rep_wire_to_msg(w), #field);                    \
		field = keep_;                                                 \
	} while (0)
	CHECK_REJECTED(w->type, 0);
	CHECK_REJECTED(w->type, REP_MSG_TYPE_END);
	CHECK_REJECTED(w->type, REP_VOTE);
	CHECK_REJECTED(w->from, 0);
	CHECK_REJECTED(w->term, UINT64_MAX);
	CHECK_REJECTED(w->prev_index, UINT64_MAX);
	CHECK_REJECTED(w->prev_term, 8);
	CHECK_REJECTED(w->sent_us, UINT64_MAX);
	CHECK_REJECTED(w->entries[1]->index, 7);
	CHECK_REJECTED(w->entries[1]->term, 8);
	CHECK_REJECTED(w->entries[0]->term, 0);
	CHECK_REJECTED(w->entries[1]->kind, 4);
	CHECK_REJECTED(w->n_entries, REP_MAX_BATCH_ENTRIES + 1);
	w->entries[0]->data.data = big;
	CHECK_REJECTED(w->entries[0]->data.len, REP_MAX_ENTRY + 1);
	/* Only the last entry may reach the limit of a batch. */
	CHECK_REJECTED(w->entries[0]->data.len, REP_MAX_BATCH);
	CHECK_REJECTED(w->snap_len, REP_MAX_SNAPSHOT + 1u);
	CHECK_REJECTED(w->snap_off, 1);
	w->snap_data.data = big;
	CHECK_REJECTED(w->snap_data.len, 1);
	rep_wire_free(w);
	rep_msg_free(m);

	m = rep_msg_new(REP_SNAP, 1, 2, 7);
	m->snap = (struct rep_snap){9, 6, 3, initial_voters(3), NULL};
	m->snap.data = g_bytes_new("state", 5);
	m->snap_off = 10;
	m->snap_len = 15;
	w = rep_wire_from_msg(m);
	back = rep_wire_to_msg(w);
	ck_assert_ptr_nonnull(back);
	ck_assert_str_eq(back->snap.voters.v[2].addr, "127.0.0.1:1");
	rep_msg_free(back);
	CHECK_REJECTED(w->snap_off, 11);
	CHECK_REJECTED(w->snap_term, 8);
	CHECK_REJECTED(w->snap_term, 0);
	CHECK_REJECTED(w->snap_voters_index, 10);
	CHECK_REJECTED(w->n_voters, 0);
	CHECK_REJECTED(w->n_voters, REP_MAX_VOTERS + 1);
	CHECK_REJECTED(w->voters[1]->id, 3);
	memset(big, 'a', REP_ADDR_SIZE);
	big[REP_ADDR_SIZE] = 0;
	CHECK_REJECTED(w->voters[1]->addr, (char *)big);
	w->snap_data.data = big;
	CHECK_REJECTED(w->snap_data.len, REP_CHUNK + 1);
	rep_wire_free(w);
	rep_msg_free(m);
	g_free(big);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rep");
	TCase *tc = tcase_create("rep");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_commit_needs_synced_majority);
	tcase_add_test(tc, test_propose);
	tcase_add_test(tc, test_return_from_partition);
	tcase_add_test(tc, test_cut_off_leader);
	tcase_add_test(tc, test_votes);
	tcase_add_test(tc, test_empty_disk);
	tcase_add_test(tc, test_voter_that_missed_bootstrap);
	tcase_add_test(tc, test_bootstrap);
	tcase_add_test(tc, test_change_refusals);
	tcase_add_test(tc, test_promotion_waits);
	tcase_add_test(tc, test_wait_ends);
	tcase_add_test(tc, test_silent_voter_goes_first);
	tcase_add_test(tc, test_removal_waits);
	tcase_add_test(tc, test_new_leader_waits);
	tcase_add_test(tc, test_step_needs_fresh_answers);
	tcase_add_test(tc, test_step_of_another_kind);
	tcase_add_test(tc, test_removed_leader_has_no_lease);
	tcase_add_test(tc, test_change_before_no_op);
	tcase_add_test(tc, test_leader_removes_itself);
	tcase_add_test(tc, test_removed_voter_restarts);
	tcase_add_test(tc, test_all_restart_elects_early);
	tcase_add_test(tc, test_some_restart_waits);
	tcase_add_test(tc, test_lost_disk_elects_early);
	tcase_add_test(tc, test_confirmation);
	tcase_add_test(tc, test_snapshot_transfer);
	tcase_add_test(tc, test_sync_after_truncation);
	tcase_add_test(tc, test_wire_refusals);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_set_fork_status(sr, CK_NOFORK);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
