#include "net/sockbuf.h"

#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <linux/sockios.h>
#include <linux/tcp.h>

static void set_option(int fd, int level, int option, int value)
{
	setsockopt(fd, level, option, &value, sizeof(value));
}

void sockbuf_limit(int fd)
{
	set_option(fd, SOL_SOCKET, SO_RCVBUF, SOCKBUF_RECEIVE_BYTES);
	set_option(fd, SOL_SOCKET, SO_SNDBUF, SOCKBUF_SEND_BYTES);
	set_option(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, SOCKBUF_UNSENT_BYTES);
}

size_t sockbuf_queued(int fd)
{
	int in = 0, out = 0;

	if (ioctl(fd, SIOCINQ, &in) || ioctl(fd, SIOCOUTQ, &out))
		return 0;
	return (size_t)in + (size_t)out;
}
