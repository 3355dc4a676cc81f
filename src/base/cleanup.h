#ifndef BASE_CLEANUP_H
#define BASE_CLEANUP_H

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include <glib.h>
#include <jansson.h>

/*
 * Clean-up attributes: a variable declared with one of these macros releases
 * the resource it owns when it goes out of scope.  steal_ptr() and steal_fd()
 * return the resource and clear the variable, so that ownership passes to the
 * code that called them.
 */

static inline void cleanup_free_(void *p)
{
	free(*(void **)p);
}

static inline void cleanup_close_(int *fd)
{
	if (*fd >= 0)
		close(*fd);
}

static inline void cleanup_file_(FILE **f)
{
	if (*f)
		fclose(*f);
}

static inline void cleanup_json_(json_t **j)
{
	json_decref(*j);
}

#define AUTO_FREE __attribute__((cleanup(cleanup_free_)))
#define AUTO_CLOSE __attribute__((cleanup(cleanup_close_)))
#define AUTO_FILE __attribute__((cleanup(cleanup_file_)))
#define AUTO_JSON __attribute__((cleanup(cleanup_json_)))

static inline void *steal_ptr_(void *p)
{
	void *v = *(void **)p;

	*(void **)p = NULL;
	return v;
}

static inline int steal_fd(int *fd)
{
	int v = *fd;

	*fd = -1;
	return v;
}

#define steal_ptr(p) ((__typeof__(*(p)))steal_ptr_(p))

#endif
