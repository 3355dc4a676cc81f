#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include <glib.h>

#include "base/cleanup.h"
#include "net/bytes_read.h"

/* Connections at a time; a fleet may have 400 processes. */
#define MAX_CONNS 64L

/* A whole tree has at most 512 KiB, a timeline 2000 events. */
#define MAX_ANSWER_BYTES ((size_t)16 << 20)

/* What is read besides: header lines, those of interim answers and trailers,
 * and the framing of chunks. */
#define MAX_OTHER_BYTES ((uint64_t)1 << 20)

/* Part of --timeout for the connection, so that dead hosts cost little. */
#define CONNECT_TIMEOUT_S 2L

struct transfer {
	struct cli_call *call;
	CURL *curl;
	struct curl_slist *headers;
	struct buf body;
	curl_socket_t fd; /* of its connection, -1: not connected */
};

void cli_call_release(struct cli_call *call)
{
	g_free(call->path);
	free(call->body);
	json_decref(call->json);
	memset(call, 0, sizeof(*call));
}

static size_t on_data(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	if (t->body.len + size * n > MAX_ANSWER_BYTES)
		return 0;
	buf_add(&t->body, data, size * n);
	return size * n;
}

static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct transfer *t = arg;

	(void)purpose;
	t->fd = fd;
	return CURL_SOCKOPT_OK;
}

/* libcurl calls this after each series of reads, also of bytes that it passes
 * on to no other callback. */
static int on_progress(void *arg, curl_off_t dltotal, curl_off_t dlnow,
		       curl_off_t ultotal, curl_off_t ulnow)
{
	const struct transfer *t = arg;
	uint64_t n;

	(void)dltotal;
	(void)dlnow;
	(void)ultotal;
	(void)ulnow;
	return t->fd >= 0 && net_bytes_read(t->fd, &n) &&
	       n > MAX_ANSWER_BYTES + MAX_OTHER_BYTES;
}

static void prepare(const struct cli *c, struct transfer *t, CURLM *multi)
{
	struct cli_call *call = t->call;
	g_autofree char *auth =
		g_strdup_printf("Authorization: Bearer %s", c->key);
	g_autofree char *url =
		g_strdup_printf("http://%s%s", call->addr, call->path);

	t->curl = curl_easy_init();
	t->headers = curl_slist_append(NULL, auth);
	t->headers = curl_slist_append(t->headers, "Expect:");
	if (call->body)
		t->headers = curl_slist_append(
			t->headers, "Content-Type: application/json");
	curl_easy_setopt(t->curl, CURLOPT_URL, url);
	curl_easy_setopt(t->curl, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(t->curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(t->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(t->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->curl, CURLOPT_TIMEOUT, (long)c->timeout);
	curl_easy_setopt(t->curl, CURLOPT_CONNECTTIMEOUT,
			 MIN((long)c->timeout, CONNECT_TIMEOUT_S));
	curl_easy_setopt(t->curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(t->curl, CURLOPT_WRITEDATA, t);
	t->fd = -1;
	/* The bytes of a connection are those of one answer. */
	curl_easy_setopt(t->curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(t->curl, CURLOPT_SOCKOPTFUNCTION, on_socket);
	curl_easy_setopt(t->curl, CURLOPT_SOCKOPTDATA, t);
	curl_easy_setopt(t->curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(t->curl, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(t->curl, CURLOPT_XFERINFODATA, t);
	curl_easy_setopt(t->curl, CURLOPT_ERRORBUFFER, call->error);
	curl_easy_setopt(t->curl, CURLOPT_PRIVATE, t);
	if (call->body)
		curl_easy_setopt(t->curl, CURLOPT_POSTFIELDS, call->body);
	curl_multi_add_handle(multi, t->curl);
}

static void finish(struct transfer *t, CURLcode rc)
{
	struct cli_call *call = t->call;
	long status = 0, sent = 0;

	curl_easy_getinfo(t->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(t->curl, CURLINFO_REQUEST_SIZE, &sent);
	call->sent = sent > 0;
	if (rc != CURLE_OK) {
		if (!*call->error)
			g_strlcpy(call->error, curl_easy_strerror(rc),
				  sizeof(call->error));
		return;
	}
	call->status = (int)status;
	call->json = json_loadb(t->body.data ? t->body.data : "", t->body.len,
				JSON_REJECT_DUPLICATES, NULL);
}

void cli_fetch(const struct cli *c, struct cli_call *calls, size_t n)
{
	g_autofree struct transfer *transfers = g_new0(struct transfer, n);
	int running = 1, left;
	CURLMsg *msg;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	CURLM *multi = curl_multi_init();
	curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, MAX_CONNS);
	for (size_t i = 0; i < n; i++) {
		transfers[i].call = &calls[i];
		prepare(c, &transfers[i], multi);
	}
	while (running) {
		if (curl_multi_perform(multi, &running) != CURLM_OK)
			break;
		while ((msg = curl_multi_info_read(multi, &left))) {
			struct transfer *t = NULL;
			if (msg->msg != CURLMSG_DONE)
				continue;
			curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
					  (char **)&t);
			finish(t, msg->data.result);
		}
		if (running)
			curl_multi_poll(multi, NULL, 0, 1000, NULL);
	}
	for (size_t i = 0; i < n; i++) {
		curl_multi_remove_handle(multi, transfers[i].curl);
		curl_easy_cleanup(transfers[i].curl);
		curl_slist_free_all(transfers[i].headers);
		buf_release(&transfers[i].body);
	}
	curl_multi_cleanup(multi);
	curl_global_cleanup();
}

static void call_init(struct cli_call *call, const char *addr, const char *path,
		      const json_t *body)
{
	memset(call, 0, sizeof(*call));
	g_strlcpy(call->addr, addr, sizeof(call->addr));
	call->path = g_strdup(path);
	if (body)
		call->body = cli_json_text(body);
}

int cli_ask_at(struct cli *c, const char *addr, const char *path, json_t *body,
	       json_t **json)
{
	CLI_AUTO_CALL struct cli_call call;
	AUTO_JSON json_t *owned = body;
	AUTO_BUF struct buf line = BUF_INIT;

	call_init(&call, addr, path, body);
	cli_fetch(c, &call, 1);
	int status = cli_outcome(&call, body != NULL, &line);
	cli_set_kind(c, cli_str(json_object_get(call.json, "error"), "kind"));
	if (status == CLI_OK) {
		*json = steal_ptr(&call.json);
		return CLI_OK;
	}
	buf_addf(&c->err, "%s%s", buf_unread(&c->err) ? "\n" : "",
		 buf_unread(&line) ? line.data : "");
	if (c->json && call.json)
		cli_print_json(&c->out, call.json);
	return status;
}

/*
 * Whether the request may be sent again: changes and orders carry an id under
 * which they count once, and an evacuation that is in force stays so.
 */
static bool may_resend(const json_t *body)
{
	return json_is_string(json_object_get(body, "dc")) ||
	       json_is_string(json_object_get(body, "id")) ||
	       json_is_string(json_object_get(body, "order_id"));
}

int cli_ask(struct cli *c, const char *path, json_t *body, json_t **json)
{
	AUTO_JSON json_t *owned = body;
	int status = CLI_UNREACHABLE;
	bool unknown = false;

	/*
	 * What was surely not received goes to the next address, and so does
	 * what may be sent again: the process may be frozen.
	 */
	for (char **a = c->addrs; *a; a++) {
		size_t before = buf_unread(&c->err);
		status = cli_ask_at(c, *a, path, json_incref(body), json);
		if (status == CLI_UNREACHABLE && !unknown)
			continue;
		if (status == CLI_UNKNOWN && may_resend(body)) {
			unknown = true;
			continue;
		}
		/* Once one has answered, the others do not matter. */
		if (status == CLI_OK || !unknown) {
			buf_consume(&c->err, before);
			return status;
		}
	}
	/* A refusal speaks for its own attempt, not for the one before. */
	return unknown ? CLI_UNKNOWN : status;
}

int cli_processes(struct cli *c, json_t **processes)
{
	AUTO_JSON json_t *status = NULL;
	int rc = cli_ask(c, "/admin/status", NULL, &status);

	if (rc != CLI_OK)
		return rc;
	json_t *list = json_object_get(status, "processes");
	if (!json_array_size(list)) {
		buf_addstr(&c->err, "the status names no processes");
		return CLI_REFUSED;
	}
	*processes = json_incref(list);
	return CLI_OK;
}

json_t *cli_ask_all(struct cli *c, const json_t *processes, const char *path,
		    json_t *silent)
{
	size_t n = json_array_size(processes);
	g_autofree struct cli_call *calls = g_new0(struct cli_call, n);
	json_t *answers = json_array();

	for (size_t i = 0; i < n; i++)
		call_init(&calls[i],
			  cli_str(json_array_get(processes, i), "admin_addr"),
			  path, NULL);
	cli_fetch(c, calls, n);
	for (size_t i = 0; i < n; i++) {
		AUTO_BUF struct buf line = BUF_INIT;
		const json_t *p = json_array_get(processes, i);
		if (cli_outcome(&calls[i], false, &line) == CLI_OK)
			json_array_append(answers, calls[i].json);
		else
			json_array_append(silent, json_object_get(p, "host"));
		cli_call_release(&calls[i]);
	}
	return answers;
}

void cli_query_add(struct buf *path, const char *name, const char *value)
{
	if (!value)
		return;
	g_autofree char *escaped = g_uri_escape_string(value, NULL, FALSE);
	buf_addf(path, "%c%s=%s", strchr(path->data, '?') ? '&' : '?', name,
		 escaped);
}
