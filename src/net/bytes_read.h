#ifndef NET_BYTES_READ_H
#define NET_BYTES_READ_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bytes that the program has read from a TCP socket since it was connected.
 * Less by those that arrive during the call, but never more.  Returns false if
 * the system does not tell.
 */
bool net_bytes_read(int fd, uint64_t *n);

#endif
