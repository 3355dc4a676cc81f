#ifndef BASE_FINDING_H
#define BASE_FINDING_H

#include <glib.h>

/* What a check of a configuration found. */

enum finding_level {
	FINDING_ERROR,	 /* the configuration would be refused */
	FINDING_WARNING, /* it would be accepted, but not have the effect */
};

struct finding {
	enum finding_level level;
	char *path; /* of the entry, with ":KEY" for one of its settings */
	char *text; /* a sentence without a dot */
};

/* Returns an empty list of struct finding, freed by g_ptr_array_unref(). */
GPtrArray *findings_new(void);

/* Appends a finding; path is copied.  Bytes that are not UTF-8 are replaced. */
void finding_add(GPtrArray *list, enum finding_level level, const char *path,
		 const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Appends a warning at "FOLDER/NAME:KEY". */
void finding_warn(GPtrArray *list, const char *folder, const char *name,
		  const char *key, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* Number of findings of a level. */
guint findings_count(const GPtrArray *list, enum finding_level level);

#endif
