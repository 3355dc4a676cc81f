#ifndef NET_SOCKBUF_H
#define NET_SOCKBUF_H

#include <stddef.h>

/*
 * Bounds of what the system keeps for TCP connections.  Without them it lets
 * each buffer grow to megabytes, which belong to the machine's memory although
 * no process has them: a reader that does not read, or a transfer that is
 * paused, then takes as much again as an answer has.
 */

/* What arrives and has not been read; the system doubles it for its own
 * structures.  2.7 MB/s over the longest round trip of 24 ms. */
#define SOCKBUF_RECEIVE_BYTES (64 << 10)

/* What was sent and not confirmed, or not sent; doubled as well.  5 MB/s over a
 * round trip of 24 ms. */
#define SOCKBUF_SEND_BYTES (128 << 10)

/* Of it, what is not sent yet: all that a reader with a closed window takes. */
#define SOCKBUF_UNSENT_BYTES (16 << 10)

/*
 * Sets these bounds for a socket, and for the connections that a listening one
 * accepts.  Before listen() or connect(), as the window's scale is chosen then.
 */
void sockbuf_limit(int fd);

/* Bytes in both buffers of a connection; 0 if the system does not tell. */
size_t sockbuf_queued(int fd);

#endif
