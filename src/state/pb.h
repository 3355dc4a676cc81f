#ifndef STATE_PB_H
#define STATE_PB_H

#include <stdbool.h>
#include <protobuf-c/protobuf-c.h>

#include "base/buf.h"

/* Helpers for protobuf-c messages. */

/* Returns a deep copy; the caller frees it with <message>__free_unpacked(). */
void *pb_copy(const ProtobufCMessage *msg);

/* Whether two messages, which must be of one type, have equal encodings. */
bool pb_equal(const ProtobufCMessage *a, const ProtobufCMessage *b);

/* Appends the encoding of msg to out. */
void pb_pack(struct buf *out, const ProtobufCMessage *msg);

/*
 * Copies for the fields of a message that is freed with __free_unpacked().  For
 * NULL or "", pb_string() returns the empty string of protobuf-c, which
 * __free_unpacked() does not free.
 */
char *pb_string(const char *s);
ProtobufCBinaryData pb_bytes(const void *data, size_t len);

#endif
