#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins for the cases in review/N: the platform (settings files, start and
 * end of processes), the operator, servers and clients.  Each case is one
 * program; it starts target/mustardwalld-platform as separate processes on
 * loopback addresses and writes what was sent, answered and run to record.txt
 * in the case's folder.
 *
 * Exit status of a case: 1 the rule was broken, 0 it held, 2 it could not run.
 */

#define RV_BROKEN 1
#define RV_HELD 0
#define RV_FAILED 2

/* Whether the disruption is to be made; false with TROUBLE=0. */
extern bool rv_trouble;

/* dir: folder of the case.  Ends the case with status 2 after 115 s. */
void rv_begin(const char *dir);
/* Ends all processes, removes the temporary folder and exits. */
void rv_end(int status) __attribute__((noreturn));
/* Adds a line to record.txt, with the time since the start in seconds. */
void rv_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends the case with status 2. */
void rv_fail(const char *fmt, ...)
	__attribute__((format(printf, 1, 2), noreturn));
double rv_now(void); /* seconds since the start */
void rv_sleep(double seconds);

/* ---- the platform ---- */

#define RV_CONTROL_PORT 8748
#define RV_FRONT_PORT 8740
#define RV_READY_PORT 8749

/* Machine n has the address 127.A.B.n; A and B are chosen at the start. */
const char *rv_ip(int n);
/* Starts the process of a machine: 1 to 9 serve control, 11 and up are front
 * machines.  Machines 1, 2, 3 and 11, 12, 13 are in zones 1, 2, 3, machine 4 is
 * in zone 1 again.  The seeds are 1, 2 and 3. */
pid_t rv_start(int n, bool bootstrap);
/* Starts three control machines and the front machines 11 to 10 + fronts, and
 * publishes the configuration.  Waits until all fronts are ready. */
void rv_start_all(int fronts, const char *config);
/* Empties the disk of a machine whose process has ended. */
void rv_wipe_disk(int n);
pid_t rv_pid(int n);
void rv_signal(int n, int signum);
/* Waits for the end of the process; returns its wait status, -1 in time. */
int rv_wait(int n, double seconds);

/* ---- HTTP ---- */

struct rv_answer {
	int status;    /* 0: none */
	bool complete; /* the body arrived to its end */
	char head[16384];
	char *body; /* without the encoding of chunks, ends with a 0 byte */
	size_t len;
	const char *end; /* how it ended, for the record */
};

/* Returns a connected socket, or -1. */
int rv_connect(int machine, int port);
bool rv_send(int fd, const void *data, size_t len);
/* Reads one answer from a connection.  Free it with rv_answer_free(). */
void rv_read_answer(int fd, double seconds, struct rv_answer *out);
void rv_answer_free(struct rv_answer *a);
/* Makes a call on a new connection; returns the status, 0 without an answer.
 * *body may be NULL; free it otherwise. */
int rv_call(int machine, int port, const char *method, const char *path,
	    const char *headers, const void *data, size_t len, double seconds,
	    char **body);
/* PUT /config, once; returns the status. */
int rv_put_config(int machine, const char *text);
/* Repeats rv_put_config() until it is answered with 200. */
void rv_publish(const char *text);

/* ---- servers ---- */

struct rv_server;

/* A request that a server has received. */
struct rv_request {
	struct rv_server *server;
	int fd;
	char method[32];
	char target[4096];
	char head[65536]; /* request line and headers */
	char id[256];
	char *body;
	size_t len;
};

typedef void rv_handler(struct rv_request *r);

/* Starts a server at machine n, port 9000; it announces itself to the control
 * machines.  Answers health checks, reports and foreign X-Expect-Instance
 * itself; all else goes to the handler, in a thread of its own.  The
 * connection is closed when the handler returns. */
struct rv_server *rv_serve(const char *id, const char *service, int n,
			   unsigned int slots, rv_handler *handler);
const char *rv_server_id(const struct rv_server *s);
/* The server ends without a word: its connections are reset, new ones are
 * refused. */
void rv_server_crash(struct rv_server *s);
/* The server announces from now on that it is draining. */
void rv_server_drain(struct rv_server *s);
/* A header of the request, or NULL; *len is set. */
const char *rv_header(const char *head, const char *name, size_t *len);
/* Sends a complete, signed answer. */
void rv_answer(struct rv_request *r, int status, const char *text);
/* Begins a signed stream, sends one event, ends it; false: the caller left. */
bool rv_stream_begin(struct rv_request *r);
bool rv_stream_event(struct rv_request *r, int id, const char *data);
bool rv_stream_end(struct rv_request *r);

/* Repeats fn(arg) until it returns true; fails the case after the time. */
void rv_until(double seconds, const char *what, bool (*fn)(void *arg),
	      void *arg);

#endif
