#ifndef TESTS_STATE_UTIL_H
#define TESTS_STATE_UTIL_H

#include <check.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "state/sm.h"

/* Helpers for the tests of src/state. */

#define EDITS_MAX 16

/* A change whose edits are added one by one; strings are not copied. */
struct change {
	Mw__Change msg;
	Mw__Edit edit[EDITS_MAX];
	Mw__Edit *ptr[EDITS_MAX];
};

static inline void change_init(struct change *c, const char *id, uint64_t base)
{
	mw__change__init(&c->msg);
	c->msg.id = (char *)id;
	c->msg.base_version = base;
	c->msg.edits = c->ptr;
}

static inline void change_edit(struct change *c, const char *path,
			       const char *key, const char *value)
{
	size_t n = c->msg.n_edits++;

	ck_assert_uint_lt(n, EDITS_MAX);
	mw__edit__init(&c->edit[n]);
	c->ptr[n] = &c->edit[n];
	c->edit[n].path = (char *)path;
	c->edit[n].key = (char *)key;
	c->edit[n].value = (char *)value;
}

/* Applies one edit; on success the tree is replaced. */
static inline int edit_tree(struct tree **t, const char *path, const char *key,
			    const char *value, struct tree_err *err)
{
	struct tree *next = NULL;
	struct change c;
	int rc;

	change_init(&c, "edit", tree_version(*t));
	change_edit(&c, path, key, value);
	rc = tree_apply(*t, &c.msg, &next, err);
	if (!rc) {
		tree_unref(*t);
		*t = next;
	}
	return rc;
}

static inline Mw__Result *apply_at(struct sm *sm, uint64_t index,
				   Mw__Command *c)
{
	size_t len = mw__command__get_packed_size(c);
	AUTO_FREE uint8_t *data = malloc(len + 1);

	ck_assert_ptr_nonnull(data);
	mw__command__pack(c, data);
	return sm_apply(sm, 1, index, data, len);
}

/* Wraps a body in a command and applies it at the next index. */
static inline Mw__Result *apply_body(struct sm *sm, uint64_t now_ms,
				     Mw__Command__BodyCase body,
				     const void *msg)
{
	Mw__Command c = MW__COMMAND__INIT;

	c.now_ms = now_ms;
	c.body_case = body;
	c.change = (Mw__Change *)msg;
	return apply_at(sm, sm_applied_index(sm) + 1, &c);
}

/* As apply_body(), but returns only the error number. */
static inline int apply_err(struct sm *sm, uint64_t now_ms,
			    Mw__Command__BodyCase body, const void *msg)
{
	Mw__Result *r = apply_body(sm, now_ms, body, msg);
	int err = r->err;

	mw__result__free_unpacked(r, NULL);
	return err;
}

static inline int register_host(struct sm *sm, const char *host, const char *dc,
				uint64_t incarnation)
{
	Mw__HostInfo info = MW__HOST_INFO__INIT;
	Mw__HostRegister reg = MW__HOST_REGISTER__INIT;

	info.host = (char *)host;
	info.dc = (char *)dc;
	info.role = "entry";
	info.incarnation = incarnation;
	reg.info = &info;
	return apply_err(sm, 0, MW__COMMAND__BODY_HOST_REGISTER, &reg);
}

static inline uint64_t now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

#define RUN_TESTS(name, ...)                                                   \
	int main(void)                                                         \
	{                                                                      \
		const TTest *const tests[] = {__VA_ARGS__};                    \
		Suite *s = suite_create(name);                                 \
		TCase *tc = tcase_create(name);                                \
		SRunner *sr = srunner_create(s);                               \
		int failed;                                                    \
                                                                               \
		for (size_t i = 0; i < sizeof(tests) / sizeof(*tests); i++)    \
			tcase_add_test(tc, tests[i]);                          \
		tcase_set_timeout(tc, 300);                                    \
		suite_add_tcase(s, tc);                                        \
		srunner_run_all(sr, CK_ENV);                                   \
		failed = srunner_ntests_failed(sr);                            \
		srunner_free(sr);                                              \
		return failed ? 1 : 0;                                         \
	}

#endif
