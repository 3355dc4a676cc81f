#include "daemon/daemon.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <curl/curl.h>
#include <ev.h>
#include <sodium.h>

#include "base/err.h"
#include "base/log.h"
#include "conf/conf.h"
#include "control/ctl.h"
#include "entry/entry.h"
#include "forward/fwd.h"

/* Blocks of this size are mapped one by one. */
#define MAPPED_MIN_BYTES (64 << 10)

/*
 * Signals that stop the process are blocked until their handlers are set:
 * before, they would end it as if it had failed.
 */
static void set_stop_signals(int how)
{
	sigset_t stop;

	sigemptyset(&stop);
	sigaddset(&stop, SIGTERM);
	sigaddset(&stop, SIGINT);
	sigprocmask(how, &stop, NULL);
}

static int run_entry(struct conf *conf, struct ev_loop *loop)
{
	struct entry *e;
	int r = entry_new(conf, loop, &e);

	set_stop_signals(SIG_UNBLOCK);
	if (r == 0)
		ev_run(loop, 0);
	entry_free(e);
	return r;
}

static int run_forward(struct conf *conf, struct ev_loop *loop,
		       const struct iface *iface)
{
	struct fwd *f;
	int r = fwd_new(conf, loop, iface, &f);

	set_stop_signals(SIG_UNBLOCK);
	if (r == 0)
		ev_run(loop, 0);
	fwd_free(f);
	return r;
}

static int run_control(struct conf *conf, struct ev_loop *loop,
		       const struct iface *iface)
{
	struct ctl *c;
	int r = ctl_new(conf, loop, iface, &c);

	set_stop_signals(SIG_UNBLOCK);
	if (r == 0)
		r = ctl_run(c);
	ctl_free(c);
	return r;
}

static int run(struct conf *conf, const struct iface *iface)
{
	struct ev_loop *loop = ev_default_loop(0);

	if (conf->open_cluster)
		log_warn("main", "--open-cluster: other processes are accepted "
				 "without a shared key");
	if (conf->is_control)
		return run_control(conf, loop, iface);
	if (iface)
		return run_forward(conf, loop, iface);
	if (!conf->control_nr) {
		log_error("main", "--seeds: an entry host with the built-in "
				  "interface needs --control");
		return -MW_EINVAL;
	}
	return run_entry(conf, loop);
}

/*
 * Large bodies are mapped one by one, so that the system gets their memory
 * back. By default glibc takes blocks of up to 32 MB from the heap once one was
 * freed, where 1,000 clients with bodies of 4 MB left holes of twice the memory
 * in use.
 */
static void return_memory(const struct conf *conf)
{
#ifdef __GLIBC__
	if (conf->memory_limit_mb > 0) {
		mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
		mallopt(M_TRIM_THRESHOLD, MAPPED_MIN_BYTES * 4);
	}
#else
	(void)conf;
#endif
}

int daemon_main(int argc, char **argv, const struct iface *iface)
{
	struct conf conf;
	char *error = NULL;

	/* Until a handler is set; the settings are being read anyway. */
	signal(SIGHUP, SIG_IGN);
	set_stop_signals(SIG_BLOCK);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		fprintf(stderr, "mustardwalld: a library failed to start\n");
		return EXIT_FAILURE;
	}
	int r = conf_parse(&conf, argc, argv, &error);
	if (r < 0) {
		fprintf(stderr, "mustardwalld: %s\n", error);
		g_free(error);
		conf_release(&conf);
		return 2;
	}
	log_setup(conf.is_control ? "mustardwalld[control]"
				  : "mustardwalld[entry]",
		  (enum log_level)conf.log_level);
	return_memory(&conf);
	signal(SIGPIPE, SIG_IGN);
	r = run(&conf, iface);
	if (r < 0)
		log_error("main", "process stopped after an error: %s",
			  err_info(r)->text);
	conf_release(&conf);
	curl_global_cleanup();
	return r < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
