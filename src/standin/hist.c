#include "standin/hist.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/log.h"

struct hist {
	int fd;
};

struct hist *hist_open(const char *path)
{
	struct hist *h = g_new0(struct hist, 1);

	h->fd = path ? open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
			    0644)
		     : -1;
	if (path && h->fd < 0) {
		fprintf(stderr, "cannot open the history file %s\n", path);
		exit(2);
	}
	return h;
}

void hist_close(struct hist *h)
{
	if (h->fd >= 0)
		close(h->fd);
	g_free(h);
}

void hist_put(struct hist *h, const char *ev, json_t *fields)
{
	if (h->fd < 0) {
		json_decref(fields);
		return;
	}
	AUTO_JSON json_t *line = json_object();

	json_object_set_new(line, "t", json_integer(clock_wall_us()));
	json_object_set_new(line, "ev", json_string(ev));
	if (fields)
		json_object_update(line, fields);
	json_decref(fields);
	AUTO_FREE char *s = json_dumps(line, JSON_COMPACT);
	g_autofree char *text = g_strconcat(s, "\n", NULL);
	size_t n = strlen(text);
	if (write(h->fd, text, n) != (ssize_t)n)
		log_error("history", "cannot write");
}
