/*
 * Stand-ins of the second review: a strict HTTP/1.1 server that announces
 * itself, and a client that sends bytes as they are.  Only libc and threads.
 *
 *     standin-2 serve ID SERVICE IP:PORT CONTROL,... DELAY_S RECORD
 *         Listens, announces itself every 1.2 s from DELAY_S on, and appends
 *         a line to RECORD for each request that it runs or refuses.  After
 *         SIGUSR1 it announces itself no more and goes on serving.
 *     standin-2 send IP:PORT FILE SECONDS
 *         Sends the bytes of FILE, prints what comes back until the other side
 *         closes or the time is over.
 *     standin-2 free IP PORT...
 *         Exits with 0 if all these ports can be bound.
 *
 * The server follows RFC 9112 and the platform's pages: lines end with CRLF,
 * names of headers are tokens, a folded line, a control character in a value,
 * a missing or second Host, and a wrong length are answered 400 and not run.
 * A request for another X-Expect-Instance is answered 421 and not run.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define HEADERS_MAX 200

static const char *own_id, *service, *own_addr, *controls, *record_path;
static double announce_delay;
static volatile sig_atomic_t silent;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void on_silence(int sig)
{
	(void)sig;
	silent = 1;
}

static void record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	FILE *f = fopen(record_path, "a");
	if (f) {
		fprintf(f, "%.3f server=%s ", now_s(), own_id);
		va_start(ap, fmt);
		vfprintf(f, fmt, ap);
		va_end(ap);
		fputc('\n', f);
		fclose(f);
	}
	pthread_mutex_unlock(&record_lock);
}

static bool parse_addr(const char *text, struct sockaddr_in *sa)
{
	char ip[64];
	const char *colon = strrchr(text, ':');

	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = 0;
	sa->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static int connect_to(const char *text, double timeout_s)
{
	struct sockaddr_in sa;
	struct timeval tv = {(time_t)timeout_s,
			     (suseconds_t)((timeout_s - (time_t)timeout_s) *
					   1e6)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (!parse_addr(text, &sa) || fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool write_all(int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t k = send(fd, p, n, MSG_NOSIGNAL);
		if (k <= 0)
			return false;
		p += k;
		n -= (size_t)k;
	}
	return true;
}

/* ---- announcements ---- */

static bool announce(const char *control, long long seq, long long born)
{
	char body[512], head[512], answer[64] = "";
	int fd = connect_to(control, 1);

	if (fd < 0)
		return false;
	int n = snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
			 "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
			 "\"cold_remaining_ms\":0,\"born\":%lld,\"seq\":%lld}",
			 service, own_addr, born, seq);
	int h = snprintf(head, sizeof(head),
			 "PUT /instances/%s HTTP/1.1\r\nHost: %s\r\n"
			 "Content-Type: application/json\r\n"
			 "Connection: close\r\nContent-Length: %d\r\n\r\n",
			 own_id, control, n);
	bool ok = write_all(fd, head, (size_t)h) &&
		  write_all(fd, body, (size_t)n) &&
		  recv(fd, answer, sizeof(answer) - 1, 0) > 12 &&
		  !strncmp(answer + 9, "200", 3);
	close(fd);
	return ok;
}

static void *announce_loop(void *arg)
{
	char list[512], *control[16];
	long long born = (long long)(now_s() * 1000), seq = 0;
	size_t n = 0, next = 0;

	(void)arg;
	snprintf(list, sizeof(list), "%s", controls);
	for (char *c = strtok(list, ","); c && n < 16; c = strtok(NULL, ","))
		control[n++] = c;
	usleep((useconds_t)(announce_delay * 1e6));
	record("announces itself, born=%lld", born);
	for (;;) {
		for (size_t i = 0; i < n && !silent; i++) {
			if (announce(control[next], ++seq, born))
				break;
			next = (next + 1) % n;
		}
		/* A signal to the process may end one of these waits. */
		for (int i = 0; i < 12 && !silent; i++)
			usleep(100000);
		if (silent)
			break;
	}
	record("announced itself for the last time, seq=%lld", seq);
	return NULL;
}

/* ---- requests ---- */

struct header {
	char *name, *value;
};

struct request {
	char *method, *target;
	struct header h[HEADERS_MAX];
	size_t n;
};

static bool is_token(const char *s)
{
	if (!*s)
		return false;
	for (; *s; s++)
		if (*s <= 32 || *s >= 127 || strchr("\"(),/:;<=>?@[\\]{}", *s))
			return false;
	return true;
}

static bool is_text(const char *s)
{
	for (; *s; s++)
		if ((unsigned char)*s < 32 && *s != '\t')
			return false;
	return true;
}

/* All values of a header, joined by " | "; "-" if there is none. */
static const char *values(const struct request *r, const char *name, char *out,
			  size_t size)
{
	out[0] = 0;
	for (size_t i = 0; i < r->n; i++) {
		if (strcasecmp(r->h[i].name, name))
			continue;
		if (*out)
			strncat(out, " | ", size - strlen(out) - 1);
		strncat(out, r->h[i].value, size - strlen(out) - 1);
	}
	return *out ? out : strcpy(out, "-");
}

static size_t count(const struct request *r, const char *name)
{
	size_t n = 0;

	for (size_t i = 0; i < r->n; i++)
		n += !strcasecmp(r->h[i].name, name);
	return n;
}

/* Parses a head without its last empty line; NULL, or why it is wrong. */
static const char *parse_head(char *head, struct request *r)
{
	char *line = head, *next;

	memset(r, 0, sizeof(*r));
	for (bool first = true; line; line = next, first = false) {
		next = strstr(line, "\r\n");
		if (next) {
			*next = 0;
			next += 2;
		}
		if (!is_text(line))
			return "control character";
		if (first) {
			char *save = NULL, *version;
			r->method = strtok_r(line, " ", &save);
			r->target = strtok_r(NULL, " ", &save);
			version = strtok_r(NULL, " ", &save);
			if (!version || strcmp(version, "HTTP/1.1") ||
			    !is_token(r->method) || *r->target != '/')
				return "request line";
			continue;
		}
		char *colon = strchr(line, ':');
		if (*line == ' ' || *line == '\t')
			return "folded line";
		if (!colon || r->n == HEADERS_MAX)
			return "header line";
		*colon = 0;
		if (!is_token(line))
			return "name of a header";
		char *v = colon + 1;
		while (*v == ' ' || *v == '\t')
			v++;
		for (size_t k = strlen(v);
		     k && (v[k - 1] == ' ' || v[k - 1] == '\t'); k--)
			v[k - 1] = 0;
		r->h[r->n++] = (struct header){line, v};
	}
	return count(r, "Host") == 1 ? NULL : "Host";
}

static void answer(int fd, const char *status, const char *headers,
		   const char *body)
{
	char out[2048];
	int n = snprintf(out, sizeof(out),
			 "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n%s",
			 status, headers, strlen(body), body);

	write_all(fd, out, (size_t)n);
}

/* Reads until buf holds at least `want` bytes. */
static bool fill(int fd, char *buf, size_t *len, size_t want)
{
	while (*len < want) {
		ssize_t k = recv(fd, buf + *len, HEAD_MAX - *len, 0);
		if (k <= 0)
			return false;
		*len += (size_t)k;
	}
	return true;
}

static void run(int fd, const struct request *r, const char *body, size_t n)
{
	char id[512], tenant[512], pin[256], hold[256], from[256], backup[256],
		key[256], expect[256], head[1024];

	if (!strcmp(r->target, "/h") || !strcmp(r->target, "/report")) {
		snprintf(head, sizeof(head), "X-Instance-Id: %s\r\n", own_id);
		answer(fd, "200 OK", head, "{\"kv_used\":0,\"waiting\":0}");
		return;
	}
	values(r, "X-Request-Id", id, sizeof(id));
	values(r, "X-Expect-Instance", expect, sizeof(expect));
	if (strcmp(expect, "-") && strcmp(expect, own_id)) {
		record("refused 421 id=%s expect=%s", id, expect);
		answer(fd, "421 Misdirected", "X-Not-Executed: 1\r\n", "");
		return;
	}
	record("run id=%s method=%s target=%s tenant=[%s] pin=[%s] hold=[%s] "
	       "from=[%s] backup=[%s] key=[%s] body=[%.*s]",
	       id, r->method, r->target,
	       values(r, "X-Tenant", tenant, sizeof(tenant)),
	       values(r, "X-Pin-Ms", pin, sizeof(pin)),
	       values(r, "X-Hold", hold, sizeof(hold)),
	       values(r, "Kv-From", from, sizeof(from)),
	       values(r, "X-Kv-Backup", backup, sizeof(backup)),
	       values(r, "X-Key", key, sizeof(key)), (int)n, body);
	snprintf(head, sizeof(head),
		 "X-Request-Id: %s\r\nX-Response-Seal: %s.1\r\n", id, own_id);
	answer(fd, "200 OK", head, "done");
}

static void *serve_conn(void *arg)
{
	int fd = (int)(long)arg;
	char *buf = malloc(HEAD_MAX + 1), lengths[64], *end, *bad;
	size_t len = 0;
	struct request r;

	for (;;) {
		buf[len] = 0;
		while (!(end = memmem(buf, len, "\r\n\r\n", 4)))
			if (len == HEAD_MAX ||
			    !fill(fd, buf, &len, len + 1))
				goto out;
		size_t head_len = (size_t)(end - buf) + 4;
		*end = 0;
		const char *why = strlen(buf) == head_len - 4
					  ? parse_head(buf, &r)
					  : "NUL";
		size_t body = 0;
		if (!why && count(&r, "Transfer-Encoding"))
			why = "Transfer-Encoding"; /* not used by this client */
		if (!why && count(&r, "Content-Length")) {
			values(&r, "Content-Length", lengths, sizeof(lengths));
			body = strtoul(lengths, &bad, 10);
			if (*bad || lengths[0] < '0' || lengths[0] > '9')
				why = "Content-Length";
		}
		if (!why && head_len + body > HEAD_MAX)
			why = "too large";
		if (why) {
			record("bad request: %s", why);
			answer(fd, "400 Bad Request", "Connection: close\r\n",
			       "");
			goto out;
		}
		if (!fill(fd, buf, &len, head_len + body))
			goto out;
		run(fd, &r, buf + head_len, body);
		memmove(buf, buf + head_len + body, len - head_len - body);
		len -= head_len + body;
	}
out:
	free(buf);
	close(fd);
	return NULL;
}

static int listen_at(const char *text)
{
	struct sockaddr_in sa;
	int one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!parse_addr(text, &sa) ||
	    bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 128)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int serve(void)
{
	pthread_t t;
	int fd = listen_at(own_addr);

	if (fd < 0)
		return 1;
	pthread_create(&t, NULL, announce_loop, NULL);
	for (;;) {
		int c = accept(fd, NULL, NULL);
		if (c < 0)
			continue;
		if (pthread_create(&t, NULL, serve_conn, (void *)(long)c))
			close(c);
		else
			pthread_detach(t);
	}
}

static int send_file(const char *addr, const char *path, double seconds)
{
	char buf[65536];
	FILE *f = fopen(path, "rb");
	size_t n = f ? fread(buf, 1, sizeof(buf), f) : 0;
	int fd = connect_to(addr, seconds);
	double end = now_s() + seconds;

	if (!f || fd < 0 || !write_all(fd, buf, n))
		return 1;
	while (now_s() < end) {
		ssize_t k = recv(fd, buf, sizeof(buf), 0);
		if (k <= 0)
			break;
		fwrite(buf, 1, (size_t)k, stdout);
	}
	return 0;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_silence);
	if (argc == 8 && !strcmp(argv[1], "serve")) {
		own_id = argv[2];
		service = argv[3];
		own_addr = argv[4];
		controls = argv[5];
		announce_delay = atof(argv[6]);
		record_path = argv[7];
		return serve();
	}
	if (argc == 5 && !strcmp(argv[1], "send"))
		return send_file(argv[2], argv[3], atof(argv[4]));
	if (argc > 3 && !strcmp(argv[1], "free")) {
		for (int i = 3; i < argc; i++) {
			char addr[64];
			snprintf(addr, sizeof(addr), "%s:%s", argv[2], argv[i]);
			int fd = listen_at(addr);
			if (fd < 0)
				return 1;
			close(fd);
		}
		return 0;
	}
	fprintf(stderr, "usage: see the head of standin-2.c\n");
	return 2;
}
