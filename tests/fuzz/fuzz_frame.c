/*
 * Fuzzes frame_decode().  The first byte, modulo 3, selects what the rest is:
 * bytes of an unauthenticated dialer (0), bytes that follow a valid handshake
 * (1), or the payload of a frame with a valid MAC (2), as from a process that
 * holds the key.
 */
#include "tests/fuzz/replay.h"

#include <assert.h>
#include <string.h>
#include <sodium.h>

#include "wire/frame.h"

static const struct frame_key key;

static void handshake(struct frame_conn *dialer, struct frame_conn *accepter)
{
	AUTO_BUF struct buf wire = BUF_INIT;
	Mw__Frame out = MW__FRAME__INIT;
	Mw__Hello hello = MW__HELLO__INIT;
	Mw__Frame *f;

	out.body_case = MW__FRAME__BODY_HELLO;
	out.hello = &hello;
	assert(!frame_encode(dialer, &out, &wire));
	assert(frame_decode(accepter, &wire, &f) == 1);
	mw__frame__free_unpacked(f, NULL);
	assert(!frame_encode(accepter, &out, &wire));
	assert(frame_decode(dialer, &wire, &f) == 1);
	mw__frame__free_unpacked(f, NULL);
}

/* Frames a payload with a valid MAC, without the encoder under test. */
static void append_frame(const struct frame_conn *c, const uint8_t *data,
			 size_t size, struct buf *out)
{
	uint8_t head[4] = {(uint8_t)(size >> 24), (uint8_t)(size >> 16),
			   (uint8_t)(size >> 8), (uint8_t)size};
	uint8_t tail[9] = {FRAME_DIALER};
	uint8_t mac[FRAME_MAC_BYTES];
	crypto_generichash_state st;

	tail[8] = (uint8_t)c->sent;
	crypto_generichash_init(&st, c->key, sizeof(c->key), sizeof(mac));
	crypto_generichash_update(&st, c->nonce[0], 2 * FRAME_NONCE_BYTES);
	crypto_generichash_update(&st, tail, sizeof(tail));
	crypto_generichash_update(&st, data, size);
	crypto_generichash_final(&st, mac, sizeof(mac));
	buf_add(out, head, sizeof(head));
	buf_add(out, data, size);
	buf_add(out, mac, sizeof(mac));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	AUTO_BUF struct buf in = BUF_INIT;
	struct frame_conn dialer, accepter;
	Mw__Frame *f;
	int rc;

	if (!size)
		return 0;
	int mode = data[0] % 3;
	data++;
	size--;
	frame_init(&dialer, &key, FRAME_DIALER);
	frame_init(&accepter, &key, FRAME_ACCEPTER);
	if (mode)
		handshake(&dialer, &accepter);
	if (mode == 2)
		append_frame(&dialer, data, size, &in);
	else
		buf_add(&in, data, size);
	while ((rc = frame_decode(&accepter, &in, &f)) == 1) {
		mw__frame__free_unpacked(f, NULL);
		assert(mode == 2);
	}
	assert(rc <= 0);
	return 0;
}
