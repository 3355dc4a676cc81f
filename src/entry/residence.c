#include "entry/residence.h"

#include <string.h>
#include <glib.h>

static char **copy_list(const char *const *list)
{
	return list && *list ? g_strdupv((char **)list) : NULL;
}

void residence_admit(struct residence *r, struct tree *t, const char *account,
		     const char *route)
{
	const struct account_cfg *a = tree_account(t, account);
	const struct route_cfg *rt = tree_route(t, route);

	residence_release(r);
	r->account = copy_list(a ? a->allowed_regions : NULL);
	r->route = copy_list(rt ? rt->allowed_regions : NULL);
}

void residence_release(struct residence *r)
{
	g_clear_pointer(&r->account, g_strfreev);
	g_clear_pointer(&r->route, g_strfreev);
}

/* The lists that count; those without an entry are NULL. */
struct lists {
	const char *const *list[4];
};

static struct lists get_lists(const struct residence_subject *s, struct tree *t)
{
	const struct account_cfg *a = t ? tree_account(t, s->account) : NULL;
	const struct route_cfg *rt = t ? tree_route(t, s->route) : NULL;
	struct lists l = {0};

	if (s->admitted) {
		l.list[0] = (const char *const *)s->admitted->account;
		l.list[1] = (const char *const *)s->admitted->route;
	}
	if (a && *a->allowed_regions)
		l.list[2] = a->allowed_regions;
	if (rt && *rt->allowed_regions)
		l.list[3] = rt->allowed_regions;
	return l;
}

bool residence_is_restricted(const struct residence_subject *s, struct tree *t)
{
	struct lists l = get_lists(s, t);

	return !t || l.list[0] || l.list[1] || l.list[2] || l.list[3];
}

bool residence_allows(const struct residence_subject *s, struct tree *t,
		      const char *dc)
{
	struct lists l = get_lists(s, t);
	const char *region;

	if (!t)
		return false;
	/* Settings of the folder `dcs` would apply to an unknown one. */
	region = *dc ? tree_dc_settings(t, dc)->region : "";
	for (size_t i = 0; i < G_N_ELEMENTS(l.list); i++)
		if (l.list[i] &&
		    (!*region || !g_strv_contains(l.list[i], region)))
			return false;
	return true;
}

bool residence_allows_send(const struct residence_subject *s, struct tree *t,
			   const char *dc, const char *row_addr,
			   const char *addr)
{
	return residence_allows(s, t, dc) &&
	       (!residence_is_restricted(s, t) || !strcmp(row_addr, addr));
}
