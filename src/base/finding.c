#include "base/finding.h"

#include <stdarg.h>

static void finding_free(void *p)
{
	struct finding *f = p;

	g_free(f->path);
	g_free(f->text);
	g_free(f);
}

GPtrArray *findings_new(void)
{
	return g_ptr_array_new_with_free_func(finding_free);
}

static void add(GPtrArray *list, enum finding_level level, const char *path,
		const char *fmt, va_list ap)
{
	struct finding *f = g_new0(struct finding, 1);
	g_autofree char *text = g_strdup_vprintf(fmt, ap);

	f->level = level;
	f->path = g_utf8_make_valid(path, -1);
	f->text = g_utf8_make_valid(text, -1);
	g_ptr_array_add(list, f);
}

void finding_add(GPtrArray *list, enum finding_level level, const char *path,
		 const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	add(list, level, path, fmt, ap);
	va_end(ap);
}

void finding_warn(GPtrArray *list, const char *folder, const char *name,
		  const char *key, const char *fmt, ...)
{
	g_autofree char *path = g_strdup_printf("%s/%s:%s", folder, name, key);
	va_list ap;

	va_start(ap, fmt);
	add(list, FINDING_WARNING, path, fmt, ap);
	va_end(ap);
}

guint findings_count(const GPtrArray *list, enum finding_level level)
{
	guint n = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct finding *f = list->pdata[i];

		n += f->level == level;
	}
	return n;
}
