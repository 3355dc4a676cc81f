#include "check_main.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "forward/fwd.h"
#include "obs/slog.h"

#define SEC INT64_C(1000000)

static void start_host(struct fwd *f, struct conf *conf)
{
	f->conf = conf;
	f->rand = g_rand_new_with_seed(1);
	list_init(&f->waiting);
	endpoints_start(f);
}

static void stop_host(struct fwd *f)
{
	endpoints_stop(f);
	g_rand_free(f->rand);
}

/* What the process logs from here on goes to the file that is returned. */
static FILE *redirect_log(int *former)
{
	FILE *log = tmpfile();

	ck_assert_ptr_nonnull(log);
	fflush(stdout);
	*former = dup(STDOUT_FILENO);
	ck_assert_int_ge(dup2(fileno(log), STDOUT_FILENO), 0);
	ck_assert_int_eq(slog_setup("e", "z", "entry", 1), 0);
	return log;
}

/* Returns the number of lines of an endpoint in a state. */
static int restore_log(FILE *log, int former, const char *state)
{
	g_autofree char *part = g_strdup_printf("\"state\":\"%s\"", state);
	char line[1024];
	int n = 0;

	dup2(former, STDOUT_FILENO);
	close(former);
	rewind(log);
	while (fgets(line, sizeof(line), log))
		n += strstr(line, "\"kind\":\"endpoint\"") &&
		     strstr(line, part);
	fclose(log);
	return n;
}

static Mw__EndpointInfo new_info(const char *state)
{
	Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;

	info.id = (char *)"i-1";
	info.incarnation = 5;
	info.seq = 9;
	info.addr = (char *)"h:1";
	info.dc = (char *)"z";
	info.state = (char *)state;
	return info;
}

/*
 * Guards against a control process that offers, after its restart, an endpoint
 * that said only in a response that it leaves, and is not told: the host that
 * knows gets the announcement for the first time, or has received it before.
 */
START_TEST(test_restarted_control_is_told)
{
	struct conf conf = {0};
	struct fwd f = {0};
	Mw__EndpointInfo announced = new_info(REGISTRY_SERVING);

	start_host(&f, &conf);
	endpoints_update(&f, &announced, SEC);
	registry_mark_leaving(f.registry, "i-1", 5, SEC);
	announced.seq++;
	for (int i = 0; i < 2; i++) {
		Mw__EndpointInfo *known =
			endpoints_update(&f, &announced, (2 + i) * SEC);

		ck_assert_ptr_nonnull(known);
		ck_assert(known->said_leaving);
		ck_assert_ptr_null(endpoints_update(&f, known, 3 * SEC));
	}
	stop_host(&f);
}
END_TEST

/* Guards against a host that starts later and does not log that an endpoint
 * leaves, as it never knew it as serving, or uses it. */
START_TEST(test_first_row_is_leaving)
{
	struct conf conf = {0};
	struct fwd f = {0};
	Mw__EndpointInfo info = new_info(REGISTRY_LEAVING);
	int former;

	info.said_leaving = true;
	start_host(&f, &conf);
	FILE *log = redirect_log(&former);
	endpoints_update(&f, &info, SEC);
	info.seq++;
	endpoints_update(&f, &info, 2 * SEC);
	ck_assert_int_eq(restore_log(log, former, REGISTRY_LEAVING), 1);
	struct fwd_endpoint *ep = endpoints_find(&f, "i-1");
	ck_assert(ep && !ep->serving && ep->leaves);
	stop_host(&f);
}
END_TEST

/* Guards against a host that forgets, while it is connected to no control
 * process, which endpoints leave. */
START_TEST(test_kept_without_control)
{
	struct conf conf = {0};
	struct fwd f = {0};
	struct frame_key key = {0};
	struct peer_config peers = {
		.loop = ev_default_loop(0), .key = &key, .host = "e"};
	Mw__EndpointInfo info = new_info(REGISTRY_SERVING);

	start_host(&f, &conf);
	ck_assert_int_eq(peer_net_new(&peers, &f.peers), 0);
	endpoints_update(&f, &info, SEC);
	registry_mark_leaving(f.registry, "i-1", 5, SEC);
	for (int64_t s = 2; s < 200; s++)
		endpoints_tick(&f, s * SEC);
	info.seq++;
	ck_assert_ptr_nonnull(endpoints_update(&f, &info, 200 * SEC));
	peer_net_free(f.peers);
	stop_host(&f);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_restarted_control_is_told,
				      test_kept_without_control,
				      test_first_row_is_leaving};

	return check_main("endpoint_rows", tests,
			  sizeof(tests) / sizeof(*tests));
}
