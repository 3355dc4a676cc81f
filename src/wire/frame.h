#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stdint.h>

#include "base/buf.h"
#include "wire/mw.pb-c.h"

/*
 * Framing and authentication of messages between mustardwall processes.
 *
 * A frame on the wire consists of the payload length (4 bytes, big endian), the
 * payload (a packed Mw__Frame) and a message authentication code (16 bytes).
 * This MAC, a keyed BLAKE2b hash, covers both nonces of the connection, the
 * direction, the sequence number and the payload, so the receiver rejects a
 * frame that is altered, replayed, reordered, reflected to its sender or taken
 * from another connection, and every frame after a dropped one.
 *
 * The first frame of each side is a Hello that contains its nonce.  The dialer
 * sends first.  The accepter answers after it has checked the dialer's Hello
 * and includes the dialer's nonce in the MAC.  A dialer's Hello may be a
 * replay, so the accepter must not trust the connection until frame_verified()
 * is true, which it is from the dialer's second frame on.
 */

#define FRAME_MAX_BYTES (4 << 20) /* payload */
#define FRAME_KEY_BYTES 32
#define FRAME_MAC_BYTES 16
#define FRAME_NONCE_BYTES 16
#define FRAME_HEADER_BYTES 4 /* payload length */

/*
 * Maximum payload of a frame until the other side is verified, so that it
 * cannot make a process buffer more than a few kilobytes.  A dialer's Hello may
 * be a replay, so the limit holds for the frame after it, too; a dialer sends
 * one without a body.
 */
#define FRAME_HELLO_MAX_BYTES 4096

/* Cluster key, the same in all processes of a cluster. */
struct frame_key {
	uint8_t bytes[FRAME_KEY_BYTES];
};

/*
 * Reads the cluster key: 32 raw bytes, or 64 hex digits with an optional
 * newline.  Returns 0, -MW_EIO (not readable), -MW_EPERM (not a regular file,
 * or the group or others have any access), or -MW_EINVAL (wrong length).
 */
int frame_key_load(struct frame_key *key, const char *path);

enum frame_side {
	FRAME_DIALER,
	FRAME_ACCEPTER,
};

/* State of one connection. */
struct frame_conn {
	uint8_t key[FRAME_KEY_BYTES];	     /* derived from the cluster key */
	uint8_t nonce[2][FRAME_NONCE_BYTES]; /* by enum frame_side */
	enum frame_side side;
	uint64_t sent;	   /* frames encoded so far */
	uint64_t received; /* frames decoded so far */
	int broken; /* error of the first rejected frame, or 0; permanent */
};

/* Initializes c, derives its key and generates a nonce. */
void frame_init(struct frame_conn *c, const struct frame_key *key,
		enum frame_side side);

/*
 * Appends a frame to out and sets f->seq.  The first frame, and no other, must
 * be a Hello, whose nonce this sets.  Returns 0, -MW_ETOOBIG, -MW_EINVAL (a
 * Hello missing or repeated), or -MW_EAGAIN if the Hello of the other side must
 * be decoded first; out is unchanged on error.
 */
int frame_encode(struct frame_conn *c, Mw__Frame *f, struct buf *out);

/*
 * Removes one frame from the front of in.  Returns 1 with *f set (release it
 * with mw__frame__free_unpacked(f, NULL)), 0 if more bytes are needed, or
 * -MW_ETOOBIG, -MW_EAUTH (MAC or sequence number) or -MW_EINVAL (malformed, or
 * a Hello missing or repeated).  After an error every call returns that error.
 */
int frame_decode(struct frame_conn *c, struct buf *in, Mw__Frame **f);

/*
 * Returns whether the other side has proved that it holds the key, by a frame
 * that cannot be a replay.
 */
int frame_verified(const struct frame_conn *c);

#endif
