#include "check_main.h"

#include <string.h>

#include "forward/crashes.h"
#include "forward/regions.h"
#include "forward/request.h"
#include "policy/residency.h"

static const struct conf_dc_region dc_regions[] = {
	{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};

static struct residency_map make_map(void)
{
	struct residency_map m = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(dc_regions); i++)
		residency_map_add(&m, dc_regions[i].dc, dc_regions[i].region);
	return m;
}

/* Guards against unknown data centres and regions being taken for allowed ones,
 * and against an intersection that is wider than either list. */
START_TEST(test_sets)
{
	const char *north[] = {"north", "atlantis"}, *south[] = {"south"};
	const char *both[] = {"south", "north"}, *unknown[] = {"atlantis"};
	struct residency_map m = make_map();
	struct residency n = residency_from_names(&m, north, 2);
	struct residency s = residency_from_names(&m, south, 1);
	struct residency b = residency_from_names(&m, both, 2);
	struct residency u = residency_from_names(&m, unknown, 1);
	struct residency any = residency_from_names(&m, NULL, 0);

	ck_assert(residency_allows(&n, residency_map_dc(&m, "n2")));
	ck_assert(!residency_allows(&n, residency_map_dc(&m, "s1")));
	ck_assert(!residency_allows(&n, residency_map_dc(&m, "x1")));
	ck_assert(!residency_allows(&n, RESIDENCY_REGIONS_MAX));
	ck_assert(residency_allows(&any, RESIDENCY_UNKNOWN));
	ck_assert(!residency_is_empty(&any) && residency_is_empty(&u));
	struct residency ns = residency_intersect(n, s);
	ck_assert(residency_is_empty(&ns));
	struct residency nb = residency_intersect(b, n);
	ck_assert(residency_equal(&nb, &n));
	nb = residency_intersect(any, n);
	ck_assert(residency_equal(&nb, &n));
	nb = residency_intersect(n, any);
	ck_assert(residency_equal(&nb, &n));
}
END_TEST

/* Guards against regions beyond the first word of a set, and against writes
 * beyond a full map. */
START_TEST(test_many_regions)
{
	struct residency_map m = {0};
	char name[16];
	const char *names[] = {"r127"};

	for (int i = 0; i < CONF_DC_REGIONS_MAX + 2; i++) {
		g_snprintf(name, sizeof(name), "r%d", i);
		residency_map_add(&m, name, name);
	}
	struct residency r = residency_from_names(&m, names, 1);
	ck_assert_int_eq(residency_map_dc(&m, "r127"), 127);
	ck_assert_int_eq(residency_map_dc(&m, "r128"), RESIDENCY_UNKNOWN);
	for (int i = 0; i < RESIDENCY_REGIONS_MAX; i++)
		ck_assert_int_eq(residency_allows(&r, i), i == 127);
}
END_TEST

/* A host with a service that has an endpoint in each data centre, and a request
 * for it; nothing is sent. */
struct fixture {
	struct conf conf;
	struct fwd f;
	struct request r;
};

static struct plan *make_plan(uint64_t revision, const char *route_region,
			      const char *account_region)
{
	struct plan *p = plan_new();
	struct plan_route *route = plan_add_route(p, "r", "h", "/");
	struct plan_account *a = plan_add_account(p, "acme");
	struct plan_service *s = plan_add_service(p, "s");

	p->revision = revision;
	s->runs_model = true;
	s->memory_tokens = 10000;
	plan_add_backend(route, s, 1);
	plan_add_key(p, revision == 1 ? "key" : "new-key", a);
	if (route_region)
		plan_add_region(p, &route->regions, route_region);
	if (account_region)
		plan_add_region(p, &a->regions, account_region);
	plan_index_routes(p);
	return p;
}

static struct fwd_endpoint *add_endpoint(struct fixture *t, const char *dc)
{
	struct fwd_endpoint *ep = g_new0(struct fwd_endpoint, 1);

	g_snprintf(ep->id, sizeof(ep->id), "i-%s", dc);
	g_strlcpy(ep->dc, dc, sizeof(ep->dc));
	g_strlcpy(ep->service, "s", sizeof(ep->service));
	ep->region = residency_map_dc(&t->f.regions, dc);
	ep->slots = 8;
	ep->serving = true;
	g_hash_table_insert(t->f.endpoints, ep->id, ep);
	return ep;
}

static struct fixture *set_up(const char *route_region,
			      const char *account_region)
{
	struct fixture *t = g_new0(struct fixture, 1);

	struct frame_key key = {0};
	struct peer_config peers = {
		.loop = ev_default_loop(0), .key = &key, .host = "e"};

	ck_assert_int_eq(peer_net_new(&peers, &t->f.peers), 0);
	t->f.conf = &t->conf;
	t->conf.dc = (char *)"n1";
	t->f.rand = g_rand_new_with_seed(1);
	t->f.regions = make_map();
	t->f.regions_version = 1;
	t->f.endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	t->f.services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list_init(&t->f.waiting);
	t->f.plan = make_plan(1, route_region, account_region);
	t->r.fwd = &t->f;
	t->r.plan = plan_ref(t->f.plan);
	t->r.ask.host = "h";
	t->r.ask.target = "/x";
	t->r.ask.key = "key";
	t->r.route = plan_route(t->r.plan, "h", "/x");
	t->r.account = plan_account(t->r.plan, "key");
	t->r.service = plan_service(t->r.plan, "s");
	add_endpoint(t, "n1");
	add_endpoint(t, "n2");
	add_endpoint(t, "s1");
	add_endpoint(t, "x1"); /* in no known region */
	return t;
}

static void tear_down(struct fixture *t)
{
	peer_net_free(t->f.peers);
	plan_unref(t->r.plan);
	plan_unref(t->f.plan);
	g_hash_table_destroy(t->f.endpoints);
	g_hash_table_destroy(t->f.services);
	g_rand_free(t->f.rand);
	g_free(t);
}

static void replace_plan(struct fixture *t, struct plan *p)
{
	plan_unref(t->f.plan);
	t->f.plan = p;
}

static struct fwd_endpoint *endpoint(struct fixture *t, const char *id)
{
	return g_hash_table_lookup(t->f.endpoints, id);
}

/* Data centres that the request's endpoints are chosen from, each as a digit of
 * what `choices` choices found: n1, n2, s1, x1. */
static unsigned int chosen_dcs(struct fixture *t, const char *except)
{
	static const char *const ids[] = {"i-n1", "i-n2", "i-s1", "i-x1"};
	unsigned int found = 0;
	bool any;

	for (int i = 0; i < 4; i++) {
		struct fwd_endpoint *ep =
			request_choose_endpoint(&t->r, except, "n1", &any, 1);

		for (unsigned int j = 0; ep && j < 4; j++)
			if (!strcmp(ep->id, ids[j])) {
				found |= 1u << j;
				/* So that the next choice finds another. */
				ep->serving = false;
			}
	}
	for (unsigned int j = 0; j < 4; j++)
		endpoint(t, ids[j])->serving = true;
	return found;
}

/* Guards against first attempts and retries outside the allowed regions, and
 * against requests without lists that avoid any endpoint. */
START_TEST(test_choice)
{
	struct fixture *t = set_up(NULL, NULL);

	ck_assert_uint_eq(chosen_dcs(t, ""), 0xf);
	tear_down(t);
	t = set_up("south", NULL);
	ck_assert_uint_eq(chosen_dcs(t, ""), 0x4);
	ck_assert_uint_eq(chosen_dcs(t, "i-s1"), 0);
	tear_down(t);
	t = set_up(NULL, "north");
	ck_assert_uint_eq(chosen_dcs(t, ""), 0x3);
	ck_assert_uint_eq(chosen_dcs(t, "i-n1"), 0x2);
	tear_down(t);
	t = set_up("north", "south");
	ck_assert_uint_eq(chosen_dcs(t, ""), 0);
	ck_assert(residency_is_empty(request_residency(&t->r)));
	tear_down(t);
}
END_TEST

/* Guards against a further attempt at an endpoint that an earlier one did not
 * reach, while another one was not tried. */
START_TEST(test_unreached)
{
	struct fixture *t = set_up(NULL, NULL);

	t->r.unreached = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(t->r.unreached, g_strdup("i-n1"));
	g_ptr_array_add(t->r.unreached, g_strdup("i-x1"));
	ck_assert_uint_eq(chosen_dcs(t, "i-x1"), 0x6);
	ck_assert_uint_eq(chosen_dcs(t, ""), 0xf);
	/* For a stream that began since, this is long ago. */
	t->r.state = REQUEST_STREAM;
	ck_assert_uint_eq(chosen_dcs(t, "i-x1"), 0x7);
	t->r.state = REQUEST_WAITING;
	ck_assert(request_any_untried(&t->r, 1));
	endpoint(t, "i-n2")->serving = endpoint(t, "i-s1")->serving = false;
	ck_assert(!request_any_untried(&t->r, 1));
	g_ptr_array_unref(t->r.unreached);
	t->r.unreached = NULL;
	tear_down(t);
}
END_TEST

/* Guards against a refusal as all endpoints that the request may use fail, and
 * against an endpoint that fails while another one may be used. */
START_TEST(test_all_avoided)
{
	struct fixture *t = set_up("north", NULL);
	int64_t back_us;

	endpoint(t, "i-n1")->failures.avoided = true;
	ck_assert_uint_eq(chosen_dcs(t, "i-n2"), 0);
	endpoint(t, "i-n2")->failures.avoided = true;
	ck_assert(request_any_usable(&t->r, &back_us, 1));
	ck_assert_uint_eq(chosen_dcs(t, ""), 0x3);
	t->r.move.state = MOVE_COPY;
	ck_assert_uint_eq(chosen_dcs(t, "i-s1"), 0);
	tear_down(t);
}
END_TEST

/* Guards against a move, or its resumption, at a forbidden target.  The source
 * is in a region that is no longer allowed, so that near targets are wrong. */
START_TEST(test_move_target)
{
	struct fixture *t = set_up("north", NULL);
	bool any;

	g_strlcpy(t->r.move.source_id, "i-s0", sizeof(t->r.move.source_id));
	t->r.move.state = MOVE_COPY;
	t->r.generation = true;
	t->r.need_tokens = 100;
	ck_assert_ptr_null(
		request_choose_endpoint(&t->r, "i-s0", "s1", &any, 1));
	ck_assert(any);
	ck_assert_str_eq(
		request_choose_endpoint(&t->r, "i-s0", "n2", &any, 1)->id,
		"i-n2");
	ck_assert(request_is_permitted(&t->r, endpoint(t, "i-n2")));
	ck_assert(!request_is_permitted(&t->r, endpoint(t, "i-s1")));
	tear_down(t);
}
END_TEST

/* Guards against a capacity that counts endpoints which the request may not
 * use. */
START_TEST(test_capacity)
{
	struct fixture *t = set_up("north", NULL);

	ck_assert_uint_eq(request_capacity(&t->r, 1).usable, 2);
	ck_assert_uint_eq(request_capacity(&t->r, 1).memory_tokens, 20000);
	tear_down(t);
	t = set_up(NULL, NULL);
	ck_assert_uint_eq(request_capacity(&t->r, 1).usable, 4);
	tear_down(t);
}
END_TEST

/* Guards against an admitted request that follows only one of its plan and the
 * plan in force, also when the key or the route has changed since. */
START_TEST(test_plan_change)
{
	struct fixture *t = set_up("north", NULL);

	ck_assert_uint_eq(chosen_dcs(t, ""), 0x3);
	replace_plan(t, make_plan(2, NULL, NULL));
	ck_assert_uint_eq(chosen_dcs(t, ""), 0x3);
	replace_plan(t, make_plan(3, NULL, "south"));
	ck_assert_uint_eq(chosen_dcs(t, ""), 0);
	tear_down(t);
	t = set_up(NULL, NULL);
	ck_assert_uint_eq(chosen_dcs(t, ""), 0xf);
	replace_plan(t, make_plan(2, "south", NULL));
	ck_assert_uint_eq(chosen_dcs(t, ""), 0x4);
	tear_down(t);
	t = set_up(NULL, "north");
	struct plan *empty = plan_new();
	empty->revision = 2;
	replace_plan(t, empty);
	ck_assert_uint_eq(chosen_dcs(t, ""), 0x3);
	tear_down(t);
}
END_TEST

/* Guards against a map that is reloaded while plans and requests are bound to
 * the one before, in which regions have other numbers. */
START_TEST(test_map_change)
{
	struct fixture *t = set_up("south", NULL);

	ck_assert_uint_eq(chosen_dcs(t, ""), 0x4);
	t->conf.dc_region_list[0] = (struct conf_dc_region){"x1", "south"};
	t->conf.dc_region_list[1] = (struct conf_dc_region){"s1", "north"};
	t->conf.dc_region_nr = 2;
	regions_load(&t->f);
	ck_assert_uint_eq(chosen_dcs(t, ""), 0x8);
	t->conf.dc_region_nr = 0;
	regions_load(&t->f);
	ck_assert_uint_eq(chosen_dcs(t, ""), 0);
	tear_down(t);
}
END_TEST

/* Guards against a request that is held although its region is down, and
 * against a time to come back that is taken from another region. */
START_TEST(test_region_down)
{
	struct fixture *t = set_up("south", NULL);
	int64_t back;

	ck_assert(request_any_usable(&t->r, &back, 1));
	endpoint(t, "i-n1")->paused_until_us = 200;
	endpoint(t, "i-s1")->paused_until_us = 901;
	ck_assert(!request_any_usable(&t->r, &back, 1));
	ck_assert_int_eq(back, 900);
	endpoint(t, "i-s1")->serving = false;
	ck_assert(!request_any_usable(&t->r, &back, 1));
	ck_assert_int_eq(back, 0);
	tear_down(t);
}
END_TEST

/* Guards against a queue that is reported as one that could be placed anywhere,
 * and against one for a full region that counts for others. */
START_TEST(test_queue_report)
{
	struct fixture *t = set_up("south", NULL);
	Mw__UseTotals totals = MW__USE_TOTALS__INIT;
	struct service_state *s = endpoints_service_state(&t->f, "s");

	((struct plan_route *)t->r.route)->target_latency_us = 9 * USEC_PER_SEC;
	t->r.generation = true;
	t->r.need_tokens = 100;
	list_add_tail(&t->f.waiting, &t->r.wait_node);
	Mw__UseReport *report = endpoints_use_report(&t->f, 1);
	ck_assert_uint_eq(report->n_queues, 1);
	ck_assert_uint_eq(report->queues[0]->tokens, 100);
	ck_assert_uint_eq(report->queues[0]->n_restricted, 1);
	ck_assert_str_eq(report->queues[0]->restricted[0]->regions, "south");
	report->queues[0]->tokens += 50; /* of requests without lists */
	totals.queues = report->queues;
	totals.n_queues = 1;
	totals.partial = true;
	endpoints_apply_totals(&t->f, &totals, 1);
	ck_assert_uint_eq(s->queued_elsewhere.n, 2);
	ck_assert_uint_eq(
		demand_same(&s->queued_elsewhere, request_residency(&t->r)),
		100);
	endpoints_use_report_free(report);
	/* A quarter of the free memory is in the south. */
	ck_assert_uint_eq(
		request_competing(&t->r, &s->queued_elsewhere, true, 1),
		100 + 50 / 4);
	endpoint(t, "i-s1")->serving = false;
	struct residency anywhere = {0};
	t->r.residency = anywhere;
	ck_assert_uint_eq(
		request_competing(&t->r, &s->queued_elsewhere, true, 1), 50);
	list_del(&t->r.wait_node);
	tear_down(t);
}
END_TEST

/* Guards against a request that is placed, or refused for room, before it has
 * waited after connections that failed, and against one that then waits for
 * room as no new request does: others must learn that its account is short. */
START_TEST(test_wait_after_failures)
{
	struct fixture *t = set_up(NULL, NULL);
	struct service_state *s = endpoints_service_state(&t->f, "s");

	crashes_start(&t->f);
	t->r.generation = true;
	t->r.deadline_us = USEC_PER_SEC;
	t->r.not_before_us = 100;
	list_init(&t->r.wait_node);
	request_place(&t->r, 50);
	ck_assert_uint_eq(t->f.n_waiting, 1);
	for (int i = 0; i < 4; i++)
		endpoint(t, (const char *[]){"i-n1", "i-n2", "i-s1", "i-x1"}[i])
			->open_here = 8;
	request_place_waiting(&t->f, 99);
	ck_assert_int_eq(s->accounts.short_us, 0);
	request_place_waiting(&t->f, 100);
	ck_assert_int_eq(s->accounts.short_us, 100);
	request_place_waiting(&t->f, 110);
	ck_assert_int_eq(s->accounts.short_us, 100);
	ck_assert_uint_eq(t->f.n_waiting, 1);
	crashes_stop(&t->f);
	tear_down(t);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_sets,	  test_many_regions, test_choice,
		test_unreached,	  test_all_avoided,  test_move_target,
		test_capacity,	  test_plan_change,  test_map_change,
		test_region_down, test_queue_report, test_wait_after_failures};

	return check_main("residency", tests, sizeof(tests) / sizeof(*tests));
}
