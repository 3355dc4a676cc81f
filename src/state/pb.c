#include "state/pb.h"

#include <assert.h>
#include <string.h>
#include <glib.h>

struct buf_sink {
	ProtobufCBuffer base;
	struct buf *out;
};

static void sink_append(ProtobufCBuffer *base, size_t len, const uint8_t *data)
{
	buf_add(((struct buf_sink *)base)->out, data, len);
}

void pb_pack(struct buf *out, const ProtobufCMessage *msg)
{
	struct buf_sink sink = {{sink_append}, out};

	protobuf_c_message_pack_to_buffer(msg, &sink.base);
}

void *pb_copy(const ProtobufCMessage *msg)
{
	AUTO_BUF struct buf b = BUF_INIT;
	void *copy;

	pb_pack(&b, msg);
	copy = protobuf_c_message_unpack(msg->descriptor, NULL, b.len,
					 (const uint8_t *)b.data);
	assert(copy);
	return copy;
}

bool pb_equal(const ProtobufCMessage *a, const ProtobufCMessage *b)
{
	AUTO_BUF struct buf x = BUF_INIT, y = BUF_INIT;

	assert(a->descriptor == b->descriptor);
	pb_pack(&x, a);
	pb_pack(&y, b);
	return x.len == y.len && (!x.len || !memcmp(x.data, y.data, x.len));
}

char *pb_string(const char *s)
{
	char *copy;

	if (!s || !*s)
		return (char *)protobuf_c_empty_string;
	copy = strdup(s);
	if (!copy)
		g_error("out of memory");
	return copy;
}

ProtobufCBinaryData pb_bytes(const void *data, size_t len)
{
	ProtobufCBinaryData bytes = {len, NULL};

	if (!len)
		return bytes;
	bytes.data = malloc(len);
	if (!bytes.data)
		g_error("out of memory");
	memcpy(bytes.data, data, len);
	return bytes;
}
