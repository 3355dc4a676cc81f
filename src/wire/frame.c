#include "wire/frame.h"

#include <assert.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <sodium.h>

#include "base/cleanup.h"
#include "base/err.h"

/*
 * Maximum memory for unpacking one frame.  Unpacked messages are larger than
 * packed ones: an empty repeated message takes 2 bytes packed and up to 200
 * unpacked.  Frames of a correct sender unpack to less than 20 times their
 * size.
 */
#define FRAME_UNPACK_BYTES (16 * (size_t)FRAME_MAX_BYTES)

/*
 * Input for deriving the frame key: each use of the cluster key has a derived
 * key of its own.
 */
static const char frame_key_context[] = "mustardwall frame 1";

int frame_key_load(struct frame_key *key, const char *path)
{
	char text[FRAME_KEY_BYTES * 2 + 2];
	struct stat st;
	AUTO_CLOSE int fd = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);

	if (fd < 0 || fstat(fd, &st) < 0)
		return -MW_EIO;
	if (!S_ISREG(st.st_mode) || (st.st_mode & (S_IRWXG | S_IRWXO)))
		return -MW_EPERM;
	ssize_t n = read(fd, text, sizeof(text));
	if (n < 0)
		return -MW_EIO;
	int err = -MW_EINVAL;
	if (n == FRAME_KEY_BYTES) {
		memcpy(key->bytes, text, FRAME_KEY_BYTES);
		err = 0;
	} else if (n == 2 * FRAME_KEY_BYTES ||
		   (n == 2 * FRAME_KEY_BYTES + 1 && text[n - 1] == '\n')) {
		size_t len = 0;
		if (!sodium_hex2bin(key->bytes, FRAME_KEY_BYTES, text,
				    2 * (size_t)FRAME_KEY_BYTES, NULL, &len,
				    NULL) &&
		    len == FRAME_KEY_BYTES)
			err = 0;
	}
	sodium_memzero(text, sizeof(text));
	return err;
}

void frame_init(struct frame_conn *c, const struct frame_key *key,
		enum frame_side side)
{
	int rc = sodium_init();

	assert(rc >= 0);
	(void)rc;
	memset(c, 0, sizeof(*c));
	c->side = side;
	crypto_generichash(
		c->key, sizeof(c->key), (const uint8_t *)frame_key_context,
		sizeof(frame_key_context), key->bytes, sizeof(key->bytes));
	randombytes_buf(c->nonce[side], FRAME_NONCE_BYTES);
}

/* Computes the MAC of the frame with number seq that side `from` sends. */
static void frame_mac(const struct frame_conn *c, enum frame_side from,
		      uint64_t seq, const void *payload, size_t len,
		      uint8_t mac[FRAME_MAC_BYTES])
{
	uint8_t head[2 * FRAME_NONCE_BYTES + 1 + 8];
	crypto_generichash_state st;

	memcpy(head, c->nonce, 2 * (size_t)FRAME_NONCE_BYTES);
	if (!seq) {
		/*
		 * In a Hello, zeros replace the sender's nonce, which is part
		 * of the payload.  In a dialer's Hello they also replace the
		 * other nonce, which the dialer has not received yet.
		 */
		memset(head + from * FRAME_NONCE_BYTES, 0, FRAME_NONCE_BYTES);
		if (from == FRAME_DIALER)
			memset(head, 0, 2 * (size_t)FRAME_NONCE_BYTES);
	}
	uint8_t *p = head + 2 * (size_t)FRAME_NONCE_BYTES;
	*p++ = (uint8_t)from;
	for (int shift = 56; shift >= 0; shift -= 8)
		*p++ = (uint8_t)(seq >> shift);
	crypto_generichash_init(&st, c->key, sizeof(c->key), FRAME_MAC_BYTES);
	crypto_generichash_update(&st, head, sizeof(head));
	crypto_generichash_update(&st, payload, len);
	crypto_generichash_final(&st, mac, FRAME_MAC_BYTES);
}

/* A ProtobufCBuffer that appends to a struct buf. */
struct buf_sink {
	ProtobufCBuffer base;
	struct buf *out;
};

static void sink_append(ProtobufCBuffer *b, size_t len, const uint8_t *data)
{
	buf_add(((struct buf_sink *)b)->out, data, len);
}

int frame_encode(struct frame_conn *c, Mw__Frame *f, struct buf *out)
{
	int is_hello = f->body_case == MW__FRAME__BODY_HELLO;

	if (is_hello != !c->sent)
		return -MW_EINVAL;
	if (!c->received && (c->sent || c->side == FRAME_ACCEPTER))
		return -MW_EAGAIN;
	if (is_hello) {
		f->hello->nonce.data = c->nonce[c->side];
		f->hello->nonce.len = FRAME_NONCE_BYTES;
	}
	f->seq = c->sent;
	size_t len = mw__frame__get_packed_size(f);
	if (len > (is_hello ? FRAME_HELLO_MAX_BYTES : FRAME_MAX_BYTES))
		return -MW_ETOOBIG;

	uint8_t head[FRAME_HEADER_BYTES] = {
		(uint8_t)(len >> 24),
		(uint8_t)(len >> 16),
		(uint8_t)(len >> 8),
		(uint8_t)len,
	};
	uint8_t mac[FRAME_MAC_BYTES];
	struct buf_sink sink = {{sink_append}, out};
	buf_add(out, head, sizeof(head));
	mw__frame__pack_to_buffer(f, &sink.base);
	frame_mac(c, c->side, c->sent, out->data + out->len - len, len, mac);
	buf_add(out, mac, sizeof(mac));
	c->sent++;
	return 0;
}

/* Allocates from the *left bytes that remain for the frame. */
static void *bounded_alloc(void *left, size_t size)
{
	if (size > *(size_t *)left)
		return NULL;
	*(size_t *)left -= size;
	return malloc(size);
}

static void bounded_free(void *left, void *p)
{
	(void)left;
	free(p);
}

/*
 * Checks the sequence number, and that the first frame and no other is a Hello,
 * from which it copies the nonce.
 */
static int check_order(struct frame_conn *c, const Mw__Frame *f)
{
	int is_hello = f->body_case == MW__FRAME__BODY_HELLO;

	if (f->seq != c->received)
		return -MW_EAUTH;
	if (is_hello != !c->received)
		return -MW_EINVAL;
	if (!is_hello)
		return 0;
	if (f->hello->nonce.len != FRAME_NONCE_BYTES)
		return -MW_EINVAL;
	memcpy(c->nonce[!c->side], f->hello->nonce.data, FRAME_NONCE_BYTES);
	return 0;
}

static int decode(struct frame_conn *c, struct buf *in, Mw__Frame **out)
{
	const uint8_t *p = (const uint8_t *)buf_head(in);
	uint8_t mac[FRAME_MAC_BYTES];

	if (buf_unread(in) < FRAME_HEADER_BYTES)
		return 0;
	size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
		     (size_t)p[2] << 8 | (size_t)p[3];
	if (len > (frame_verified(c) ? FRAME_MAX_BYTES : FRAME_HELLO_MAX_BYTES))
		return -MW_ETOOBIG;
	/* The MAC of an accepter's Hello covers the nonce of the dialer's. */
	if (c->side == FRAME_DIALER && !c->sent)
		return -MW_EINVAL;
	size_t total = FRAME_HEADER_BYTES + len + FRAME_MAC_BYTES;
	if (buf_unread(in) < total)
		return 0;
	p += FRAME_HEADER_BYTES;
	frame_mac(c, !c->side, c->received, p, len, mac);
	if (sodium_memcmp(mac, p + len, FRAME_MAC_BYTES))
		return -MW_EAUTH;

	size_t left = FRAME_UNPACK_BYTES;
	ProtobufCAllocator alloc = {bounded_alloc, bounded_free, &left};
	Mw__Frame *f = mw__frame__unpack(&alloc, len, p);
	if (!f)
		return -MW_EINVAL;
	int err = check_order(c, f);
	if (err < 0) {
		mw__frame__free_unpacked(f, NULL);
		return err;
	}
	c->received++;
	buf_consume(in, total);
	*out = f;
	return 1;
}

int frame_decode(struct frame_conn *c, struct buf *in, Mw__Frame **out)
{
	*out = NULL;
	if (c->broken)
		return c->broken;
	int rc = decode(c, in, out);
	if (rc < 0)
		c->broken = rc;
	return rc;
}

int frame_verified(const struct frame_conn *c)
{
	return !c->broken && c->received > (c->side == FRAME_ACCEPTER ? 1 : 0);
}
