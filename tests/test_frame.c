#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/err.h"
#include "wire/frame.h"

static const struct frame_key key = {{1, 2, 3}};

/* Both sides of a connection and the bytes sent but not yet decoded. */
static struct frame_conn dialer, accepter;
static struct buf to_accepter, to_dialer;

static int encode_frame(struct frame_conn *c, int hello, size_t path_len,
			struct buf *out)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Hello h = MW__HELLO__INIT;
	Mw__AdminCall call = MW__ADMIN_CALL__INIT;
	char *path = calloc(1, path_len + 1);

	memset(path, 'x', path_len);
	h.host = call.path = path;
	f.body_case =
		hello ? MW__FRAME__BODY_HELLO : MW__FRAME__BODY_ADMIN_CALL;
	if (hello)
		f.hello = &h;
	else
		f.admin_call = &call;
	int rc = frame_encode(c, &f, out);
	free(path);
	return rc;
}

static int decode_frame(struct frame_conn *c, struct buf *in)
{
	Mw__Frame *f;
	int rc = frame_decode(c, in, &f);

	ck_assert_int_eq(rc == 1, f != NULL);
	if (f)
		mw__frame__free_unpacked(f, NULL);
	return rc;
}

static void setup(void)
{
	frame_init(&dialer, &key, FRAME_DIALER);
	frame_init(&accepter, &key, FRAME_ACCEPTER);
	ck_assert_int_eq(encode_frame(&dialer, 1, 5, &to_accepter), 0);
}

static void handshake(void)
{
	ck_assert_int_eq(decode_frame(&accepter, &to_accepter), 1);
	ck_assert_int_eq(encode_frame(&accepter, 1, 5, &to_dialer), 0);
	ck_assert_int_eq(decode_frame(&dialer, &to_dialer), 1);
}

static void teardown(void)
{
	buf_release(&to_accepter);
	buf_release(&to_dialer);
}

/* Guards against frames that are lost if they arrive byte by byte. */
START_TEST(test_round_trip_byte_by_byte)
{
	AUTO_BUF struct buf slow = BUF_INIT;
	int got = 0;

	handshake();
	ck_assert(frame_verified(&dialer));
	ck_assert(!frame_verified(&accepter));
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(
			encode_frame(&dialer, 0, (size_t)i * 50, &to_accepter),
			0);
	while (buf_unread(&to_accepter)) {
		buf_add(&slow, buf_head(&to_accepter), 1);
		buf_consume(&to_accepter, 1);
		got += decode_frame(&accepter, &slow);
	}
	ck_assert_int_eq(got, 20);
	ck_assert(frame_verified(&accepter));
}
END_TEST

/* Guards against a bit of a frame that the MAC does not cover. */
START_TEST(test_every_altered_bit_is_refused)
{
	handshake();
	ck_assert_int_eq(encode_frame(&dialer, 0, 9, &to_accepter), 0);
	for (size_t bit = 0; bit < 8 * buf_unread(&to_accepter); bit++) {
		AUTO_BUF struct buf bad = BUF_INIT;
		struct frame_conn c = accepter;
		buf_add(&bad, buf_head(&to_accepter), buf_unread(&to_accepter));
		bad.data[bit / 8] ^= (char)(1 << bit % 8);
		/* With a larger length the frame is incomplete, rc 0. */
		ck_assert_int_le(decode_frame(&c, &bad), 0);
		ck_assert(!frame_verified(&c));
	}
	ck_assert_int_eq(decode_frame(&accepter, &to_accepter), 1);
}
END_TEST

/* Guards against a truncated frame that is accepted, or read past its end. */
START_TEST(test_truncated_frame_waits)
{
	handshake();
	ck_assert_int_eq(encode_frame(&dialer, 0, 9, &to_accepter), 0);
	for (size_t len = 0; len < buf_unread(&to_accepter); len++) {
		AUTO_BUF struct buf part = BUF_INIT;
		struct frame_conn c = accepter;
		buf_add(&part, buf_head(&to_accepter), len);
		ck_assert_int_eq(decode_frame(&c, &part), 0);
	}
}
END_TEST

/*
 * Guards against a frame that is accepted twice, after a lost one, on another
 * connection, or by its own sender.
 */
START_TEST(test_replay_and_reflection_are_refused)
{
	AUTO_BUF struct buf hello = BUF_INIT;
	AUTO_BUF struct buf copy = BUF_INIT;

	buf_add(&hello, buf_head(&to_accepter), buf_unread(&to_accepter));
	handshake();
	ck_assert_int_eq(encode_frame(&dialer, 0, 9, &to_accepter), 0);
	size_t first = buf_unread(&to_accepter);
	ck_assert_int_eq(encode_frame(&dialer, 0, 9, &to_accepter), 0);
	buf_add(&copy, buf_head(&to_accepter), buf_unread(&to_accepter));

	struct frame_conn c = accepter; /* the first frame twice */
	ck_assert_int_eq(decode_frame(&c, &to_accepter), 1);
	buf_consume(&to_accepter, buf_unread(&to_accepter));
	buf_add(&to_accepter, copy.data, first);
	ck_assert_int_eq(decode_frame(&c, &to_accepter), -MW_EAUTH);
	ck_assert_int_eq(decode_frame(&c, &copy),
			 -MW_EAUTH); /* errors are final */

	buf_consume(&copy, first); /* the first frame is missing */
	c = accepter;
	ck_assert_int_eq(decode_frame(&c, &copy), -MW_EAUTH);

	c = dialer; /* sent back to the dialer */
	ck_assert_int_eq(decode_frame(&c, &to_accepter), -MW_EAUTH);

	/* A replayed Hello is accepted, but no replayed frame after it. */
	frame_init(&c, &key, FRAME_ACCEPTER);
	ck_assert_int_eq(decode_frame(&c, &hello), 1);
	ck_assert(!frame_verified(&c));
	ck_assert_int_eq(encode_frame(&c, 1, 5, &to_dialer), 0);
	ck_assert_int_eq(decode_frame(&c, &to_accepter), -MW_EAUTH);

	/* An accepter's Hello is valid for one dialer only. */
	struct frame_conn other;
	frame_init(&other, &key, FRAME_DIALER);
	ck_assert_int_eq(encode_frame(&other, 1, 5, &hello), 0);
	ck_assert_int_eq(decode_frame(&other, &to_dialer), -MW_EAUTH);
}
END_TEST

/* Guards against accepting a process with another cluster key. */
START_TEST(test_other_key_is_refused)
{
	struct frame_key other_key = key;
	other_key.bytes[31] ^= 1;
	frame_init(&accepter, &other_key, FRAME_ACCEPTER);
	ck_assert_int_eq(decode_frame(&accepter, &to_accepter), -MW_EAUTH);
}
END_TEST

/*
 * Guards against a length field that makes a process buffer more than the
 * limit, which is lower until the other side is verified: a Hello may be a
 * replay.
 */
START_TEST(test_oversize_is_refused_from_its_length)
{
	AUTO_BUF struct buf in = BUF_INIT;
	struct frame_conn c;

	frame_init(&c, &key, FRAME_ACCEPTER);
	buf_add(&in, "\0\0\x10\x01", 4); /* FRAME_HELLO_MAX_BYTES + 1 */
	ck_assert_int_eq(decode_frame(&c, &in), -MW_ETOOBIG);
	handshake();
	c = accepter;
	ck_assert_int_eq(decode_frame(&c, &in), -MW_ETOOBIG);
	ck_assert_int_eq(encode_frame(&dialer, 0, 1, &to_accepter), 0);
	ck_assert_int_eq(decode_frame(&accepter, &to_accepter), 1);
	ck_assert_int_eq(decode_frame(&accepter, &in),
			 0); /* allowed once it is verified */
	buf_consume(&in, 4);
	buf_add(&in, "\0\x40\0\x01", 4); /* FRAME_MAX_BYTES + 1 */
	ck_assert_int_eq(decode_frame(&accepter, &in), -MW_ETOOBIG);

	size_t before = buf_unread(&to_accepter);
	ck_assert_int_eq(
		encode_frame(&dialer, 0, FRAME_MAX_BYTES, &to_accepter),
		-MW_ETOOBIG);
	ck_assert_uint_eq(buf_unread(&to_accepter), before);
	ck_assert_int_eq(
		encode_frame(&dialer, 0, FRAME_MAX_BYTES - 64, &to_accepter),
		0);
}
END_TEST

/* Guards against a frame that unpacks to many times its packed size. */
START_TEST(test_unpacked_memory_is_bounded)
{
	enum { N = 500000 };
	Mw__Frame f = MW__FRAME__INIT;
	Mw__HubGrant grant = MW__HUB_GRANT__INIT;
	Mw__EndpointInfo empty = MW__ENDPOINT_INFO__INIT;

	handshake();
	ck_assert_int_eq(encode_frame(&dialer, 0, 1, &to_accepter), 0);
	ck_assert_int_eq(decode_frame(&accepter, &to_accepter), 1);
	grant.n_deltas = N;
	grant.deltas = calloc(N, sizeof(*grant.deltas));
	for (int i = 0; i < N; i++)
		grant.deltas[i] = &empty;
	f.body_case = MW__FRAME__BODY_HUB_GRANT;
	f.hub_grant = &grant;
	ck_assert_int_eq(frame_encode(&dialer, &f, &to_accepter), 0);
	free(grant.deltas);
	ck_assert_int_eq(decode_frame(&accepter, &to_accepter), -MW_EINVAL);
}
END_TEST

/* Guards against a connection without a Hello, or with a second one. */
START_TEST(test_hello_comes_first_and_once)
{
	struct frame_conn c;

	frame_init(&c, &key, FRAME_DIALER);
	ck_assert_int_eq(encode_frame(&c, 0, 1, &to_dialer), -MW_EINVAL);
	frame_init(&c, &key, FRAME_ACCEPTER);
	ck_assert_int_eq(encode_frame(&c, 1, 1, &to_dialer), -MW_EAGAIN);
	ck_assert_int_eq(encode_frame(&dialer, 0, 1, &to_accepter), -MW_EAGAIN);
	handshake();
	ck_assert_int_eq(encode_frame(&dialer, 1, 1, &to_accepter), -MW_EINVAL);
	dialer.sent = 0; /* a faulty sender */
	ck_assert_int_eq(encode_frame(&dialer, 1, 1, &to_accepter), 0);
	ck_assert_int_lt(decode_frame(&accepter, &to_accepter), 0);
}
END_TEST

static int load_key(const char *text, size_t len, mode_t mode)
{
	char path[] = "/tmp/test_frame.XXXXXX";
	struct frame_key k;
	int fd = mkstemp(path);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, len), (ssize_t)len);
	ck_assert_int_eq(fchmod(fd, mode), 0);
	close(fd);
	int rc = frame_key_load(&k, path);
	unlink(path);
	return rc;
}

/* Guards against a key file that other users can read, and malformed keys. */
START_TEST(test_key_file)
{
	char hex[66];

	memset(hex, 'a', sizeof(hex));
	hex[64] = '\n';
	ck_assert_int_eq(load_key(hex, 64, 0600), 0);
	ck_assert_int_eq(load_key(hex, 65, 0400), 0);
	ck_assert_int_eq(load_key(hex, 32, 0600), 0);
	ck_assert_int_eq(load_key(hex, 63, 0600), -MW_EINVAL);
	ck_assert_int_eq(load_key(hex, 66, 0600), -MW_EINVAL);
	ck_assert_int_eq(load_key("", 0, 0600), -MW_EINVAL);
	ck_assert_int_eq(load_key(hex, 64, 0640), -MW_EPERM);
	ck_assert_int_eq(load_key(hex, 64, 0604), -MW_EPERM);
	hex[10] = 'x';
	ck_assert_int_eq(load_key(hex, 64, 0600), -MW_EINVAL);
	struct frame_key k;
	ck_assert_int_eq(frame_key_load(&k, "/tmp"), -MW_EPERM);
	ck_assert_int_eq(frame_key_load(&k, "/nonexistent"), -MW_EIO);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("frame");
	TCase *tc = tcase_create("frame");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_round_trip_byte_by_byte);
	tcase_add_test(tc, test_every_altered_bit_is_refused);
	tcase_add_test(tc, test_truncated_frame_waits);
	tcase_add_test(tc, test_replay_and_reflection_are_refused);
	tcase_add_test(tc, test_other_key_is_refused);
	tcase_add_test(tc, test_oversize_is_refused_from_its_length);
	tcase_add_test(tc, test_unpacked_memory_is_bounded);
	tcase_add_test(tc, test_hello_comes_first_and_once);
	tcase_add_test(tc, test_key_file);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
