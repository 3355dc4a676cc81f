#include "net/bytes_read.h"

#include <stddef.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <linux/tcp.h>
#include <glib.h>

bool net_bytes_read(int fd, uint64_t *n)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);
	int unread = 0;

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    len < offsetof(struct tcp_info, tcpi_bytes_received) +
			    sizeof(info.tcpi_bytes_received) ||
	    ioctl(fd, FIONREAD, &unread))
		return false;
	/* What arrives between the two calls is unread and not in `info`. */
	*n = info.tcpi_bytes_received -
	     MIN((uint64_t)unread, info.tcpi_bytes_received);
	return true;
}
