#ifndef REP_REP_WIRE_H
#define REP_REP_WIRE_H

#include "rep/rep.h"
#include "wire/mw.pb-c.h"

/*
 * Conversion between struct rep_msg and the protobuf message RepMsg.  Field
 * `learner` of append and snapshot replies tells that the sender knows joint
 * lists.
 */

/*
 * The result points into m, which must outlive it; free it with rep_wire_free.
 */
Mw__RepMsg *rep_wire_from_msg(const struct rep_msg *m);
void rep_wire_free(Mw__RepMsg *w);

/*
 * Returns a copy, to be freed with rep_msg_free, or NULL if a field is out of
 * range: an unknown type, too many or too large entries, entry indexes that do
 * not follow prev_index without gaps, too many voters, a chunk outside its
 * snapshot.
 */
struct rep_msg *rep_wire_to_msg(const Mw__RepMsg *w);

/*
 * Encodes a voter list as stored in entries and snapshots; replaces the content
 * of out.  A joint list is written as the list before it, with the row of the
 * learner that takes a voter's place twice; former versions refuse it.
 */
void rep_voters_pack(const struct rep_voters *vs, GByteArray *out);
/* Returns 0, or -MW_ECORRUPT if the bytes are not a valid voter list. */
int rep_voters_unpack(const void *data, size_t len, struct rep_voters *vs);

#endif
