#include "policy/path.h"

#include <string.h>
#include <glib.h>

/* An endpoint behind a proxy decodes twice; one more for another proxy. */
#define DECODINGS_MAX 3

/* What a reading does; all combinations are tried. */
enum {
	READ_MERGE = 1,	     /* repeated slashes are one */
	READ_BACKSLASH = 2,  /* a backslash is a slash */
	READ_PARAMETERS = 4, /* a segment ends at a semicolon */
	READ_END = 8,	     /* '?', '#' and NUL end the path */
	READ_ALL = 16,
};

/* Bytes that make a reading differ from the path. */
#define SPECIAL "%\\;#"

bool path_can_be_sent(const char *target)
{
	for (const char *p = target; *p; p++)
		if ((unsigned char)*p <= ' ' || *p == 0x7f)
			return false;
	return *target == '/';
}

static void decode(GString *s)
{
	gsize out = 0;

	for (gsize i = 0; i < s->len; i++, out++) {
		if (s->str[i] == '%' && i + 2 < s->len &&
		    g_ascii_isxdigit(s->str[i + 1]) &&
		    g_ascii_isxdigit(s->str[i + 2])) {
			s->str[out] =
				(char)(g_ascii_xdigit_value(s->str[i + 1])
					       << 4 |
				       g_ascii_xdigit_value(s->str[i + 2]));
			i += 2;
		} else {
			s->str[out] = s->str[i];
		}
	}
	g_string_truncate(s, out);
}

static bool is_text(const char *p, gsize n, const char *text)
{
	return n == strlen(text) && !memcmp(p, text, n);
}

/* Removes the last segment, up to the slash before it. */
static void remove_segment(GString *s)
{
	while (s->len && s->str[s->len - 1] != '/')
		g_string_truncate(s, s->len - 1);
}

/* Appends the segments without dot segments; out ends with a slash between. */
static GString *read_path(const GString *path, unsigned int how)
{
	GString *out = g_string_new("/");
	gsize len = path->len;

	if (how & READ_END)
		for (len = 0; len < path->len; len++)
			if (!path->str[len] || strchr("?#", path->str[len]))
				break;
	for (gsize at = 1; at <= len;) {
		gsize end = at, n;

		while (end < len && path->str[end] != '/' &&
		       !((how & READ_BACKSLASH) && path->str[end] == '\\'))
			end++;
		const char *p = path->str + at;
		n = end - at;
		if (how & READ_PARAMETERS) {
			const char *semicolon = memchr(p, ';', n);
			if (semicolon)
				n = (gsize)(semicolon - p);
		}
		at = end + 1;
		if (is_text(p, n, ".") || (!n && (how & READ_MERGE)))
			continue;
		if (is_text(p, n, "..")) {
			if (out->len > 1)
				g_string_truncate(out, out->len - 1);
			remove_segment(out);
			continue;
		}
		g_string_append_len(out, p, (gssize)n);
		if (end < len)
			g_string_append_c(out, '/');
	}
	return out;
}

bool path_any_reading(const char *target,
		      bool (*fn)(const char *path, void *ctx), void *ctx)
{
	gsize len = strcspn(target, "?");
	g_autoptr(GString) path = g_string_new_len(target, (gssize)len);

	if (strcspn(path->str, SPECIAL) == len && !strstr(path->str, "//") &&
	    !strstr(path->str, "/."))
		return false;
	for (int i = 0; i <= DECODINGS_MAX; i++) {
		for (unsigned int how = 0; how < READ_ALL; how++) {
			g_autoptr(GString) reading = read_path(path, how);
			if (fn(reading->str, ctx))
				return true;
		}
		decode(path);
	}
	return false;
}
