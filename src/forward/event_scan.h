#ifndef FORWARD_EVENT_SCAN_H
#define FORWARD_EVENT_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Finds the ends and the ids of the events in a stream, which arrives in parts
 * of any size.  Initialize to zero. */
struct event_scan {
	size_t bytes;	  /* of the event so far, 0 between events */
	bool has_id;	  /* the event's first id line has a number */
	uint64_t id;	  /* that number */
	bool id_line_met; /* later id lines do not count */
	size_t line_bytes;
	bool line_is_empty; /* apart from a carriage return */
	bool has_line;	    /* of the event, before this one */
	char line[32];	    /* its first bytes */
};

/*
 * Reads up to the end of the current event, with the empty line at its end.
 * Returns the number of bytes read; *whole tells whether the event ends there.
 * The next call after a whole event begins the next one.
 */
size_t event_scan_feed(struct event_scan *s, const char *p, size_t n,
		       bool *whole);

/* Whether an event has begun and has not ended. */
bool event_scan_is_inside(const struct event_scan *s);

#endif
