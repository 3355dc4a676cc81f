#include "endpoint/ep.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

bool ep_id_is_valid(const char *id)
{
	size_t n = strlen(id);

	return n > 0 && n <= EP_ID_CHARS &&
	       strspn(id, "abcdefghijklmnopqrstuvwxyz"
			  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") == n;
}

void ep_event_release(struct ep_event *e)
{
	g_free(e->text);
	e->text = NULL;
}

static void free_strings(char **strings, size_t n)
{
	for (size_t i = 0; i < n; i++)
		g_free(strings[i]);
	g_free(strings);
}

/* Unset strings point to protobuf-c's shared empty string. */
static void free_string(char *s)
{
	if (s != protobuf_c_empty_string)
		g_free(s);
}

void ep_info_release(Mw__EndpointInfo *info)
{
	free_string(info->id);
	free_string(info->addr);
	free_string(info->dc);
	free_string(info->kind);
	free_string(info->state);
	free_string(info->role);
	free_string(info->model_version);
	free_strings(info->models, info->n_models);
	free_strings(info->adapters, info->n_adapters);
	mw__endpoint_info__init(info);
}

void ep_leave_release(Mw__LeaveFwd *leave)
{
	free_string(leave->id);
	free_string(leave->dc);
	mw__leave_fwd__init(leave);
}
