#include "state_util.h"

#define HASH_A                                                                 \
	"\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"                                   \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\""

static void set_value(struct tree **t, const char *path, const char *key,
		      const char *value)
{
	struct tree_err err = {"", ""};

	ck_assert_msg(!edit_tree(t, path, key, value, &err), "%s: %s", err.path,
		      err.reason);
}

static int copy_tree(const struct tree *t, struct tree **out)
{
	struct tree_err err;
	size_t len;
	const char *json = tree_json(t, &len);

	return tree_parse(json, len, out, &err);
}

/* The initial tree must have the settings that hosts need to start. */
START_TEST(test_first_tree)
{
	AUTO_TREE struct tree *t = tree_new_initial();
	AUTO_TREE struct tree *copy = NULL;
	const struct rank_cfg *const *ranks;

	ck_assert_uint_eq(tree_version(t), 1);
	ck_assert_uint_eq(tree_ranks(t, &ranks), 2);
	ck_assert_str_eq(ranks[0]->name, "urgent");
	ck_assert_str_eq(ranks[1]->name, "normal");
	ck_assert_int_eq(ranks[1]->floor_percent, 10);
	ck_assert_int_eq(tree_system(t)->ledger_retention_s, 86400);
	ck_assert_int_eq(tree_endpoint(t, "west", "e1")->checks_fence, 0);
	ck_assert_ptr_null(tree_account(t, ""));
	ck_assert_ptr_null(tree_account(t, "nobody"));
	ck_assert_int_eq(copy_tree(t, &copy), 0);
	ck_assert_str_eq(tree_json(copy, NULL), tree_json(t, NULL));
}
END_TEST

/*
 * A value must come from the node, else from its template, else from the folder
 * above and that folder's template, else from the default.
 */
START_TEST(test_inheritance)
{
	AUTO_TREE struct tree *t = tree_new_initial();
	const char *from;

	ck_assert_int_eq(tree_version(t), 1);
	set_value(&t, "accounts/west/acme", "", "{}");
	ck_assert_int_eq(tree_account(t, "west/acme")->weight, 100);
	set_value(&t, "accounts", "weight", "200");
	ck_assert_int_eq(tree_account(t, "west/acme")->weight, 200);
	set_value(&t, "accounts/west", "weight", "300");
	ck_assert_int_eq(tree_account(t, "west/acme")->weight, 300);
	set_value(&t, "accounts/gold", "weight", "400");
	set_value(&t, "accounts/west/acme", "template", "\"accounts/gold\"");
	ck_assert_int_eq(tree_account(t, "west/acme")->weight, 400);
	set_value(&t, "accounts/west/acme", "weight", "500");
	ck_assert_int_eq(tree_account(t, "west/acme")->weight, 500);
	set_value(&t, "accounts/west/acme", "weight", "");

	AUTO_JSON json_t *val =
		tree_resolve(t, "accounts/west/acme", "weight", &from);
	ck_assert_int_eq(json_integer_value(val), 400);
	ck_assert_str_eq(from, "accounts/gold");
	/* A folder's template takes precedence over the folder above. */
	set_value(&t, "accounts/west", "template", "\"accounts/gold\"");
	set_value(&t, "accounts/gold", "queue_max", "7");
	set_value(&t, "accounts", "queue_max", "8");
	set_value(&t, "accounts/west/other", "", "{}");
	ck_assert_int_eq(tree_account(t, "west/other")->queue_max, 7);
	ck_assert_ptr_null(tree_resolve(t, "nowhere/x", "weight", NULL));
	ck_assert_ptr_null(tree_resolve(t, "accounts/x", "level", NULL));
}
END_TEST

static const struct {
	const char *path, *key, *value, *err_path, *reason;
} refused[] = {
	{"accounts/a", "wait", "1", "accounts/a:wait", "unknown key"},
	{"accounts/a", "level", "1", "accounts/a:level", "unknown key"},
	{"accounts/a", "weight", "\"x\"", "accounts/a:weight", "not an int"},
	{"accounts/a", "weight", "1.5", "accounts/a:weight", "not an int"},
	{"accounts/a", "weight", "0", "accounts/a:weight", "(1 to 1000000)"},
	{"accounts/a", "weight", "1000001", "accounts/a:weight", "out of"},
	{"accounts/a", "weight", "{", "accounts/a:weight", "not JSON"},
	{"accounts/a", "disabled", "1", "accounts/a:disabled", "not a bool"},
	{"accounts/a", "ranks", "\"urgent\"", "accounts/a:ranks", "not a list"},
	{"accounts/a", "ranks", "[\"slow\"]", "accounts/a:ranks",
	 "there is no rank slow"},
	{"accounts/a", "ranks", "[\"urgent\",\"urgent\"]", "accounts/a:ranks",
	 "there twice"},
	{"accounts/a", "key_hash", "[\"ABC\"]", "accounts/a:key_hash",
	 "64 lower-case"},
	{"accounts", "key_hash", "[" HASH_A "]", "accounts:key_hash",
	 "top folder"},
	{"accounts/a", "template", "\"accounts/b\"", "accounts/a:template",
	 "there is no node"},
	{"accounts/a", "template", "\"ranks/urgent\"", "accounts/a:template",
	 "another kind"},
	{"accounts/a", "template", "\"accounts/a\"", "accounts/a:template",
	 "cycle"},
	{"accounts/a", "", "[]", "accounts/a", "not an object"},
	{"accounts/a", "", "{\"weight\":1,\"weight\":2}", "accounts/a",
	 "not JSON"},
	{"accounts/a", "", "", "accounts/a", "no such node"},
	{"accounts/a", "weight", "", "accounts/a:weight", "no such node"},
	{"accounts/a b", "weight", "1", "accounts/a b", "malformed"},
	{"accounts//a", "weight", "1", "accounts//a", "malformed"},
	{"accounts/", "weight", "1", "accounts/", "malformed"},
	{"accounts/..", "weight", "1", "accounts/..", "malformed"},
	{"acc", "weight", "1", "acc", "top folder"},
	{"", "", "{}", "", "top folder"},
	{"accounts/1/2/3/4/5/6/7/8", "", "{}", "accounts/1/2/3/4/5/6/7/8",
	 "too deep"},
	{"ranks/a/b", "level", "3", "ranks/a/b", "too deep"},
	{"system/a", "", "{}", "system/a", "too deep"},
	{"ranks/third", "level", "1", "ranks:level", "same level"},
	{"ranks", "floor_percent", "90", "", ""},
	{"ranks/urgent", "floor_percent", "91", "ranks/urgent:floor_percent",
	 "out of range"},
	{"ranks", "", "", "ranks", "must be a rank"},
	{"routes/r", "", "{}", "routes/r:model", "needs a model"},
	{"routes/r", "kind", "\"service\"", "routes/r:service", "needs a ser"},
	{"routes/r", "kind", "\"magic\"", "routes/r:kind", "allowed words"},
	{"routes/r", "model", "\"m\"", "routes/r:model", "there is no model"},
	{"routes/r", "service", "\"a\\u0001\"", "routes/r:service", "control"},
};

/*
 * An edit that breaks the schema must be refused with its path and the reason.
 * An empty reason in the table means that the edit is accepted.
 */
START_TEST(test_refused_edits)
{
	AUTO_TREE struct tree *t = tree_new_initial();
	struct tree_err err;

	for (size_t i = 0; i < sizeof(refused) / sizeof(*refused); i++) {
		AUTO_TREE struct tree *copy = tree_ref(t);
		int rc;

		memset(&err, 0, sizeof(err));
		rc = edit_tree(&copy, refused[i].path, refused[i].key,
			       refused[i].value, &err);
		ck_assert_msg(rc == (*refused[i].reason ? -MW_ESCHEMA : 0),
			      "row %zu: %d", i, rc);
		ck_assert_str_eq(err.path, refused[i].err_path);
		ck_assert_msg(!!strstr(err.reason, refused[i].reason),
			      "row %zu: %s", i, err.reason);
	}
}
END_TEST

/*
 * Inheritance through templates and folders must not form a cycle, which would
 * make the lookup of a value endless, nor a chain that is too long.
 */
START_TEST(test_template_cycles)
{
	AUTO_TREE struct tree *t = tree_new_initial();
	struct tree_err err;
	char path[32], ref[40];

	set_value(&t, "accounts/a", "", "{}");
	set_value(&t, "accounts/b", "template", "\"accounts/a\"");
	ck_assert_int_eq(
		edit_tree(&t, "accounts/a", "template", "\"accounts/b\"", &err),
		-MW_ESCHEMA);
	set_value(&t, "accounts/a/child", "", "{}");
	ck_assert_int_eq(edit_tree(&t, "accounts/a", "template",
				   "\"accounts/a/child\"", &err),
			 -MW_ESCHEMA);
	ck_assert_ptr_nonnull(strstr(err.reason, "cycle"));
	set_value(&t, "accounts/t0", "", "{}");
	for (int i = 1; i <= TREE_TEMPLATES_MAX + 1; i++) {
		snprintf(path, sizeof(path), "accounts/t%d", i);
		snprintf(ref, sizeof(ref), "\"accounts/t%d\"", i - 1);
		ck_assert_int_eq(edit_tree(&t, path, "template", ref, &err),
				 i <= TREE_TEMPLATES_MAX ? 0 : -MW_ESCHEMA);
	}
}
END_TEST

/*
 * A node that another node references must not be removed, and a removal must
 * take the nodes below but not a neighbour whose path begins alike.
 */
START_TEST(test_removal)
{
	AUTO_TREE struct tree *t = tree_new_initial();
	struct tree_err err;

	set_value(&t, "models/m", "", "{}");
	set_value(&t, "routes/svc/chat", "model", "\"m\"");
	set_value(&t, "routes/svc-2", "model", "\"m\"");
	ck_assert_int_eq(edit_tree(&t, "models/m", "", "", &err), -MW_ESCHEMA);
	ck_assert_str_eq(tree_route_rank(t, tree_route(t, "svc/chat"))->name,
			 "normal");
	set_value(&t, "routes/svc", "", "");
	ck_assert_ptr_null(tree_route(t, "svc/chat"));
	ck_assert_ptr_nonnull(tree_route(t, "svc-2"));
	set_value(&t, "routes", "", "");
	set_value(&t, "models/m", "", "");
	ck_assert_ptr_null(tree_model(t, "m"));
}
END_TEST

/* The bounds and the base version of a change must be enforced. */
START_TEST(test_bounds)
{
	AUTO_TREE struct tree *t = tree_new_initial();
	AUTO_BUF struct buf b = BUF_INIT;
	AUTO_FREE char *big = calloc(1, TREE_JSON_MAX + 2);
	struct tree *next = NULL;
	struct tree_err err;
	struct change c;

	change_init(&c, "c", 2);
	change_edit(&c, "accounts/a", "", "{}");
	ck_assert_int_eq(tree_apply(t, &c.msg, &next, &err), -MW_ECONFLICT);
	c.msg.base_version = 1;
	c.msg.id = "";
	ck_assert_int_eq(tree_check_change(t, &c.msg, &err), -MW_EINVAL);
	c.msg.id = "c";
	c.msg.n_edits = 0;
	ck_assert_int_eq(tree_check_change(t, &c.msg, &err), -MW_ESCHEMA);
	memset(big, ' ', TREE_JSON_MAX + 1);
	ck_assert_int_eq(tree_parse(big, TREE_JSON_MAX + 1, &next, &err),
			 -MW_ETOOBIG);
	buf_addstr(&b, "{\"version\":1,\"nodes\":{\"ranks/r\":{}");
	for (int i = 0; i < TREE_NODES_MAX; i++)
		buf_addf(&b, ",\"accounts/%x\":{}", i);
	buf_addstr(&b, "}}");
	ck_assert_int_eq(tree_parse(b.data, b.len, &next, &err), -MW_ETOOBIG);
	ck_assert_ptr_nonnull(strstr(err.reason, "nodes"));
	b.len = 0;
	buf_addstr(&b, "{\"version\":1,\"nodes\":{\"ranks/r\":{}");
	for (int i = 0; i < 19000; i++)
		buf_addf(&b, ",\"accounts/%x/%x\":{}", i / 100, i);
	buf_addstr(&b, "}}");
	ck_assert_int_eq(tree_parse(b.data, b.len, &next, &err), 0);
	tree_unref(next);
	ck_assert_int_eq(
		tree_parse("{\"version\":0,\"nodes\":{}}", 24, &next, &err),
		-MW_ESCHEMA);
}
END_TEST

static void collect(const char *path, const char *key, const json_t *old,
		    const json_t *now, void *arg)
{
	buf_addf(arg, "%s:%s %lld>%lld;", path, key,
		 (long long)json_integer_value(old),
		 (long long)json_integer_value(now));
}

/* A difference must be reported once, in both directions, and no other. */
START_TEST(test_diff)
{
	AUTO_TREE struct tree *a = tree_new_initial();
	AUTO_TREE struct tree *b = tree_new_initial();
	AUTO_BUF struct buf out = BUF_INIT;

	ck_assert_uint_eq(tree_diff(a, b, collect, &out), 0);
	set_value(&b, "accounts/x", "", "{}");
	set_value(&b, "accounts/y", "weight", "5");
	set_value(&b, "ranks/normal", "floor_percent", "20");
	set_value(&b, "ranks/normal", "tbt_target_ms", "");
	ck_assert_uint_eq(tree_diff(a, b, collect, &out), 4);
	ck_assert_str_eq(out.data, "accounts/x: 0>0;accounts/y:weight 0>5;"
				   "ranks/normal:floor_percent 10>20;"
				   "ranks/normal:tbt_target_ms 250>0;");
	out.len = 0;
	ck_assert_uint_eq(tree_diff(b, a, NULL, NULL), 4);
}
END_TEST

/*
 * A key must not belong to two accounts, and must not be found after it was
 * removed from its account.
 */
START_TEST(test_key_index)
{
	AUTO_TREE struct tree *t = tree_new_initial();
	char hash[SCHEMA_HASH_HEX_LEN + 1], list[SCHEMA_HASH_HEX_LEN + 5];
	struct tree_err err;

	tree_key_hash("sk-1", hash);
	snprintf(list, sizeof(list), "[\"%s\"]", hash);
	set_value(&t, "accounts/west/a", "key_hash", list);
	set_value(&t, "accounts/west/a/sub", "", "{}");
	set_value(&t, "operators/op", "key_hash", list);
	ck_assert_str_eq(tree_account_by_key(t, hash), "west/a");
	ck_assert_str_eq(tree_operator_by_key(t, hash), "op");
	ck_assert_int_eq(tree_operator(t, "op")->may_write, 0);
	ck_assert_int_eq(edit_tree(&t, "accounts/b", "key_hash", list, &err),
			 -MW_ESCHEMA);
	set_value(&t, "accounts/west/a", "key_hash", "[]");
	ck_assert_ptr_null(tree_account_by_key(t, hash));
}
END_TEST

/*
 * A host must not serve a request by settings that a pending change alters, so
 * the comparison must cover all settings that a request depends on.
 */
START_TEST(test_request_equal)
{
	AUTO_TREE struct tree *a = tree_new_initial();
	AUTO_TREE struct tree *b = NULL;

	set_value(&a, "models/m", "", "{}");
	set_value(&a, "routes/chat", "model", "\"m\"");
	set_value(&a, "accounts/x", "", "{}");
	set_value(&a, "accounts/y", "routes", "[\"chat\"]");
	ck_assert_int_eq(copy_tree(a, &b), 0);
	ck_assert(tree_request_equal(a, b, "x", "chat"));
	ck_assert(account_allows_route(tree_account(a, "y"), "chat/deep"));
	ck_assert(!account_allows_route(tree_account(a, "y"), "chats"));
	ck_assert(account_allows_rank(tree_account(a, "y"), "normal"));
	set_value(&b, "accounts/y", "weight", "7");
	ck_assert(tree_request_equal(a, b, "x", "chat"));
	ck_assert(!tree_request_equal(a, b, "y", "chat"));
	set_value(&b, "models/m", "context_tokens", "9");
	ck_assert(!tree_request_equal(a, b, "x", "chat"));
	set_value(&b, "models/m", "context_tokens", "");
	ck_assert(tree_request_equal(a, b, "x", "chat"));
	set_value(&b, "ranks/normal", "floor_percent", "11");
	ck_assert(!tree_request_equal(a, b, "x", "chat"));
	set_value(&b, "endpoints/west", "drain", "true");
	ck_assert(!endpoint_cfg_equal(tree_endpoint(a, "west", "e"),
				      tree_endpoint(b, "west", "e")));
}
END_TEST

RUN_TESTS("tree", test_first_tree, test_inheritance, test_refused_edits,
	  test_template_cycles, test_removal, test_bounds, test_diff,
	  test_key_index, test_request_equal)
