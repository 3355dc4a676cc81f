/*
 * Stand-ins of the cases 11 to 15: a server, as PROTOCOL.md describes it, and a
 * client or operator that sends bytes as they are.
 *
 *   standin-3 server IP:PORT ID SERVICE ZONE CONTROL,... RECORD
 *   standin-3 engine IP:PORT ID SERVICE ZONE CONTROL,... RECORD MILLISECONDS
 *   standin-3 send IP:PORT MILLISECONDS < BYTES
 *
 * The server announces itself at the control addresses in turn.  It serves one
 * request at a time on a connection and keeps the connection.  It takes the
 * first of two header lines with the same name.  A request that names another
 * instance gets 421, one without an id 400, and neither is run.  RECORD gets a
 * line for each request that it runs.
 *
 * The engine is a server whose answers are streams of 120 events.  It reports
 * "draining" after the time that is given, or never with 0.  A copy that it is
 * asked for is complete after 50 ms; a request that goes on from a copy is
 * refused with 503 after 300 ms.
 *
 * The sender writes what it has read from its standard input, and prints what
 * it receives until the connection ends or the time is over.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BUF_BYTES (256 * 1024)
#define BEAT_MS 1200

static const char *id, *service, *zone, *addr;
static bool is_engine;
static long long leaves_ms; /* when it begins to drain; 0: never */
static char controls[8][64];
static int n_controls;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static long long now_ms(clockid_t c)
{
	struct timespec t;

	clock_gettime(c, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static struct sockaddr_in parse_addr(const char *text)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	char ip[64];
	const char *colon = strrchr(text, ':');

	if (!colon || colon - text >= (long)sizeof(ip)) {
		fprintf(stderr, "no address: %s\n", text);
		exit(2);
	}
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1) {
		fprintf(stderr, "no address: %s\n", text);
		exit(2);
	}
	return sa;
}

static int connect_to(const char *text)
{
	struct sockaddr_in sa = parse_addr(text);
	struct timeval t = {.tv_sec = 1};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

static int write_all(int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t w = send(fd, p, n, MSG_NOSIGNAL);

		if (w <= 0)
			return -1;
		p += w;
		n -= (size_t)w;
	}
	return 0;
}

/* Reads until the time is over, the connection ends or `enough` is found. */
static size_t read_until(int fd, char *buf, size_t max, int ms,
			 const char *enough)
{
	long long end = now_ms(CLOCK_MONOTONIC) + ms;
	size_t n = 0;

	for (;;) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		long long left = end - now_ms(CLOCK_MONOTONIC);

		if (left <= 0 || n + 1 >= max || poll(&p, 1, (int)left) <= 0)
			break;
		ssize_t r = recv(fd, buf + n, max - 1 - n, 0);
		if (r <= 0)
			break;
		n += (size_t)r;
		buf[n] = '\0';
		if (enough && strstr(buf, enough))
			break;
	}
	buf[n] = '\0';
	return n;
}

/* ---- the server ---- */

static void *announce(void *arg)
{
	long long born = now_ms(CLOCK_REALTIME);
	unsigned int turn = 0;

	(void)arg;
	for (unsigned long seq = 1;; seq++) {
		char body[1024], text[2048], reply[4096] = "";
		int fd = connect_to(controls[turn % (unsigned int)n_controls]);

		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
			 "\"version\":\"v1\",\"slots\":24,\"state\":\"%s\","
			 "\"cold_remaining_ms\":0,\"seq\":%lu,\"born\":%lld}",
			 service, addr, zone,
			 leaves_ms && now_ms(CLOCK_MONOTONIC) >= leaves_ms
				 ? "draining"
				 : "ready",
			 seq, born);
		snprintf(text, sizeof(text),
			 "PUT /instances/%s HTTP/1.1\r\nHost: control\r\n"
			 "Content-Type: application/json\r\n"
			 "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
			 id, strlen(body), body);
		if (fd >= 0 && !write_all(fd, text, strlen(text)))
			read_until(fd, reply, sizeof(reply), 1000, "\r\n\r\n");
		if (fd >= 0)
			close(fd);
		if (strncmp(reply, "HTTP/1.1 200", 12)) {
			turn++;
			usleep(100 * 1000);
		} else {
			usleep(BEAT_MS * 1000);
		}
	}
	return NULL;
}

/* The first line with the name, or "". */
static void header(const char *head, const char *name, char *out, size_t max)
{
	size_t len = strlen(name);

	*out = '\0';
	for (const char *l = strstr(head, "\r\n"); l; l = strstr(l, "\r\n")) {
		l += 2;
		if (strncasecmp(l, name, len) || l[len] != ':')
			continue;
		l += len + 1;
		l += strspn(l, " \t");
		snprintf(out, max, "%.*s", (int)strcspn(l, "\r"), l);
		return;
	}
}

static void answer(int fd, const char *status, const char *headers,
		   const char *body)
{
	char text[4096];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n%s", status,
		 headers, strlen(body), body);
	write_all(fd, text, strlen(text));
}

static void stream(int fd, const char *headers)
{
	char text[2048];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 headers);
	for (int i = 1; i <= 120 && !write_all(fd, text, strlen(text)); i++) {
		char event[64];

		snprintf(event, sizeof(event), "id: %d\ndata: token\n\n", i);
		snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(event),
			 event);
		usleep(60 * 1000);
	}
	write_all(fd, "0\r\n\r\n", 5);
}

/* Orders to copy and to free copies, and requests that go on from a copy. */
static bool serve_engine(int fd, const char *head)
{
	char from[256];

	header(head, "Kv-From", from, sizeof(from));
	if (!strncmp(head, "POST /kv-move ", 14)) {
		usleep(50 * 1000);
		answer(fd, "200 OK", "", "{\"handle\":\"h\",\"made\":1}");
	} else if (!strncmp(head, "DELETE /kv-handle/", 18)) {
		answer(fd, "200 OK", "", "");
	} else if (*from) {
		usleep(300 * 1000);
		answer(fd, "503 Service Unavailable", "X-Not-Executed: 1\r\n",
		       "");
	} else {
		return false;
	}
	return true;
}

static void run(int fd, const char *head, size_t body_len)
{
	char request[256], tenant[256], method[16], path[512], headers[1024];

	header(head, "X-Request-Id", request, sizeof(request));
	header(head, "X-Tenant", tenant, sizeof(tenant));
	if (sscanf(head, "%15s %511s", method, path) != 2)
		return;
	pthread_mutex_lock(&lock);
	fprintf(record,
		"run server=%s id=[%s] tenant=[%s] %s %s body_bytes=%zu\n", id,
		request, tenant, method, path, body_len);
	fflush(record);
	pthread_mutex_unlock(&lock);
	snprintf(headers, sizeof(headers),
		 "X-Request-Id: %s\r\nX-Response-Seal: seal.%s\r\n", request,
		 request);
	if (is_engine)
		stream(fd, headers);
	else
		answer(fd, "200 OK", headers, "done");
}

static void serve(int fd, const char *head, size_t body_len)
{
	char expect[256], request[256], own[256];

	header(head, "X-Expect-Instance", expect, sizeof(expect));
	header(head, "X-Request-Id", request, sizeof(request));
	snprintf(own, sizeof(own), "X-Instance-Id: %s\r\n", id);
	if (*expect && strcmp(expect, id))
		answer(fd, "421 Misdirected Request", "X-Not-Executed: 1\r\n",
		       "");
	else if (!strncmp(head, "GET /healthz ", 13))
		answer(fd, "200 OK", own, "");
	else if (is_engine && serve_engine(fd, head))
		return;
	else if (!*request)
		answer(fd, "400 Bad Request", "X-Not-Executed: 1\r\n", "");
	else
		run(fd, head, body_len);
}

static void *serve_connection(void *arg)
{
	int fd = (int)(long)arg;
	char *buf = malloc(BUF_BYTES);
	size_t n = 0;

	for (;;) {
		char *end, text[32];

		buf[n] = '\0';
		while (!(end = strstr(buf, "\r\n\r\n"))) {
			ssize_t r = n + 1 < BUF_BYTES
					    ? recv(fd, buf + n,
						   BUF_BYTES - 1 - n, 0)
					    : 0;
			if (r <= 0)
				goto out;
			n += (size_t)r;
			buf[n] = '\0';
		}
		end[2] = '\0'; /* the head ends with its last line's end */
		header(buf, "Content-Length", text, sizeof(text));
		size_t head_len = (size_t)(end + 4 - buf);
		size_t body_len = strtoul(text, NULL, 10);
		if (head_len + body_len + 1 >= BUF_BYTES)
			goto out;
		while (n < head_len + body_len) {
			ssize_t r = recv(fd, buf + n, BUF_BYTES - 1 - n, 0);
			if (r <= 0)
				goto out;
			n += (size_t)r;
		}
		serve(fd, buf, body_len);
		n -= head_len + body_len;
		memmove(buf, buf + head_len + body_len, n);
	}
out:
	close(fd);
	free(buf);
	return NULL;
}

static int server_main(char **argv)
{
	struct sockaddr_in sa = parse_addr(argv[2]);
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	pthread_t t;

	addr = argv[2];
	id = argv[3];
	service = argv[4];
	zone = argv[5];
	for (char *s = strtok(argv[6], ","); s && n_controls < 8;
	     s = strtok(NULL, ","))
		snprintf(controls[n_controls++], sizeof(controls[0]), "%s", s);
	record = fopen(argv[7], "a");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!record || !n_controls ||
	    bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 128)) {
		perror("standin-3 server");
		return 2;
	}
	pthread_create(&t, NULL, announce, NULL);
	for (;;) {
		int c = accept(fd, NULL, NULL);

		if (c >= 0 && pthread_create(&t, NULL, serve_connection,
					     (void *)(long)c) == 0)
			pthread_detach(t);
		else if (c >= 0)
			close(c);
	}
}

/* ---- the sender ---- */

static int send_main(char **argv)
{
	char *buf = malloc(BUF_BYTES);
	size_t n = fread(buf, 1, BUF_BYTES - 1, stdin);
	int fd = connect_to(argv[2]);

	if (fd < 0 || write_all(fd, buf, n))
		return 1;
	n = read_until(fd, buf, BUF_BYTES, atoi(argv[3]), NULL);
	fwrite(buf, 1, n, stdout);
	return n ? 0 : 1;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc == 8 && !strcmp(argv[1], "server"))
		return server_main(argv);
	if (argc == 9 && !strcmp(argv[1], "engine")) {
		is_engine = true;
		if (atoi(argv[8]))
			leaves_ms = now_ms(CLOCK_MONOTONIC) + atoi(argv[8]);
		return server_main(argv);
	}
	if (argc == 4 && !strcmp(argv[1], "send"))
		return send_main(argv);
	fprintf(stderr, "see the head of standin-3.c\n");
	return 2;
}
