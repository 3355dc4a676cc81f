/*
 * Preloaded into control processes by tests/scripts/slowdisk.sh: a sync takes
 * for as long as the file that STALL_FILE names exists.  The disk of the
 * machine is not synced, so that its speed does not matter.
 */
#include <stdlib.h>
#include <unistd.h>

#define POLL_US 2000

int fsync(int fd);
int fdatasync(int fd);

int fsync(int fd)
{
	const char *file = getenv("STALL_FILE");

	(void)fd;
	while (file && access(file, F_OK) == 0)
		usleep(POLL_US);
	return 0;
}

int fdatasync(int fd)
{
	return fsync(fd);
}
