#include <string.h>

#include "endpoint/ep.h"
#include "endpoint/sse.h"
#include "entry/cursor.h"
#include "replay.h"

/*
 * Fuzzes the decoders of input from endpoints and callers: announcements,
 * leaves, cache events, refusals, event streams and cursors.  The first byte
 * of the input selects the decoder.
 */

static int on_event(void *ctx, const char *id, const char *type,
		    const char *data, size_t len)
{
	struct ep_event ev;

	(void)ctx;
	FUZZ_CHECK(strlen(id) < SSE_ID_CHARS && strlen(type) < SSE_TYPE_CHARS);
	if (ep_openai.parse_event(type, data, len, &ev) == 0)
		FUZZ_CHECK(ev.kind != EP_TOKEN ||
			   strlen(ev.generation) == EP_GENERATION_CHARS);
	ep_event_release(&ev);
	return 0;
}

/* Parses the stream in one call and byte by byte. */
static void fuzz_stream(const char *data, size_t size)
{
	struct sse whole = {0}, split = {0};

	sse_feed(&whole, data, size, on_event, NULL);
	for (size_t i = 0; i < size; i++)
		if (sse_feed(&split, data + i, 1, on_event, NULL) < 0)
			break;
	sse_release(&whole);
	sse_release(&split);
}

static void fuzz_cache_events(const char *data, size_t size)
{
	static struct ep_cache_event events[EP_CACHE_EVENTS_MAX];
	char id[EP_ID_CHARS + 1];
	uint64_t incarnation;
	int n = ep_openai.parse_cache_events(data, size, id, &incarnation,
					     events);

	FUZZ_CHECK(n <= EP_CACHE_EVENTS_MAX);
}

static void fuzz_cursor(const char *data, size_t size)
{
	uint8_t key[32] = {1};
	char *text = strndup(data, size);
	struct cursor c;
	uint64_t next;

	memset(&c, 0, sizeof(c));
	/* A cursor made without the key must not be valid. */
	FUZZ_CHECK(cursor_open(text, key, &c, &next) < 0);
	free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	const char *data = (const char *)bytes + 1;
	Mw__EndpointInfo info;
	Mw__LeaveFwd leave;
	struct ep_refusal refusal;

	if (!size)
		return 0;
	size--;
	switch (bytes[0] % 6) {
	case 0:
		if (ep_openai.parse_announce(data, size, &info) == 0)
			ep_info_release(&info);
		break;
	case 1:
		if (ep_openai.parse_leave(data, size, &leave) == 0)
			ep_leave_release(&leave);
		break;
	case 2:
		fuzz_cache_events(data, size);
		break;
	case 3:
		ep_openai.parse_refusal(503, true, data, size, &refusal);
		break;
	case 4:
		fuzz_stream(data, size);
		break;
	case 5:
		fuzz_cursor(data, size);
		break;
	}
	return 0;
}
