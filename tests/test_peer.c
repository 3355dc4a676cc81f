#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "net/peer.h"

static const struct frame_key key = {{7}};
static struct ev_loop *loop;

/*
 * Only tests of the silence limit use the short one: on a busy machine the test
 * process itself may be paused for longer than that.
 */
#define LONG_SILENCE_MS 3000
#define SHORT_SILENCE_MS 400

static int silence_ms;

/* One process: its peer_net and what its callbacks have recorded. */
struct side {
	struct peer_net *net;
	struct hlc hlc;
	int up, down, frames, last_err;
	int reply_at_once;		     /* 1: replies to a call at once */
	struct peer_rpc last_call;	     /* of the last call received */
	uint64_t last_version, out_of_order; /* of TreeGet frames */
};

static struct side a, b;

static void on_up(struct peer *p, void *ctx)
{
	(void)p;
	((struct side *)ctx)->up++;
}

static void on_down(struct peer *p, int err, void *ctx)
{
	struct side *s = ctx;
	(void)p;
	s->down++;
	s->last_err = err;
}

static void on_frame(struct peer *p, const Mw__Frame *f, void *ctx)
{
	struct side *s = ctx;

	s->frames++;
	if (f->body_case == MW__FRAME__BODY_TREE_GET) {
		s->out_of_order += f->tree_get->have < s->last_version;
		s->last_version = f->tree_get->have;
	}
	if (!f->rpc)
		return;
	s->last_call = peer_rpc(p, f);
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__Ack ack = MW__ACK__INIT;
	ack.err = 42;
	reply.body_case = MW__FRAME__BODY_ACK;
	reply.ack = &ack;
	if (s->reply_at_once)
		ck_assert_int_eq(peer_reply(s->net, s->last_call, &reply), 0);
}

static void start(struct side *s, const char *host, uint64_t incarnation,
		  const char *listen)
{
	struct peer_config cfg = {
		.loop = loop,
		.key = &key,
		.hlc = &s->hlc,
		.listen = listen,
		.host = host,
		.dc = "east",
		.role = "entry",
		.incarnation = incarnation,
		.ping_ms = 30,
		.silence_ms = silence_ms,
		.backoff_min_ms = 10,
		.backoff_max_ms = 50,
		.max_unsent_bytes = 64 * 1024,
		.ops = {on_up, on_down, on_frame},
		.ctx = s,
	};
	ck_assert_int_eq(peer_net_new(&cfg, &s->net), 0);
}

static void setup_with(int ms)
{
	silence_ms = ms;
	log_setup("test_peer", LOG_ERROR);
	memset(&a, 0, sizeof(a));
	memset(&b, 0, sizeof(b));
	loop = ev_loop_new(0);
	start(&a, "alpha", 1, "127.0.0.1:0");
	start(&b, "beta", 1, "127.0.0.1:0");
}

static void setup(void)
{
	setup_with(LONG_SILENCE_MS);
}

static void setup_short_silence(void)
{
	setup_with(SHORT_SILENCE_MS);
}

static void teardown(void)
{
	peer_net_free(a.net);
	peer_net_free(b.net);
	ev_loop_destroy(loop);
}

static void on_wake_timer(struct ev_loop *l, ev_timer *w, int events)
{
	(void)l;
	(void)w;
	(void)events;
}

static void run_ms(int ms)
{
	int64_t end = clock_mono_us() + ms * USEC_PER_MSEC;
	ev_timer wake;

	ev_timer_init(&wake, on_wake_timer, 0.002, 0.002);
	ev_timer_start(loop, &wake);
	while (clock_mono_us() < end)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wake);
}

/* Runs the loop until the condition holds, at most 5 s. */
#define WAIT_FOR(cond)                                                         \
	do {                                                                   \
		for (int i_ = 0; i_ < 2500 && !(cond); i_++)                   \
			run_ms(2);                                             \
		ck_assert(cond);                                               \
	} while (0)

static void connect_sides(void)
{
	ck_assert_int_eq(peer_dial(a.net, peer_net_addr(b.net)), 0);
	WAIT_FOR(a.up == 1 && b.up == 1);
}

static int send_version(struct peer *p, uint64_t have)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__TreeGet get = MW__TREE_GET__INIT;

	get.have = have;
	f.body_case = MW__FRAME__BODY_TREE_GET;
	f.tree_get = &get;
	return peer_send(p, &f);
}

struct call_result {
	int count, err, value;
};

static void on_reply(int err, const Mw__Frame *reply, void *ctx)
{
	struct call_result *ans = ctx;

	ck_assert_int_eq(!err, reply != NULL);
	ans->count++;
	ans->err = err;
	ans->value = reply ? reply->ack->err : 0;
}

static int call(struct side *s, const char *host, int ms,
		struct call_result *ans)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__TreeGet get = MW__TREE_GET__INIT;
	f.body_case = MW__FRAME__BODY_TREE_GET;
	f.tree_get = &get;
	memset(ans, 0, sizeof(*ans));
	return peer_call(peer_find(s->net, host), &f, ms, on_reply, ans);
}

/* Guards against lost frames, wrong counters and hybrid clocks not merged. */
START_TEST(test_send_call_and_stats)
{
	struct call_result ans;
	struct peer_stats st;

	a.hlc.last = (uint64_t)(clock_wall_us() + 30 * USEC_PER_SEC)
		     << HLC_COUNTER_BITS;
	connect_sides();
	struct peer *p = peer_find(a.net, "beta");
	ck_assert_str_eq(peer_hello(p)->dc, "east");
	ck_assert_ptr_eq(peer_find_addr(a.net, peer_net_addr(b.net)), p);
	ck_assert_ptr_eq(peer_next(a.net, NULL), p);
	ck_assert_ptr_null(peer_next(a.net, p));
	ck_assert_ptr_null(peer_find(a.net, "gamma"));
	for (uint64_t i = 1; i <= 100; i++)
		ck_assert_int_eq(send_version(p, i), 0);
	b.reply_at_once = 1;
	ck_assert_int_eq(call(&a, "beta", 1000, &ans), 0);
	WAIT_FOR(ans.count);
	ck_assert_int_eq(ans.err, 0);
	ck_assert_int_eq(ans.value, 42);
	ck_assert_int_eq(b.frames, 101);
	peer_stats(p, &st);
	ck_assert_uint_ge(st.frames_out, 101);
	ck_assert_uint_gt(st.bytes_out, 101 * 20);
	ck_assert_uint_gt(st.frames_in, 0);
	ck_assert_int_eq((int)st.calls, 1);
	ck_assert_int_eq(st.conns, 1);
	ck_assert_uint_ge(b.hlc.last + 1, a.hlc.last - 100);
}
END_TEST

/* Guards against lost or reordered frames when both sides dial. */
START_TEST(test_both_dial_each_other)
{
	ck_assert_int_eq(peer_dial(a.net, peer_net_addr(b.net)), 0);
	ck_assert_int_eq(peer_dial(b.net, peer_net_addr(a.net)), 0);
	for (uint64_t i = 1; i <= 200; i++) {
		run_ms(1);
		if (peer_find(a.net, "beta"))
			send_version(peer_find(a.net, "beta"), i);
		if (peer_find(b.net, "alpha"))
			send_version(peer_find(b.net, "alpha"), i);
	}
	WAIT_FOR(a.last_version == 200 && b.last_version == 200);
	ck_assert_int_eq(a.up + b.up, 2);
	ck_assert_int_eq(a.down + b.down, 0);
	ck_assert_uint_eq(a.out_of_order + b.out_of_order, 0);
	struct peer_stats st;
	peer_stats(peer_find(a.net, "beta"), &st);
	ck_assert_int_eq(st.conns, 2);
	/* One of the two connections closes; the peer stays up. */
	ck_assert_int_eq(peer_undial(a.net, peer_net_addr(b.net)), 0);
	run_ms(50);
	ck_assert_int_eq(a.down + b.down, 0);
	ck_assert_int_eq(send_version(peer_find(a.net, "beta"), 201), 0);
	ck_assert_int_eq(send_version(peer_find(b.net, "alpha"), 201), 0);
	WAIT_FOR(a.last_version == 201 && b.last_version == 201);
}
END_TEST

/* Guards against a peer that is not connected again after its restart. */
START_TEST(test_reconnect_after_restart)
{
	char addr[64];
	struct call_result ans;

	connect_sides();
	g_strlcpy(addr, peer_net_addr(b.net), sizeof(addr));
	ck_assert_int_eq(call(&a, "beta", 5000, &ans), 0);
	WAIT_FOR(b.frames == 1);
	peer_net_free(b.net);
	b.net = NULL;
	WAIT_FOR(a.down == 1);
	ck_assert_int_eq(ans.count, 1);
	ck_assert_int_eq(ans.err, -MW_EIO);
	ck_assert_ptr_null(peer_find(a.net, "beta"));
	run_ms(100); /* dials are refused */
	start(&b, "beta", 2, addr);
	WAIT_FOR(a.up == 2);
	ck_assert_uint_eq(peer_hello(peer_find(a.net, "beta"))->incarnation, 2);
}
END_TEST

/*
 * Guards against a half-open connection of an earlier incarnation that stays in
 * use after a restart, and against a late connection of an earlier one.
 */
START_TEST(test_new_incarnation_replaces_old)
{
	struct side b2 = {0}, b0 = {0};
	struct call_result ans;

	ck_assert_int_eq(peer_dial(b.net, peer_net_addr(a.net)), 0);
	WAIT_FOR(a.up == 1);
	ck_assert_int_eq(call(&a, "beta", 5000, &ans), 0);
	start(&b2, "beta", 2, NULL);
	ck_assert_int_eq(peer_dial(b2.net, peer_net_addr(a.net)), 0);
	WAIT_FOR(a.up == 2);
	ck_assert_int_eq(a.down, 1);
	ck_assert_int_eq(a.last_err, -MW_ECANCELLED);
	ck_assert_int_eq(ans.err, -MW_EIO);
	start(&b0, "beta", 0, NULL);
	ck_assert_int_eq(peer_dial(b0.net, peer_net_addr(a.net)), 0);
	run_ms(100);
	ck_assert_int_eq(a.up, 2);
	ck_assert_uint_eq(peer_hello(peer_find(a.net, "beta"))->incarnation, 2);
	peer_net_free(b0.net);
	peer_net_free(b2.net);
}
END_TEST

/* Guards against calls that never end, end twice or use a freed context. */
START_TEST(test_call_timeout_cancel_and_late_reply)
{
	struct call_result ans, cancelled;
	struct peer_stats st;
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__Ack ack = MW__ACK__INIT;

	connect_sides();
	int64_t t0 = clock_mono_us();
	ck_assert_int_eq(call(&a, "beta", 40, &ans), 0);
	WAIT_FOR(ans.count);
	int64_t took = clock_mono_us() - t0;
	ck_assert_int_eq(ans.err, -MW_ETIMEOUT);
	ck_assert_int_ge(took, 38 * USEC_PER_MSEC);
	reply.body_case = MW__FRAME__BODY_ACK;
	reply.ack = &ack;
	ck_assert_int_eq(peer_reply(b.net, b.last_call, &reply), 0);
	ck_assert_int_eq(call(&a, "beta", 40, &cancelled), 0);
	peer_cancel(a.net, &cancelled);
	run_ms(80);
	ck_assert_int_eq(ans.count, 1);
	ck_assert_int_eq(cancelled.count, 0);
	peer_stats(peer_find(a.net, "beta"), &st);
	ck_assert_int_eq((int)st.timeouts, 1);
	ck_assert_int_eq((int)st.late_replies, 1);
	peer_net_free(a.net);
	a.net = NULL;
	WAIT_FOR(b.down == 1);
	ck_assert_int_eq(peer_reply(b.net, b.last_call, &reply), -MW_ENOTFOUND);
}
END_TEST

/* Guards against contexts of calls that are never freed at a shutdown. */
START_TEST(test_open_calls_fail_before_the_end)
{
	struct call_result first, second, cancelled;

	connect_sides();
	ck_assert_int_eq(call(&a, "beta", 40, &first), 0);
	ck_assert_int_eq(call(&a, "beta", 40, &second), 0);
	ck_assert_int_eq(call(&a, "beta", 40, &cancelled), 0);
	peer_cancel(a.net, &cancelled);
	peer_net_fail_calls(a.net);
	ck_assert_int_eq(first.count, 1);
	ck_assert_int_eq(first.err, -MW_EIO);
	ck_assert_int_eq(second.count, 1);
	ck_assert_int_eq(cancelled.count, 0);
	run_ms(80);
	ck_assert_int_eq(first.count + second.count, 2);
}
END_TEST

/* ---- a peer on a plain socket, without peer_net ------------------------- */

static int raw_connect(const char *addr)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_port = htons((uint16_t)atoi(strrchr(addr, ':') + 1));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void raw_send(int fd, struct frame_conn *c, int hello)
{
	AUTO_BUF struct buf out = BUF_INIT;
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Hello h = MW__HELLO__INIT;

	h.host = (char *)"raw";
	h.incarnation = 1;
	if (hello) {
		f.body_case = MW__FRAME__BODY_HELLO;
		f.hello = &h;
	}
	ck_assert_int_eq(frame_encode(c, &f, &out), 0);
	ck_assert_int_eq(send(fd, out.data, out.len, MSG_NOSIGNAL),
			 (ssize_t)out.len);
}

/* Completes the handshake with a as host "raw"; returns the socket. */
static int raw_peer(struct frame_conn *c)
{
	AUTO_BUF struct buf in = BUF_INIT;
	char byte;
	Mw__Frame *f = NULL;
	int fd = raw_connect(peer_net_addr(a.net));

	frame_init(c, &key, FRAME_DIALER);
	raw_send(fd, c, 1);
	while (!f) {
		run_ms(2);
		while (!f && recv(fd, &byte, 1, 0) == 1) {
			buf_add(&in, &byte, 1);
			ck_assert_int_ge(frame_decode(c, &in, &f), 0);
		}
	}
	mw__frame__free_unpacked(f, NULL);
	ck_assert_int_eq(a.up, 0); /* a Hello may be a replay */
	raw_send(fd, c, 0);
	WAIT_FOR(a.up == 1);
	return fd;
}

/* Guards against a connection whose network path fails without a close. */
START_TEST(test_silent_peer_is_closed)
{
	struct frame_conn c;
	int fd = raw_peer(&c);

	for (int i = 0; i < 10; i++) { /* keep-alives keep it open */
		run_ms(30);
		raw_send(fd, &c, 0);
	}
	ck_assert_int_eq(a.down, 0);
	int64_t t0 = clock_mono_us();
	WAIT_FOR(a.down == 1);
	ck_assert_int_eq(a.last_err, -MW_ETIMEOUT);
	ck_assert_int_ge(clock_mono_us() - t0,
			 (SHORT_SILENCE_MS - 50) * USEC_PER_MSEC);
	ck_assert_int_eq(a.frames, 0);
	close(fd);
}
END_TEST

/*
 * Guards against a dial that waits for the kernel to repeat a lost SYN, which
 * it does after 1 s: a process that starts beside the ones it dials, as after a
 * loss of power, would be without them for that time.
 */
START_TEST(test_dial_without_answer_is_given_up)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0), fill[3];
	char addr[64];

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, len), 0);
	/* The kernel drops further SYNs once the queue holds a connection. */
	ck_assert_int_eq(listen(fd, 0), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	for (size_t i = 0; i < 3; i++) {
		fill[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fill[i], (struct sockaddr *)&sin, sizeof(sin));
	}
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", ntohs(sin.sin_port));
	ck_assert_int_eq(peer_dial(a.net, addr), 0);
	WAIT_FOR(peer_net_conns(a.net) == 1);
	int64_t t0 = clock_mono_us();
	WAIT_FOR(peer_net_conns(a.net) == 0);
	ck_assert_int_lt(clock_mono_us() - t0,
			 LONG_SILENCE_MS / 2 * USEC_PER_MSEC);
	for (size_t i = 0; i < 3; i++)
		close(fill[i]);
	close(fd);
}
END_TEST

/*
 * Guards against a peer that counts as silent because this process was paused
 * and has not read the frames that arrived meanwhile.
 */
START_TEST(test_pause_of_this_process_is_not_silence)
{
	struct frame_conn c;
	int fd = raw_peer(&c);

	for (int i = 0; i < 3; i++) {
		usleep(SHORT_SILENCE_MS * 750);
		raw_send(fd, &c, 0);
		usleep(SHORT_SILENCE_MS * 750);
		run_ms(5);
		ck_assert_int_eq(a.down, 0);
	}
	close(fd);
}
END_TEST

/* Guards against a send buffer that grows without limit. */
START_TEST(test_peer_that_does_not_read_is_closed)
{
	struct frame_conn c;
	int fd = raw_peer(&c);
	uint64_t sent = 0;

	while (!a.down) {
		struct peer *p = peer_find(a.net, "raw");
		struct peer_stats st;
		peer_stats(p, &st);
		ck_assert_uint_le(st.unsent_bytes, 64 * 1024 + 100);
		while (send_version(p, sent) == 0)
			if (++sent % 1000 == 0)
				break;
		raw_send(fd, &c, 0); /* avoids the silence limit */
		run_ms(1);
		ck_assert_uint_lt(sent, 10000000);
	}
	ck_assert_int_eq(a.last_err, -MW_EQUEUEFULL);
	close(fd);
}
END_TEST

/*
 * Guards against processes without the key that hold a descriptor: one sends
 * nothing, one no frames, one a Hello with another key.
 */
START_TEST(test_unauthenticated_connections_are_closed)
{
	struct frame_conn c;
	int silent = raw_connect(peer_net_addr(a.net));
	int wrong = raw_connect(peer_net_addr(a.net));
	int other = raw_connect(peer_net_addr(a.net));
	struct frame_key other_key = {{8}};

	ck_assert_int_eq(send(wrong, "GET / HTTP/1.1\r\n\r\n", 18, 0), 18);
	frame_init(&c, &other_key, FRAME_DIALER);
	raw_send(other, &c, 1);
	run_ms(30);
	ck_assert_int_eq(peer_net_conns(a.net), 1);
	WAIT_FOR(peer_net_conns(a.net) == 0);
	ck_assert_int_eq(a.up, 0);
	close(silent);
	close(wrong);
	close(other);
}
END_TEST

/* Guards against a connection to itself, and against malformed addresses. */
START_TEST(test_addresses)
{
	ck_assert_int_eq(peer_dial(a.net, peer_net_addr(a.net)), 0);
	run_ms(50);
	ck_assert_int_eq(a.up, 0);
	ck_assert_int_eq(peer_undial(a.net, peer_net_addr(a.net)), 0);
	ck_assert_int_eq(peer_undial(a.net, "127.0.0.1:1"), -MW_ENOTFOUND);
	const char *bad[] = {"",
			     "127.0.0.1",
			     "127.0.0.1:",
			     "localhost:1",
			     "127.0.0.1:1x",
			     "127.0.0.1:65536",
			     "[::1:80",
			     "127.0.0.1:+80",
			     "1.2.3:80"};
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_int_eq(peer_dial(a.net, bad[i]), -MW_EINVAL);
	ck_assert_int_eq(peer_dial(a.net, "[::1]:1"), 0);
	ck_assert_int_eq(peer_dial(a.net, peer_net_addr(b.net)), 0);
	ck_assert_int_eq(peer_dial(a.net, peer_net_addr(b.net)), 0);
	WAIT_FOR(a.up == 1 && b.up == 1);
	ck_assert_int_eq(peer_undial(a.net, peer_net_addr(b.net)), 0);
	WAIT_FOR(a.down == 1 && b.down == 1);
	ck_assert_int_eq(a.last_err, -MW_ECANCELLED);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("peer");
	TCase *tc = tcase_create("peer");

	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_send_call_and_stats);
	tcase_add_test(tc, test_both_dial_each_other);
	tcase_add_test(tc, test_reconnect_after_restart);
	tcase_add_test(tc, test_new_incarnation_replaces_old);
	tcase_add_test(tc, test_call_timeout_cancel_and_late_reply);
	tcase_add_test(tc, test_open_calls_fail_before_the_end);
	tcase_add_test(tc, test_peer_that_does_not_read_is_closed);
	tcase_add_test(tc, test_dial_without_answer_is_given_up);
	tcase_add_test(tc, test_addresses);
	suite_add_tcase(s, tc);
	tc = tcase_create("silence");
	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup_short_silence, teardown);
	tcase_add_test(tc, test_silent_peer_is_closed);
	tcase_add_test(tc, test_pause_of_this_process_is_not_silence);
	tcase_add_test(tc, test_unauthenticated_connections_are_closed);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
