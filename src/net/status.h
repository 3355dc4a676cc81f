#ifndef NET_STATUS_H
#define NET_STATUS_H

#include <stdbool.h>

/*
 * Status codes of HTTP (RFC 9110, section 15).  Codes outside of 100 to 599 are
 * invalid; 1xx precede the final answer.
 */
#define STATUS_FINAL_MIN 200
#define STATUS_FINAL_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101

static inline bool status_is_final(int status)
{
	return status >= STATUS_FINAL_MIN && status <= STATUS_FINAL_MAX;
}

static inline bool status_is_interim(int status)
{
	return status >= 100 && status < STATUS_FINAL_MIN;
}

#endif
