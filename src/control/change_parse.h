#ifndef CONTROL_CHANGE_PARSE_H
#define CONTROL_CHANGE_PARSE_H

#include <jansson.h>

#include "state/tree.h"
#include "wire/mw.pb-c.h"

/*
 * Decodes the JSON body of a change of the settings tree.  Does no I/O.  The
 * control process and the operator's check of a file both use it, so that they
 * accept the same edits.
 */

struct parsed_change {
	Mw__Change msg;
	Mw__Edit *edits; /* that msg refers to */
};

/*
 * Fills in *p, which must be zero, from the body.  Strings of the result that
 * are not in edits are owned by obj.  Returns NULL, or why the body is refused
 * (a static string).  *p is to be released in both cases.
 */
const char *change_parse(json_t *obj, struct parsed_change *p);
void change_parsed_release(struct parsed_change *p);

#endif
